package measure

import (
	"net/netip"
	"time"

	"toucangap/internal/config"
	"toucangap/standin/lab"
)

// newEndpointAddress returns an address in the lab's endpoint network that no
// other endpoint of the service has.
func newEndpointAddress(service *config.Service, lastByte int) netip.AddrPort {
	a := service.Endpoints[0].Address.Addr().As4()
	a[3] = byte(lastByte)
	return netip.AddrPortFrom(netip.AddrFrom4(a), service.Endpoints[0].Address.Port())
}

// slowFactor multiplies the service time of the slow endpoint.
const slowFactor = 3

// The loads that misreporting endpoints report.
const (
	reportedIdle = 0
	reportedFull = 1
)

// degradedScenarios have one urgent endpoint at a third of its speed and one
// that misreports its load.
func degradedScenarios() []Scenario {
	return []Scenario{
		degradedScenario("slow-and-idle-liar", reportedIdle),
		degradedScenario("slow-and-full-liar", reportedFull),
	}
}

func degradedScenario(name string, reported float64) Scenario {
	return Scenario{
		Name:            name,
		Group:           GroupDegraded,
		Streams:         func(z Size) []lab.Stream { return z.withFlowLifetime(flowLifetime) },
		Action:          func(s *ScenarioRun) { startDegraded(s, reported) },
		ObservationTime: windowLength * 6,
		Finish:          finishDegraded,
	}
}

// degradedSettleTime lets flows end that were opened before an endpoint became
// slow: two mean lifetimes of a flow.
const degradedSettleTime = 2 * flowLifetime

func startDegraded(s *ScenarioRun, reported float64) {
	slow := s.endpoint(lab.ServiceUrgent, slowIndex)
	misreporting := s.endpoint(lab.ServiceUrgent, misreportingIndex)
	slow.Slow = slowFactor
	s.Simulation.MisreportLoad(misreporting, reported)
	s.degraded[slow] = true
	s.degraded[misreporting] = true
	s.Simulation.Run(degradedSettleTime)
	s.ActionStart = s.Simulation.Now()
	s.sampler.restart()
	for _, e := range s.Simulation.Endpoints(lab.ServiceUrgent) {
		s.runsAtStart[e] = e.Runs
	}
}

// finishDegraded compares the work of the degraded endpoints with an equal share.
func finishDegraded(s *ScenarioRun) {
	s.figures.SlowShare = s.workShare(s.endpoint(lab.ServiceUrgent, slowIndex))
	s.figures.LiarShare = s.workShare(s.endpoint(lab.ServiceUrgent, misreportingIndex))
}

// workShare returns the number of requests that an endpoint ran, divided by the
// mean over the endpoints of its service.
func (s *ScenarioRun) workShare(e *lab.Endpoint) float64 {
	all := s.Simulation.Endpoints(lab.ServiceUrgent)
	total := 0
	for _, other := range all {
		total += other.Runs - s.runsAtStart[other]
	}
	if total == 0 {
		return 0
	}
	equal := float64(total) / float64(len(all))
	return float64(e.Runs-s.runsAtStart[e]) / equal
}

// partitionTime is the duration of a network partition.
const partitionTime = 20 * time.Second

// faultScenarios returns the scenarios of paused hosts and network partitions.
func faultScenarios() []Scenario {
	return []Scenario{
		pauseScenario("pause-1s", time.Second),
		pauseScenario("pause-10s", 10*time.Second),
		pauseScenario("pause-60s", time.Minute),
		{Name: "cut-one-way", Group: GroupFault, SingleSize: true, Action: partitionOneWay, ObservationTime: settleTime},
		{Name: "cut-two-way", Group: GroupFault, SingleSize: true, Action: partitionTwoWay, ObservationTime: settleTime},
		{Name: "cut-domain", Group: GroupFault, SingleSize: true, Action: partitionDomain, ObservationTime: settleTime},
	}
}

func pauseScenario(name string, d time.Duration) Scenario {
	return Scenario{
		Name:            name,
		Group:           GroupFault,
		SingleSize:      true,
		Action:          func(s *ScenarioRun) { s.Simulation.Pause(s.targetHost(), d) },
		ObservationTime: d + settleTime,
	}
}

func partitionOneWay(s *ScenarioRun) {
	s.Simulation.Block(s.targetHost().Name, s.otherHost().Name, partitionTime)
}

func partitionTwoWay(s *ScenarioRun) {
	s.Simulation.Block(s.targetHost().Name, s.otherHost().Name, partitionTime)
	s.Simulation.Block(s.otherHost().Name, s.targetHost().Name, partitionTime)
}

func partitionDomain(s *ScenarioRun) {
	s.Simulation.PartitionDomain(s.targetHost().Domain, partitionTime)
}
