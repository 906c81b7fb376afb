package relay

import (
	"slices"
	"time"

	"toucangap/internal/backlog"
	"toucangap/internal/balance"
	"toucangap/internal/catalog"
)

const (
	// openTimeout is how long a caller waits for the acceptance of its first SYN.
	openTimeout = backlog.AttemptTimeout
	// openMargin is the part of it that is left for opening the flow.
	openMargin = 150 * time.Millisecond
	// slotAllowance is the number of requests for each slot: hosts do not know of
	// each other's requests, so that some endpoints have more of them than others.
	slotAllowance = 1.4
	// unknownRoundTrip is the ratio of the answer time to a round trip that is assumed
	// until both were measured.
	unknownRoundTrip = 3.0
	// surplusDoubt is how much faster than expected held flows may be forwarded. A flow is
	// rejected only if it can't be forwarded in time even then, since its caller has few
	// attempts.
	surplusDoubt = 2
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

// hold lets a flow wait until there is room at the endpoints; package backlog decides
// which one is forwarded next. If not all held flows can be forwarded before their callers'
// attempts end, one is rejected at once.
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
func (f *flow) newWaiter(now time.Duration, route *catalog.Route) backlog.Request {
	since := now - sinceFirstSYN(f.retransmissions)
	return backlog.Request{
		Since: since, Target: f.valuable(), Timeout: f.timeout, Priority: route.Priority,
		Until: min(since+openTimeout-openMargin, since+f.timeout-f.service.observed.UsualAnswerTime()),
	}
}

// surplus returns a held flow that can't be forwarded before its caller's attempt ends, or
// nil. With shares, it is one of the route that is furthest above its share.
func (r *Relay) surplus(now time.Duration, sv *service) *flow {
	all, found := sv.order.Surplus(r.surplusPace(now, sv), maxHeld, len(sv.held), sv.waiter)
	if !found {
		return nil
	}
	route := sv.routeAboveShare()
	if route == allRoutes {
		return sv.held[all]
	}
	sv.selectRoute(route)
	return sv.held[sv.eligible[sv.order.LeastUrgent(len(sv.eligible), sv.eligibleWaiter)]]
}

// pace returns how fast the held flows of a service are forwarded.
func (r *Relay) pace(now time.Duration, sv *service) backlog.Pace {
	return backlog.Pace{
		Now: now, Takes: sv.observed.UsualAnswerTime(),
		Interval: sv.released.Interval(r.slotInterval(now, sv)), LostUntil: r.losses.Until(),
	}
}

// slotInterval returns the time between two answers of the host's share of the slots, if
// all of them are in use and requests take as long as without congestion.
func (r *Relay) slotInterval(now time.Duration, sv *service) time.Duration {
	return time.Duration(float64(sv.window.Uncongested(sv.observed.UsualAnswerTime())) / r.slotShare(now, sv))
}

// surplusPace returns the fastest pace that can be expected. Until answers have been seen,
// the assumed time to answer is short already, and what is at the endpoints has to be
// answered first.
func (r *Relay) surplusPace(now time.Duration, sv *service) backlog.Pace {
	p := r.pace(now, sv)
	p.Interval = min(p.Interval, r.slotInterval(now, sv))
	if sv.observed.Measured() {
		p.Interval /= surplusDoubt
		return p
	}
	p.Now += time.Duration(max(0, float64(sv.inFlight)-r.slotShare(now, sv)) * float64(p.Interval))
	return p
}

// next returns the position of the flow to forward next, and why it is that one. With
// shares, it is a flow of the route that is released next.
func (r *Relay) next(now time.Duration, sv *service) (int, backlog.Class) {
	sv.selectRoute(sv.nextRoute())
	i, class := sv.order.Next(r.pace(now, sv), len(sv.eligible), sv.eligibleWaiter)
	return sv.eligible[i], class
}

// selectRoute sets the eligible flows: the held ones of one route or of allRoutes.
func (sv *service) selectRoute(route int) {
	sv.eligible = sv.eligible[:0]
	for i, f := range sv.held {
		if route == allRoutes || f.slot == route {
			sv.eligible = append(sv.eligible, i)
		}
	}
}

func (sv *service) waiter(i int) *backlog.Request { return &sv.held[i].waiter }

func (sv *service) eligibleWaiter(i int) *backlog.Request { return &sv.held[sv.eligible[i]].waiter }

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
			i, class := r.next(now, sv)
			f := sv.held[i]
			f.overflow, f.class = elsewhere, class
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
	if f.moved(now) || r.openAtOther(now, f.key, f.sequence) {
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
		held.released.Record(now, r.slotInterval(now, held), len(held.held) > 0)
	}
}

// handleHoldTimeout rejects a held flow whose caller's attempt is about to end: the
// caller learns at once that its request has not run.
func (r *Relay) handleHoldTimeout(now time.Duration, f *flow) { r.rejectHeld(now, f) }

func (r *Relay) rejectHeld(now time.Duration, f *flow) {
	if f.moved(now) || r.openAtOther(now, f.key, f.sequence) {
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

// LeaveRotation is called when the host tells routers to move its flows to other hosts. A
// missing handshake ACK may have reached one of them, so that SYNs fail over only with a
// further copy from their caller.
func (r *Relay) LeaveRotation() { r.leaving = true }

// StopHolding forwards all held flows; later ones are not held. It is called before
// the host exits.
func (r *Relay) StopHolding(now time.Duration) {
	r.draining = true
	r.releaseHeld(now)
}
