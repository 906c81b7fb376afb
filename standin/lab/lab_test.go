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
		Life:      lifetime,
		Interval:  2 * time.Second,
	}
}

// newLoadedWorld returns a site whose hosts have joined and that carries count
// flows.
func newLoadedWorld(t *testing.T, site Site, seed uint64, count int, brain NewBrain) *World {
	t.Helper()
	w := New(Config{Seed: seed, Bundle: site.Bundle(), Domains: site.HostDomains(), Brain: brain})
	w.Run(15 * time.Second)
	s := sessionStream(count, 60*time.Second)
	w.Load().Prefill(s, count, 10*time.Second)
	w.Load().Start(s)
	w.Run(20 * time.Second)
	return w
}

func TestSteady(t *testing.T) {
	w := newLoadedWorld(t, Solaris, 1, 600, NewCore(Weakening{}))
	for _, h := range w.Hosts() {
		t.Log(h.Name, h.Core().State(), h.Core().Totals(), h.Drops, h.Replies, h.Passed)
	}
	w.Run(60 * time.Second)
	for _, h := range w.Hosts() {
		t.Log(h.Name, h.Core().State(), h.Core().Totals(), h.Drops, h.Replies, h.Passed)
	}
	t.Logf("%+v", w.Load().Result)
	for _, win := range w.Gauge().Windows[ServiceSessions] {
		t.Logf("%v %.2f %.2f %.3f", win.At, win.MeanFlows, win.MaxFlows, win.Imbalance())
	}
	for _, h := range w.Hosts() {
		t.Log(h.Core().Sent)
	}
	require.Empty(t, w.Violations)
	require.Zero(t, w.Load().Result.Broken)
}
