package steer

import (
	"time"

	"toucangap/internal/config"
	"toucangap/internal/flow"
)

// defaultServiceTime is assumed for an endpoint without a measured one.
const defaultServiceTime = 20 * time.Millisecond

// handleRequest decides on a packet that carries a request.
func (s *Shard) handleRequest(c *packetContext, e *entry) Verdict {
	key := requestKey{c.fp, c.packet.CoAP.Token}
	r := s.requests.get(key)
	if r != nil && r.message.MessageID == c.packet.CoAP.MessageID {
		return s.handleRetransmission(c, e, r)
	}
	if v, blocked := s.blockedByLease(c); blocked {
		return v
	}
	if r != nil && r.state == requestOpen {
		s.finishOpen(c.now, r, requestUnknown)
	}
	if e.ended != ReasonNone {
		return s.requestOnEndedFlow(c, e)
	}
	if !s.safeToAdmit(c, e) {
		s.forgetIfDraining(c, e)
		return dropPacket(ReasonUnconfirmed)
	}
	if reason, wait := s.checkAdmission(c, e); reason != ReasonNone && s.mayRefuse(c, e) {
		return s.refuse(c, reason, wait)
	}
	return s.admit(c, e, key)
}

// handleRetransmission gives a retransmitted request the outcome that it had
// before: the same final reply, or forwarding to the same endpoint.
func (s *Shard) handleRetransmission(c *packetContext, e *entry, r *request) Verdict {
	switch r.state {
	case requestNotRun:
		return Verdict{Action: ActionReply, Reply: ReplyNotRun, Reason: ReasonFinal, RetryAfter: r.retryAfter}
	case requestUnknown:
		return Verdict{Action: ActionReply, Reply: ReplyOutcomeUnknown, Reason: ReasonFinal}
	}
	if e.ended != ReasonNone {
		return s.abandon(c.now, r, e.ended)
	}
	s.noteSent(c, e)
	return Verdict{Action: ActionForward, Endpoint: r.endpoint.Config().Address}
}

// forgetIfDraining removes a flow that the current packet assigned to a draining
// endpoint: nothing has been forwarded, and when the caller retransmits the
// packet it is known whether the flow is new.
func (s *Shard) forgetIfDraining(c *packetContext, e *entry) {
	if e.since == c.now && e.endpoint.Life() == LifeDraining {
		s.removeEntry(e)
	}
}

// safeToAdmit reports whether a request may be admitted without the risk that
// another host sends a retransmission of it to another endpoint. Idempotent
// requests always may. A request that must wait is retransmitted by the caller.
func (s *Shard) safeToAdmit(c *packetContext, e *entry) bool {
	if !isNonIdempotent(c.packet) {
		return true
	}
	if s.shared.fenced(c.now) || !e.has(flagKnown) && c.rank.missing > 1 {
		return false
	}
	if e.has(flagContested) || e.has(flagPossiblyOlder) && s.defaultRecentlyDrained(c, c.view.Baseline) {
		return false
	}
	if !e.has(flagException) {
		return true
	}
	if e.has(flagConfirmed) || c.rank.successor == nil {
		return true
	}
	if c.isOwner {
		s.queueUrgentRecord(c.rank.successor.Index, e)
	}
	return false
}

// abandon ends a request that has been forwarded and tells the caller that its
// outcome is unknown.
func (s *Shard) abandon(now Time, r *request, reason Reason) Verdict {
	if r.state == requestOpen {
		s.finishOpen(now, r, requestUnknown)
	} else {
		r.state = requestUnknown
	}
	s.Counts.OutcomeUnknown++
	return Verdict{Action: ActionReply, Reply: ReplyOutcomeUnknown, Reason: reason}
}

// blockedByLease reports whether a request must wait until the lease that this
// host has granted to the flow's former owner has expired, and twice
// MaxPacketDelay has passed since. It is dropped, and the caller retransmits it.
func (s *Shard) blockedByLease(c *packetContext) (Verdict, bool) {
	if c.rank.leaseUntil == 0 || c.now >= c.rank.leaseUntil+2*MaxPacketDelay {
		return Verdict{}, false
	}
	return dropPacket(ReasonOwnerLease), true
}

