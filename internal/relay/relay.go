// Package relay decides on callers' packets: where to place a new flow, where to
// forward later packets, and which flows to reject or reset. It does no I/O and
// reads no clock: packets, views and the time are its input, decisions its output.
//
// Every packet after the SYN carries its endpoint's token, so any host can
// forward it without prior state. Flow state is kept only for what a token
// can't tell: SYNs without a handshake ACK, loads, and which of two endpoints
// that both accepted a SYN holds the flow.
package relay

import (
	"container/heap"
	"time"

	"toucangap/internal/backlog"
	"toucangap/internal/balance"
	"toucangap/internal/catalog"
	"toucangap/internal/coldstart"
	"toucangap/internal/fairshare"
	"toucangap/internal/outlier"
	"toucangap/internal/segment"
)

// Output sends packets.
type Output interface {
	// Forward sends the packet in a frame to the endpoint, with the token that both ends
	// return from then on. The frame begins with platform.RecipientBytes bytes of space for
	// the endpoint's number.
	Forward(e *catalog.Entry, token catalog.Token, frame []byte)
	// Reset sends a reset to a flow's caller, whose last acknowledgement number is
	// given.
	Reset(flow catalog.Flow, lastAcknowledgement uint32)
}

// Options configure a Relay.
type Options struct {
	// Domain is the host's failure domain.
	Domain string
	// MaxFlows limits the size of the flow table.
	MaxFlows int
	// FlowLifetime is the maximum duration of a flow.
	FlowLifetime time.Duration
	Output       Output
	Observer     Observer
	// Hosts returns the number of hosts that share the endpoints; nil means one.
	Hosts func() int
	// HomeHosts returns the number of those in the host's failure domain; nil means that it
	// is not known.
	HomeHosts func() int
	// Isolated reports whether the host has lost contact with the store. It is asked while
	// no other domain answers: new flows may then go to evacuated endpoints of the host's
	// own domain. With probe, it may call the store to find out. Nil means never.
	Isolated func(probe bool) bool
	// Holders tells other hosts which endpoints hold flows; nil means that there are none.
	Holders Holders
	// Cold limits flows to cold endpoints. Without a function Hosts nothing is limited.
	Cold coldstart.Rules
	// RouteShares divides the room at congested endpoints among the routes of a service.
	RouteShares bool
	// Choose picks endpoints for new flows; nil means balance.Choose.
	// Experiments set others as baselines.
	Choose func(balance.Request, *balance.Service, []*balance.Endpoint) balance.Choice
	// Spillover decides for each service which share of its new flows leaves the
	// domain; without it, endpoints of other domains only cost more.
	Spillover bool
	// SpilloverChanged is called when the share of a service leaves 0 and when it is 0
	// again; it may be nil and must not block.
	SpilloverChanged func(now time.Duration, s SpilloverState)
	// DomainChanged is called when a failure domain becomes unreachable, and when it is
	// reachable again; it may be nil and must not block.
	DomainChanged func(now time.Duration, s DomainState)
	// Disabled turns features off, so that tests can show their effect.
	Disabled Features
}

// Features are the decisions that can be disabled.
type Features struct {
	// Failover sends SYNs without a handshake ACK to other endpoints.
	Failover bool
	// DeathDetection resets flows of endpoints that are considered dead, and of
	// unreachable failure domains.
	DeathDetection bool
	// DomainDetection detects unreachable failure domains.
	DomainDetection bool
	// Pinning keeps an open flow at its endpoint, whichever token later packets
	// carry.
	Pinning bool
	// ServiceCheck drops packets whose token names an endpoint of a service that
	// the route does not allow.
	ServiceCheck bool
	// Admission rejects requests that would be answered too late.
	Admission bool
	// Holding lets SYNs wait at the host while the endpoints are congested.
	Holding bool
}

