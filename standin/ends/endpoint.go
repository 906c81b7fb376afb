package ends

import (
	"time"

	"toucangap/internal/catalog"
	"toucangap/internal/segment"
)

// Ledger records what endpoints saw that must not be. It outlives crashes.
type Ledger struct {
	Runs map[uint64]int
	// Twice are requests that ran twice and must not have, Foreign those that
	// reached another service, Forged the packets that their sender did not write.
	Twice   []uint64
	Foreign []uint64
	Forged  int
	// LateOpenings counts flows that began at an endpoint after the bound on
	// endpoints that leave.
	LateOpenings int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{Runs: make(map[uint64]int)} }

func (l *Ledger) run(r Request, service string) {
	l.Runs[r.ID]++
	if r.Once && l.Runs[r.ID] > 1 {
		l.Twice = append(l.Twice, r.ID)
	}
	if r.Service != service {
		l.Foreign = append(l.Foreign, r.ID)
	}
}

// Endpoint runs requests on a few slots with a short queue.
type Endpoint struct {
	Number  uint64
	Service string
	Slots   int
	Queue   int
	Key     Key
	Ledger  *Ledger
	// Slow multiplies the work, Down means that nothing is answered.
	Slow float64
	Down bool
	// Refuses means that nothing listens: every packet is answered with a reset.
	Refuses bool
	// Fails is the share of requests, in 256ths, that are not answered, by id.
	Fails uint8
	// Errs is the share of requests, in 256ths, that are answered at once with an
	// error, by id.
	Errs uint8
	// LeavesAt is when flows must no longer begin here; 0 for never.
	LeavesAt time.Duration

	flows   map[catalog.Flow]*endpointFlow
	running []job
	waiting []job
	starts  uint32
}

type endpointFlow struct {
	stream
	open    bool
	initial uint32
	ended   bool
}

// job is a request on a slot or in the queue.
type job struct {
	flow    *endpointFlow
	request Request
	doneAt  time.Duration
}

// errorWork is how long an answer with an error takes.
const errorWork = time.Millisecond

// Load returns the number of requests that run or wait.
func (e *Endpoint) Load() int { return len(e.running) + len(e.waiting) }

// Flows returns the number of flows that are held.
func (e *Endpoint) Flows() int { return len(e.flows) }

// Holds reports whether the flow is open here.
func (e *Endpoint) Holds(f catalog.Flow) bool {
	held := e.flows[f]
	return held != nil && held.open
}

// Restart forgets everything, as a crash does.
func (e *Endpoint) Restart() {
	e.flows, e.running, e.waiting = nil, nil, nil
	e.starts++
}

// Receive takes a datagram's packet with its intended recipient and returns
// packets for callers.
func (e *Endpoint) Receive(now time.Duration, intended uint64, packet []byte) [][]byte {
	if e.Down || intended != 0 && intended != e.Number {
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
		return e.accept(now, f, h)
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
	return e.packet(now, f, h, data)
}

// reset answers a packet of a flow that is not held.
func (e *Endpoint) reset(h segment.Segment) []byte {
	return e.Key.seal(segment.Segment{Flow: reverse(h.Flow), Sequence: h.Acknowledgement, Token: h.Token, Reset: true}, nil)
}

func reverse(f catalog.Flow) catalog.Flow {
	return catalog.Flow{Caller: f.Service, Service: f.Caller}
}

func (e *Endpoint) accept(now time.Duration, f *endpointFlow, h segment.Segment) [][]byte {
	if f == nil {
		initial := uint32(h.Flow.Hash()) ^ uint32(e.Number) + e.starts*7919
		f = &endpointFlow{initial: initial}
		f.stream = stream{key: e.Key, flow: reverse(h.Flow), base: initial + 1, expected: h.Sequence + 1}
		e.flows[h.Flow] = f
	}
	f.token = h.Token
	if e.LeavesAt > 0 && now > e.LeavesAt && !f.open {
		e.Ledger.LateOpenings++
	}
	return [][]byte{f.key.seal(segment.Segment{
		Flow: f.flow, Token: f.token, Sequence: f.initial, Acknowledgement: h.Sequence + 1, Syn: true, Ack: true,
	}, nil)}
}

func (e *Endpoint) packet(now time.Duration, f *endpointFlow, h segment.Segment, data []byte) [][]byte {
	if !f.open {
		if h.Acknowledgement != f.initial+1 {
			return [][]byte{e.reset(h)}
		}
		f.open = true
	}
	packets := f.take(now, h, data)
	if r, ok := decodeRequest(f.in); ok {
		f.in = f.in[:0]
		packets = append(packets, e.start(now, f, r)...)
	}
	if f.finSeen {
		f.finish = true
		packets = append(packets, f.flush(now)...)
		if f.finAcked {
			delete(e.flows, reverse(f.flow))
		}
	}
	return append(packets, f.flush(now)...)
}

// start runs, queues or sheds a request.
func (e *Endpoint) start(now time.Duration, f *endpointFlow, r Request) [][]byte {
	if len(e.running) >= e.Slots && len(e.waiting) >= e.Queue {
		f.write(encodeAnswer(answerNotRun, r.ID, 0))
		return f.flush(now)
	}
	e.waiting = append(e.waiting, job{flow: f, request: r})
	e.fill(now)
	return nil
}

// fill puts waiting requests on free slots.
func (e *Endpoint) fill(now time.Duration) {
	for len(e.running) < e.Slots && len(e.waiting) > 0 {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		if j.flow.ended {
			continue
		}
		e.Ledger.run(j.request, e.Service)
		work := j.request.Work
		if uint8(j.request.ID) < e.Errs {
			work = min(work, errorWork)
		}
		if e.Slow > 0 {
			work = time.Duration(float64(work) * e.Slow)
		}
		j.doneAt = now + work
		e.running = append(e.running, j)
	}
}

// Tick ends work that is done and repeats packets.
func (e *Endpoint) Tick(now time.Duration) (packets [][]byte) {
	if e.Down {
		return nil
	}
	left := e.running[:0]
	for _, j := range e.running {
		if now < j.doneAt {
			left = append(left, j)
			continue
		}
		if uint8(j.request.ID) < e.Fails {
			continue
		}
		if uint8(j.request.ID) < e.Errs {
			j.flow.write(encodeAnswer(answerFailed, j.request.ID, 0))
			packets = append(packets, j.flow.flush(now)...)
			continue
		}
		j.flow.write(encodeAnswer(answerOK, j.request.ID, j.request.Answer))
		packets = append(packets, j.flow.flush(now)...)
	}
	e.running = left
	e.fill(now)
	for key, f := range e.flows {
		packets = append(packets, f.resend(now)...)
		if f.resends > endpointTries || f.finSeen && f.finAcked {
			delete(e.flows, key)
		}
	}
	return packets
}

// NextDue returns when Tick has something to do; ok is false if never.
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
		earlier(f.resendAt)
	}
	return due, ok && !e.Down
}
