package emu

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"toucangap/standin/ends"
)

// Counts counts requests by outcome and sums their worth. MaxWorth is the worth if
// all requests had been answered within their targets.
type Counts struct {
	Requests, InTarget, Late, Failed int
	Worth, MaxWorth                  float64
}

// Result is what callers observed.
type Result struct {
	// Classes holds the counts by name of the class.
	Classes map[string]*Counts
	// Seconds counts requests by the second of their start, ClassSeconds those of a class.
	Seconds      []Counts
	ClassSeconds map[string][]Counts
	// times are the times from the start of a request to its answer.
	times []time.Duration
	// All of these must be 0: wrong answers, requests that ran twice or at another
	// service, forged packets, and open flows that a host reset while their endpoint
	// was running.
	Wrong, RanTwice, WrongService, Forged, ResetAtLive int
	// ResetElsewhere must be 0, too: open flows that one endpoint reset while another one,
	// which holds the flow, was running. It counts while hosts are undisturbed: the host
	// that knows a flow's endpoint may have been killed before it could tell anyone.
	ResetElsewhere int
	// Resets counts flows reset by hosts.
	Resets int
}

func newResult(classes []Class) *Result {
	r := &Result{Classes: make(map[string]*Counts), ClassSeconds: make(map[string][]Counts)}
	for _, c := range classes {
		r.Classes[c.Name] = &Counts{}
	}
	return r
}

// countsFor returns the counts of the request's class, of the second of its start, and of
// the class in that second.
func (r *Result) countsFor(q *request) []*Counts {
	for len(r.Seconds) <= q.second {
		r.Seconds = append(r.Seconds, Counts{})
	}
	seconds := r.ClassSeconds[q.class.Name]
	for len(seconds) <= q.second {
		seconds = append(seconds, Counts{})
	}
	r.ClassSeconds[q.class.Name] = seconds
	return []*Counts{r.Classes[q.class.Name], &r.Seconds[q.second], &seconds[q.second]}
}

func (r *Result) started(q *request) {
	q.second = int(q.started / time.Second)
	for _, c := range r.countsFor(q) {
		c.Requests++
		c.MaxWorth += q.class.Worth
	}
}

func (r *Result) answered(q *request, took time.Duration) {
	r.times = append(r.times, took)
	for _, c := range r.countsFor(q) {
		if took <= q.class.Target {
			c.InTarget++
			c.Worth += q.class.Worth
			continue
		}
		c.Late++
		c.Worth += q.class.LateWorth
	}
}

func (r *Result) failed(q *request) {
	for _, c := range r.countsFor(q) {
		c.Failed++
	}
}

// checkAttempt counts the violations seen on an attempt.
func (r *Result) checkAttempt(em *Emulator, t *attempt) {
	if t.Outcome() == ends.Wrong {
		r.Wrong++
	}
	if em.now >= em.disturbedUntil && t.ResetByEndpoint && t.Outcome() == ends.Broken && em.heldByLiveEndpoint(t) {
		r.ResetElsewhere++
	}
	if !t.ResetByHost {
		return
	}
	r.Resets++
	if t.Outcome() == ends.Broken && em.heldByLiveEndpoint(t) {
		r.ResetAtLive++
	}
}

// heldByLiveEndpoint reports whether a running endpoint holds the attempt's flow.
func (em *Emulator) heldByLiveEndpoint(t *attempt) bool {
	for _, e := range em.endpoints {
		if !e.Down && e.Holds(t.Flow()) {
			return true
		}
	}
	return false
}

// add adds other counts.
func (c *Counts) add(other Counts) {
	c.Requests += other.Requests
	c.InTarget += other.InTarget
	c.Late += other.Late
	c.Failed += other.Failed
	c.Worth += other.Worth
	c.MaxWorth += other.MaxWorth
}

// Total returns the sum over all classes.
func (r *Result) Total() (t Counts) {
	for _, c := range r.Classes {
		t.add(*c)
	}
	return t
}

// Share returns the worth that callers got as a fraction of the possible worth.
func (c Counts) Share() float64 {
	if c.MaxWorth == 0 {
		return 1
	}
	return c.Worth / c.MaxWorth
}

// Quantile returns the quantile q, from 0 to 1, of the times from the start of a
// request to its answer.
func (r *Result) Quantile(q float64) time.Duration {
	if len(r.times) == 0 {
		return 0
	}
	slices.Sort(r.times)
	return r.times[min(len(r.times)-1, int(q*float64(len(r.times))))]
}

// Violations describes the counters that must be 0 and aren't; it is empty if all
// are 0.
func (r *Result) Violations() string {
	var found []string
	for _, v := range []struct {
		name string
		n    int
	}{
		{"wrong answers", r.Wrong}, {"ran twice", r.RanTwice}, {"other service", r.WrongService},
		{"forged packets", r.Forged}, {"flows reset at living endpoints", r.ResetAtLive},
		{"flows reset by another endpoint", r.ResetElsewhere},
	} {
		if v.n > 0 {
			found = append(found, fmt.Sprintf("%s: %d", v.name, v.n))
		}
	}
	return strings.Join(found, ", ")
}
