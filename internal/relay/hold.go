package relay

import (
	"slices"
	"time"

	"toucangap/internal/balance"
	"toucangap/internal/catalog"
)

const (
	// openTimeout is how long a caller waits for the acceptance of its first SYN.
	openTimeout = 1400 * time.Millisecond
	// openMargin is the part of it that is left for opening the flow.
	openMargin = 150 * time.Millisecond
	// slotAllowance is the number of requests for each slot: hosts do not know of
	// each other's requests, so that some endpoints have more of them than others.
	slotAllowance = 1.4
	// unknownRoundTrip is the ratio of the answer time to a round trip that is assumed
	// until both were measured.
	unknownRoundTrip = 3.0
	// lateShare is the number of releases of which one goes to a request that is late
	// already, while others can still be answered within their targets.
	lateShare = 3
	// maxHeld limits the flows that a service's queue holds.
	maxHeld = 512
	// copyDelay is how late a copy of a SYN may come.
	copyDelay = 50 * time.Millisecond
)

// synTimes are when callers send the copies of a SYN, counted from the first.
var synTimes = [...]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// sinceFirstSYN returns how long before the n-th retransmission, counted from 0 for
// the first SYN, a caller sent its first SYN.
func sinceFirstSYN(n uint32) time.Duration { return synTimes[min(int(n), len(synTimes)-1)] }

// moved reports whether a copy of a held flow's SYN is missing that its caller should have
// sent by now: routers have moved the flow to another host, which may have forwarded it,
// or it is open. This host must then neither forward nor reset it.
func (f *flow) moved(now time.Duration) bool {
	next := int(f.retransmissions) + 1
	return next < len(synTimes) && now > f.waiter.Since+synTimes[next]+copyDelay
}

// hosts returns the number of hosts that share the endpoints.
func (r *Relay) hosts() int {
	if r.options.Hosts == nil {
		return 1
	}
	return max(1, r.options.Hosts())
}

// slotShare returns the host's share of a service's slots. With spillover, the window is
// that of the host's own domain: flows to other domains do not count in it.
func (r *Relay) slotShare(now time.Duration, sv *service) float64 {
	slots, hosts := r.sharedSlots(now, sv)
	return float64(slots) / float64(hosts)
}

// sharedSlots returns the slots that the window is about, and the number of hosts that
// share them.
func (r *Relay) sharedSlots(now time.Duration, sv *service) (slots, hosts int) {
	if !r.spills(sv) || r.options.HomeHosts == nil {
		return r.warmSlots(now, sv, sv.candidates), r.hosts()
	}
	return r.warmSlots(now, sv, sv.spill.home), max(1, r.options.HomeHosts())
}

// fairLimit returns how many requests of a service the host may always let wait for
// answers: its share of the slots, with as many waiting requests as keep them in use.
// The margin for random variation and slotAllowance are not added up: both answer that
// requests are spread at random, one over the hosts, the other over the endpoints. A
// request takes no slot during the round trips of its handshake and its answer.
func (r *Relay) fairLimit(now time.Duration, sv *service) float64 {
	answer := float64(sv.observed.UsualAnswerTime())
	roundTrip := answer / unknownRoundTrip
	if r.handshakeTimeout.roundTrip() > 0 && sv.observed.Measured() {
		roundTrip = min(float64(r.handshakeTimeout.roundTrip()), answer/2)
	}
	slots, hosts := r.sharedSlots(now, sv)
	share := float64(slots) / float64(hosts)
	limit := max(share*slotAllowance, balance.LimitWithMargin(share, hosts))
	return limit * (answer + roundTrip) / (answer - roundTrip)
}

// mustWait reports whether a new flow of the service has to wait at this host.
func (r *Relay) mustWait(now time.Duration, sv *service) bool {
	if r.holdsNothing() {
		return false
	}
	return len(sv.held) > 0 || sv.window.Full(now, sv.inFlight, r.fairLimit(now, sv))
}

// holdsNothing reports whether flows are forwarded or rejected without a wait.
func (r *Relay) holdsNothing() bool { return r.options.Disabled.Holding || r.draining || r.lagging }

// hold lets a flow wait until there is room at the endpoints. If the flow that is last
// in the order can't be forwarded before its caller's attempt ends, that one is
// rejected at once.
func (r *Relay) hold(now time.Duration, f *flow, route *catalog.Route) {
	f.state = stateHeld
	f.waiter = f.newWaiter(now, route)
	sv := f.service
	sv.held = append(sv.held, f)
	r.heldFlows++
	r.stats.Held++
	r.addToShares(f, route)
	r.schedule(f, f.waiter.Until)
	if last := r.surplus(now, sv); last != nil {
		r.rejectHeld(now, last)
	}
	r.releaseHeld(now)
}

// newWaiter returns the place of a flow that begins to wait.
func (f *flow) newWaiter(now time.Duration, route *catalog.Route) balance.Waiter {
	since := now - sinceFirstSYN(f.retransmissions)
	return balance.Waiter{
		Since: since, Target: f.valuable(), Priority: route.Priority,
		Until: min(since+openTimeout-openMargin, since+f.timeout-f.service.observed.UsualAnswerTime()),
	}
}

// surplus returns the last held flow in the order if it can't be forwarded before its
// caller's attempt ends, or nil.
func (r *Relay) surplus(now time.Duration, sv *service) *flow {
	last := sv.held[sv.last(now)]
	if len(sv.held) > maxHeld || now+r.queueTime(now, sv) > last.waiter.Until {
		return last
	}
	return nil
}

