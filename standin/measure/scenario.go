package measure

import (
	"time"

	"toucangap/internal/config"
	"toucangap/standin/lab"
)

// Group determines the targets that a scenario is checked against.
type Group string

// The groups of scenarios.
const (
	GroupSteady      Group = "steady"
	GroupPlanned     Group = "planned change"
	GroupKill        Group = "host killed"
	GroupKillReplace Group = "host killed during a replacement"
	GroupDegraded    Group = "slow and false endpoints"
	GroupOverload    Group = "overload"
	GroupFault       Group = "pauses and cuts"
)

// Scenario describes one event at a site under traffic.
type Scenario struct {
	Name  string
	Group Group
	// SingleSize limits the scenario to singleSize open flows. MaxFlows limits
	// the number of open flows unless it is 0.
	SingleSize bool
	MaxFlows   int
	// Baselines reports whether the scenario is also run with the baselines.
	Baselines bool
	// Configure modifies the initial bundle.
	Configure func(Size, *config.Bundle)
	// Streams replaces the normal traffic.
	Streams func(Size) []lab.Stream
	// Action triggers the event; it may advance virtual time.
	Action func(*ScenarioRun)
	// ObservationTime is how long the run continues after Action.
	ObservationTime time.Duration
	// Finish collects the scenario's own results at the end of the run.
	Finish func(*ScenarioRun)
}

// streams returns the scenario's traffic.
func (sc Scenario) streams(z Size) []lab.Stream {
	if sc.Streams != nil {
		return sc.Streams(z)
	}
	return z.streams()
}

// settleTime is how long a run continues after a change: long enough for callers
// to give up on unacknowledged segments.
const settleTime = 90 * time.Second

// Scenarios returns the table of scenarios.
func Scenarios() []Scenario {
	out := []Scenario{
		{Name: "steady", Group: GroupSteady, Baselines: true, ObservationTime: 2 * time.Minute},
		{Name: "drain", Group: GroupPlanned, Baselines: true, Action: drainEndpoints, ObservationTime: settleTime},
		{Name: "join", Group: GroupPlanned, Baselines: true, Action: addEndpoints, ObservationTime: settleTime},
		{Name: "stop", Group: GroupPlanned, Baselines: true, Action: stopGracefully, ObservationTime: settleTime},
		{Name: "rolling", Group: GroupPlanned, Baselines: true, Action: replaceAllHosts, ObservationTime: settleTime},
		{Name: "rollout", Group: GroupPlanned, Baselines: true, Action: changeWeights, ObservationTime: settleTime},
		{Name: "remove", Group: GroupPlanned, MaxFlows: longLivedFlows, Configure: setShortIdle, Streams: shortFlows, Action: removeEndpoints, ObservationTime: settleTime},
		{Name: "kill", Group: GroupKill, Baselines: true, Action: killHost, ObservationTime: settleTime},
		{Name: "kill-while-leaving", Group: GroupKillReplace, Action: killWhileLeaving, ObservationTime: settleTime},
		{Name: "kill-while-joining", Group: GroupKillReplace, Action: killWhileJoining, ObservationTime: settleTime},
	}
	out = append(out, degradedScenarios()...)
	out = append(out, faultScenarios()...)
	return append(out, overloadScenarios()...)
}

// The indexes of the endpoints that scenarios act on. The indexes of hosts
// depend on the seed.
const (
	drainedIndex      = 3
	reweightedIndex   = 5
	slowIndex         = 2
	misreportingIndex = 6
)

// targetHost returns the host that a scenario acts on.
func (s *ScenarioRun) targetHost() *lab.Host { return s.host(int(s.Seed)) }

// otherHost returns a host other than the target host.
func (s *ScenarioRun) otherHost() *lab.Host { return s.host(int(s.Seed) + 1) }

// drainEndpoints drains an endpoint of each service through one host.
func drainEndpoints(s *ScenarioRun) {
	for _, id := range services {
		e := s.endpoint(id, drainedIndex)
		s.trackLeaving(e)
		s.Simulation.Drain(s.targetHost(), e, true)
	}
}

// addEndpoints adds an endpoint to each service by a new bundle.
func addEndpoints(s *ScenarioRun) {
	next := s.nextBundle()
	for i := range next.Services {
		service := &next.Services[i]
		service.Endpoints = append(service.Endpoints, newEndpoint(service))
	}
	s.rollOutBundle(next)
}

