package ends

import (
	"time"

	"toucangap/internal/catalog"
	"toucangap/internal/segment"
)

// Ledger records the requests that endpoints ran and the protocol violations that
// they saw. It survives their crashes.
type Ledger struct {
	// Runs is the number of runs by request ID.
	Runs map[uint64]int
	// RanTwice lists at-most-once requests that ran again, WrongService requests that
	// ran at an endpoint of another service; Forged counts packets with a wrong
	// checksum and SYN-ACKs, which only endpoints send.
	RanTwice     []uint64
	WrongService []uint64
	Forged       int
	// LateFlows counts flows that started at an endpoint after its drain deadline.
	LateFlows int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{Runs: make(map[uint64]int)} }

// recordRun records that an endpoint of the service starts to run the request.
func (l *Ledger) recordRun(r Request, service string) {
	l.Runs[r.ID]++
	if r.AtMostOnce && l.Runs[r.ID] > 1 {
		l.RanTwice = append(l.RanTwice, r.ID)
	}
	if r.Service != service {
		l.WrongService = append(l.WrongService, r.ID)
	}
}

// Endpoint runs requests on a fixed number of slots with a bounded queue.
type Endpoint struct {
	// Number is compared with the recipient of packets.
	Number  uint64
	Service string
	// Slots is the number of requests that run at a time, Queue the number that may
	// wait for a slot.
	Slots  int
	Queue  int
	Key    Key
	Ledger *Ledger
	// WorkFactor multiplies the work of requests unless it is 0; Down makes the
	// endpoint ignore all packets.
	WorkFactor float64
	Down       bool
	// Refuses makes the endpoint answer every packet with a reset.
	Refuses bool
	// HangShare is the share of requests, in 256ths by ID, that are never answered.
	HangShare uint8
	// ErrorShare is the share of requests, in 256ths by ID, that are answered at once
	// with an error.
	ErrorShare uint8
	// DrainDeadline is the time after which no flow may start here; 0 means none.
	DrainDeadline time.Duration

	flows    map[catalog.Flow]*endpointFlow
	running  []job
	waiting  []job
	restarts uint32
}

// endpointFlow is the endpoint's end of a flow.
type endpointFlow struct {
	stream
	open            bool // the caller has acknowledged the SYN-ACK
	initialSequence uint32
	ended           bool // reset by the caller: its queued requests do not run
}

// job is a running or queued request.
type job struct {
	flow    *endpointFlow
	request Request
	doneAt  time.Duration
}

// errorWork is the maximum work of a request that is answered with an error, before
// it is multiplied by WorkFactor.
const errorWork = time.Millisecond

// Load returns the number of running and queued requests.
func (e *Endpoint) Load() int { return len(e.running) + len(e.waiting) }

// Flows returns the number of flows in the table.
func (e *Endpoint) Flows() int { return len(e.flows) }

// Holds reports whether the flow is established at this endpoint.
func (e *Endpoint) Holds(f catalog.Flow) bool {
	held := e.flows[f]
	return held != nil && held.open
}

// Restart discards all state, as a crash does.
func (e *Endpoint) Restart() {
	e.flows, e.running, e.waiting = nil, nil, nil
	e.restarts++
}

// Receive processes a packet that is intended for the endpoint with the given
// number, or for any endpoint if that is 0, and returns packets for callers.
func (e *Endpoint) Receive(now time.Duration, recipient uint64, packet []byte) [][]byte {
	if e.Down || recipient != 0 && recipient != e.Number {
		return nil
	}
	h, data, err := e.Key.open(packet)
	if err != nil || h.Syn && h.Ack {
		e.Ledger.Forged++
		return nil
	}
	if e.flows == nil {
		e.flows = make(map[catalog.Flow]*endpointFlow)
	}
	f := e.flows[h.Flow]
	if e.Refuses && !h.Reset {
		return [][]byte{e.reset(h)}
	}
	if h.Syn {
		return e.handleSYN(now, f, h)
	}
	if f == nil {
		if h.Reset {
			return nil
		}
		return [][]byte{e.reset(h)}
	}
	if h.Reset {
		f.ended = true
		delete(e.flows, h.Flow)
		return nil
	}
	return e.handlePacket(now, f, h, data)
}

// reset returns a reset in reply to a packet.
func (e *Endpoint) reset(h segment.Segment) []byte {
	return e.Key.seal(segment.Segment{Flow: reverse(h.Flow), Sequence: h.Acknowledgement, Token: h.Token, Reset: true}, nil)
}

// reverse exchanges the flow's two ends.
func reverse(f catalog.Flow) catalog.Flow {
	return catalog.Flow{Caller: f.Destination, Destination: f.Caller}
}

