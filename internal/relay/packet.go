package relay

import (
	"time"

	"toucangap/internal/balance"
	"toucangap/internal/catalog"
	"toucangap/internal/segment"
)

// handlePacket handles a packet other than a SYN.
func (r *Relay) handlePacket(now time.Duration, s segment.Segment, frame []byte) {
	f := r.flows[s.Flow]
	if f != nil && f.state == stateHeld {
		// Another host forwarded a copy of the SYN, or the caller has given up.
		r.removeFlow(f)
		f = nil
	}
	if f == nil {
		f = r.takeOver(now, s)
		if f == nil {
			return
		}
	}
	f.lastSeen = now
	if f.adopted {
		f.begin(s)
	}
	switch f.state {
	case stateOpening:
		r.completeHandshake(now, f, s)
	case stateEnded:
		r.handleEnded(now, f, s, frame)
		return
	}
	if s.Token != 0 && s.Token != f.endpoint.Entry.Token() && !r.options.Disabled.Pinning {
		// A second endpoint accepted the SYN as well, and the caller now returns
		// its token. The flow stays at the endpoint that was accepted first.
		r.recordLateAcceptance(now, s)
		r.announceHolder(now, f, r.endpoints[s.Token])
		if !f.sentSYNTo(s.Token) {
			r.reportHolder(now, f, s)
		}
		r.stats.Contested++
		r.options.Observer.Contested(now, f.key, f.endpoint.Entry, s.Token)
	}
	if named := r.endpoints[s.Token]; r.options.Disabled.Pinning && named != nil && named != f.endpoint {
		f.detach()
		f.attach(named)
	}
	repeated := f.repeatsData(s)
	progress := r.progress(now, f, s)
	if s.DataBytes > 0 {
		r.recordData(now, f, repeated && !progress)
		if r.resetIfUseless(now, f, progress) {
			return
		}
	}
	r.forward(f.endpoint.Entry, frame)
	if s.Fin || s.Reset {
		r.closeFlow(now, f, s)
	}
}

// recordLateAcceptance handles a token of an endpoint that does not hold the
// flow: that endpoint accepted the SYN too late, so it is alive.
func (r *Relay) recordLateAcceptance(now time.Duration, s segment.Segment) {
	late, f := r.endpoints[s.Token], r.flows[s.Flow]
	if late == nil {
		return
	}
	if !f.contested {
		// The flow's later packets name the endpoint as well, whether it is alive or not.
		f.contested = true
		r.recordDomainAlive(now, late, f)
	}
	if late.RecordAlive(now) {
		r.service(late.Entry.Service).observed.RecordRecovery()
		r.options.Observer.Recovered(now, late)
		r.endSilence(now, r.service(late.Entry.Service), late, f)
	}
}

// takeOver adds a flow of which this host has no state, at the endpoint that the
// packet's token names: another host placed it, or it was removed here. It returns
// nil if it has dropped or rejected the packet.
func (r *Relay) takeOver(now time.Duration, s segment.Segment) *flow {
	if s.Token == 0 {
		r.drop(now, s.Flow, DropNoToken)
		return nil
	}
	e := r.endpoints[s.Token]
	if e == nil {
		r.drop(now, s.Flow, DropUnknownEndpoint)
		return nil
	}
	route := r.view.Route(s.Flow.Destination)
	if route == nil {
		r.noRoute(now, s)
		return nil
	}
	if !r.options.Disabled.ServiceCheck && !r.history.permits(now, route, e.Entry.Service) {
		r.drop(now, s.Flow, DropForeignService)
		return nil
	}
	f := r.newFlow(now, s.Flow)
	f.takenOver, f.startUnknown = true, true
	f.state = stateOpen
	f.service = r.service(e.Entry.Service)
	f.route, f.timeout, f.target = route.Name, route.Timeout, route.TargetLatency
	f.begin(s)
	f.attach(e)
	r.schedule(f, now+r.idleTimeout())
	r.reportHolder(now, f, s)
	r.stats.TakenOver++
	r.options.Observer.TakenOver(now, s.Flow, e.Entry)
	return f
}

// noRoute handles a packet of an unknown flow to an address without a route: it
// rejects packets with data. Resets are dropped, so that two hosts never answer
// each other.
func (r *Relay) noRoute(now time.Duration, s segment.Segment) {
	if s.DataBytes == 0 || s.Reset {
		r.drop(now, s.Flow, DropNoRoute)
		return
	}
	r.reject(now, Placement{Flow: s.Flow}, s.Acknowledgement, RejectRouteRemoved)
}