// queueTime returns the expected time until all held flows of a service have been
// forwarded: by Little's law, as many as may wait for answers in each answer time.
// Until answers have been seen, it counts the slots and what waits for them.
func (r *Relay) queueTime(now time.Duration, sv *service) time.Duration {
	ahead, atOnce := float64(len(sv.held)), sv.window.Limit(r.fairLimit(now, sv))
	if !sv.observed.Measured() {
		atOnce = r.slotShare(now, sv)
		ahead += max(0, float64(sv.inFlight)-atOnce)
	}
	atOnce += r.overflowLimit(now, sv)
	return time.Duration(ahead * float64(sv.observed.UsualAnswerTime()) / atOnce)
}

// next returns the position of the flow to forward next: the first in the order or, once
// in lateShare releases, the first of those that are late. With shares, it is a flow of the
// route that is released next.
func (sv *service) next(now time.Duration) int {
	takes := sv.observed.UsualAnswerTime()
	route, releases := sv.nextRoute()
	lateFirst := releases%lateShare == lateShare-1
	return sv.extreme(route, func(a, b *flow) bool {
		if in := a.waiter.InTarget(now, takes); lateFirst && in != b.waiter.InTarget(now, takes) {
			return !in
		}
		return a.waiter.Before(&b.waiter, now, takes)
	})
}

// last returns the position of the last flow in the order. With shares, it is a flow of the
// route that is furthest above its share.
func (sv *service) last(now time.Duration) int {
	return sv.extreme(sv.routeAboveShare(), func(a, b *flow) bool {
		return b.waiter.Before(&a.waiter, now, sv.observed.UsualAnswerTime())
	})
}

// extreme returns the position of the held flow that precedes all others, of one route or
// of allRoutes.
func (sv *service) extreme(route int, precedes func(a, b *flow) bool) int {
	best := -1
	for i, f := range sv.held {
		if (route == allRoutes || f.slot == route) && (best < 0 || precedes(f, sv.held[best])) {
			best = i
		}
	}
	return best
}

func (r *Relay) removeHeld(f *flow) {
	sv := f.service
	if i := slices.Index(sv.held, f); i >= 0 {
		sv.held = slices.Delete(sv.held, i, i+1)
		r.heldFlows--
		sv.removeFromShares(f)
	}
}

// releaseHeld forwards held flows while there is room at the endpoints.
func (r *Relay) releaseHeld(now time.Duration) {
	if r.heldFlows == 0 {
		return
	}
	for _, sv := range r.services {
		for len(sv.held) > 0 {
			var elsewhere *overflow
			if !r.draining && !r.lagging && sv.window.Full(now, sv.inFlight, r.fairLimit(now, sv)) {
				if elsewhere = r.overflowWithRoom(now, sv); elsewhere == nil {
					break
				}
			}
			f := sv.held[sv.next(now)]
			f.overflow = elsewhere
			sv.releases++
			if now >= f.waiter.Until {
				// This host was paused, or its timers are late.
				r.rejectHeld(now, f)
				continue
			}
			r.release(now, f)
		}
	}
}

// release forwards a held flow under the present configuration.
func (r *Relay) release(now time.Duration, f *flow) {
	if f.moved(now) {
		r.dropMoved(now, f)
		return
	}
	held, slot := f.service, f.slot
	r.removeHeld(f)
	route := r.view.Route(f.key.Destination)
	if former := f.service; route != nil {
		if f.service = r.serviceFor(route, f.key.Hash()); f.service != former {
			f.overflow = nil
		}
	}
	if route == nil || len(f.service.candidates) == 0 {
		reason := RejectNoEndpoint
		if route == nil {
			reason = RejectNoRoute
		}
		r.rejectFlow(now, f, reason)
		return
	}
	counts, placed := f.counts, r.stats.Placed
	r.open(now, f, route, f.synFrame[:f.synLength])
	released := r.stats.Placed > placed
	counts.addOutcome(released)
	if released {
		held.chargeRelease(slot)
	}
}

// handleHoldTimeout rejects a held flow whose caller's attempt is about to end: the
// caller learns at once that its request has not run.
func (r *Relay) handleHoldTimeout(now time.Duration, f *flow) { r.rejectHeld(now, f) }

func (r *Relay) rejectHeld(now time.Duration, f *flow) {
	if f.moved(now) {
		r.dropMoved(now, f)
		return
	}
	r.removeHeld(f)
	r.rejectFlow(now, f, RejectOverload)
}

// dropMoved forgets a held flow. If its caller sends another copy here after all, that
// one is handled like a first.
func (r *Relay) dropMoved(now time.Duration, f *flow) {
	r.removeFlow(f)
	r.drop(now, f.key, DropMoved)
}

// rejectFlow removes a flow that was never forwarded and resets it.
func (r *Relay) rejectFlow(now time.Duration, f *flow, reason Rejection) {
	p := r.placement(f.key, f.route, f.service.name)
	p.Retransmissions, p.Waited = f.retransmissions, now-f.startedAt
	f.counts.addOutcome(false)
	f.state = stateOpening
	r.removeFlow(f)
	r.reject(now, p, 0, reason)
}

// StopHolding forwards all held flows; later ones are not held. It is called before
// the host exits.
func (r *Relay) StopHolding(now time.Duration) {
	r.draining = true
	r.releaseHeld(now)
}
