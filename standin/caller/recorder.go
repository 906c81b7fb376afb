package caller

import (
	"net/netip"
	"sync"
	"time"
)

// Kind tells whether a request is safe to run more than once.
type Kind uint8

// The request kinds.
const (
	Idempotent Kind = iota + 1
	NonIdempotent
)

// Outcome is the result of a request as its caller sees it.
type Outcome uint8

// The request outcomes.
const (
	// Answered requests got a complete answer of their own.
	Answered Outcome = iota + 1
	// Refused requests were reported as not run.
	Refused
	// Unknown requests got no answer, a reset, or an explicit unknown outcome.
	Unknown
	// Wrong requests got a response that is not the complete answer to them.
	Wrong
)

// Reason is the cause of a broken flow.
type Reason string

// The reasons for which a flow counts as broken.
const (
	// BrokenReset: the flow was reset or reported unreachable.
	BrokenReset Reason = "reset"
	// BrokenSilent: no retransmission was answered.
	BrokenSilent Reason = "silent"
	// BrokenMoved: two endpoints answered the same flow.
	BrokenMoved Reason = "moved"
)

// BrokenFlow is an established flow that broke.
type BrokenFlow struct {
	Service  string         `json:"service"`
	Caller   netip.AddrPort `json:"caller"`
	Endpoint string         `json:"endpoint"`
	Reason   Reason         `json:"reason"`
	// AtMs is the time since the start of the run in milliseconds.
	AtMs int64 `json:"at_ms"`
}

// UnknownRequest is a request whose outcome was unknown before any unplanned fault.
type UnknownRequest struct {
	Service string `json:"service"`
	ID      string `json:"id"`
	// AtMs is when it ended, since the start of the run, and TookMs how long it took, both in
	// milliseconds.
	AtMs   int64 `json:"at_ms"`
	TookMs int64 `json:"took_ms"`
}

// request is the recorded state of one request.
type request struct {
	kind    Kind
	outcome Outcome
}

// maxListedBroken limits the lists of broken flows and of requests with unknown outcomes.
const maxListedBroken = 200

// recorder collects the results that all callers observe.
type recorder struct {
	started time.Time
	// limit is the maximum number of requests of the run.
	limit int
	// plannedUntil is the time until the first unplanned fault.
	plannedUntil time.Duration

	mu          sync.Mutex
	requests    map[string]request
	services    map[string]*serviceRecord
	broken      []BrokenFlow
	brokenCount int
	// brokenBeforeFault and unknownBeforeFault count broken flows and unknown
	// outcomes before any unplanned fault.
	brokenBeforeFault  int
	unknownBeforeFault int
	// unknown lists the latter.
	unknown      []UnknownRequest
	unmatched    int
	late         int
	contradicted int
}

// serviceRecord collects the results that callers of one service observe.
type serviceRecord struct {
	flows, refusedFlows int
	// outcomes counts requests by Outcome.
	outcomes [Wrong + 1]int
	// times holds the response times of answered requests.
	times   []time.Duration
	balance balance
}

func newRecorder(o *Options) *recorder {
	return &recorder{
		started:      time.Now(),
		limit:        o.MaxRequests,
		plannedUntil: o.PlannedUntil,
		requests:     make(map[string]request),
		services:     make(map[string]*serviceRecord),
	}
}

// begin registers a request, with an unknown outcome until it ends, and returns
// true; false once the run's request limit is reached.
func (r *recorder) begin(id string, kind Kind) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.requests) >= r.limit {
		return false
	}
	r.requests[id] = request{kind: kind, outcome: Unknown}
	return true
}

// end records the outcome and duration of a request.
func (r *recorder) end(service, id string, outcome Outcome, elapsed time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.requests[id]
	known.outcome = outcome
	r.requests[id] = known
	s := r.services[service]
	s.outcomes[outcome]++
	if outcome == Unknown && r.beforeUnplannedFault() {
		r.recordUnknown(service, id, elapsed)
	}
	if outcome == Answered {
		s.times = append(s.times, elapsed)
	}
}

// recordUnknown counts an unknown outcome before any unplanned fault, and lists it if there
// is room.
func (r *recorder) recordUnknown(service, id string, elapsed time.Duration) {
	r.unknownBeforeFault++
	if len(r.unknown) < maxListedBroken {
		r.unknown = append(r.unknown, UnknownRequest{
			Service: service, ID: id, AtMs: time.Since(r.started).Milliseconds(), TookMs: elapsed.Milliseconds(),
		})
	}
}

// beforeUnplannedFault reports whether no unplanned fault has occurred yet.
func (r *recorder) beforeUnplannedFault() bool {
	return time.Since(r.started) < r.plannedUntil
}

// recordOpened counts a new flow, and recordRefused one that was refused.
func (r *recorder) recordOpened(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.services[service].flows++
}

func (r *recorder) recordRefused(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.services[service].refusedFlows++
}

// recordBroken counts a broken flow and lists it if there is room.
func (r *recorder) recordBroken(service string, caller netip.AddrPort, endpoint string, reason Reason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.brokenCount++
	if r.beforeUnplannedFault() {
		r.brokenBeforeFault++
	}
	if len(r.broken) < maxListedBroken {
		r.broken = append(r.broken, BrokenFlow{
			Service: service, Caller: caller, Endpoint: endpoint,
			Reason: reason, AtMs: time.Since(r.started).Milliseconds(),
		})
	}
}

// recordUnmatched counts a packet that matches no request of its flow.
func (r *recorder) recordUnmatched() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unmatched++
}

// recordLate counts a packet for a completed request; contradicts tells whether
// it disagrees with the recorded outcome.
func (r *recorder) recordLate(contradicts bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.late++
	if contradicts {
		r.contradicted++
	}
}

// updateBalance calls update with the balance of a service, under the lock.
func (r *recorder) updateBalance(service string, update func(*balance)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	update(&r.services[service].balance)
}
