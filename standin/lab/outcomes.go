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
	// Offered counts the requests sent.
	Offered int
	// InTime counts requests answered within their deadline.
	InTime int
	// Outcomes counts the requests by Outcome.
	Outcomes [outcomeCount]int
}

// OutcomeCounts counts requests by service and by the second in which they were
// sent.
type OutcomeCounts struct {
	simulation *Simulation
	seconds    map[config.ServiceID]map[int]*Second
	// latencies holds response times by service.
	latencies map[config.ServiceID][]time.Duration
}

func newOutcomeCounts(sim *Simulation) *OutcomeCounts {
	return &OutcomeCounts{
		simulation: sim,
		seconds:    make(map[config.ServiceID]map[int]*Second),
		latencies:  make(map[config.ServiceID][]time.Duration),
	}
}

// second returns the counts for the second in which a request was sent.
func (c *OutcomeCounts) second(f *Flow, r *request) *Second {
	bySecond := c.seconds[f.service.ID]
	if bySecond == nil {
		bySecond = make(map[int]*Second)
		c.seconds[f.service.ID] = bySecond
	}
	i := int(r.sent / time.Second)
	if bySecond[i] == nil {
		bySecond[i] = &Second{}
	}
	return bySecond[i]
}

// recordSent records that a request is sent.
func (c *OutcomeCounts) recordSent(f *Flow, r *request) { c.second(f, r).Offered++ }

// recordOutcome records the outcome of a request.
func (c *OutcomeCounts) recordOutcome(f *Flow, r *request, o Outcome) {
	s := c.second(f, r)
	s.Outcomes[o]++
	if o != OutcomeAnswered {
		return
	}
	took := c.simulation.clock.now - r.sent
	c.latencies[f.service.ID] = append(c.latencies[f.service.ID], took)
	deadline := f.stream.Deadline
	if deadline == 0 {
		deadline = f.service.DefaultDeadline
	}
	if took <= deadline {
		s.InTime++
	}
}

// Between sums a service's requests that were sent in [from, to), in whole
// seconds.
func (c *OutcomeCounts) Between(id config.ServiceID, from, to time.Duration) Second {
	var sum Second
	for i := int(from / time.Second); i < int(to/time.Second); i++ {
		s := c.seconds[id][i]
		if s == nil {
			continue
		}
		sum.Offered += s.Offered
		sum.InTime += s.InTime
		for o, n := range s.Outcomes {
			sum.Outcomes[o] += n
		}
	}
	return sum
}

// Percentile returns a percentile of a service's response times, or 0 if there
// are none; p is from 0 to 1.
func (c *OutcomeCounts) Percentile(id config.ServiceID, p float64) time.Duration {
	values := c.latencies[id]
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}
