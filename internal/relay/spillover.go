package relay

import (
	"slices"
	"time"

	"toucangap/internal/balance"
	"toucangap/internal/spillover"
)

// Departure is the reason why a flow was sent to an endpoint of another failure domain.
type Departure uint8

// The reasons for sending a flow to another domain.
const (
	// DepartSpillover: the flow belongs to the share that leaves.
	DepartSpillover Departure = iota
	// DepartNoHome: the host's domain has no endpoint that takes new flows.
	DepartNoHome
	// DepartSuspect: SYNs to most endpoints of the host's domain are unanswered.
	DepartSuspect
	// DepartFull: as far as the host knows, no slot is free in its domain.
	DepartFull
	// DepartFailing: all endpoints of the host's domain fail requests.
	DepartFailing
	// DepartCold: the cheapest endpoint of the host's domain is cold, or this host may not
	// send flows to most of its endpoints since they are.
	DepartCold
	// DepartNoRoom: the flow would have had to wait at the host, and another domain has room.
	DepartNoRoom
	// DepartFailover: the SYN failed over to another endpoint.
	DepartFailover
	departures
	// stays is not a reason: the flow is placed in the host's domain.
	stays
)

// maxHomeFailureShare is the share of failed requests, in excess of the service's, from
// which a flow does not stay at the best endpoint of the host's domain.
const maxHomeFailureShare = 0.1

var departureNames = [departures]string{"spillover", "no_home", "suspect", "full", "failing", "cold", "no_room", "failover"}

// String returns the reason's name in metrics.
func (d Departure) String() string { return departureNames[d] }

// spill is the state of a service whose new flows may leave the failure domain.
type spill struct {
	controller *spillover.Controller
	// home and remote are the candidates in the host's domain and in those that flows may
	// leave for, as of the revision of the controller. They are partial if cold endpoints
	// are left out; homeCount is the number of those in the host's domain without that.
	home, remote []*balance.Endpoint
	revision     uint64
	overflows    []*overflow
	partial      bool
	homeCount    int
	left         [departures]int64
	// spilling is set while the share is above 0, as reported last.
	spilling bool
}

// minSpilloverHosts is the number of hosts from which new flows leave by spillover. With
// fewer, a host's own counts show a good part of the load, and least expected time to
// answer over all endpoints, with the fixed cost of other domains, is the better choice.
const minSpilloverHosts = 12

// maySpill reports whether spillover is on and there are hosts enough.
func (r *Relay) maySpill(sv *service) bool {
	return sv.spill != nil && r.hosts() >= minSpilloverHosts
}

// spills reports whether flows of the service may stay or leave by spillover: in addition,
// the host's domain has endpoints.
func (r *Relay) spills(sv *service) bool { return r.maySpill(sv) && len(sv.spill.home) > 0 }

// newSpill returns the state for a new service, nil if spillover is off.
func (r *Relay) newSpill() *spill {
	if !r.options.Spillover {
		return nil
	}
	return &spill{controller: spillover.New(r.options.Domain)}
}

// clone returns a copy that shares no state; nil if spillover is off.
func (p *spill) clone() *spill {
	if p == nil {
		return nil
	}
	c := *p
	c.controller = p.controller.Clone()
	c.home, c.remote = slices.Clone(p.home), slices.Clone(p.remote)
	c.overflows = slices.Clone(p.overflows)
	for i, o := range c.overflows {
		copied := *o
		c.overflows[i] = &copied
	}
	return &c
}

// update takes over a new list of candidates.
func (p *spill) update(candidates []*balance.Endpoint) {
	if p == nil {
		return
	}
	p.controller.ClearSlots()
	for _, e := range candidates {
		p.controller.AddSlots(e.Entry.Domain, max(e.Entry.Slots, 1))
	}
	p.split(candidates)
	p.partial, p.homeCount = false, len(p.home)
	p.updateOverflows(candidates)
}

