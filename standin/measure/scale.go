package measure

import (
	"fmt"
	"net/netip"
	"time"

	"toucangap/internal/config"
	"toucangap/internal/flow"
	"toucangap/standin/lab"
)

// ScaleOptions sets the size of a large-scale run.
type ScaleOptions struct {
	Hosts int
	// PerHost is the number of flows held per host.
	PerHost int
	// NewPerSecond is the number of new flows per second and host.
	NewPerSecond int
	Seed         uint64
}

// Scale holds the results of a large-scale run.
type Scale struct {
	ScaleOptions
	Endpoints int
	// Held is the number of open flows before a host is killed; Opened is the
	// number of flows opened in the whole run.
	Held, Opened int
	// BrokenSteady and BrokenKill count the flows broken before and after the
	// kill.
	BrokenSteady, BrokenKill int
	// FlowRatio is the largest imbalance in any window before the kill.
	FlowRatio float64
	// ControlPeak is the maximum of control bytes sent by a host in one second.
	ControlPeak int
	Violations  int
}

// String returns the options and results as lines of text.
func (s *Scale) String() string {
	return fmt.Sprintf("%d hosts, %d endpoints, %d new flows a second and %d flows held a host, seed %d\n"+
		"held %d, opened %d, imbalance %.3f at worst, control %d B/s at worst, violations %d\n"+
		"broken in steady state: %d; after one host was killed: %d (%.3f%% of those held)",
		s.Hosts, s.Endpoints, s.NewPerSecond, s.PerHost, s.Seed,
		s.Held, s.Opened, s.FlowRatio, s.ControlPeak, s.Violations,
		s.BrokenSteady, s.BrokenKill, 100*float64(s.BrokenKill)/float64(max(1, s.Held)))
}

// The traffic and phases of a large-scale run.
const (
	scaleFlowsPerEndpoint = 1500
	scaleSteadyTime       = 30 * time.Second
	scaleKillTime         = 75 * time.Second
	scaleSegmentInterval  = 40 * time.Second
	scaleFillTime         = 20 * time.Second
	scaleWarmTime         = 30 * time.Second
)

// RunScale opens many flows per host, runs in steady state and kills one host.
func RunScale(o ScaleOptions) *Scale {
	site := lab.Fastighetsrond
	site.Hosts = o.Hosts
	held := o.Hosts * o.PerHost
	out := &Scale{ScaleOptions: o, Endpoints: held/scaleFlowsPerEndpoint + 1}
	bundle := scaleBundle(site, out.Endpoints)
	sim := lab.New(lab.Config{Seed: o.Seed, Bundle: bundle, Domains: site.HostDomains(), Policy: newProductPolicy()})
	s := newScenarioRun(sim, Size{site, held}, o.Seed)
	sim.Run(bootTime)
	s.openFlows(held, o.NewPerSecond*o.Hosts)
	s.startAction(Scenario{})
	out.Held = sim.Callers().OpenFlows()
	sim.Run(scaleSteadyTime)
	out.BrokenSteady = sim.Callers().Result.Broken
	out.FlowRatio = largest(s.spread(lab.ServiceSessions).FlowRatios)
	sim.Kill(s.targetHost())
	sim.Run(scaleKillTime)
	s.sampler.stopped = true
	s.End = sim.Now()
	s.collectControlTraffic()
	out.BrokenKill = sim.Callers().Result.Broken - out.BrokenSteady
	out.Opened = sim.Callers().Result.Opened
	out.ControlPeak = s.figures.ControlPeak
	out.Violations = len(sim.Violations)
	return out
}

// openFlows opens flows whose lifetime makes flows end and open at the same rate.
func (s *ScenarioRun) openFlows(flows, perSecond int) {
	stream := lab.Stream{
		Service:   lab.ServiceSessions,
		PerSecond: float64(perSecond),
		Lifetime:  time.Duration(flows/perSecond) * time.Second,
		Interval:  scaleSegmentInterval,
	}
	s.Simulation.Callers().Prefill(stream, flows, scaleFillTime)
	s.Simulation.Run(scaleFillTime)
	s.Simulation.Callers().Start(stream)
	s.Simulation.Run(scaleWarmTime)
}

// scaleBundle returns a bundle whose first service has many endpoints.
func scaleBundle(site lab.Site, endpoints int) *config.Bundle {
	b := site.Bundle()
	sessions := &b.Services[0]
	first := sessions.Endpoints[0]
	sessions.Endpoints = nil
	for i := range endpoints {
		e := first
		e.ID = config.EndpointID(i + 1)
		e.Name = fmt.Sprintf("sessions-%d", i+1)
		e.Domain = site.Domains[i%len(site.Domains)]
		e.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 3, byte(i >> 8), byte(i)}), first.Address.Port())
		sessions.Endpoints = append(sessions.Endpoints, e)
	}
	sessions.Protocol = flow.TCP
	return b
}
