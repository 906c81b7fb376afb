package site

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Second is what callers got of the requests asked within one second.
type Second struct {
	Asked, Answered, Failed int
}

// Result is what callers and endpoints saw.
type Result struct {
	mu        sync.Mutex
	Seconds   []Second
	Times     metrics.Histogram `json:"-"`
	Malformed int
	// Cut counts open flows that hosts reset.
	Cut        int
	Violations []string
	Faults     []string
}

// sampleSize is the number of times to answer that are kept.
const sampleSize = 4096

func newResult() *Result {
	return &Result{Times: metrics.NewHistogram(metrics.NewUniformSample(sampleSize))}
}

func (r *Result) second(asked time.Duration) *Second {
	n := int(asked / time.Second)
	for len(r.Seconds) <= n {
		r.Seconds = append(r.Seconds, Second{})
	}
	return &r.Seconds[n]
}

func (r *Result) asked(at time.Duration) { r.second(at).Asked++ }

func (r *Result) answered(asked, took time.Duration) {
	r.second(asked).Answered++
	r.Times.Update(took.Microseconds())
}

func (r *Result) failed(asked time.Duration) { r.second(asked).Failed++ }

// violate notes what must not have happened.
func (r *Result) violate(now time.Duration, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Violations = append(r.Violations, fmt.Sprintf("%7.3f s  %s", now.Seconds(), text))
}

func (r *Result) violateNow(s *Site, text string) { r.violate(s.now(), text) }

// Violations returns what must not have happened so far.
func (s *Site) Violations() []string {
	s.Result.mu.Lock()
	defer s.Result.mu.Unlock()
	return slices.Clone(s.Result.Violations)
}

// Faults returns the faults so far.
func (s *Site) Faults() []string {
	s.Result.mu.Lock()
	defer s.Result.mu.Unlock()
	return slices.Clone(s.Result.Faults)
}

// Fault notes a fault for the report.
func (s *Site) Fault(text string) {
	s.Result.mu.Lock()
	defer s.Result.mu.Unlock()
	s.Result.Faults = append(s.Result.Faults, fmt.Sprintf("%7.3f s  %s", s.now().Seconds(), text))
}

// Total adds the seconds up.
func (r *Result) Total() (t Second) {
	for _, s := range r.Seconds {
		t.Asked += s.Asked
		t.Answered += s.Answered
		t.Failed += s.Failed
	}
	return t
}
