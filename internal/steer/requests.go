package steer

import (
	"container/heap"

	"toucangap/internal/flow"
)

// requestKey identifies a request within a host.
type requestKey struct {
	fp    flow.Fingerprint
	token Token
}

// requestState is the state of a request.
type requestState uint8

const (
	// requestOpen: forwarded and not yet answered.
	requestOpen requestState = iota
	// requestAnswered: answered by the endpoint, or handed over.
	requestAnswered
	// requestNotRun: refused and never forwarded.
	requestNotRun
	// requestUnknown: abandoned after it had been forwarded.
	requestUnknown
)

// request is one request of a flow that this host owns.
type request struct {
	key      requestKey
	flow     flow.Key
	message  CoAP
	endpoint *Endpoint
	admitted Time
	deadline Time
	// ahead is how many requests the endpoint had open at admission.
	ahead int
	state requestState
	// retryAfter is the retry delay sent with a refusal.
	retryAfter Time
	// heapIndex is the request's index in the deadline heap while it is open.
	heapIndex int
}

// requestTable holds the open requests by deadline, and finished ones for the
// retransmission window, so that each request has a single outcome.
type requestTable struct {
	byKey    map[requestKey]*request
	open     deadlineHeap
	finished []finishedRequest
}

// finishedRequest is a finished request and when it is removed.
type finishedRequest struct {
	request  *request
	forgetAt Time
}

func newRequestTable() requestTable {
	return requestTable{byKey: make(map[requestKey]*request)}
}

// get returns the request, or nil.
func (t *requestTable) get(key requestKey) *request {
	return t.byKey[key]
}

// add inserts an open request, replacing a finished one with the same token.
func (t *requestTable) add(r *request) {
	t.byKey[r.key] = r
	heap.Push(&t.open, r)
}

// addFinished inserts a request that was never open.
func (t *requestTable) addFinished(now Time, r *request, state requestState) {
	r.state = state
	t.byKey[r.key] = r
	t.finished = append(t.finished, finishedRequest{r, now + RetransmitWindow})
}

// finish ends an open request with an outcome.
func (t *requestTable) finish(now Time, r *request, state requestState) {
	heap.Remove(&t.open, r.heapIndex)
	r.state = state
	t.finished = append(t.finished, finishedRequest{r, now + RetransmitWindow})
}

// expired returns an open request whose deadline has passed, or nil.
func (t *requestTable) expired(now Time) *request {
	if len(t.open) == 0 || t.open[0].deadline > now {
		return nil
	}
	return t.open[0]
}

// forget removes the finished requests whose retransmission window has passed.
func (t *requestTable) forget(now Time) {
	n := 0
	for n < len(t.finished) && t.finished[n].forgetAt <= now {
		r := t.finished[n].request
		if t.byKey[r.key] == r {
			delete(t.byKey, r.key)
		}
		n++
	}
	rest := copy(t.finished, t.finished[n:])
	clear(t.finished[rest:])
	t.finished = t.finished[:rest]
}

// deadlineHeap implements heap.Interface with the earliest deadline first.
type deadlineHeap []*request

// Len implements heap.Interface.
func (h deadlineHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h deadlineHeap) Less(i, j int) bool { return h[i].deadline < h[j].deadline }

// Swap implements heap.Interface.
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	r := x.(*request)
	r.heapIndex = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	old := *h
	n := len(old)
	r := old[n-1]
	old[n-1] = nil
	*h = old[:n-1]
	return r
}
