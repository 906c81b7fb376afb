package relay

import "time"

// defaultIdleTimeout is used if the configuration sets none.
const defaultIdleTimeout = 15 * time.Second

// idleTimeout returns how long a flow may be idle before it is removed.
func (r *Relay) idleTimeout() time.Duration {
	if r.view.Configuration.IdleTimeout > 0 {
		return r.view.Configuration.IdleTimeout
	}
	return defaultIdleTimeout
}

// NextDue returns when Tick must run next; ok is false if no timer is set.
func (r *Relay) NextDue() (due time.Duration, ok bool) {
	if len(r.timers) == 0 {
		return 0, false
	}
	return r.timers[0].due, true
}

// Tick handles the timers that are due. Call it only after all packets received
// so far were passed to Packet: a handshake ACK may be among them.
func (r *Relay) Tick(now time.Duration) {
	for len(r.timers) > 0 && r.timers[0].due <= now {
		f := r.timers[0]
		switch f.state {
		case stateOpening:
			r.handleHandshakeTimeout(now, f)
		case stateOpen:
			r.reviewOpenFlow(now, f)
		case stateEnded:
			r.removeFlow(f)
		case stateHeld:
			r.handleHoldTimeout(now, f)
		}
	}
	r.releaseHeld(now)
}

// handleHandshakeTimeout records that a SYN is unanswered and fails over to
// another endpoint.
func (r *Relay) handleHandshakeTimeout(now time.Duration, f *flow) {
	if f.lastTryTimedOut() {
		r.awaitLateHandshake(now, f)
		return
	}
	if now-f.startedAt >= openTimeout {
		// The timer is late: this host was paused. The caller has given up.
		r.removeFlow(f)
		return
	}
	if r.openElsewhere(now, f) {
		return
	}
	r.recordUnansweredSYN(now, f)
	f.timedOutTries = f.tries
	f.count()
	r.schedule(f, now+r.handshakeTimeout.current())
	if f.synLength > 0 && f.tries < maxTries && !r.leaving {
		r.failOver(now, f, 0, f.synFrame[:f.synLength])
	}
}

// awaitLateHandshake keeps a flow whose SYN is not sent again unless the caller retransmits
// it: for a late handshake ACK until endedRetention after the caller's timeout, and, if several
// endpoints have got the SYN, for the report of another host as long as they may repeat their
// SYN+ACKs.
func (r *Relay) awaitLateHandshake(now time.Duration, f *flow) {
	gone := f.startedAt + f.timeout
	until := gone + endedRetention
	if f.tries > 1 {
		until = max(until, f.startedAt+acceptanceRepeats)
	}
	switch {
	case now >= until:
		r.removeFlow(f)
	case now >= gone:
		f.setWaiting(false)
		r.schedule(f, until)
	default:
		r.schedule(f, gone)
	}
}

// recordUnansweredSYN attributes a missing handshake ACK to endpoints. Only the
// first endpoint becomes suspect, not the next ones: if the first one refused the
// flow, its reset went to the caller, which has gone by the time the next endpoint
// gets the SYN. If maxTries endpoints were tried without a handshake ACK, the
// request counts as failed at the first one, unless that one was alive for other
// callers since: then the caller had gone before.
func (r *Relay) recordUnansweredSYN(now time.Duration, f *flow) {
	r.recordSpillUnanswered(now, f)
	if f.tries == 1 {
		f.endpoint.RecordUnansweredSYN(now, f.sentAt, &f.service.observed)
		r.options.Observer.Suspected(now, f.key, f.endpoint, now-f.sentAt)
		return
	}
	if f.tries == maxTries {
		if first := f.tried[0]; !first.AliveSince(f.triedAt[0]) {
			first.RecordOutcome(now, true, &f.service.observed)
			r.stats.Failed++
			r.notifyFailing(now, first)
		}
		// The caller has most likely gone; a later packet sets waiting again.
		f.setWaiting(false)
	}
}

// recordAbandoned records that a request was abandoned. It counts as failed unless
// it was counted when it became overdue, or began before the host saw the flow.
func (r *Relay) recordAbandoned(now time.Duration, f *flow) {
	r.stats.AbandonedRequests++
	if !f.startUnknown {
		f.endpoint.RecordTimeout(now, now-f.requestAt)
	}
	if !f.startUnknown && !f.overdue {
		r.recordOutcome(now, f, true)
	}
	f.setWaiting(false)
}

// reviewOpenFlow handles the timeouts of an open flow and reschedules it.
func (r *Relay) reviewOpenFlow(now time.Duration, f *flow) {
	if f.waiting && now >= f.requestAt+f.timeout {
		// The caller has given up; the endpoint's slot is probably free.
		r.recordAbandoned(now, f)
	}
	overdueAt := f.requestAt + f.service.observed.OverdueAfter()
	if f.waiting && !f.startUnknown && !f.overdue && now >= overdueAt {
		r.recordSpillLate(now, f)
		f.overdue = true
		f.count()
		r.recordOutcome(now, f, true)
	}
	if f.waiting && !f.pastTarget && now >= f.requestAt+f.valuable() {
		r.recordSpillLate(now, f)
		f.pastTarget = true
		f.count()
	}
	if f.acceptance.pending() && now >= f.acceptance.due {
		r.sendHolder(now, f)
	}
	idleAt := f.lastSeen + r.idleTimeout()
	if now >= idleAt || now >= f.startedAt+r.options.FlowLifetime {
		r.options.Observer.Ended(now, r.ending(now, f, "idle"))
		r.removeFlow(f)
		return
	}
	next := idleAt
	switch {
	case f.waiting && (f.overdue || f.startUnknown):
		next = min(next, f.requestAt+f.timeout)
	case f.waiting:
		next = min(next, f.requestAt+f.timeout, overdueAt)
	}
	if f.waiting && !f.pastTarget {
		next = min(next, f.requestAt+f.valuable())
	}
	if f.acceptance.pending() {
		next = min(next, f.acceptance.due)
	}
	r.schedule(f, max(next, now+time.Millisecond))
}