// Relay is the state of one traffic goroutine.
type Relay struct {
	options Options
	started time.Duration
	// losses tells until when callers' SYNs were lost.
	losses backlog.Losses

	view      *catalog.View
	endpoints map[catalog.Token]*balance.Endpoint
	services  map[string]*service
	// domains holds the failure domains of the endpoints by name. None is considered
	// unreachable before domainsFrom.
	domains     map[string]*domain
	domainsFrom time.Duration
	history     history
	// deadSearchFrom is when the flow table may be searched for flows of dead endpoints.
	deadSearchFrom time.Duration
	// sizes holds the usual sizes of answers by route address; entries of removed
	// routes are deleted.
	sizes map[catalog.Address]*balance.AnswerSizes
	// reports are the latest failure reports of the failure domain's other hosts,
	// summed by endpoint.
	reports []outlier.Report

	// lagging is set while packets wait too long in this host's socket, so that
	// times and missing handshake ACKs say nothing about endpoints.
	lagging bool
	// leaving is set while routers move the host's flows to other hosts, before it exits.
	leaving bool
	// draining is set once the host is about to exit, so that it holds nothing.
	draining bool
	// heldFlows is the number of held flows of all services.
	heldFlows int
	// routeCounts counts held flows by name of the route.
	routeCounts      map[string]*RouteCounts
	flows            map[catalog.Flow]*flow
	timers           timerHeap
	freeFlows        []*flow
	handshakeTimeout handshakeTimeout
	stats            Stats
}

// service is a service with the endpoints that take its new flows.
type service struct {
	name       string
	observed   balance.Service
	candidates []*balance.Endpoint
	// slots is the number of the candidates' slots.
	slots int
	// preview is set in a copy by which Explain decides: it must not cause calls.
	preview bool
	// evacuated is the number of endpoints left out since their failure domain is
	// evacuated.
	evacuated int
	// evacuatedHome holds those of them in the host's domain.
	evacuatedHome []*balance.Endpoint
	// inFlight counts the flows whose request waits at an endpoint; overdue ones do
	// not count. window limits it, and held are the flows that wait for room.
	inFlight int
	window   balance.Window
	held     []*flow
	// order chooses among the held flows, released is how often one is forwarded.
	order    backlog.Order
	released backlog.Rate
	// eligible is the reused list of the held flows that order chooses among.
	eligible []int
	// cold limits the flows to cold endpoints; nil if the service has no limit.
	cold *coldService
	// shares divides the releases among the held flows' routes; nil means that they go
	// by the order of all held flows.
	shares *fairshare.Shares
	// spill decides which new flows leave the domain; nil if spillover is off.
	spill *spill
}

// New returns a Relay without a view, started at the given time.
func New(o Options, now time.Duration) *Relay {
	if o.Choose == nil {
		o.Choose = balance.Choose
	}
	if o.Holders == nil {
		o.Holders = noHolders{}
	}
	return &Relay{
		options:          o,
		started:          now,
		losses:           backlog.NewLosses(now),
		endpoints:        make(map[catalog.Token]*balance.Endpoint),
		services:         make(map[string]*service),
		domains:          make(map[string]*domain),
		domainsFrom:      now + domainObservation,
		history:          newHistory(now, o.FlowLifetime),
		sizes:            make(map[catalog.Address]*balance.AnswerSizes),
		routeCounts:      make(map[string]*RouteCounts),
		flows:            make(map[catalog.Flow]*flow),
		handshakeTimeout: newHandshakeTimeout(),
	}
}

// SetView replaces the view.
func (r *Relay) SetView(now time.Duration, v *catalog.View) {
	r.view = v
	r.history.update(now, v)
	r.updateEndpoints(now, v)
	r.updateServices(v)
	r.updateCold(now, v)
	for route := range r.sizes {
		if v.Route(route) == nil {
			delete(r.sizes, route)
		}
	}
}

// updateEndpoints adds the view's new endpoints and deletes those that have left
// it and hold no flows.
func (r *Relay) updateEndpoints(now time.Duration, v *catalog.View) {
	for _, entry := range v.Entries() {
		token := entry.Token()
		known := r.endpoints[token]
		if known == nil {
			known = &balance.Endpoint{Entry: entry}
			r.endpoints[token] = known
			r.joinDomain(known)
			continue
		}
		if entry.StartedUnixMs != known.Entry.StartedUnixMs || entry.ID != known.Entry.ID {
			// Another process: earlier observations do not apply to it.
			known.Reset()
			r.recordDomainAlive(now, known, nil)
		}
		r.setEntry(known, entry)
	}
	for token, e := range r.endpoints {
		if v.ByToken(token) == nil && e.Open == 0 {
			delete(r.endpoints, token)
			r.leaveDomain(e)
		}
	}
}