// split sorts the candidates into home and remote ones.
func (p *spill) split(candidates []*balance.Endpoint) {
	p.revision = p.controller.Revision()
	p.home, p.remote = p.home[:0], p.remote[:0]
	for _, e := range candidates {
		switch {
		case p.controller.Home(e.Entry.Domain):
			p.home = append(p.home, e)
		case p.controller.Allowed(e.Entry.Domain):
			p.remote = append(p.remote, e)
		}
	}
}

// chooser picks one of the endpoints that a new flow may go to.
type chooser func(balance.Request, *balance.Service, []*balance.Endpoint) balance.Choice

// choose picks the endpoint of a new flow from the candidates, and returns those that it
// was picked from as well. With spillover, the flow stays among the endpoints of the host's
// domain or leaves for those of the allowed domains; if these are of no use, it goes to the
// cheapest one of all. Among evacuated endpoints, which are the last resort, cost alone
// decides.
func (r *Relay) choose(now time.Duration, f *flow, candidates []*balance.Endpoint, pick chooser) (c balance.Choice, from []*balance.Endpoint) {
	request, sv := r.request(now, f), f.service
	reason := stays
	switch {
	case f.overflow != nil:
		candidates, reason = f.overflow.endpoints, DepartNoRoom
	case r.maySpill(sv) && len(candidates) > 0 && !r.view.Evacuated(candidates[0].Entry.Domain):
		candidates, reason = r.preferred(now, sv, request, candidates)
	}
	choice := pick(request, &sv.observed, candidates)
	if reason != stays {
		sv.spill.count(choice.Endpoint, reason)
	}
	return choice, candidates
}

// preferred returns those of the candidates of a service with spillover among which a new
// flow is placed, and why it may go to another domain. It picks none, since that would
// count towards the next trial of a suspect endpoint.
func (r *Relay) preferred(now time.Duration, sv *service, request balance.Request, all []*balance.Endpoint) ([]*balance.Endpoint, Departure) {
	candidates, reason := sv.spillCandidates(now, all, request.Hash)
	best := balance.Preview(request, &sv.observed, candidates)
	if !best.Trial && best.Endpoint.Domain.Unreachable() {
		return all, DepartSuspect
	}
	if reason == stays && !best.Trial {
		if reason = sv.homeDefect(now, best.Endpoint); reason != stays {
			candidates = all
			best = balance.Preview(request, &sv.observed, candidates)
		}
	}
	if reason != stays && reason != DepartSuspect && len(sv.spill.home) > 0 && !r.mayLeaveFor(now, sv, best.Endpoint) {
		return sv.spill.home, stays
	}
	return candidates, reason
}

// homeDefect returns why a flow should not simply stay at the best endpoint of the host's
// domain, or stays.
func (sv *service) homeDefect(now time.Duration, e *balance.Endpoint) Departure {
	switch {
	case !e.Free():
		return DepartFull
	case now < e.Entry.WarmAt:
		return DepartCold
	case e.ExcessFailureShare(now, &sv.observed) >= maxHomeFailureShare:
		return DepartFailing
	}
	return stays
}

// spillCandidates returns the endpoints among which a new flow is placed, and the reason
// if it is placed in another domain.
func (sv *service) spillCandidates(now time.Duration, candidates []*balance.Endpoint, hash uint64) ([]*balance.Endpoint, Departure) {
	p := sv.spill
	leaves := p.controller.Leaves(now, hash)
	partial := len(candidates) < len(sv.candidates)
	if p.revision != p.controller.Revision() || partial || p.partial {
		p.split(candidates)
		p.partial = partial
	}
	switch {
	case p.homeCount == 0:
		return candidates, DepartNoHome
	case leaves && mostlyAnswer(now, p.remote):
		return p.remote, DepartSpillover
	case 2*len(p.home) < p.homeCount:
		// The rest would be overloaded by all flows.
		return candidates, DepartCold
	case mostlyAnswer(now, p.home):
		return p.home, stays
	}
	return candidates, DepartSuspect
}