// requestOnEndedFlow replies to a new request on a flow that this host has ended:
// the request was not run if that can be proven, else its outcome is unknown.
func (s *Shard) requestOnEndedFlow(c *packetContext, e *entry) Verdict {
	if s.mayRefuse(c, e) {
		return s.refuse(c, e.ended, minRetryAfter)
	}
	return Verdict{Action: ActionReply, Reply: ReplyOutcomeUnknown, Reason: e.ended}
}

// mayRefuse reports whether this host can prove that no packet of a new
// request was admitted anywhere: it is the owner and will stay so when the
// joining host becomes one, it holds the peers' leases, and has held them since
// the flow began or for as long as a request may be retransmitted.
func (s *Shard) mayRefuse(c *packetContext, e *entry) bool {
	if !c.isOwner || c.packet.Hop == HopToFormer || c.rank.joining != nil && s.outrankedByJoining(c) {
		return false
	}
	if !s.shared.holdsLease(c.now) {
		return false
	}
	held := s.shared.leaseHeldSince()
	if e.has(flagFresh) && e.since >= held {
		return true
	}
	return c.now-max(e.since, held) >= RetransmitWindow
}

// outrankedByJoining reports whether a joining host will own the flow.
func (s *Shard) outrankedByJoining(c *packetContext) bool {
	return flow.Score(c.fp, c.rank.joining.Hash) > flow.Score(c.fp, c.view.Self.Hash)
}

// checkAdmission returns why a request should be refused, if so, and after what
// time the caller may retry.
func (s *Shard) checkAdmission(c *packetContext, e *entry) (Reason, Time) {
	wait, busy := expectedWait(e.endpoint)
	if c.now+wait+serviceTime(e.endpoint) > c.now+s.requestTimeout(c) {
		return ReasonDeadline, retryAfter(wait, s.retryJitter(c))
	}
	if busy {
		return ReasonOverload, retryAfter(wait, s.retryJitter(c))
	}
	if !s.bucket.take(c.now, c.view.Bundle.Limits.RequestsPerSecond, c.table.Service.Class) {
		return ReasonOverload, retryAfter(0, s.retryJitter(c))
	}
	return ReasonNone, 0
}

// requestTimeout returns how long the caller waits for the answer.
func (s *Shard) requestTimeout(c *packetContext) Time {
	service := c.table.Service
	asked := c.packet.CoAP.Deadline
	if asked <= 0 {
		return service.DefaultDeadline
	}
	if service.MaxDeadline > 0 {
		return min(asked, service.MaxDeadline)
	}
	return asked
}

// expectedWait estimates how long a new request waits for a slot at an
// endpoint, and reports whether the endpoint's queue is full.
func expectedWait(e *Endpoint) (Time, bool) {
	slots := max(1, e.Config().Slots)
	open := int(e.requests())
	if open < slots {
		return 0, false
	}
	wait := serviceTime(e) * Time(open-slots+1) / Time(slots)
	return wait, open >= slots*queueFactor
}

func serviceTime(e *Endpoint) Time {
	if st := e.ServiceTime(); st > 0 {
		return st
	}
	return defaultServiceTime
}

// retryAfter bounds the retry delay and adds jitter.
func retryAfter(wait, jitter Time) Time {
	return min(max(wait, minRetryAfter)+jitter, maxRetryAfter)
}

// retryJitterSteps is the number of retry jitter values, 1 s apart.
const retryJitterSteps = 4

// retryJitter returns whole seconds that depend on the request alone.
func (s *Shard) retryJitter(c *packetContext) Time {
	h := flow.Score(c.fp, flow.NodeHash(c.packet.CoAP.MessageID))
	return Time(h%retryJitterSteps) * time.Second
}

// refuse tells the caller that its request was not run, and stores this outcome.
func (s *Shard) refuse(c *packetContext, reason Reason, after Time) Verdict {
	r := &request{
		key:        requestKey{c.fp, c.packet.CoAP.Token},
		flow:       c.packet.Key,
		message:    c.packet.CoAP,
		retryAfter: after,
	}
	s.requests.addFinished(c.now, r, requestNotRun)
	s.Counts.Refused++
	return Verdict{Action: ActionReply, Reply: ReplyNotRun, Reason: reason, RetryAfter: after}
}