// completeHandshake handles the handshake ACK. Its token names the endpoint
// whose acceptance reached the caller first; without a valid token, the endpoint
// that was tried last keeps the flow.
func (r *Relay) completeHandshake(now time.Duration, f *flow, s segment.Segment) {
	winner := r.endpoints[s.Token]
	if winner == nil || winner.Entry.Service != f.service.name {
		winner = f.endpoint
	}
	if winner != f.endpoint {
		f.detach()
		f.attach(winner)
	}
	f.state = stateOpen
	f.count()
	f.acknowledged = s.Acknowledgement
	f.answerFrom, f.answerFromKnown = s.Acknowledgement, true
	took := now - f.sentAt
	if f.tries == 1 && winner == f.tried[0] && !r.lagging {
		r.handshakeTimeout.addSample(took)
		r.options.Observer.Accepted(took)
		f.recordSpillHandshake(took)
	}
	r.recordAlive(now, f)
	f.endpoint.Domain.RecordReached(f.sentTo(f.endpoint))
	r.recordFailovers(now, f)
	if f.tries > 1 || winner != f.tried[0] {
		r.announceHolder(now, f, nil)
	}
	if f.retransmissions > 0 {
		// An earlier copy of the SYN may be at another host.
		r.reportHolder(now, f, s)
	}
}

// recordFailovers records the failover at each endpoint whose handshake timeout
// expired and that does not hold the flow.
func (r *Relay) recordFailovers(now time.Duration, f *flow) {
	if r.options.Disabled.DeathDetection {
		return
	}
	for i, e := range f.tried[:min(f.timedOutTries, f.tries)] {
		if e == f.endpoint {
			continue
		}
		r.recordSilence(now, f, i)
		if i == 0 {
			e.RecordFailover(f.triedAt[i])
		}
		if e.UnansweredSYNs() > 0 {
			r.recordUnanswered(now, e, f.triedAt[i])
		}
		r.recordDomainUnanswered(now, e, f.triedAt[i])
	}
}

// recordAlive notes that the flow's endpoint has shown that it is alive.
func (r *Relay) recordAlive(now time.Duration, f *flow) {
	f.progressAt = now
	r.recordDomainAlive(now, f.endpoint, f)
	if f.endpoint.RecordAlive(now) {
		f.service.observed.RecordRecovery()
		r.options.Observer.Recovered(now, f.endpoint)
		r.endSilence(now, f.service, f.endpoint, f)
	}
}

// progress updates the flow from a packet: new data is a request, and a higher
// acknowledgement means that the endpoint has sent data. It reports whether the
// acknowledgement has advanced.
func (r *Relay) progress(now time.Duration, f *flow, s segment.Segment) bool {
	advanced := s.Ack && segment.After(s.Acknowledgement, f.acknowledged)
	if advanced {
		f.acknowledged = s.Acknowledgement
		r.recordAlive(now, f)
		if f.waiting {
			r.answered(now, f)
		}
	}
	if s.DataBytes > 0 && segment.After(s.End(), f.dataEnd) {
		if !f.waiting {
			r.checkAnswerSize(now, f)
			f.answerFrom, f.answerFromKnown = f.acknowledged, true
		}
		f.dataEnd = s.End()
		f.requestAt = now
		if !f.waiting {
			f.overdue, f.pastTarget = false, false
			f.setWaiting(true)
			r.schedule(f, min(f.due, now+f.service.observed.OverdueAfter(), now+f.valuable()))
		}
	}
	return advanced
}

// answered records the time to the first bytes of the waiting request's answer.
func (r *Relay) answered(now time.Duration, f *flow) {
	took := now - f.requestAt
	f.setWaiting(false)
	if f.startUnknown {
		f.startUnknown = false
		return
	}
	f.endpoint.Domain.RecordReached(f.requestAt)
	if !r.lagging {
		f.endpoint.RecordAnswer(now, took, &f.service.observed)
		f.answerTime = took
	}
	r.options.Observer.Answered(took)
}

