package relay

import (
	"container/heap"
	"time"

	"toucangap/internal/backlog"
	"toucangap/internal/balance"
	"toucangap/internal/catalog"
)

// state is the state of a flow as seen by this host.
type state uint8

const (
	// stateOpening: a SYN was forwarded and no handshake ACK was seen.
	stateOpening state = iota
	stateOpen
	// stateEnded: kept for late packets.
	stateEnded
	// stateHeld: the SYN waits at this host for room at the endpoints.
	stateHeld
)

const (
	// maxTries limits the endpoints that one SYN is sent to.
	maxTries = 3
	// maxKeptSYN is the largest SYN, in bytes, that is kept for failover; a longer
	// one is not sent again before the caller retransmits it. A SYN without data
	// is 32 bytes long.
	maxKeptSYN = 64
	// endedRetention is how long an ended flow is kept. It exceeds the delay of
	// its caller's late packets, which are retransmitted after at most 1.6 s.
	endedRetention = 2 * time.Second
)

// flow is the host's state of one flow.
type flow struct {
	key     catalog.Flow
	state   state
	service *service
	// endpoint holds the flow or, while it is opening, was tried last; nil while the
	// flow is held.
	endpoint *balance.Endpoint
	tried    [maxTries]*balance.Endpoint
	triedAt  [maxTries]time.Duration
	tries    int
	// timedOutTries is the number of tries whose handshake timeout has expired.
	timedOutTries int
	// route is the route's name.
	route string
	// timeout is the caller's timeout for a request, target the time within which
	// an answer has its full value.
	timeout time.Duration
	target  time.Duration

	// startedAt is when the host first saw the flow.
	startedAt time.Duration
	// sentAt is when the SYN was last forwarded, network duplicates aside.
	sentAt time.Duration
	// lastSeen is when the caller's last packet was received.
	lastSeen time.Duration
	// progressAt is when the endpoint last showed that it is alive on this flow,
	// or when the host first saw the flow.
	progressAt time.Duration
	endedAt    time.Duration
	// sequence is the SYN's sequence number.
	sequence uint32
	// acknowledged is the caller's highest acknowledgement, dataEnd the sequence
	// number after its data.
	acknowledged uint32
	dataEnd      uint32
	// dataAt is when the caller's last packet with data was received, network duplicates
	// aside. If it repeated data, repeatGap is the time since the packet before.
	dataAt    time.Duration
	repeatGap time.Duration
	// answerFrom is the sequence number at which the last request's answer
	// begins, valid if answerFromKnown is set.
	answerFrom      uint32
	answerFromKnown bool
	// answerTime is the time to the first bytes of the last request's answer, 0 if it
	// is unknown or has been recorded.
	answerTime time.Duration

	// The states of a request without an answer are named as follows. It is
	// waiting from its first packet to the first bytes of the answer. Counted from
	// requestAt, it is overdue after balance.Service.OverdueAfter, and abandoned
	// once its caller has given up: after the caller's timeout, or when the caller
	// closes the flow after more than the target. A SYN is unanswered if no
	// handshake ACK follows within the handshake timeout; that try has then timed
	// out.

	// waiting is set while a request is waiting; a new flow is waiting from its SYN
	// on.
	waiting bool
	// requestAt is when the last packet with new data of the request was received.
	requestAt time.Duration
	// overdue is set once the waiting request is overdue. It counts as failed from
	// then on, unless this host was lagging.
	overdue bool
	// pastTarget is set once the waiting request has taken longer than its target.
	pastTarget bool
	// startUnknown is set if the request began before the host saw the flow: its
	// caller may have given up already, so a missing answer says nothing.
	startUnknown bool
	// counted is set while the flow counts in its service's inFlight or, if it was sent to
	// another domain, in that of overflow.
	counted  bool
	overflow *overflow
	// waiter orders the flow among the held ones; retransmissions is the number of
	// its SYN's copies before the last one.
	waiter          backlog.Request
	retransmissions uint32
	// class is why it was chosen among the held ones.
	class backlog.Class
	// slot is that of the held flow's route in its service's shares; counts are those of
	// the route.
	slot   int
	counts *RouteCounts
	// takenOver is set if the flow was added by a packet after its SYN: another host
	// forwarded the SYN, or this host has removed the flow since.
	takenOver bool
	// adopted is set while the flow is open by the report of another host, and no packet has
	// come since.
	adopted bool
	// reportedAt is when the flow's holder was last reported to other hosts, 0 if never.
	reportedAt time.Duration
	// contested is set once a packet named another endpoint than the flow's.
	contested bool
	// resetSent is set once the host has reset the flow.
	resetSent bool

	acceptance acceptance

	synFrame  [maxKeptSYN]byte
	synLength int

	// due is when Tick handles the flow next. index is its position in the timer
	// heap plus 1, or 0 if it is not in the heap.
	due   time.Duration
	index int
}

