package emu

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"toucangap/standin/ends"
)

// Counts are the requests of one class.
type Counts struct {
	Asked, InTarget, Late, Failed int
	Worth, Owed                   float64
}

// Result is what callers got.
type Result struct {
	Classes map[string]*Counts
	// Seconds is the share of worth by second of asking.
	Seconds []Counts
	times   []time.Duration
	// Wrong answers, requests that ran twice or at another service, packets that
	// their sender did not write, and open flows that a host reset although their
	// endpoint lived must all be 0.
	Wrong, Twice, Foreign, Forged, ResetAlive int
	// Resets counts flows that hosts reset.
	Resets int
}

func newResult(classes []Class) *Result {
	r := &Result{Classes: make(map[string]*Counts)}
	for _, c := range classes {
		r.Classes[c.Name] = &Counts{}
	}
	return r
}

func (r *Result) both(q *request) []*Counts {
	for len(r.Seconds) <= q.window {
		r.Seconds = append(r.Seconds, Counts{})
	}
	return []*Counts{r.Classes[q.class.Name], &r.Seconds[q.window]}
}

func (r *Result) asked(q *request) {
	q.window = int(q.asked / time.Second)
	for _, c := range r.both(q) {
		c.Asked++
		c.Owed += q.class.Worth
	}
}

func (r *Result) answered(q *request, took time.Duration) {
	r.times = append(r.times, took)
	for _, c := range r.both(q) {
		if took <= q.class.Target {
			c.InTarget++
			c.Worth += q.class.Worth
			continue
		}
		c.Late++
		c.Worth += q.class.Late
	}
}

func (r *Result) failed(q *request) {
	for _, c := range r.both(q) {
		c.Failed++
	}
}

// attempt checks how one flow ended.
func (r *Result) attempt(w *World, t *try) {
	if t.Outcome() == ends.Wrong {
		r.Wrong++
	}
	if !t.ResetByHost {
		return
	}
	r.Resets++
	if t.Outcome() == ends.Broken && w.endpointOf(t) {
		r.ResetAlive++
	}
}

// endpointOf reports whether some living endpoint holds the attempt's flow.
func (w *World) endpointOf(t *try) bool {
	for _, e := range w.endpoints {
		if !e.Down && e.Holds(t.Flow()) {
			return true
		}
	}
	return false
}

// Total adds the classes up.
func (r *Result) Total() (t Counts) {
	for _, c := range r.Classes {
		t.Asked += c.Asked
		t.InTarget += c.InTarget
		t.Late += c.Late
		t.Failed += c.Failed
		t.Worth += c.Worth
		t.Owed += c.Owed
	}
	return t
}

// Share is the worth that callers got of the worth that they asked for.
func (c Counts) Share() float64 {
	if c.Owed == 0 {
		return 1
	}
	return c.Worth / c.Owed
}

// Quantile returns a quantile of the times to answer.
func (r *Result) Quantile(q float64) time.Duration {
	if len(r.times) == 0 {
		return 0
	}
	slices.Sort(r.times)
	return r.times[min(len(r.times)-1, int(q*float64(len(r.times))))]
}

// Violations names what must not have happened.
func (r *Result) Violations() string {
	var found []string
	for _, v := range []struct {
		name string
		n    int
	}{
		{"wrong answers", r.Wrong}, {"ran twice", r.Twice}, {"other service", r.Foreign},
		{"forged packets", r.Forged}, {"flows reset at living endpoints", r.ResetAlive},
	} {
		if v.n > 0 {
			found = append(found, fmt.Sprintf("%s: %d", v.name, v.n))
		}
	}
	return strings.Join(found, ", ")
}