// checkAnswerSize records whether the last answer was undersized. It is complete
// once the caller sends its next request or closes the flow.
func (r *Relay) checkAnswerSize(now time.Duration, f *flow) {
	if !f.answerFromKnown || f.overdue || f.acknowledged == f.answerFrom {
		return
	}
	f.recordSpillSize(f.acknowledged - f.answerFrom)
	small := r.sizesOf(f.key.Destination).RecordSize(f.acknowledged - f.answerFrom)
	r.recordOutcome(now, f, small)
	f.answerFromKnown = false
	if f.answerTime > 0 && !small {
		f.recordSpillAnswer(now)
		r.recordWindowAnswer(now, f)
	}
	f.answerTime = 0
}

// recordWindowAnswer records the time to an answer that is no error where the flow counts.
func (r *Relay) recordWindowAnswer(now time.Duration, f *flow) {
	if f.overflow != nil {
		// Late ones were recorded before.
		if !f.pastTarget {
			r.recordOverflowAnswer(now, f)
		}
		return
	}
	sv := f.service
	sv.window.RecordAnswer(now, f.answerTime, f.valuable(), sv.inFlight, r.fairLimit(now, sv))
}

// recordOutcome records whether a request of the flow failed.
func (r *Relay) recordOutcome(now time.Duration, f *flow, failed bool) {
	if failed && r.lagging {
		return
	}
	f.endpoint.RecordOutcome(now, failed, &f.service.observed)
	if failed {
		r.stats.Failed++
	}
	r.notifyFailing(now, f.endpoint)
}

// sizesOf returns the answer sizes of a route, created if necessary.
func (r *Relay) sizesOf(route catalog.Address) *balance.AnswerSizes {
	sizes := r.sizes[route]
	if sizes == nil {
		sizes = new(balance.AnswerSizes)
		r.sizes[route] = sizes
	}
	return sizes
}

// handleEnded handles a packet of an ended flow, such as a retransmitted FIN. If
// the host has reset the flow, it repeats the reset, which may have been lost.
func (r *Relay) handleEnded(now time.Duration, f *flow, s segment.Segment, frame []byte) {
	if f.resetSent && !s.Reset {
		r.options.Output.Reset(f.key, s.Acknowledgement)
		return
	}
	r.forward(f.endpoint.Entry, frame)
}

// resetIfUseless resets a flow, on a packet with data, if its endpoint is
// considered dead, its failure domain unreachable, or its route was removed, and reports whether it did. Packets
// without data are still forwarded on a removed route, so that answers in progress
// are completed.
func (r *Relay) resetIfUseless(now time.Duration, f *flow, progress bool) bool {
	switch {
	case f.state == stateEnded:
		// Its data, sent again, has shown that its endpoint or failure domain is gone.
		return true
	case !progress && r.endpointDead(f):
		r.resetFlow(now, f, RejectDeadEndpoint)
		return true
	case !progress && r.isUnreachable(now, f):
		r.resetFlow(now, f, RejectUnreachableDomain)
		return true
	case r.view.Route(f.key.Destination) == nil:
		r.resetFlow(now, f, RejectRouteRemoved)
		return true
	}
	return false
}

// resetFlow resets an open flow and keeps it for late packets.
func (r *Relay) resetFlow(now time.Duration, f *flow, reason Rejection) {
	p := r.placement(f.key, f.route, f.service.name)
	p.Endpoint = f.endpoint.Entry
	p.Waited, p.RequestWaited = now-f.startedAt, now-f.requestAt
	p.Choice = balance.Choice{Endpoint: f.endpoint}
	r.reject(now, p, f.acknowledged, reason)
	f.resetSent = true
	f.markEnded(now)
	r.schedule(f, now+endedRetention)
}

// closeFlow ends a flow that its caller has closed. A request that waited for
// longer than the route's target counts as abandoned.
func (r *Relay) closeFlow(now time.Duration, f *flow, s segment.Segment) {
	cause := "fin"
	if s.Reset {
		cause = "reset"
	}
	if s.Fin && !f.waiting {
		r.checkAnswerSize(now, f)
	}
	r.options.Observer.Ended(now, r.ending(now, f, cause))
	if f.waiting && now-f.requestAt > f.target {
		r.recordAbandoned(now, f)
	}
	f.markEnded(now)
	r.schedule(f, now+endedRetention)
}

func (r *Relay) ending(now time.Duration, f *flow, cause string) Ending {
	return Ending{
		Flow:     f.key,
		Route:    f.route,
		Endpoint: f.endpoint.Entry,
		Lasted:   now - f.startedAt,
		Answered: !f.waiting,
		Cause:    cause,
	}
}
