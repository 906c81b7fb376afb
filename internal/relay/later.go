package relay

import (
	"time"

	"toucangap/internal/balance"
	"toucangap/internal/catalog"
	"toucangap/internal/segment"
)

// later decides on a packet of a flow that should be open.
func (r *Relay) later(now time.Duration, s segment.Segment, frame []byte) {
	f := r.flows[s.Flow]
	if f == nil {
		f = r.adopt(now, s)
		if f == nil {
			return
		}
	}
	f.lastSeen = now
	switch f.state {
	case stateOpening:
		r.opened(now, f, s)
	case stateEnded:
		r.late(now, f, s, frame)
		return
	}
	if s.Token != 0 && s.Token != f.endpoint.Entry.Token() && !r.options.Without.Pinning {
		// A second endpoint that answered the first packet changed what the caller
		// returns; the one whose answer came first holds the flow.
		r.contested(now, s)
		r.stats.Contested++
		r.options.Observer.Contested(now, f.key, f.endpoint.Entry, s.Token)
	}
	if named := r.endpoints[s.Token]; r.options.Without.Pinning && named != nil && named != f.endpoint {
		f.detach()
		f.attach(named)
	}
	progress := r.progress(now, f, s)
	if s.DataBytes > 0 && r.doomed(now, f, progress) {
		return
	}
	r.forward(f.endpoint.Entry, frame)
	if s.Fin || s.Reset {
		r.finish(now, f, s)
	}
}

// contested takes what a packet shows that names another endpoint than the one
// that holds its flow: that one has answered the first packet, too, late.
func (r *Relay) contested(now time.Duration, s segment.Segment) {
	if late := r.endpoints[s.Token]; late != nil && late.Alive(now) {
		r.options.Observer.Recovered(now, late)
	}
}

// adopt enters a flow that another host placed, or returns nil if the packet
// leads nowhere.
func (r *Relay) adopt(now time.Duration, s segment.Segment) *flow {
	if s.Token == 0 {
		r.drop(now, s.Flow, DropNoToken)
		return nil
	}
	e := r.endpoints[s.Token]
	if e == nil {
		r.drop(now, s.Flow, DropUnknownEndpoint)
		return nil
	}
	route := r.view.Route(s.Flow.Service)
	if route == nil {
		r.noRoute(now, s)
		return nil
	}
	if !r.options.Without.ServiceCheck && !r.history.permits(now, route, e.Entry.Service) {
		r.drop(now, s.Flow, DropForeignService)
		return nil
	}
	f := r.newFlow(now, s.Flow)
	f.adopted, f.midst = true, true
	f.state = stateOpen
	f.service = r.service(e.Entry.Service)
	f.route, f.timeout, f.target = route.Name, route.Timeout, route.Target
	f.acknowledged = s.Acknowledgement
	f.sent = s.Sequence
	f.attach(e)
	r.schedule(f, now+r.idle())
	r.stats.Adopted++
	r.options.Observer.Adopted(now, s.Flow, e.Entry)
	return f
}

// noRoute answers a packet of an unknown flow to an address without a route.
// A reset is not answered, so that two hosts never answer each other.
func (r *Relay) noRoute(now time.Duration, s segment.Segment) {
	if s.DataBytes == 0 || s.Reset {
		r.drop(now, s.Flow, DropNoRoute)
		return
	}
	r.reject(now, Placement{Flow: s.Flow}, s.Acknowledgement, RejectRouteRemoved)
}

// opened takes the caller's reaction to an endpoint's acceptance. Its token
// names the endpoint whose acceptance came first.
func (r *Relay) opened(now time.Duration, f *flow, s segment.Segment) {
	winner := r.endpoints[s.Token]
	if winner == nil || winner.Entry.Service != f.service.name {
		winner = f.endpoint
	}
	if winner != f.endpoint {
		f.detach()
		f.attach(winner)
	}
	f.state = stateOpen
	f.acknowledged = s.Acknowledgement
	f.answerFrom, f.measured = s.Acknowledgement, true
	took := now - f.sentAt
	if f.tries == 1 && winner == f.tried[0] && !r.behind {
		r.patience.add(took)
		r.options.Observer.Accepted(took)
	}
	r.alive(now, f)
	r.bury(now, f)
}

// bury takes note of the endpoints that left the flow to its holder, and ends
// the flows that wait for one that is held for dead now.
func (r *Relay) bury(now time.Duration, f *flow) {
	if r.options.Without.Death {
		return
	}
	for i, e := range f.tried[:min(f.judged, f.tries)] {
		if e != f.endpoint && e.Left(f.triedAt[i]) {
			r.endFlowsOf(now, e)
		}
	}
}

// alive takes a sign of life of the flow's endpoint.
func (r *Relay) alive(now time.Duration, f *flow) {
	f.progressAt = now
	if f.endpoint.Alive(now) {
		r.options.Observer.Recovered(now, f.endpoint)
	}
}

