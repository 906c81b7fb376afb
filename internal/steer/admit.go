package steer

import (
	"time"

	"toucangap/internal/config"
	"toucangap/internal/flow"
)

// assumedServiceTime stands for an endpoint that has not been timed yet.
const assumedServiceTime = 20 * time.Millisecond

// request decides on a packet that carries a request.
func (s *Shard) request(c *call, e *entry) Verdict {
	key := requestKey{c.fp, c.packet.CoAP.Token}
	r := s.requests.get(key)
	if r != nil && r.message.MessageID == c.packet.CoAP.MessageID {
		return s.repeated(c, e, r)
	}
	if v, blocked := s.blocked(c); blocked {
		return v
	}
	if r != nil && r.state == requestOpen {
		s.finishOpen(c.now, r, requestUnknown)
	}
	if e.ended != ReasonNone {
		return s.requestOnEnded(c, e)
	}
	if !s.mayRunOnce(c, e) {
		s.reconsider(c, e)
		return drop(ReasonUnconfirmed)
	}
	if reason, wait := s.admission(c, e); reason != ReasonNone && s.mayRefuse(c, e) {
		return s.refuse(c, reason, wait)
	}
	return s.admit(c, e, key)
}

// repeated decides on a retransmission: a request keeps its one outcome.
func (s *Shard) repeated(c *call, e *entry, r *request) Verdict {
	switch r.state {
	case requestNotRun:
		return Verdict{Action: ActionReply, Reply: ReplyNotRun, Reason: ReasonFinal, RetryAfter: r.retryAfter}
	case requestUnknown:
		return Verdict{Action: ActionReply, Reply: ReplyOutcomeUnknown, Reason: ReasonFinal}
	}
	if e.ended != ReasonNone {
		return s.giveUp(c.now, r, e.ended)
	}
	s.noteSent(c, e)
	return Verdict{Action: ActionForward, Endpoint: r.endpoint.Config().Address}
}

// reconsider forgets a flow that this very packet brought to an endpoint that
// has just begun to drain: nothing has been forwarded, and by the time the
// packet is repeated it is known whether the flow is new.
func (s *Shard) reconsider(c *call, e *entry) {
	if e.since == c.now && e.endpoint.Life() == LifeDraining {
		s.drop(e)
	}
}

// mayRunOnce reports whether a request may be admitted without the risk that
// another host sends a repetition of it to another endpoint. Idempotent ones
// always may. The caller repeats one that has to wait.
func (s *Shard) mayRunOnce(c *call, e *entry) bool {
	if !runsOnce(c.packet) {
		return true
	}
	if s.shared.fenced(c.now) || !e.has(flagKnown) && c.rank.missing > 1 {
		return false
	}
	if e.has(flagContested) || e.has(flagDoubted) && s.leftDefault(c, c.view.Baseline) {
		return false
	}
	if !e.has(flagException) {
		return true
	}
	if e.has(flagConfirmed) || c.rank.successor == nil {
		return true
	}
	if c.mine {
		s.hurry(c.rank.successor.Index, e)
	}
	return false
}

// giveUp ends an admitted request towards the caller.
func (s *Shard) giveUp(now Time, r *request, reason Reason) Verdict {
	if r.state == requestOpen {
		s.finishOpen(now, r, requestUnknown)
	} else {
		r.state = requestUnknown
	}
	s.Counts.OutcomeUnknown++
	return Verdict{Action: ActionReply, Reply: ReplyOutcomeUnknown, Reason: reason}
}

// blocked reports that a request must wait because this host has promised the
// flow's former owner not to admit it yet; the caller will repeat it.
func (s *Shard) blocked(c *call) (Verdict, bool) {
	if c.rank.leaseUntil == 0 || c.now >= c.rank.leaseUntil+2*MaxPacketDelay {
		return Verdict{}, false
	}
	return drop(ReasonOwnerLease), true
}

// requestOnEnded answers a new request on a flow that the system has ended.
func (s *Shard) requestOnEnded(c *call, e *entry) Verdict {
	if s.mayRefuse(c, e) {
		return s.refuse(c, e.ended, minRetryAfter)
	}
	return Verdict{Action: ActionReply, Reply: ReplyOutcomeUnknown, Reason: e.ended}
}

// mayRefuse reports whether this host can prove that no packet of a new
// request was admitted anywhere: it holds the peers' promises, and has held
// them since the flow began or for as long as a request may be repeated.
func (s *Shard) mayRefuse(c *call, e *entry) bool {
	if !c.mine || c.packet.Hop == HopFormer || c.rank.joining != nil && s.outranked(c) {
		return false
	}
	if !s.shared.holdsLease(c.now) {
		return false
	}
	held := s.shared.heldSince()
	if e.has(flagFresh) && e.since >= held {
		return true
	}
	return c.now-max(e.since, held) >= RetransmitWindow
}