// mostlyAnswer reports whether at least half of the endpoints have no unanswered SYN and
// are not avoided with their failure domain. With fewer, the rest would be overloaded by
// all flows.
func mostlyAnswer(now time.Duration, list []*balance.Endpoint) bool {
	answering := 0
	for _, e := range list {
		if e.UnansweredSYNs() == 0 && !e.Domain.Avoided(now) {
			answering++
		}
	}
	return answering > 0 && 2*answering >= len(list)
}

// count counts a flow if its endpoint is in another domain.
func (p *spill) count(e *balance.Endpoint, reason Departure) {
	if p != nil && !p.controller.Home(e.Entry.Domain) {
		p.left[reason]++
	}
}

// departed returns how many flows left the host's domain for the reason.
func (sv *service) departed(reason Departure) int64 {
	if sv.spill == nil {
		return 0
	}
	return sv.spill.left[reason]
}

// notifySpillover reports that the share of a service has left 0, or is 0 again.
func (r *Relay) notifySpillover(now time.Duration, sv *service) {
	if sv.spill == nil {
		return
	}
	spilling := sv.spill.controller.Share() > 0
	if spilling == sv.spill.spilling {
		return
	}
	sv.spill.spilling = spilling
	if r.options.SpilloverChanged != nil {
		r.options.SpilloverChanged(now, r.spilloverState(now, sv))
	}
}

// recordSpillHandshake records the time from a flow's SYN to its handshake ACK.
func (f *flow) recordSpillHandshake(took time.Duration) {
	if p := f.service.spill; p != nil {
		p.controller.RecordHandshake(f.endpoint.Entry.Domain, took)
	}
}

// recordSpillAnswer records the time to a complete answer that is not undersized: errors
// come fast. Late ones were recorded before.
func (f *flow) recordSpillAnswer(now time.Duration) {
	if p := f.service.spill; p != nil && !f.pastTarget {
		p.controller.RecordAnswer(now, f.endpoint.Entry.Domain, f.answerTime, f.valuable())
	}
}

// recordSpillSize records the size of an answer.
func (f *flow) recordSpillSize(bytes uint32) {
	if p := f.service.spill; p != nil {
		p.controller.RecordSize(bytes)
	}
}

// recordSpillLate records that a waiting request is about to become overdue or to pass its
// target, whichever comes first.
func (r *Relay) recordSpillLate(now time.Duration, f *flow) {
	if p := f.service.spill; p != nil && !r.lagging && !f.startUnknown && !f.overdue && !f.pastTarget {
		p.controller.RecordLate(now, f.endpoint.Entry.Domain, f.valuable())
		if f.overflow != nil {
			f.overflow.limit.RecordAnswer(now, true, f.overflow.inFlight)
		}
	}
}

// recordSpillUnanswered records a flow's first SYN without a handshake ACK. Later ones
// say nothing: the caller may have gone.
func (r *Relay) recordSpillUnanswered(now time.Duration, f *flow) {
	if p := f.service.spill; p != nil && !r.lagging && f.tries == 1 {
		p.controller.RecordUnanswered(now, f.endpoint.Entry.Domain)
		if f.overflow != nil {
			f.overflow.limit.RecordUnanswered(now)
		}
	}
}

// reset discards what was learned.
func (p *spill) reset() {
	if p != nil {
		p.controller.Reset()
	}
}

// SpilloverState describes the spillover of one service.
type SpilloverState struct {
	Service string
	spillover.State
	// Left counts the flows that were placed in other domains, by reason.
	Left [departures]int64
}

func (r *Relay) spilloverState(now time.Duration, sv *service) SpilloverState {
	return SpilloverState{Service: sv.name, State: sv.spill.controller.State(now), Left: sv.spill.left}
}

// Spillover returns the states of all services with endpoints, none if spillover is off.
func (r *Relay) Spillover(now time.Duration) []SpilloverState {
	var list []SpilloverState
	for _, sv := range r.services {
		if sv.spill != nil && len(sv.candidates) > 0 {
			list = append(list, r.spilloverState(now, sv))
		}
	}
	return list
}