// progress takes what the packet shows: new data is a request, a new
// acknowledgement means that the endpoint has sent something. It reports the
// latter.
func (r *Relay) progress(now time.Duration, f *flow, s segment.Segment) bool {
	advanced := s.Ack && segment.After(s.Acknowledgement, f.acknowledged)
	if advanced {
		f.acknowledged = s.Acknowledgement
		r.alive(now, f)
		if f.waiting {
			r.answered(now, f)
		}
	}
	if s.DataBytes > 0 && segment.After(s.End(), f.sent) {
		if !f.waiting {
			r.judge(now, f)
			f.answerFrom, f.measured = f.acknowledged, true
		}
		f.sent = s.End()
		f.requestAt = now
		if !f.waiting {
			f.overdue = false
			f.setWaiting(true)
			r.schedule(f, min(f.due, now+f.service.seen.Overdue()))
		}
	}
	return advanced
}

func (r *Relay) answered(now time.Duration, f *flow) {
	took := now - f.requestAt
	f.setWaiting(false)
	if f.midst {
		f.midst = false
		return
	}
	if !r.behind {
		f.endpoint.Answered(now, took, &f.service.seen)
	}
	r.options.Observer.Answered(took)
}

// judge takes the size of the last answer, which the caller has taken whole.
func (r *Relay) judge(now time.Duration, f *flow) {
	if !f.measured || f.overdue || f.acknowledged == f.answerFrom {
		return
	}
	small := r.sizesOf(f.key.Service).Undersized(f.acknowledged - f.answerFrom)
	r.judged(now, f, small)
	f.measured = false
}

// judged takes how a request of the flow has ended.
func (r *Relay) judged(now time.Duration, f *flow, failed bool) {
	if failed && r.behind {
		return
	}
	f.endpoint.Judged(now, failed, &f.service.seen)
	if failed {
		r.stats.Failed++
	}
	r.noteTurn(now, f.endpoint)
}

// sizesOf returns what is known of the sizes of a route's answers.
func (r *Relay) sizesOf(route catalog.Address) *balance.Sizes {
	sizes := r.sizes[route]
	if sizes == nil {
		sizes = new(balance.Sizes)
		r.sizes[route] = sizes
	}
	return sizes
}

// late takes a packet of a flow that has ended, such as a repeated FIN. Where
// the host has ended the flow, its reset may have been lost.
func (r *Relay) late(now time.Duration, f *flow, s segment.Segment, frame []byte) {
	if f.cut && !s.Reset {
		r.options.Output.Reset(f.key, s.Acknowledgement)
		return
	}
	r.forward(f.endpoint.Entry, frame)
}

// doomed ends a flow whose data can't be of use: its endpoint is held for dead,
// or its route is gone. Packets without data still pass on a removed route, so
// that answers in progress arrive whole.
func (r *Relay) doomed(now time.Duration, f *flow, progress bool) bool {
	switch {
	case !progress && !r.options.Without.Death && f.endpoint.DeadSince(f.progressAt):
		r.endDead(now, f)
		return true
	case r.view.Route(f.key.Service) == nil:
		r.endFlow(now, f, RejectRouteRemoved)
		return true
	}
	return false
}

// endDead resets a flow at a dead endpoint, so that its caller learns at once
// that no answer will come.
func (r *Relay) endDead(now time.Duration, f *flow) {
	r.endFlow(now, f, RejectDeadEndpoint)
}

// endFlow resets an open flow.
func (r *Relay) endFlow(now time.Duration, f *flow, reason Rejection) {
	p := r.placement(f.key, f.route, f.service.name)
	p.Endpoint = f.endpoint.Entry
	p.Waited = now - f.begun
	p.Choice = balance.Choice{Endpoint: f.endpoint}
	r.reject(now, p, f.acknowledged, reason)
	f.cut = true
	f.end(now)
	r.schedule(f, now+endedFor)
}

// finish ends a flow that its caller has closed.
func (r *Relay) finish(now time.Duration, f *flow, s segment.Segment) {
	cause := "fin"
	if s.Reset {
		cause = "reset"
	}
	if s.Fin && !f.waiting {
		r.judge(now, f)
	}
	r.options.Observer.Ended(now, r.ending(now, f, cause))
	if f.waiting && now-f.requestAt > f.target {
		r.abandoned(now, f)
	}
	f.end(now)
	r.schedule(f, now+endedFor)
}

func (r *Relay) ending(now time.Duration, f *flow, cause string) Ending {
	return Ending{
		Flow:     f.key,
		Route:    f.route,
		Endpoint: f.endpoint.Entry,
		Lasted:   now - f.begun,
		Answered: !f.waiting,
		Cause:    cause,
	}
}
