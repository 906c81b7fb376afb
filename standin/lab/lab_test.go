package lab

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// sessionStream returns a stream that sustains count TCP flows.
func sessionStream(count int, lifetime time.Duration) Stream {
	return Stream{
		Service:   ServiceSessions,
		PerSecond: float64(count) / lifetime.Seconds(),
		Lifetime:  lifetime,
		Interval:  2 * time.Second,
	}
}

// newLoadedSimulation returns a site whose hosts have joined and that carries
// count flows.
func newLoadedSimulation(t *testing.T, site Site, seed uint64, count int, newPolicy NewPolicy) *Simulation {
	t.Helper()
	sim := New(Config{Seed: seed, Bundle: site.Bundle(), Domains: site.HostDomains(), Policy: newPolicy})
	sim.Run(15 * time.Second)
	s := sessionStream(count, 60*time.Second)
	sim.Callers().Prefill(s, count, 10*time.Second)
	sim.Callers().Start(s)
	sim.Run(20 * time.Second)
	return sim
}

// TestSteady runs a site for a minute without faults: no flow may break. It logs
// the counts of each host before and after that minute, the mean and maximum
// number of flows per endpoint over time, and the control bytes that each host
// sent per second.
func TestSteady(t *testing.T) {
	sim := newLoadedSimulation(t, Solaris, 1, 600, NewCore(Mutation{}))
	for _, h := range sim.Hosts() {
		t.Log(h.Name, h.Core().State(), h.Core().Totals(), h.Drops, h.Replies, h.Passed)
	}
	sim.Run(60 * time.Second)
	for _, h := range sim.Hosts() {
		t.Log(h.Name, h.Core().State(), h.Core().Totals(), h.Drops, h.Replies, h.Passed)
	}
	t.Logf("%+v", sim.Callers().Result)
	for _, win := range sim.LoadSampler().Windows[ServiceSessions] {
		t.Logf("%v %.2f %.2f %.3f", win.At, win.MeanFlows, win.MaxFlows, win.Imbalance())
	}
	for _, h := range sim.Hosts() {
		t.Log(h.Core().ControlBytesPerSecond)
	}
	require.Empty(t, sim.Violations)
	require.Zero(t, sim.Callers().Result.Broken)
}
