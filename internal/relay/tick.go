package relay

import (
	"time"

	"toucangap/internal/balance"
)

// idleWithoutLimit is used while the configuration gives no limit.
const idleWithoutLimit = 15 * time.Second

// idle returns how long a flow may be silent before it is forgotten.
func (r *Relay) idle() time.Duration {
	if r.view.Configuration.IdleTimeout > 0 {
		return r.view.Configuration.IdleTimeout
	}
	return idleWithoutLimit
}

// NextDue returns when Tick has something to do; ok is false if never.
func (r *Relay) NextDue() (due time.Duration, ok bool) {
	if len(r.timers) == 0 {
		return 0, false
	}
	return r.timers[0].due, true
}

// Tick does what is due. Call it only when all packets that have arrived were
// taken: a reaction may be among them.
func (r *Relay) Tick(now time.Duration) {
	for len(r.timers) > 0 && r.timers[0].due <= now {
		f := r.timers[0]
		switch f.state {
		case stateOpening:
			r.unanswered(now, f)
		case stateOpen:
			r.review(now, f)
		case stateEnded:
			r.forget(f)
		}
	}
}

// unanswered takes note that a first packet had no reaction in time and sends
// it to another endpoint.
func (r *Relay) unanswered(now time.Duration, f *flow) {
	if f.lastTry() {
		r.schedule(f, f.begun+f.timeout+endedFor)
		if now >= f.begun+f.timeout {
			r.forget(f)
		}
		return
	}
	r.blame(now, f)
	f.judged = f.tries
	r.schedule(f, now+r.patience.wait())
	if f.firstLength > 0 && f.tries < maxTries {
		r.sendOn(now, f, 0, f.firstPacket[:f.firstLength])
	}
}

// blame takes what the missing reaction to a first packet says of endpoints. The
// first one may have refused the flow: its reset goes to the caller, which is
// not there any more when the packet reaches the next one. So that one is not
// to blame; and if nobody has reacted in the end, the first one has failed the
// caller's request, unless it has reacted to others meanwhile: then the caller
// had gone before.
func (r *Relay) blame(now time.Duration, f *flow) {
	if f.tries == 1 {
		f.endpoint.Silent(now, f.sentAt)
		r.options.Observer.Suspected(now, f.key, f.endpoint, now-f.sentAt)
		return
	}
	if f.tries == maxTries {
		if first := f.tried[0]; !first.AliveSince(f.triedAt[0]) {
			first.Judged(now, true, &f.service.seen)
			r.stats.Failed++
			r.noteTurn(now, first)
		}
		// The caller has most likely gone; a later packet of it counts again.
		f.setWaiting(false)
	}
}

// endFlowsOf resets the flows that wait for an endpoint held for dead.
func (r *Relay) endFlowsOf(now time.Duration, e *balance.Endpoint) {
	if e.Busy == 0 {
		return
	}
	for _, f := range r.flows {
		if f.endpoint == e && f.state == stateOpen && f.waiting && e.DeadSince(f.progressAt) {
			r.endDead(now, f)
		}
	}
}

// abandoned takes note that a caller has given up waiting for an answer.
func (r *Relay) abandoned(now time.Duration, f *flow) {
	r.stats.Unanswered++
	if !f.midst {
		f.endpoint.Unanswered(now, now-f.requestAt)
	}
	if !f.midst && !f.overdue {
		r.judged(now, f, true)
	}
	f.setWaiting(false)
}

// review looks at an open flow after its last due time.
func (r *Relay) review(now time.Duration, f *flow) {
	if f.waiting && now >= f.requestAt+f.timeout {
		// The caller has given up; the endpoint's slot may well be free.
		r.abandoned(now, f)
	}
	overdueAt := f.requestAt + f.service.seen.Overdue()
	if f.waiting && !f.midst && !f.overdue && now >= overdueAt {
		f.overdue = true
		r.judged(now, f, true)
	}
	idleAt := f.lastSeen + r.idle()
	if now >= idleAt || now >= f.begun+r.options.FlowLifetime {
		r.options.Observer.Ended(now, r.ending(now, f, "idle"))
		r.forget(f)
		return
	}
	next := idleAt
	switch {
	case f.waiting && (f.overdue || f.midst):
		next = min(next, f.requestAt+f.timeout)
	case f.waiting:
		next = min(next, f.requestAt+f.timeout, overdueAt)
	}
	r.schedule(f, max(next, now+time.Millisecond))
}
