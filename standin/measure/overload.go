package measure

import (
	"fmt"
	"time"

	"toucangap/internal/config"
	"toucangap/standin/lab"
)

// The phases of an overload.
const (
	capacityTime = 20 * time.Second
	overloadTime = 20 * time.Second
	// rampTime is the start of a phase that is excluded from measurement.
	rampTime = 5 * time.Second
	// maxRecoveryTime is the time after an overload in which goodput must recover.
	maxRecoveryTime = 5 * time.Second
	recoveredTime   = 10 * time.Second
	// drainTime lets the burst at capacity end before the overload starts.
	drainTime = 5 * time.Second
)

// The traffic of an overload.
const (
	// totalRequestLimit is the limit in requests per second of all hosts
	// together in scenarios that exceed it.
	totalRequestLimit = 400
	// burstInterval is the mean time between the requests of a flow in a burst.
	burstInterval = time.Second
	// burstDeadline is the deadline that callers set in a burst.
	burstDeadline = time.Second
	burstOpenTime = 500 * time.Millisecond
	// urgentLimitShare is the fraction of the hosts' limit that the urgent class
	// offers under overload; the normal class offers the rest of the load.
	urgentLimitShare = 0.75
)

// offeredRate is the rate of offered requests per second of each class.
type offeredRate struct {
	urgent, normal float64
}

// overloadScenarios offer more requests than the hosts' limit or the endpoints'
// slots allow.
func overloadScenarios() []Scenario {
	var out []Scenario
	for _, factor := range []float64{2, 5, 10} {
		out = append(out, limitOverload(factor), slotOverload(factor))
	}
	return out
}

// limitOverload exceeds the hosts' limit, which both classes share.
func limitOverload(factor float64) Scenario {
	urgent := totalRequestLimit * urgentLimitShare
	sc := overloadScenario(fmt.Sprintf("overload-limit-%gx", factor),
		offeredRate{urgent / 2, totalRequestLimit - urgent/2},
		offeredRate{urgent, totalRequestLimit*factor - urgent})
	sc.Configure = func(z Size, b *config.Bundle) {
		b.Limits.RequestsPerSecond = totalRequestLimit / z.Site.Hosts
	}
	return sc
}

// slotOverload exceeds the capacity of the urgent endpoints' slots.
func slotOverload(factor float64) Scenario {
	rate := float64(lab.Solaris.Urgent) * slotsPerEndpoint * requestsPerSlotSecond
	return overloadScenario(fmt.Sprintf("overload-slots-%gx", factor),
		offeredRate{urgent: rate}, offeredRate{urgent: rate * factor})
}

func overloadScenario(name string, capacity, overloadRate offeredRate) Scenario {
	return Scenario{
		Name:       name,
		Group:      GroupOverload,
		SingleSize: true,
		Streams:    backgroundTraffic,
		Action:     func(s *ScenarioRun) { s.measureOverload(capacity, overloadRate) },
	}
}

// backgroundFlows is the number of open flows apart from the overload.
const backgroundFlows = 60

// backgroundTraffic returns light traffic of all services.
func backgroundTraffic(z Size) []lab.Stream {
	return Size{Site: z.Site, Flows: backgroundFlows}.streams()
}

// measureOverload measures goodput at capacity, under overload and after it.
func (s *ScenarioRun) measureOverload(capacity, overload offeredRate) {
	g := &Goodput{}
	s.figures.Goodput = g
	from, to := s.burst(capacity, capacityTime)
	atCapacity := s.totalRequestCounts(from, to)
	g.Before = rate(atCapacity.InTime, from, to)
	s.Simulation.Run(drainTime)
	from, to = s.burst(overload, overloadTime)
	s.Simulation.Run(maxRecoveryTime + recoveredTime + rampTime)
	during := s.totalRequestCounts(from, to)
	g.During = rate(during.InTime, from, to)
	g.UrgentServed = inTimeShare(s.requestCounts(lab.ServiceUrgent, from, to))
	g.NormalServed = inTimeShare(s.requestCounts(lab.ServiceNormal, from, to))
	from = to + maxRecoveryTime
	to = from + recoveredTime
	after := s.totalRequestCounts(from, to)
	g.After = rate(after.InTime, from, to)
	g.OfferedAfter = rate(after.Offered, from, to)
}

// burst offers requests for a time and returns the interval to measure.
func (s *ScenarioRun) burst(offered offeredRate, d time.Duration) (from, to time.Duration) {
	from = s.Simulation.Now()
	to = from + d
	s.startBurst(lab.ServiceUrgent, offered.urgent, to)
	s.startBurst(lab.ServiceNormal, offered.normal, to)
	s.Simulation.Run(d)
	return from + rampTime, to
}

func (s *ScenarioRun) startBurst(id serviceID, perSecond float64, until time.Duration) {
	stream := lab.Stream{
		Service:           id,
		Interval:          burstInterval,
		Deadline:          burstDeadline,
		NonIdempotentRate: nonIdempotentShare,
		EndAt:             until,
	}
	flows := int(perSecond * burstInterval.Seconds())
	s.Simulation.Callers().Prefill(stream, flows, burstOpenTime)
}

func (s *ScenarioRun) requestCounts(id serviceID, from, to time.Duration) lab.Second {
	return s.Simulation.Callers().OutcomeCounts().Between(id, from, to)
}

// totalRequestCounts adds up the counts of both classes.
func (s *ScenarioRun) totalRequestCounts(from, to time.Duration) lab.Second {
	a := s.requestCounts(lab.ServiceUrgent, from, to)
	b := s.requestCounts(lab.ServiceNormal, from, to)
	return lab.Second{Offered: a.Offered + b.Offered, InTime: a.InTime + b.InTime}
}

func rate(n int, from, to time.Duration) float64 {
	return float64(n) / (to - from).Seconds()
}

// inTimeShare returns the fraction of the offered requests answered in time.
func inTimeShare(s lab.Second) float64 {
	if s.Offered == 0 {
		return 1
	}
	return float64(s.InTime) / float64(s.Offered)
}
