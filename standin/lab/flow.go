package lab

import (
	"encoding/binary"
	"fmt"
	"time"

	"toucangap/internal/config"
	"toucangap/internal/flow"
	"toucangap/internal/steer"
)

// flowState is the state of a caller's flow.
type flowState uint8

const (
	flowOpening flowState = iota
	flowOpen
	flowClosing
	flowEnded
)

// Retransmission by callers. Timeouts double with each transmission.
const (
	segmentTimeout          = time.Second
	requestTimeout          = 2 * time.Second
	maxTransmissions        = 6
	maxRequestTransmissions = 5
)

// Flow is a caller's side of one flow.
type Flow struct {
	callers *Callers
	stream  Stream
	service *config.Service
	key     flow.Key
	// number counts flows in the order of opening.
	number uint32
	state  flowState
	endAt  time.Duration
	// endpoint is the first endpoint that answered.
	endpoint *Endpoint
	sequence uint32
	// waitID identifies the awaited answer; timers of earlier ones are ignored.
	waitID         int
	awaitingAnswer bool
	transmissions  int
	messageID      uint16
	current        *request
}

func (f *Flow) coap() bool { return f.service.Requests == config.RequestProtocolCoAP }

// start opens the flow.
func (f *Flow) start() {
	f.callers.Result.Opened++
	if f.coap() {
		f.state = flowOpen
		f.request()
		return
	}
	f.sendReliably(func() { f.sendSegment(steer.TCPSyn, 0) })
}

// sendSegment sends a TCP segment once.
func (f *Flow) sendSegment(flags steer.TCPFlags, payload int) {
	p := packet{Packet: steer.Packet{Direction: steer.FromCaller, Key: f.key, Length: 60 + payload}}
	p.TCP = steer.TCP{Flags: flags, Sequence: f.sequence, Payload: payload}
	f.callers.simulation.spray(callersName, callerDelay, p)
}

// sendReliably sends and retransmits until an answer arrives.
func (f *Flow) sendReliably(send func()) {
	f.waitID++
	f.awaitingAnswer = true
	f.transmissions = 0
	f.retransmit(f.waitID, send)
}

// retransmit sends and schedules the next transmission until the awaited answer
// arrives. After maxTransmissions the flow times out.
func (f *Flow) retransmit(waitID int, send func()) {
	if f.state == flowEnded || !f.awaitingAnswer || f.waitID != waitID {
		return
	}
	if f.transmissions == maxTransmissions {
		f.timedOut()
		return
	}
	f.transmissions++
	send()
	f.callers.simulation.clock.after(segmentTimeout<<(f.transmissions-1), func() { f.retransmit(waitID, send) })
}

// timedOut ends a flow whose last transmission was not answered.
func (f *Flow) timedOut() {
	if f.state == flowOpening {
		f.callers.Result.OpenFailed++
		f.end()
		return
	}
	f.abort("timeout")
}

// abort ends a flow. It counts an established flow as broken or, if its endpoint
// is dead or drops its packets, as ended; a flow whose FIN times out is not
// counted.
func (f *Flow) abort(reason string) {
	if f.state == flowOpen || f.state == flowClosing && reason != "timeout" {
		if f.endpoint != nil && (f.endpoint.Dead || f.endpoint.blackholed[f.key]) {
			f.callers.Result.Ended++
		} else {
			f.callers.Result.Broken++
			f.callers.simulation.traceFlow(packet{Packet: steer.Packet{Key: f.key}}, "broken: %s", reason)
			f.callers.BrokenFlows = append(f.callers.BrokenFlows, f.key)
			f.callers.BrokenAt = append(f.callers.BrokenAt, f.callers.simulation.clock.now)
		}
	}
	f.end()
}

func (f *Flow) end() {
	if f.state == flowEnded {
		return
	}
	f.state = flowEnded
	f.awaitingAnswer = false
	delete(f.callers.flows, f.key)
	f.callers.simulation.loadSampler.unbind(f)
}

// handleAnswer handles a packet from an endpoint.
func (f *Flow) handleAnswer(p packet) {
	if f.state == flowEnded {
		return
	}
	if !f.bind(p.body.endpoint) {
		return
	}
	if f.coap() {
		f.handleRequestAnswer(p)
		return
	}
	switch {
	case p.TCP.Flags&steer.TCPReset != 0:
		f.resetByEndpoint()
	case f.state == flowOpening && p.TCP.Flags&steer.TCPSyn != 0:
		f.state = flowOpen
		f.scheduleNext()
	case f.state == flowClosing && p.TCP.Flags&steer.TCPFin != 0:
		f.callers.Result.Closed++
		f.end()
	case f.state == flowOpen && f.awaitingAnswer && p.TCP.Acknowledgment == f.sequence+1:
		f.scheduleNext()
	}
}

func (f *Flow) resetByEndpoint() {
	if f.state == flowOpening {
		f.callers.Result.OpenFailed++
		f.end()
		return
	}
	f.abort("reset")
}

// bind records the flow's first endpoint and reports whether e is that
// endpoint; it aborts the flow otherwise.
func (f *Flow) bind(e *Endpoint) bool {
	if f.endpoint == nil {
		f.endpoint = e
		f.callers.simulation.loadSampler.bind(f)
		return true
	}
	if f.endpoint == e {
		return true
	}
	f.callers.Result.Moved++
	f.abort("moved")
	return false
}

