package ends

import (
	"time"

	"toucangap/internal/catalog"
	"toucangap/internal/segment"
)

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes of attempts.
const (
	// Pending attempts go on.
	Pending Outcome = iota
	// Answered with success, whole and right.
	Answered
	// NotRun is the endpoint's word that the request did not run.
	NotRun
	// Failed: the endpoint's answer is an error.
	Failed
	// NeverOpened: no acceptance, or a reset before one.
	NeverOpened
	// Broken: reset or given up after the flow was open.
	Broken
	// Wrong: bytes that are not this request's answer, or a forged packet.
	Wrong
)

// String names the outcome.
func (o Outcome) String() string {
	return [...]string{"pending", "answered", "not run", "failed", "never opened", "broken", "wrong"}[o]
}

// closingTries bounds the repetitions of a closing packet.
const closingTries = 3

// Attempt is one flow of a caller for one request.
type Attempt struct {
	stream
	request Request
	begun   time.Duration
	initial uint32
	opened  bool
	copies  uint32
	outcome Outcome
	// ResetByHost tells that a host's own reset ended the flow.
	ResetByHost bool
}

// NewAttempt opens a flow; the first packets are returned.
func NewAttempt(now time.Duration, key Key, flow catalog.Flow, r Request) (*Attempt, [][]byte) {
	a := &Attempt{request: r, begun: now, initial: uint32(flow.Hash())}
	a.stream = stream{key: key, flow: flow, base: a.initial + 1}
	return a, [][]byte{a.syn()}
}

func (a *Attempt) syn() []byte {
	p := a.key.seal(segment.Segment{Flow: a.flow, Sequence: a.initial, Acknowledgement: a.copies, Syn: true}, nil)
	a.copies++
	return p
}

// Outcome returns how the attempt ended.
func (a *Attempt) Outcome() Outcome { return a.outcome }

// Flow returns the attempt's flow.
func (a *Attempt) Flow() catalog.Flow { return a.flow }

// Opened reports whether an endpoint accepted the flow.
func (a *Attempt) Opened() bool { return a.opened }

// Closed reports whether nothing more is to be sent.
func (a *Attempt) Closed() bool { return a.outcome != Pending && (a.outcome != Answered || a.finAcked) }

// Receive takes a packet for the flow.
func (a *Attempt) Receive(now time.Duration, packet []byte) [][]byte {
	h, data, err := a.key.open(packet)
	if err != nil {
		a.end(Wrong)
		return nil
	}
	switch {
	case h.Reset:
		a.reset(h)
		return nil
	case h.Syn && h.Ack:
		return a.accepted(now, h)
	case !a.opened:
		return nil
	}
	packets := a.take(now, h, data)
	packets = append(packets, a.check(now)...)
	return append(packets, a.flush(now)...)
}

// reset ends the attempt unless it is over.
func (a *Attempt) reset(h segment.Segment) {
	if a.outcome != Pending {
		a.finAcked = true
		return
	}
	a.ResetByHost = h.Sum == 0
	if a.opened {
		a.end(Broken)
		return
	}
	a.end(NeverOpened)
}

// accepted opens the flow at the first endpoint that answers; a later one only
// changes the token that is returned.
func (a *Attempt) accepted(now time.Duration, h segment.Segment) [][]byte {
	a.token = h.Token
	if a.opened || a.outcome != Pending {
		return nil
	}
	a.opened = true
	a.expected = h.Sequence + 1
	a.write(a.request.encode())
	return a.flush(now)
}

// check looks for a whole answer and closes the flow then.
func (a *Attempt) check(now time.Duration) [][]byte {
	if a.outcome != Pending {
		return nil
	}
	kind, whole, wrong := checkAnswer(a.in, a.request.ID)
	switch {
	case wrong:
		a.end(Wrong)
		return nil
	case !whole:
		return nil
	case kind == answerNotRun:
		a.end(NotRun)
	case kind == answerFailed:
		a.end(Failed)
	default:
		a.end(Answered)
	}
	a.finish = true
	return a.flush(now)
}

func (a *Attempt) end(o Outcome) {
	if a.outcome == Pending {
		a.outcome = o
	}
}

// GiveUp ends an attempt whose time is over.
func (a *Attempt) GiveUp() {
	if a.opened {
		a.end(Broken)
		return
	}
	a.end(NeverOpened)
}

// Tick sends copies and repetitions that are due.
func (a *Attempt) Tick(now time.Duration) [][]byte {
	age := now - a.begun
	switch {
	case a.opened:
		if a.outcome == Pending {
			return a.resend(now)
		}
		if a.resends >= closingTries {
			// The answer is whole; nobody is left to say goodbye to.
			a.finAcked = true
			return nil
		}
		if a.outcome == Answered {
			return a.resend(now)
		}
	case a.outcome != Pending:
	case age >= openTimeout:
		a.end(NeverOpened)
	case age >= firstCopy && a.copies == 1, age >= secondCopy && a.copies == 2:
		return [][]byte{a.syn()}
	}
	return nil
}

// NextDue returns when Tick has something to do; ok is false if never.
func (a *Attempt) NextDue() (due time.Duration, ok bool) {
	switch {
	case a.opened:
		return a.resendAt, a.resendAt > 0 && !a.Closed() && (a.outcome == Pending || a.outcome == Answered)
	case a.outcome != Pending:
		return 0, false
	case a.copies == 1:
		return a.begun + firstCopy, true
	case a.copies == 2:
		return a.begun + secondCopy, true
	}
	return a.begun + openTimeout, true
}