// outranked reports whether a joining host will own the flow.
func (s *Shard) outranked(c *call) bool {
	return flow.Score(c.fp, c.rank.joining.Hash) > flow.Score(c.fp, c.view.Self.Hash)
}

// admission returns why a request should be refused, if so, and when the
// caller may come back.
func (s *Shard) admission(c *call, e *entry) (Reason, Time) {
	wait, busy := expectedWait(e.endpoint)
	if c.now+wait+serviceTime(e.endpoint) > c.now+s.allowance(c) {
		return ReasonDeadline, retryAfter(wait, s.spread(c))
	}
	if busy {
		return ReasonOverload, retryAfter(wait, s.spread(c))
	}
	if !s.bucket.take(c.now, c.view.Bundle.Limits.RequestsPerSecond, c.table.Service.Class) {
		return ReasonOverload, retryAfter(0, s.spread(c))
	}
	return ReasonNone, 0
}

// allowance is how long the caller waits for the answer.
func (s *Shard) allowance(c *call) Time {
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

// expectedWait estimates how long a new request waits at an endpoint for a
// slot, and whether its queue has reached its bound.
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
	return assumedServiceTime
}

// retryAfter bounds the time to come back and spreads callers over it.
func retryAfter(wait, spread Time) Time {
	return min(max(wait, minRetryAfter)+spread, maxRetryAfter)
}

// spreadSteps is over how many seconds refused callers come back.
const spreadSteps = 4

// spread is a number of whole seconds that depends on the request alone.
func (s *Shard) spread(c *call) Time {
	h := flow.Score(c.fp, flow.NodeHash(c.packet.CoAP.MessageID))
	return Time(h%spreadSteps) * time.Second
}

// refuse tells the caller that its request was not run, and remembers it.
func (s *Shard) refuse(c *call, reason Reason, after Time) Verdict {
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

// admit forwards a request and follows it until its answer or deadline.
func (s *Shard) admit(c *call, e *entry, key requestKey) Verdict {
	s.requests.add(&request{
		key:      key,
		flow:     c.packet.Key,
		message:  c.packet.CoAP,
		endpoint: e.endpoint,
		admitted: c.now,
		ahead:    int(e.endpoint.requests()),
		deadline: c.now + s.allowance(c),
	})
	e.requests++
	e.endpoint.Load.Requests.Add(1)
	s.Counts.Admitted++
	s.noteSent(c, e)
	return Verdict{Action: ActionForward, Endpoint: e.endpoint.Config().Address}
}

// finishOpen ends an open request and its count.
func (s *Shard) finishOpen(now Time, r *request, state requestState) {
	s.requests.finish(now, r, state)
	r.endpoint.Load.Requests.Add(-1)
	if e := s.flows.get(r.key.fp); e != nil && e.requests > 0 {
		e.requests--
	}
}

// codeServiceUnavailable is the CoAP code 5.03.
const codeServiceUnavailable = 5<<5 | 3

// coapAnswer decides on an endpoint's answer.
func (s *Shard) coapAnswer(c *call, e *entry) Verdict {
	r := s.requests.get(requestKey{c.fp, c.packet.CoAP.Token})
	if r == nil {
		s.noteForeignAnswer(c, e)
		return Verdict{Action: ActionReturn}
	}
	switch r.state {
	case requestNotRun, requestUnknown:
		return drop(ReasonLateAnswer)
	case requestAnswered:
		return Verdict{Action: ActionReturn}
	}
	s.Counts.Answers++
	s.finishOpen(c.now, r, requestAnswered)
	if c.packet.CoAP.Code == codeServiceUnavailable {
		e.endpoint.Load.shedUntil.Store(int64(c.now + max(c.packet.CoAP.MaxAge, minRetryAfter)))
	} else {
		e.endpoint.served(r.serviceTime(c.now))
	}
	return Verdict{Action: ActionReturn}
}

// noteForeignAnswer remembers the answer to a request that another owner
// admitted and may yet hand over as open.
func (s *Shard) noteForeignAnswer(c *call, e *entry) {
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

// serviceTime estimates how long the endpoint worked on the request, without
// the wait for those that were ahead of it.
func (r *request) serviceTime(now Time) Time {
	slots := max(1, r.endpoint.Config().Slots)
	return (now - r.admitted) * Time(slots) / Time(max(slots, r.ahead+1))
}

// tokenBucket limits the requests that a shard admits; the last urgentReserve
// of it is kept for the urgent class.
type tokenBucket struct {
	shards int
	tokens float64
	filled Time
}

// take takes a token for a request of the class if there is one.
func (b *tokenBucket) take(now Time, perSecond int, class config.Class) bool {
	if perSecond <= 0 {
		return true
	}
	rate := float64(perSecond) / float64(max(1, b.shards))
	reserve := rate * urgentReserve
	// Room for one request of any class, also where a shard's share of a low
	// limit is less than one in a second.
	room := max(rate, reserve+1)
	b.tokens = min(room, b.tokens+rate*(now-b.filled).Seconds())
	b.filled = now
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
