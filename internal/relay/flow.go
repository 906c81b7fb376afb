package relay

import (
	"container/heap"
	"time"

	"toucangap/internal/balance"
	"toucangap/internal/catalog"
)

// state is the state of a flow as seen at this host.
type state uint8

const (
	// stateOpening: a first packet was forwarded, no reaction was seen.
	stateOpening state = iota
	stateOpen
	// stateEnded flows are remembered for late packets.
	stateEnded
)

const (
	// maxTries bounds the endpoints that one first packet is sent to.
	maxTries = 3
	// keptFirstPacket is the size up to which a first packet is kept, so that it
	// can be sent on; longer ones wait for the caller's copy. A first packet
	// without data is 32 bytes long.
	keptFirstPacket = 64
	// endedFor is how long an ended flow is remembered: longer than late packets
	// of its caller take, which repeats after 1.6 s at most.
	endedFor = 2 * time.Second
)

// flow is what the host keeps of a flow.
type flow struct {
	key     catalog.Flow
	state   state
	service *service
	// endpoint holds the flow, or is the one tried last.
	endpoint *balance.Endpoint
	tried    [maxTries]*balance.Endpoint
	triedAt  [maxTries]time.Duration
	tries    int
	// judged is the number of tries whose endpoints were found silent.
	judged int
	route  string
	// timeout is the time that the caller gives a request.
	timeout time.Duration
	target  time.Duration

	begun    time.Duration
	sentAt   time.Duration
	lastSeen time.Duration
	// progressAt is when the endpoint last gave a sign of life on this flow, or
	// when the host first saw the flow.
	progressAt time.Duration
	endedAt    time.Duration
	// sequence is that of the first packet.
	sequence uint32
	// acknowledged and sent are the caller's highest acknowledgement and the end
	// of its data.
	acknowledged uint32
	sent         uint32
	// answerFrom is where the last request's answer begins; measured tells that
	// it is known.
	answerFrom uint32
	measured   bool

	// waiting tells that a request had no answer yet.
	waiting   bool
	requestAt time.Duration
	// overdue tells that the request that is waited for has been counted as failed.
	overdue bool
	// midst tells that the request began before the host saw the flow: its caller
	// may have given up by now, so that a missing answer says nothing.
	midst bool
	// adopted tells that another host forwarded the first packet.
	adopted bool
	// cut tells that the host has reset the flow.
	cut bool

	firstPacket [keptFirstPacket]byte
	firstLength int

	// due is when the flow is looked at next; index is its place in the heap.
	due   time.Duration
	index int
}

// candidatesTried returns the endpoints that the first packet was sent to.
func (f *flow) candidatesTried() []*balance.Endpoint { return f.tried[:f.tries] }

// lastTry reports whether the endpoint tried last has been judged already and
// there is none left to try.
func (f *flow) lastTry() bool { return f.judged == f.tries }

// attach counts the flow at its endpoint.
func (f *flow) attach(e *balance.Endpoint) {
	f.endpoint = e
	e.Open++
	if f.waiting {
		e.Busy++
	}
}

// detach takes the flow out of its endpoint's counts.
func (f *flow) detach() {
	if f.endpoint == nil || f.state == stateEnded {
		return
	}
	f.endpoint.Open--
	if f.waiting {
		f.endpoint.Busy--
	}
}

// setWaiting notes whether a request waits for its answer.
func (f *flow) setWaiting(waiting bool) {
	if f.waiting == waiting {
		return
	}
	f.waiting = waiting
	if waiting {
		f.endpoint.Busy++
	} else {
		f.endpoint.Busy--
	}
}

// end counts the flow out and keeps it for late packets.
func (f *flow) end(now time.Duration) {
	if f.state == stateEnded {
		return
	}
	f.detach()
	f.waiting = false
	f.state = stateEnded
	f.endedAt = now
}

// newFlow enters a flow; the oldest due one makes room for it.
func (r *Relay) newFlow(now time.Duration, key catalog.Flow) *flow {
	if len(r.flows) >= r.options.MaxFlows && len(r.timers) > 0 {
		r.stats.Evicted++
		r.forget(r.timers[0])
	}
	var f *flow
	if n := len(r.free); n > 0 {
		f = r.free[n-1]
		r.free = r.free[:n-1]
		*f = flow{}
	} else {
		f = new(flow)
	}
	f.key = key
	f.begun, f.lastSeen, f.progressAt = now, now, now
	r.flows[key] = f
	return f
}

// schedule sets when the flow is looked at next.
func (r *Relay) schedule(f *flow, due time.Duration) {
	f.due = due
	if f.index > 0 {
		heap.Fix(&r.timers, f.index-1)
		return
	}
	heap.Push(&r.timers, f)
}

// forget removes a flow.
func (r *Relay) forget(f *flow) {
	f.detach()
	delete(r.flows, f.key)
	if f.index > 0 {
		heap.Remove(&r.timers, f.index-1)
	}
	r.free = append(r.free, f)
}

// timerHeap orders flows by due time. A flow's index is its place plus 1.
type timerHeap []*flow

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].due < h[j].due }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i+1, j+1
}

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) {
	f := x.(*flow)
	*h = append(*h, f)
	f.index = len(*h)
}

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	f.index = 0
	return f
}
