package ends

import (
	"time"

	"toucangap/internal/catalog"
	"toucangap/internal/segment"
)

// Outcome is the result of an attempt.
type Outcome uint8

// The outcomes of attempts.
const (
	// Pending: the attempt is in progress.
	Pending Outcome = iota
	// Answered: a complete, correct and successful answer arrived.
	Answered
	// NotRun: the endpoint reported that it did not run the request.
	NotRun
	// Failed: the endpoint's answer is an error.
	Failed
	// NeverOpened: no SYN-ACK arrived in time, or a reset came before it.
	NeverOpened
	// Broken: the flow was reset or the request timed out after the SYN-ACK.
	Broken
	// Wrong: data arrived that is not this request's answer, or a forged packet.
	Wrong
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	return [...]string{"pending", "answered", "not run", "failed", "never opened", "broken", "wrong"}[o]
}

// maxFinRetransmissions bounds the retransmissions of a FIN.
const maxFinRetransmissions = 3

// Attempt is the caller's end of one flow that carries one request.
type Attempt struct {
	stream
	request         Request
	started         time.Duration
	initialSequence uint32
	opened          bool // a SYN-ACK has arrived
	synsSent        uint32
	outcome         Outcome
	// KeepOpen leaves the flow open after an answer, for Ask.
	KeepOpen bool
	// ResetByHost reports that a host, not the endpoint, reset the flow while the
	// attempt was pending.
	ResetByHost bool
	// ResetByEndpoint reports that an endpoint reset the flow while the attempt was
	// pending.
	ResetByEndpoint bool
}

// NewAttempt opens a flow at the given time and returns the packets to send, its
// SYN.
func NewAttempt(now time.Duration, key Key, flow catalog.Flow, r Request) (*Attempt, [][]byte) {
	a := &Attempt{request: r, started: now, initialSequence: uint32(flow.Hash())}
	a.stream = stream{key: key, flow: flow, base: a.initialSequence + 1}
	return a, [][]byte{a.syn()}
}

// syn returns the next copy of the SYN, with the number of copies sent before.
func (a *Attempt) syn() []byte {
	p := a.key.seal(segment.Segment{Flow: a.flow, Sequence: a.initialSequence, Acknowledgement: a.synsSent, Syn: true}, nil)
	a.synsSent++
	return p
}

// Outcome returns the result of the attempt.
func (a *Attempt) Outcome() Outcome { return a.outcome }

// Flow returns the attempt's flow.
func (a *Attempt) Flow() catalog.Flow { return a.flow }

// Opened reports whether an endpoint accepted the flow.
func (a *Attempt) Opened() bool { return a.opened }

// Closed reports whether the attempt has nothing more to send.
func (a *Attempt) Closed() bool { return a.outcome != Pending && (a.outcome != Answered || a.finAcked) }

// Receive processes a packet of the flow and returns packets to send.
func (a *Attempt) Receive(now time.Duration, packet []byte) [][]byte {
	h, data, err := a.key.open(packet)
	if err != nil {
		a.end(Wrong)
		return nil
	}
	switch {
	case h.Reset:
		a.handleReset(h)
		return nil
	case h.Syn && h.Ack:
		return a.handleSYNACK(now, h)
	case !a.opened:
		return nil
	}
	packets := a.receive(now, h, data)
	packets = append(packets, a.processAnswer(now)...)
	return append(packets, a.flush(now)...)
}

// handleReset ends the attempt unless it has an outcome already.
func (a *Attempt) handleReset(h segment.Segment) {
	if a.outcome != Pending {
		a.finAcked = true
		return
	}
	a.ResetByHost = h.Checksum == 0
	a.ResetByEndpoint = !a.ResetByHost
	if a.opened {
		a.end(Broken)
		return
	}
	a.end(NeverOpened)
}

// handleSYNACK establishes the flow with the first endpoint that accepts it; a later
// SYN-ACK only updates the token that the caller returns.
func (a *Attempt) handleSYNACK(now time.Duration, h segment.Segment) [][]byte {
	a.token = h.Token
	if a.opened || a.outcome != Pending {
		return nil
	}
	a.opened = true
	a.expected = h.Sequence + 1
	a.write(a.request.encode())
	return a.flush(now)
}

// processAnswer sets the outcome once the answer is complete or wrong. A complete
// answer closes the flow.
func (a *Attempt) processAnswer(now time.Duration) [][]byte {
	if a.outcome != Pending {
		return nil
	}
	kind, complete, wrong := checkAnswer(a.in, a.request.ID)
	switch {
	case wrong:
		a.end(Wrong)
		return nil
	case !complete:
		return nil
	case kind == answerNotRun:
		a.end(NotRun)
	case kind == answerFailed:
		a.end(Failed)
	default:
		a.end(Answered)
		if a.KeepOpen {
			return nil
		}
	}
	a.closing = true
	return a.flush(now)
}

// Ask sends a further request on a flow that was kept open after its last answer, and
// returns the packets to send. The flow is closed after the answer unless KeepOpen is set.
func (a *Attempt) Ask(now time.Duration, r Request) [][]byte {
	a.request, a.outcome, a.in = r, Pending, nil
	a.write(r.encode())
	return a.flush(now)
}

// end sets the outcome unless there is one already.
func (a *Attempt) end(o Outcome) {
	if a.outcome == Pending {
		a.outcome = o
	}
}

// GiveUp ends an attempt that has timed out.
func (a *Attempt) GiveUp() {
	if a.opened {
		a.end(Broken)
		return
	}
	a.end(NeverOpened)
}

// Tick returns the retransmissions that are due and ends an attempt whose SYN no
// endpoint accepted in time.
func (a *Attempt) Tick(now time.Duration) [][]byte {
	age := now - a.started
	switch {
	case a.opened:
		if a.outcome == Pending {
			return a.retransmit(now)
		}
		if a.retransmissions >= maxFinRetransmissions {
			// The request has its outcome and the endpoint no longer responds.
			a.finAcked = true
			return nil
		}
		if a.outcome == Answered {
			return a.retransmit(now)
		}
	case a.outcome != Pending:
	case age >= openTimeout:
		a.end(NeverOpened)
	case age >= firstSynRetransmit && a.synsSent == 1, age >= secondSynRetransmit && a.synsSent == 2:
		return [][]byte{a.syn()}
	}
	return nil
}

// NextDue returns the time of the next due Tick; ok is false if there is none.
func (a *Attempt) NextDue() (due time.Duration, ok bool) {
	switch {
	case a.opened:
		return a.retransmitAt, a.retransmitAt > 0 && !a.Closed() && (a.outcome == Pending || a.outcome == Answered)
	case a.outcome != Pending:
		return 0, false
	case a.synsSent == 1:
		return a.started + firstSynRetransmit, true
	case a.synsSent == 2:
		return a.started + secondSynRetransmit, true
	}
	return a.started + openTimeout, true
}