func (r *Relay) updateServices(v *catalog.View) {
	for _, s := range r.services {
		s.candidates, s.slots = s.candidates[:0], 0
		s.evacuated, s.evacuatedHome = 0, s.evacuatedHome[:0]
	}
	if v.Configuration == nil {
		return
	}
	for name := range v.Configuration.Services {
		s := r.service(name)
		for _, entry := range v.Available(name) {
			s.candidates = append(s.candidates, r.endpoints[entry.Token()])
			s.slots += max(entry.Slots, 1)
		}
	}
	for _, s := range r.services {
		s.spill.update(s.candidates)
	}
	if len(v.EvacuatedDomains()) == 0 {
		return
	}
	for _, entry := range v.Entries() {
		if entry.Listed && !entry.Draining && v.Evacuated(entry.Domain) {
			r.addEvacuated(entry)
		}
	}
}

// service returns the state of a service, created if necessary.
func (r *Relay) service(name string) *service {
	s := r.services[name]
	if s == nil {
		s = &service{name: name, window: r.newWindow(r.started), spill: r.newSpill()}
		if r.options.RouteShares {
			s.shares = &fairshare.Shares{}
		}
		r.services[name] = s
	}
	return s
}

// Packet handles a packet from a caller, given its decoded header and a frame as
// in Output.Forward. The frame may be reused once Packet returns.
func (r *Relay) Packet(now time.Duration, s segment.Segment, frame []byte) {
	r.stats.Packets++
	switch {
	case s.Forwarded:
		r.drop(now, s.Flow, DropLooped)
	case r.view == nil || r.view.Configuration == nil:
		r.drop(now, s.Flow, DropNoConfiguration)
	case s.Syn:
		r.handleSYN(now, s, frame)
	default:
		r.handlePacket(now, s, frame)
		r.releaseHeld(now)
	}
}

func (r *Relay) drop(now time.Duration, f catalog.Flow, reason Drop) {
	r.stats.Drops[reason]++
	r.options.Observer.Dropped(now, f, reason)
}

// Resume discards observations after the host was paused or lagging. Endpoints
// are not at fault for handshake ACKs that were missing meanwhile, measured times
// include the host's own delay, and callers that waited have given up or
// retransmit. The host continues as if it had just started.
func (r *Relay) Resume(now time.Duration) {
	r.losses = backlog.NewLosses(now)
	for _, e := range r.endpoints {
		e.Reset()
	}
	for _, s := range r.services {
		s.observed = balance.Service{}
		s.window = r.newWindow(now)
		s.spill.reset()
	}
	r.handshakeTimeout = newHandshakeTimeout()
	r.forgetSilence()
	r.resetDomains(now)
	for _, f := range r.flows {
		switch f.state {
		case stateOpening:
			f.sentAt = now
			f.due = now + r.handshakeTimeout.current()
		case stateOpen:
			f.setWaiting(false)
		}
	}
	heap.Init(&r.timers)
}

// ResumeAfterPause is Resume after a pause of the given length, in which the clock may
// have stood still. Attempts that callers have given up meanwhile are not continued:
// their SYNs are neither sent to other endpoints nor forwarded after all.
func (r *Relay) ResumeAfterPause(now, gap time.Duration) {
	for _, f := range r.flows {
		waits := f.state == stateOpening || f.state == stateHeld
		switch {
		case !waits || max(gap, now-f.startedAt) < openTimeout:
		case f.tries > 1:
			// Another host may report which of the endpoints holds the flow.
			f.timedOutTries = f.tries
			f.count()
		default:
			r.removeFlow(f)
		}
	}
	r.Resume(now)
}

// SetLagging sets whether the host is lagging; once it no longer is, SetLagging
// calls Resume.
func (r *Relay) SetLagging(now time.Duration, lagging bool) {
	r.lagging = lagging
	if !lagging {
		r.Resume(now)
	}
}

// OpenFlows returns the number of flows that have not ended.
func (r *Relay) OpenFlows() int {
	open := 0
	for _, e := range r.endpoints {
		open += e.Open
	}
	return open
}

// Failed returns Stats.Failed without copying the other counters.
func (r *Relay) Failed() int64 { return r.stats.Failed }

// Stats returns the counters.
func (r *Relay) Stats() Stats {
	s := r.stats
	s.Flows = int64(len(r.flows))
	return s
}
