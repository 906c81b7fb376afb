package measure

import (
	"time"

	"toucangap/internal/config"
	"toucangap/standin/lab"
)

// services lists the services of the lab in order.
var services = []serviceID{lab.ServiceSessions, lab.ServiceUrgent, lab.ServiceNormal}

// The phases of a run before the scenario's action: the hosts start and join,
// flows open, and the traffic settles.
const (
	bootTime    = 75 * time.Second
	minFillTime = 10 * time.Second
	// maxFillRate limits the flows opened per second during the fill phase, so
	// that their first requests do not exceed the slots.
	maxFillRate = 500
	// warmTime lets the traffic reach a steady state.
	warmTime = 30 * time.Second
)

// ScenarioRun is the state of one run of a scenario.
type ScenarioRun struct {
	Simulation *lab.Simulation
	Size       Size
	Seed       uint64
	// ActionStart is when the scenario's action started, End when the run ended.
	ActionStart, End time.Duration
	sampler          *sampler
	// leavingEndpoints holds the endpoints that are to get no new flows.
	leavingEndpoints []*leavingEndpoint
	figures          *Figures
	// degraded holds the endpoints that are slow or misreport their load; they
	// are excluded from the imbalance.
	degraded map[*lab.Endpoint]bool
	// runsAtStart holds the number of requests that each endpoint had run when
	// the action started.
	runsAtStart map[*lab.Endpoint]int
}

// leavingEndpoint tracks an endpoint that is to take no new flows after a grace
// period.
type leavingEndpoint struct {
	endpoint *lab.Endpoint
	// newFlowsAtGrace is the count of new flows at the end of the grace period.
	newFlowsAtGrace int
	graceOver       bool
}

// drainGrace is the grace period in which a leaving endpoint may get new flows.
const drainGrace = 3 * time.Second

// trackLeaving starts tracking a leaving endpoint.
func (s *ScenarioRun) trackLeaving(e *lab.Endpoint) {
	leaving := &leavingEndpoint{endpoint: e}
	s.leavingEndpoints = append(s.leavingEndpoints, leaving)
	s.Simulation.After(drainGrace, func() {
		leaving.newFlowsAtGrace = e.NewFlows()
		leaving.graceOver = true
	})
}

// lateFlows returns the number of new flows at leaving endpoints after the grace
// period.
func (s *ScenarioRun) lateFlows() int {
	n := 0
	for _, d := range s.leavingEndpoints {
		if d.graceOver {
			n += d.endpoint.NewFlows() - d.newFlowsAtGrace
		}
	}
	return n
}

// host returns the host at an index modulo the number of hosts.
func (s *ScenarioRun) host(i int) *lab.Host {
	hosts := s.Simulation.Hosts()
	return hosts[i%len(hosts)]
}

// endpoint returns a service's endpoint at an index modulo their number.
func (s *ScenarioRun) endpoint(id serviceID, i int) *lab.Endpoint {
	endpoints := s.Simulation.Endpoints(id)
	return endpoints[i%len(endpoints)]
}

// maxStopTime limits how long a run waits for a graceful shutdown.
const maxStopTime = 2 * time.Minute

// stopHost shuts a host down gracefully and waits until its process has ended.
func (s *ScenarioRun) stopHost(h *lab.Host) {
	s.Simulation.GracefulShutdown(h)
	limit := s.Simulation.Now() + maxStopTime
	for h.Alive() && s.Simulation.Now() < limit {
		s.Simulation.Run(time.Second)
	}
	if h.Alive() {
		s.figures.Notes = append(s.figures.Notes, "graceful shutdown did not finish: "+h.Name)
		s.Simulation.Kill(h)
	}
}

// nextBundle returns a copy of the newest bundle with the next version; its
// services may be modified.
func (s *ScenarioRun) nextBundle() *config.Bundle {
	next := *s.Simulation.Bundle()
	next.Version++
	next.Services = append([]config.Service(nil), next.Services...)
	for i := range next.Services {
		next.Services[i].Endpoints = append([]config.Endpoint(nil), next.Services[i].Endpoints...)
	}
	return &next
}

// rolloutSpread is the period in which a bundle reaches all hosts.
const rolloutSpread = 5 * time.Second

// rollOutBundle delivers a bundle to the hosts at different times.
func (s *ScenarioRun) rollOutBundle(b *config.Bundle) {
	s.Simulation.Rollout(b, rolloutSpread)
}

// newScenarioRun returns the state of a run whose flows have not opened yet.
func newScenarioRun(sim *lab.Simulation, z Size, seed uint64) *ScenarioRun {
	return &ScenarioRun{
		Simulation:  sim,
		Size:        z,
		Seed:        seed,
		sampler:     newSampler(sim),
		figures:     &Figures{SlowShare: -1, LiarShare: -1},
		degraded:    make(map[*lab.Endpoint]bool),
		runsAtStart: make(map[*lab.Endpoint]int),
	}
}

// startRun starts a simulation and fills it with the scenario's traffic.
func startRun(z Size, seed uint64, sc Scenario, newPolicy lab.NewPolicy) *ScenarioRun {
	bundle := z.Site.Bundle()
	if sc.Configure != nil {
		sc.Configure(z, bundle)
	}
	sim := lab.New(lab.Config{Seed: seed, Bundle: bundle, Domains: z.Site.HostDomains(), Policy: newPolicy})
	s := newScenarioRun(sim, z, seed)
	sim.Run(bootTime)
	fillDuration := max(minFillTime, time.Duration(z.Flows/maxFillRate)*time.Second)
	for _, stream := range sc.streams(z) {
		sim.Callers().Prefill(stream, int(stream.PerSecond*stream.Lifetime.Seconds()), fillDuration)
		sim.Callers().Start(stream)
	}
	sim.Run(fillDuration + warmTime)
	return s
}

// runScenario runs a scenario from boot and returns its results.
func runScenario(z Size, seed uint64, sc Scenario, newPolicy lab.NewPolicy) *Figures {
	s := startRun(z, seed, sc, newPolicy)
	s.startAction(sc)
	s.Simulation.Run(sc.ObservationTime)
	if sc.Finish != nil {
		sc.Finish(s)
	}
	s.End = s.Simulation.Now()
	s.sampler.stopped = true
	s.Simulation.Callers().Finish()
	return s.collect()
}

// startAction records the state of the run and starts the scenario's action.
func (s *ScenarioRun) startAction(sc Scenario) {
	s.ActionStart = s.Simulation.Now()
	s.figures.Held = s.Simulation.Callers().OpenFlows()
	s.figures.BrokenBefore = s.Simulation.Callers().Result.Broken
	for _, id := range services {
		for _, e := range s.Simulation.Endpoints(id) {
			s.runsAtStart[e] = e.Runs
		}
	}
	s.sampler.restart()
	if sc.Action != nil {
		sc.Action(s)
	}
}
