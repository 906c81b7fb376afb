package caller

import (
	"context"
	"time"

	"toucangap/standin/exchange"
	"toucangap/standin/inner"
)

const (
	// streamTimeout is the initial retransmission timeout of a segment.
	streamTimeout = 400 * time.Millisecond
	// maxStreamTimeout caps the retransmission timeout.
	maxStreamTimeout = 2 * time.Second
	// maxTransmissions limits the transmissions of a segment.
	maxTransmissions = 6
	// maxFinTransmissions limits the transmissions of a FIN segment.
	maxFinTransmissions = 3
)

// streamFlow is a TCP connection with one request in progress at a time. Its
// requests all count as non-idempotent.
type streamFlow struct {
	*flow
	// sendNext and receiveNext are the next sequence numbers to send and to
	// expect (SND.NXT and RCV.NXT of RFC 9293).
	sendNext, receiveNext uint32
}

// reply is the result of sending a segment.
type reply uint8

const (
	replyNone reply = iota
	replyAccepted
	replyReset
)

// runStreams keeps one connection open until the context is canceled.
func (w *worker) runStreams(ctx context.Context) {
	if !sleep(ctx, time.Duration(w.random.Float64()*float64(w.options.StreamInterval))) {
		return
	}
	for generation := 0; ctx.Err() == nil; generation++ {
		f, err := w.open(generation)
		if err != nil {
			return
		}
		s := &streamFlow{flow: f, sendNext: w.random.Uint32()}
		s.run(ctx)
		s.close()
		sleep(ctx, w.jittered(w.options.StreamInterval))
	}
}

// run opens the connection, sends requests, and closes it when the context is
// canceled.
func (s *streamFlow) run(ctx context.Context) {
	if !s.connect() {
		s.recorder.recordRefused(s.service.Name)
		return
	}
	s.established = true
	s.recorder.recordOpened(s.service.Name)
	for sleep(ctx, s.jittered(s.options.StreamInterval)) {
		if !s.request() {
			return
		}
	}
	s.finish()
}

// connect performs the TCP handshake and reports whether it succeeded.
func (s *streamFlow) connect() bool {
	answer, result := s.sendReliably(inner.Syn, nil, maxTransmissions, func(p inner.Packet) bool {
		return p.Flags&inner.Syn != 0 && p.Acknowledgment == s.sendNext+1
	})
	if result != replyAccepted {
		return false
	}
	s.sendNext++
	s.receiveNext = answer.Sequence + 1
	s.transmit(inner.Ack, nil)
	return true
}

// request sends a request and checks the answer; false if the flow ended.
func (s *streamFlow) request() bool {
	r, ok := s.next(NonIdempotent)
	if !ok {
		s.finish()
		return false
	}
	started := time.Now()
	payload := exchange.Marshal(r)
	end := s.sendNext + uint32(len(payload))
	answer, result := s.sendReliably(inner.Ack, payload, maxTransmissions, func(p inner.Packet) bool {
		return p.Acknowledgment == end && p.Sequence == s.receiveNext && len(p.Payload) > 0
	})
	if result != replyAccepted {
		s.abandon(r, result, started)
		return false
	}
	s.sendNext = end
	s.receiveNext += uint32(len(answer.Payload))
	outcome := s.checkAnswer(r, answer.Payload)
	s.recorder.end(s.service.Name, r.ID, outcome, time.Since(started))
	return true
}

// abandon records a request and its connection, which broke before the answer.
func (s *streamFlow) abandon(r exchange.Request, result reply, started time.Time) {
	s.recorder.end(s.service.Name, r.ID, Unknown, time.Since(started))
	if result == replyReset {
		s.recordBroken(BrokenReset)
		return
	}
	s.recordBroken(BrokenSilent)
}

// finish closes the connection; a missing FIN answer is ignored.
func (s *streamFlow) finish() {
	s.sendReliably(inner.Fin|inner.Ack, nil, maxFinTransmissions, func(p inner.Packet) bool {
		return p.Flags&inner.Fin != 0
	})
}

// sendReliably sends a segment, retransmits it with a doubled timeout each time,
// and returns the first packet that accept admits or that resets the connection.
// The result is replyNone if there is none after the last transmission.
func (s *streamFlow) sendReliably(flags inner.Flags, payload []byte, transmissions int, accept func(inner.Packet) bool) (inner.Packet, reply) {
	timeout := streamTimeout
	for range transmissions {
		s.transmit(flags, payload)
		if p, result := s.await(timeout, accept); result != replyNone {
			return p, result
		}
		timeout = min(2*timeout, maxStreamTimeout)
	}
	return inner.Packet{}, replyNone
}

// await receives packets until accept admits one or one resets the connection.
// The result is replyNone on timeout.
func (s *streamFlow) await(timeout time.Duration, accept func(inner.Packet) bool) (inner.Packet, reply) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return inner.Packet{}, replyNone
		case p := <-s.port.Arrivals():
			switch {
			case p.Source != s.service.Address:
				s.recorder.recordUnmatched()
			case p.Kind == inner.Unreachable, p.Flags&inner.Reset != 0:
				return p, replyReset
			case accept(p):
				return p, replyAccepted
			}
		}
	}
}

func (s *streamFlow) transmit(flags inner.Flags, payload []byte) {
	p := inner.Packet{
		Kind: inner.Segment, Destination: s.service.Address,
		Flags: flags, Sequence: s.sendNext, Payload: payload,
	}
	if flags&inner.Ack != 0 {
		p.Acknowledgment = s.receiveNext
	}
	// A send error counts as a lost packet, which is retransmitted.
	_ = s.port.Send(p)
}