// handleSYN replies with a SYN-ACK. The flow is established by a packet that
// acknowledges it. The initial sequence number of a flow differs between endpoints
// and after a restart.
func (e *Endpoint) handleSYN(now time.Duration, f *endpointFlow, h segment.Segment) [][]byte {
	if f == nil {
		initialSequence := uint32(h.Flow.Hash()) ^ uint32(e.Number) + e.restarts*7919
		f = &endpointFlow{initialSequence: initialSequence}
		f.stream = stream{key: e.Key, flow: reverse(h.Flow), base: initialSequence + 1, expected: h.Sequence + 1}
		f.retransmitTimeout = initialRetransmitTimeout
		f.retransmitAt = now + f.retransmitTimeout
		e.flows[h.Flow] = f
	}
	f.token = h.Token
	if e.DrainDeadline > 0 && now > e.DrainDeadline && !f.open {
		e.Ledger.LateFlows++
	}
	return [][]byte{f.synAck()}
}

// synAck returns the SYN-ACK, with the token that the endpoint received last.
func (f *endpointFlow) synAck() []byte {
	return f.key.seal(segment.Segment{
		Flow: f.flow, Token: f.token, Sequence: f.initialSequence, Acknowledgement: f.expected, Syn: true, Ack: true,
	}, nil)
}

// retransmit returns the first unacknowledged packet if it is due; until the flow is
// established, that is the SYN-ACK.
func (f *endpointFlow) retransmit(now time.Duration) (packets [][]byte) {
	if f.open {
		return f.stream.retransmit(now)
	}
	if f.retransmitAt == 0 || now < f.retransmitAt {
		return nil
	}
	f.retransmissions++
	if f.retransmissions > maxRetransmissions {
		return nil
	}
	f.retransmitTimeout = min(2*f.retransmitTimeout, maxRetransmitTimeout)
	f.retransmitAt = now + f.retransmitTimeout
	return [][]byte{f.synAck()}
}

// handlePacket processes a packet of a known flow. A first packet that doesn't
// acknowledge the SYN-ACK is answered with a reset.
func (e *Endpoint) handlePacket(now time.Duration, f *endpointFlow, h segment.Segment, data []byte) [][]byte {
	if !f.open {
		if h.Acknowledgement != f.initialSequence+1 {
			return [][]byte{e.reset(h)}
		}
		f.open = true
		f.retransmitAt, f.retransmissions = 0, 0
	}
	packets := f.receive(now, h, data)
	if r, ok := decodeRequest(f.in); ok {
		f.in = f.in[:0]
		packets = append(packets, e.enqueue(now, f, r)...)
	}
	if f.finReceived {
		f.closing = true
		packets = append(packets, f.flush(now)...)
		if f.finAcked {
			delete(e.flows, reverse(f.flow))
		}
	}
	return append(packets, f.flush(now)...)
}

// enqueue queues a request and runs it if a slot is free. If the queue is full, it
// answers that the request did not run.
func (e *Endpoint) enqueue(now time.Duration, f *endpointFlow, r Request) [][]byte {
	if len(e.running) >= e.Slots && len(e.waiting) >= e.Queue {
		f.write(encodeAnswer(answerNotRun, r.ID, 0))
		return f.flush(now)
	}
	e.waiting = append(e.waiting, job{flow: f, request: r})
	e.startWaiting(now)
	return nil
}

// startWaiting runs queued requests on free slots.
func (e *Endpoint) startWaiting(now time.Duration) {
	for len(e.running) < e.Slots && len(e.waiting) > 0 {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		if j.flow.ended {
			continue
		}
		e.Ledger.recordRun(j.request, e.Service)
		work := j.request.Work
		if uint8(j.request.ID) < e.ErrorShare {
			work = min(work, errorWork)
		}
		if e.WorkFactor > 0 {
			work = time.Duration(float64(work) * e.WorkFactor)
		}
		j.doneAt = now + work
		e.running = append(e.running, j)
	}
}

// Tick answers finished requests, starts queued ones, and retransmits packets that
// are due. It returns packets for callers.
func (e *Endpoint) Tick(now time.Duration) (packets [][]byte) {
	if e.Down {
		return nil
	}
	unfinished := e.running[:0]
	for _, j := range e.running {
		if now < j.doneAt {
			unfinished = append(unfinished, j)
			continue
		}
		if uint8(j.request.ID) < e.HangShare {
			continue
		}
		if uint8(j.request.ID) < e.ErrorShare {
			j.flow.write(encodeAnswer(answerFailed, j.request.ID, 0))
			packets = append(packets, j.flow.flush(now)...)
			continue
		}
		j.flow.write(encodeAnswer(answerOK, j.request.ID, j.request.AnswerBytes))
		packets = append(packets, j.flow.flush(now)...)
	}
	e.running = unfinished
	e.startWaiting(now)
	for key, f := range e.flows {
		packets = append(packets, f.retransmit(now)...)
		if f.retransmissions > maxRetransmissions || f.finReceived && f.finAcked {
			delete(e.flows, key)
		}
	}
	return packets
}

// NextDue returns the time of the next due Tick; ok is false if there is none.
func (e *Endpoint) NextDue() (due time.Duration, ok bool) {
	earlier := func(t time.Duration) {
		if t > 0 && (!ok || t < due) {
			due, ok = t, true
		}
	}
	for _, j := range e.running {
		earlier(j.doneAt)
	}
	for _, f := range e.flows {
		earlier(f.retransmitAt)
	}
	return due, ok && !e.Down
}