// valuable returns the time within which an answer has its full value: the target, or
// the timeout of a route without one.
func (f *flow) valuable() time.Duration {
	if f.target > 0 {
		return f.target
	}
	return f.timeout
}

// triedEndpoints returns the endpoints that the SYN was sent to.
func (f *flow) triedEndpoints() []*balance.Endpoint { return f.tried[:f.tries] }

// lastTryTimedOut reports whether the last try has timed out before and no
// failover followed.
func (f *flow) lastTryTimedOut() bool { return f.timedOutTries == f.tries }

// attach assigns the flow to an endpoint and counts it in Open and Busy.
func (f *flow) attach(e *balance.Endpoint) {
	f.endpoint = e
	e.Open++
	if f.waiting {
		e.Busy++
	}
	f.count()
}

// count updates whether the flow counts in its service's inFlight: while its request
// waits for an answer that this host is going to see. It is not if a SYN has no
// handshake ACK, if the request is overdue, or if its target has passed: routers may
// have moved the flow to another host.
func (f *flow) count() {
	opening := f.state == stateOpening && f.timedOutTries == 0
	open := f.state == stateOpen && !f.overdue && !f.pastTarget
	counts := f.waiting && (opening || open)
	if counts == f.counted {
		return
	}
	f.counted = counts
	inFlight := &f.service.inFlight
	if f.overflow != nil {
		inFlight = &f.overflow.inFlight
	}
	if counts {
		*inFlight++
		return
	}
	*inFlight--
}

// detach removes the flow from its endpoint's Open and Busy.
func (f *flow) detach() {
	if f.endpoint == nil || f.state == stateEnded {
		return
	}
	f.endpoint.Open--
	if f.waiting {
		f.endpoint.Busy--
	}
}

// setWaiting sets whether a request waits for its answer.
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
	f.count()
}

// markEnded detaches the flow and sets its state to ended; it stays in the table
// for late packets.
func (f *flow) markEnded(now time.Duration) {
	if f.state == stateEnded {
		return
	}
	f.detach()
	f.waiting = false
	f.state = stateEnded
	f.endedAt = now
	f.count()
}

// newFlow adds a flow, evicting the one that is due first if the table is full.
func (r *Relay) newFlow(now time.Duration, key catalog.Flow) *flow {
	if len(r.flows) >= r.options.MaxFlows && len(r.timers) > 0 {
		r.stats.Evicted++
		r.removeFlow(r.timers[0])
	}
	var f *flow
	if n := len(r.freeFlows); n > 0 {
		f = r.freeFlows[n-1]
		r.freeFlows = r.freeFlows[:n-1]
		*f = flow{}
	} else {
		f = new(flow)
	}
	f.key = key
	f.startedAt, f.lastSeen, f.progressAt = now, now, now
	r.flows[key] = f
	return f
}

// schedule sets when Tick handles the flow next.
func (r *Relay) schedule(f *flow, due time.Duration) {
	f.due = due
	if f.index > 0 {
		heap.Fix(&r.timers, f.index-1)
		return
	}
	heap.Push(&r.timers, f)
}

// removeFlow removes a flow from the table.
func (r *Relay) removeFlow(f *flow) {
	f.detach()
	if f.state == stateHeld {
		r.removeHeld(f)
	}
	f.waiting = false
	f.count()
	delete(r.flows, f.key)
	if f.index > 0 {
		heap.Remove(&r.timers, f.index-1)
	}
	r.freeFlows = append(r.freeFlows, f)
}

// timerHeap is a min-heap of flows by due time.
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