// newEndpoint returns an endpoint that the service does not have yet.
func newEndpoint(service *config.Service) config.Endpoint {
	e := service.Endpoints[0]
	index := len(service.Endpoints) + 1
	e.ID = config.EndpointID(index)
	e.Name = service.Name + "-new"
	e.Address = newEndpointAddress(service, index)
	return e
}

// stopGracefully shuts a host down gracefully and does not restart it.
func stopGracefully(s *ScenarioRun) { s.stopHost(s.targetHost()) }

// replaceInterval is the time for a replaced host to join before the next one
// stops.
const replaceInterval = 15 * time.Second

// replaceAllHosts replaces all hosts one after another.
func replaceAllHosts(s *ScenarioRun) {
	for _, h := range s.Simulation.Hosts() {
		s.stopHost(h)
		s.Simulation.Run(time.Second)
		s.Simulation.Start(h)
		s.Simulation.Run(replaceInterval)
	}
}

// changeWeights changes weights by two bundles. The second one starts to arrive
// before all hosts have the first.
func changeWeights(s *ScenarioRun) {
	for range 2 {
		next := s.nextBundle()
		for i := range next.Services {
			endpoints := next.Services[i].Endpoints
			endpoints[reweightedIndex%len(endpoints)].Weight++
		}
		s.rollOutBundle(next)
		s.Simulation.Run(rolloutSpread / 2)
	}
}

// shortFlowLifetime is the mean lifetime of flows in runs that wait for them to
// end.
const shortFlowLifetime = 15 * time.Second

// shortFlows returns the normal traffic with short-lived flows.
func shortFlows(z Size) []lab.Stream { return z.withFlowLifetime(shortFlowLifetime) }

// shortIdleTime is the hosts' idle timeout of flows in runs with short-lived
// flows; the end of a flow of requests is not visible in its packets.
const shortIdleTime = time.Minute

func setShortIdle(_ Size, b *config.Bundle) { b.Limits.FlowIdle = shortIdleTime }

// maxDrainTime limits how long a run waits for the flows of endpoints to end.
const maxDrainTime = 5 * time.Minute

// removeEndpoints removes an endpoint of each service: it sets the weight to 0
// and, when the endpoint's flows have ended, rolls out a bundle without it.
func removeEndpoints(s *ScenarioRun) {
	var leaving []*lab.Endpoint
	next := s.nextBundle()
	for i := range next.Services {
		service := &next.Services[i]
		index := drainedIndex % len(service.Endpoints)
		service.Endpoints[index].Weight = 0
		leaving = append(leaving, s.endpoint(service.ID, index))
	}
	s.Simulation.Rollout(next, 0)
	for _, e := range leaving {
		s.trackLeaving(e)
	}
	s.waitUntilEmpty(leaving)
	next = s.nextBundle()
	for i := range next.Services {
		service := &next.Services[i]
		index := drainedIndex % len(service.Endpoints)
		service.Endpoints = append(service.Endpoints[:index], service.Endpoints[index+1:]...)
	}
	s.rollOutBundle(next)
}

// waitUntilEmpty advances virtual time until the endpoints have no flows.
func (s *ScenarioRun) waitUntilEmpty(endpoints []*lab.Endpoint) {
	limit := s.Simulation.Now() + maxDrainTime
	for s.Simulation.Now() < limit {
		held := 0
		for _, e := range endpoints {
			held += s.Simulation.LoadSampler().Flows(e)
		}
		if held == 0 {
			return
		}
		s.Simulation.Run(time.Second)
	}
}

// killHost kills a host's process.
func killHost(s *ScenarioRun) { s.Simulation.Kill(s.targetHost()) }

// killWhileLeaving kills a host while another one hands over its flows.
func killWhileLeaving(s *ScenarioRun) {
	s.Simulation.GracefulShutdown(s.targetHost())
	s.Simulation.Run(time.Second)
	s.Simulation.Kill(s.otherHost())
}

// killWhileJoining kills a host while the replacement of another one is joining.
func killWhileJoining(s *ScenarioRun) {
	s.stopHost(s.targetHost())
	s.Simulation.Start(s.targetHost())
	s.Simulation.Run(3 * time.Second)
	s.Simulation.Kill(s.otherHost())
}

// isLeaving reports whether an endpoint is to take no new flows.
func (s *ScenarioRun) isLeaving(e *lab.Endpoint) bool {
	for _, d := range s.leavingEndpoints {
		if d.endpoint == e {
			return true
		}
	}
	return false
}
