package lab

import (
	"slices"
	"time"

	"toucangap/internal/config"
)

// Outcome is the result of a request for its caller.
type Outcome uint8

// Possible outcomes.
const (
	// OutcomeAnswered: an endpoint answered.
	OutcomeAnswered Outcome = iota
	// OutcomeRefused: a host reported the request as not run.
	OutcomeRefused
	// OutcomeShed: an endpoint reported the request as not run.
	OutcomeShed
	// OutcomeUnknown: a host reported that the outcome is unknown.
	OutcomeUnknown
	// OutcomeNone: the caller got no answer.
	OutcomeNone
	outcomeCount
)

// Second counts the requests of a service that were sent in one second of the
// run.
type Second struct {
	Offered int
	// Good counts requests answered within their deadline.
	Good     int
	Outcomes [outcomeCount]int
}

// Tally counts requests by service and by the second in which they were sent.
type Tally struct {
	world   *World
	seconds map[config.ServiceID]map[int]*Second
	// latencies holds response times by service.
	latencies map[config.ServiceID][]time.Duration
}

func newTally(w *World) *Tally {
	return &Tally{
		world:     w,
		seconds:   make(map[config.ServiceID]map[int]*Second),
		latencies: make(map[config.ServiceID][]time.Duration),
	}
}

// second returns the counts for the second in which a request was sent.
func (t *Tally) second(f *Flow, r *request) *Second {
	bySecond := t.seconds[f.service.ID]
	if bySecond == nil {
		bySecond = make(map[int]*Second)
		t.seconds[f.service.ID] = bySecond
	}
	i := int(r.sent / time.Second)
	if bySecond[i] == nil {
		bySecond[i] = &Second{}
	}
	return bySecond[i]
}

// recordSent records that a request is sent.
func (t *Tally) recordSent(f *Flow, r *request) { t.second(f, r).Offered++ }

// recordOutcome records the outcome of a request.
func (t *Tally) recordOutcome(f *Flow, r *request, o Outcome) {
	s := t.second(f, r)
	s.Outcomes[o]++
	if o != OutcomeAnswered {
		return
	}
	took := t.world.clock.now - r.sent
	t.latencies[f.service.ID] = append(t.latencies[f.service.ID], took)
	deadline := f.stream.Deadline
	if deadline == 0 {
		deadline = f.service.DefaultDeadline
	}
	if took <= deadline {
		s.Good++
	}
}

// Between sums a service's requests that were sent in [from, to), in whole
// seconds.
func (t *Tally) Between(id config.ServiceID, from, to time.Duration) Second {
	var sum Second
	for i := int(from / time.Second); i < int(to/time.Second); i++ {
		s := t.seconds[id][i]
		if s == nil {
			continue
		}
		sum.Offered += s.Offered
		sum.Good += s.Good
		for o, n := range s.Outcomes {
			sum.Outcomes[o] += n
		}
	}
	return sum
}

// Percentile returns a percentile of a service's response times; p is from 0
// to 1.
func (t *Tally) Percentile(id config.ServiceID, p float64) time.Duration {
	values := t.latencies[id]
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}
