package site

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Second counts the requests that were started within one second, by outcome.
type Second struct {
	Asked, Answered, Failed int
}

// Result is what callers and endpoints observed.
type Result struct {
	mu sync.Mutex
	// Seconds holds the counts by second since the start of the site.
	Seconds []Second
	// Times are the times from the start of a request to its answer, in microseconds.
	Times metrics.Histogram `json:"-"`
	// Malformed counts packets to callers that could not be decoded.
	Malformed int
	// FlowsReset counts established flows reset by hosts.
	FlowsReset int
	// Violations and Faults describe each violated invariant and injected fault, with
	// the time since the start of the site.
	Violations []string
	Faults     []string
}

// sampleSize is the size of the uniform sample that percentiles are taken from.
const sampleSize = 4096

func newResult() *Result {
	return &Result{Times: metrics.NewHistogram(metrics.NewUniformSample(sampleSize))}
}

// second returns the counts for requests started at the given time.
func (r *Result) second(asked time.Duration) *Second {
	n := int(asked / time.Second)
	for len(r.Seconds) <= n {
		r.Seconds = append(r.Seconds, Second{})
	}
	return &r.Seconds[n]
}

func (r *Result) started(at time.Duration) { r.second(at).Asked++ }

func (r *Result) answered(asked, took time.Duration) {
	r.second(asked).Answered++
	r.Times.Update(took.Microseconds())
}

func (r *Result) failed(asked time.Duration) { r.second(asked).Failed++ }

// recordViolation records a violation with its time.
func (r *Result) recordViolation(now time.Duration, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Violations = append(r.Violations, fmt.Sprintf("%7.3f s  %s", now.Seconds(), text))
}

func (r *Result) recordViolationNow(s *Site, text string) { r.recordViolation(s.now(), text) }

// Violations returns the violations recorded so far.
func (s *Site) Violations() []string {
	s.Result.mu.Lock()
	defer s.Result.mu.Unlock()
	return slices.Clone(s.Result.Violations)
}

// Faults returns the faults recorded so far.
func (s *Site) Faults() []string {
	s.Result.mu.Lock()
	defer s.Result.mu.Unlock()
	return slices.Clone(s.Result.Faults)
}

// RecordFault records a fault for the report, with the current time.
func (s *Site) RecordFault(text string) { s.recordFault(s.now(), text) }

func (s *Site) recordFault(now time.Duration, text string) {
	s.Result.mu.Lock()
	defer s.Result.mu.Unlock()
	s.Result.Faults = append(s.Result.Faults, fmt.Sprintf("%7.3f s  %s", now.Seconds(), text))
}

// Total returns the sum over all seconds.
func (r *Result) Total() (t Second) {
	for _, s := range r.Seconds {
		t.Asked += s.Asked
		t.Answered += s.Answered
		t.Failed += s.Failed
	}
	return t
}