// scheduleNext schedules the flow's next message or its close.
func (f *Flow) scheduleNext() {
	f.awaitingAnswer = false
	now := f.callers.simulation.clock.now
	gap := f.callers.exponential(f.stream.Interval)
	if now+gap >= f.endAt {
		f.callers.simulation.clock.after(max(0, f.endAt-now), f.close)
		return
	}
	f.callers.simulation.clock.after(gap, f.next)
}

// next sends the next segment or request.
func (f *Flow) next() {
	if f.state != flowOpen || f.awaitingAnswer {
		return
	}
	if f.coap() {
		f.request()
		return
	}
	f.sequence++
	f.sendReliably(func() { f.sendSegment(steer.TCPAck, 100) })
}

// close ends the flow; a TCP flow sends a FIN first.
func (f *Flow) close() {
	if f.state != flowOpen {
		return
	}
	if f.coap() {
		f.callers.Result.Closed++
		f.end()
		return
	}
	f.state = flowClosing
	f.sendReliably(func() { f.sendSegment(steer.TCPFin|steer.TCPAck, 0) })
}

// request creates a request and sends it.
func (f *Flow) request() {
	c := f.callers
	f.messageID++
	r := &request{
		id:         len(c.requests) + 1,
		messageID:  f.messageID,
		idempotent: c.simulation.rng.Float64() >= f.stream.NonIdempotentRate,
		flow:       f.key,
		sent:       c.simulation.clock.now,
	}
	c.requests = append(c.requests, r)
	c.Result.Requests++
	c.outcomeCounts.recordSent(f, r)
	f.current = r
	f.waitID++
	f.awaitingAnswer = true
	f.transmissions = 0
	f.retransmitRequest(f.waitID, r)
}

// retransmitRequest sends a request until it is answered or the
// transmissions run out, as RFC 7252 specifies.
func (f *Flow) retransmitRequest(waitID int, r *request) {
	if f.state == flowEnded || !f.awaitingAnswer || f.waitID != waitID {
		return
	}
	if f.transmissions == maxRequestTransmissions {
		f.callers.Result.Unanswered++
		f.callers.outcomeCounts.recordOutcome(f, r, OutcomeNone)
		f.finishRequest(r)
		return
	}
	f.transmissions++
	f.sendRequest(r)
	timeout := requestTimeout + time.Duration(f.callers.simulation.rng.Int64N(int64(time.Second)))
	f.callers.simulation.clock.after(timeout<<(f.transmissions-1), func() { f.retransmitRequest(waitID, r) })
}

func (f *Flow) sendRequest(r *request) {
	p := packet{Packet: steer.Packet{Direction: steer.FromCaller, Key: f.key, Length: 120, HasCoAP: true}}
	p.CoAP = steer.CoAP{
		Type:      steer.CoAPConfirmable,
		Code:      codePost,
		MessageID: r.messageID,
		Token:     token(r.id),
		Deadline:  f.stream.Deadline,
	}
	if r.idempotent {
		p.CoAP.Code = codeGet
	}
	p.body.request = r.id
	f.callers.simulation.spray(callersName, callerDelay, p)
}

// token returns the token for a request ID.
func token(id int) steer.Token {
	t := steer.Token{Length: 4}
	binary.BigEndian.PutUint32(t.Bytes[:4], uint32(id))
	return t
}

// handleRequestAnswer handles an endpoint's answer to a request.
func (f *Flow) handleRequestAnswer(p packet) {
	r := f.current
	if r == nil || r.done || p.CoAP.Token != token(r.id) {
		return
	}
	if p.body.request != r.id {
		f.callers.Result.Mismatched++
		f.callers.simulation.recordFlowViolation(f.key, fmt.Sprintf("request %d got the answer of %d", r.id, p.body.request))
	}
	if p.CoAP.Code == codeServiceUnavailable {
		r.toldNotRun = true
		f.callers.Result.Shed++
		f.callers.outcomeCounts.recordOutcome(f, r, OutcomeShed)
	} else {
		f.callers.Result.Answered++
		f.callers.outcomeCounts.recordOutcome(f, r, OutcomeAnswered)
		f.callers.Result.Latencies = append(f.callers.Result.Latencies, f.callers.simulation.clock.now-r.sent)
	}
	f.finishRequest(r)
}

// finishRequest completes the current request and schedules the next.
func (f *Flow) finishRequest(r *request) {
	r.done = true
	f.current = nil
	f.scheduleNext()
}

// handleReply handles a reply that a host generated.
func (f *Flow) handleReply(m steer.CoAP, v steer.Verdict) {
	if f.state == flowEnded {
		return
	}
	switch v.Reply {
	case steer.ReplyReset:
		f.resetByEndpoint()
	case steer.ReplyUnreachable:
		f.abort("unreachable")
	case steer.ReplyNotRun, steer.ReplyOutcomeUnknown:
		f.handleRequestReply(m, v)
	}
}

func (f *Flow) handleRequestReply(m steer.CoAP, v steer.Verdict) {
	r := f.current
	if r == nil || r.done || m.Token != token(r.id) {
		return
	}
	if v.Reply == steer.ReplyNotRun {
		f.callers.Result.Refused++
		f.callers.outcomeCounts.recordOutcome(f, r, OutcomeRefused)
		r.toldNotRun = true
		if r.runs > 0 {
			f.callers.Result.FalseNotRun++
			f.callers.simulation.recordFlowViolation(f.key, fmt.Sprintf("request %d was reported as not run but had run", r.id))
		}
	} else {
		f.callers.Result.OutcomeUnknown++
		f.callers.outcomeCounts.recordOutcome(f, r, OutcomeUnknown)
	}
	f.finishRequest(r)
}
