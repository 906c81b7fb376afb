// Package relay decides on the packets of callers: which endpoint a new flow
// goes to, where later packets go, what is rejected and which flows are ended.
// It is pure: packets, views and the time come in, packets and decisions go out.
//
// A flow carries its endpoint's token in every packet, so that any host
// forwards it without having seen it before. What is kept here about flows only
// serves what a token can't tell: first packets without a reaction, loads, and
// which of two endpoints that both answered a first packet holds the flow.
package relay

import (
	"container/heap"
	"time"

	"toucangap/internal/balance"
	"toucangap/internal/catalog"
	"toucangap/internal/segment"
	"toucangap/internal/sighting"
)

// Output takes what the relay sends.
type Output interface {
	// Forward sends a frame, room for the intended recipient followed by a
	// packet, to the endpoint.
	Forward(e *catalog.Entry, frame []byte)
	// Reset ends a flow towards its caller, whose last acknowledgement is given.
	Reset(flow catalog.Flow, lastAcknowledgement uint32)
}

// Options set up a Relay.
type Options struct {
	Domain string
	// MaxFlows bounds the flows that are kept.
	MaxFlows int
	// FlowLifetime is how long a flow may last.
	FlowLifetime time.Duration
	Output       Output
	Observer     Observer
	// Choose picks endpoints for new flows; nil means balance.Choose. Others
	// serve as baselines in experiments.
	Choose func(balance.Request, *balance.Service, []*balance.Endpoint) balance.Choice
	// Without leaves parts out, to show in tests what they are for.
	Without Parts
}

// Parts are decisions that can be left out.
type Parts struct {
	// SendingOn gives first packets without a reaction to other endpoints.
	SendingOn bool
	// Death ends flows of endpoints that are held for dead.
	Death bool
	// Pinning keeps a flow at the endpoint that opened it, whatever later packets
	// name.
	Pinning bool
	// ServiceCheck refuses tokens of endpoints that the route does not allow.
	ServiceCheck bool
	// Admission rejects what would be answered too late.
	Admission bool
}

// Relay is the state of one traffic goroutine.
type Relay struct {
	options Options
	started time.Duration

	view      *catalog.View
	endpoints map[catalog.Token]*balance.Endpoint
	services  map[string]*service
	history   history
	// sizes are those of answers by route; routes that are gone are dropped.
	sizes map[catalog.Address]*balance.Sizes
	// heard is what other hosts have told last.
	heard []sighting.Sighting

	// behind tells that packets have waited here, so that times and missing
	// reactions say nothing of endpoints.
	behind   bool
	flows    map[catalog.Flow]*flow
	timers   timerHeap
	free     []*flow
	patience patience
	stats    Stats
}

// service is a service with its endpoints that take new flows.
type service struct {
	name       string
	seen       balance.Service
	candidates []*balance.Endpoint
}

// New returns a relay that starts at the given time without a view.
func New(o Options, now time.Duration) *Relay {
	if o.Choose == nil {
		o.Choose = balance.Choose
	}
	return &Relay{
		options:   o,
		started:   now,
		endpoints: make(map[catalog.Token]*balance.Endpoint),
		services:  make(map[string]*service),
		history:   newHistory(now, o.FlowLifetime),
		sizes:     make(map[catalog.Address]*balance.Sizes),
		flows:     make(map[catalog.Flow]*flow),
		patience:  newPatience(),
	}
}

// SetView replaces the view.
func (r *Relay) SetView(now time.Duration, v *catalog.View) {
	r.view = v
	r.history.update(now, v)
	r.takeEndpoints(v)
	r.takeServices(v)
	for route := range r.sizes {
		if v.Route(route) == nil {
			delete(r.sizes, route)
		}
	}
}

// takeEndpoints enters new endpoints and drops those that the view has
// forgotten.
func (r *Relay) takeEndpoints(v *catalog.View) {
	for _, entry := range v.Entries() {
		token := entry.Token()
		known := r.endpoints[token]
		if known == nil {
			r.endpoints[token] = &balance.Endpoint{Entry: entry}
			continue
		}
		if entry.StartedUnixMs != known.Entry.StartedUnixMs || entry.ID != known.Entry.ID {
			// Another process: nothing that was seen before holds.
			known.Forgive()
		}
		known.Entry = entry
	}
	for token, e := range r.endpoints {
		if v.ByToken(token) == nil && e.Open == 0 {
			delete(r.endpoints, token)
		}
	}
}

func (r *Relay) takeServices(v *catalog.View) {
	for _, s := range r.services {
		s.candidates = s.candidates[:0]
	}
	if v.Configuration == nil {
		return
	}
	for name := range v.Configuration.Services {
		s := r.service(name)
		for _, entry := range v.Open(name) {
			s.candidates = append(s.candidates, r.endpoints[entry.Token()])
		}
	}
}

// service returns the state of a service, new if need be.
func (r *Relay) service(name string) *service {
	s := r.services[name]
	if s == nil {
		s = &service{name: name}
		r.services[name] = s
	}
	return s
}

// Packet takes a packet from a caller; frame is room for the recipient followed
// by the packet, and belongs to the caller of this method again afterwards.
func (r *Relay) Packet(now time.Duration, s segment.Segment, frame []byte) {
	r.stats.Packets++
	switch {
	case s.Forwarded:
		r.drop(now, s.Flow, DropLooped)
	case r.view == nil || r.view.Configuration == nil:
		r.drop(now, s.Flow, DropNoConfiguration)
	case s.Syn:
		r.first(now, s, frame)
	default:
		r.later(now, s, frame)
	}
}

func (r *Relay) drop(now time.Duration, f catalog.Flow, reason Drop) {
	r.stats.Drops[reason]++
	r.options.Observer.Dropped(now, f, reason)
}

// Resume takes note that the host has not run for a while or has not kept up: what
// did not react meanwhile is not to blame for it, times that were measured were
// its own, and callers that waited have given up or repeat themselves. The host
// goes on as one that has just started.
func (r *Relay) Resume(now time.Duration) {
	for _, e := range r.endpoints {
		e.Forgive()
	}
	for _, s := range r.services {
		s.seen = balance.Service{}
	}
	r.patience = newPatience()
	for _, f := range r.flows {
		switch f.state {
		case stateOpening:
			f.sentAt = now
			f.due = now + r.patience.wait()
		case stateOpen:
			f.setWaiting(false)
		}
	}
	heap.Init(&r.timers)
}

// Behind takes note that the host can't keep up with its packets, or has caught
// up.
func (r *Relay) Behind(now time.Duration, behind bool) {
	r.behind = behind
	if !behind {
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

// Failed returns the number of requests that failed so far, as Stats does.
func (r *Relay) Failed() int64 { return r.stats.Failed }

// Stats returns the counters.
func (r *Relay) Stats() Stats {
	s := r.stats
	s.Flows = int64(len(r.flows))
	return s
}