// admit forwards a request and tracks it until its answer or deadline.
func (s *Shard) admit(c *packetContext, e *entry, key requestKey) Verdict {
	s.requests.add(&request{
		key:      key,
		flow:     c.packet.Key,
		message:  c.packet.CoAP,
		endpoint: e.endpoint,
		admitted: c.now,
		ahead:    int(e.endpoint.requests()),
		deadline: c.now + s.requestTimeout(c),
	})
	e.requests++
	e.endpoint.Load.Requests.Add(1)
	s.Counts.Admitted++
	s.noteSent(c, e)
	return Verdict{Action: ActionForward, Endpoint: e.endpoint.Config().Address}
}

// finishOpen ends an open request and updates the request counts.
func (s *Shard) finishOpen(now Time, r *request, state requestState) {
	s.requests.finish(now, r, state)
	r.endpoint.Load.Requests.Add(-1)
	if e := s.flows.get(r.key.fp); e != nil && e.requests > 0 {
		e.requests--
	}
}

// codeServiceUnavailable is the CoAP code 5.03.
const codeServiceUnavailable = 5<<5 | 3

// handleCoAPAnswer decides on an endpoint's answer.
func (s *Shard) handleCoAPAnswer(c *packetContext, e *entry) Verdict {
	r := s.requests.get(requestKey{c.fp, c.packet.CoAP.Token})
	if r == nil {
		s.noteUnmatchedAnswer(c, e)
		return Verdict{Action: ActionReturn}
	}
	switch r.state {
	case requestNotRun, requestUnknown:
		return dropPacket(ReasonLateAnswer)
	case requestAnswered:
		return Verdict{Action: ActionReturn}
	}
	s.Counts.Answers++
	s.finishOpen(c.now, r, requestAnswered)
	if c.packet.CoAP.Code == codeServiceUnavailable {
		e.endpoint.Load.shedUntil.Store(int64(c.now + max(c.packet.CoAP.MaxAge, minRetryAfter)))
	} else {
		e.endpoint.addServiceTime(r.serviceTime(c.now))
	}
	return Verdict{Action: ActionReturn}
}

// noteUnmatchedAnswer stores the answer to a request that another owner
// admitted and may yet hand over as open.
func (s *Shard) noteUnmatchedAnswer(c *packetContext, e *entry) {
	if e.has(flagFresh) {
		return
	}
	r := &request{
		key:      requestKey{c.fp, c.packet.CoAP.Token},
		flow:     c.packet.Key,
		message:  c.packet.CoAP,
		endpoint: e.endpoint,
	}
	s.requests.addFinished(c.now, r, requestAnswered)
}

// serviceTime estimates how long the endpoint processed the request, without
// the time in the queue.
func (r *request) serviceTime(now Time) Time {
	slots := max(1, r.endpoint.Config().Slots)
	return (now - r.admitted) * Time(slots) / Time(max(slots, r.ahead+1))
}

// tokenBucket limits the request rate of a shard; the share urgentReserve of it
// is reserved for the urgent class.
type tokenBucket struct {
	shards     int
	tokens     float64
	refilledAt Time
}

// take consumes a token for a request of the class if there is one.
func (b *tokenBucket) take(now Time, perSecond int, class config.AdmissionClass) bool {
	if perSecond <= 0 {
		return true
	}
	rate := float64(perSecond) / float64(max(1, b.shards))
	reserve := rate * urgentReserve
	// Holds one request of any class, also where a shard's share of a low limit
	// is less than one per second.
	capacity := max(rate, reserve+1)
	b.tokens = min(capacity, b.tokens+rate*(now-b.refilledAt).Seconds())
	b.refilledAt = now
	floor := 0.0
	if class > config.ClassUrgent {
		floor = reserve
	}
	if b.tokens < floor+1 {
		return false
	}
	b.tokens--
	return true
}
