package soak

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/standin/site"
)

// cutOff separates all hosts from the store and from each other, which the checks are not told.
func cutOff(s *site.Site) {
	cut := site.Impairment{CutUp: true, CutDown: true}
	for _, h := range s.Hosts() {
		h.Store.Set(cut, time.Minute)
		h.Feed.Set(cut, time.Minute)
	}
}

// newPair starts a site of two hosts in touch, of which the first is harmed then.
func newPair(t *testing.T, port int) (*site.Site, *monitor) {
	s, err := site.New(site.Options{
		Daemon: daemon, Dir: t.TempDir(), Port: port, Seed: 1, Domains: 2, Hosts: 1, Endpoints: 4, Rate: 200,
	})
	require.NoError(t, err)
	t.Cleanup(s.Close)
	require.True(t, waitReady(t.Context(), s))
	require.Eventually(t, func() bool { return s.Hosts()[0].InTouch() && s.Hosts()[1].InTouch() }, 20*time.Second, 50*time.Millisecond)
	s.SuspendBounds(time.Minute)
	s.Hosts()[0].Harm(time.Minute)
	cutOff(s)
	return s, newMonitor(s)
}

// TestLateConfigurationOfHostInTouch: a host that does not follow the store would be overlooked
// while another host is harmed, and a harmed one would be judged.
func TestLateConfigurationOfHostInTouch(t *testing.T) {
	s, m := newPair(t, 21020)
	s.Configure()
	m.pollUntil(t.Context(), time.Now().Add(site.ConfigBound+time.Second))
	requireViolation(t, s, "host-1-2 has version")
	require.NotContains(t, strings.Join(s.Violations(), "\n"), "host-0-1")
	require.Positive(t, m.checks["configuration"].InForce)
	require.Positive(t, m.checks["configuration"].Suspended)
}

// TestLateDrainOfHostInTouch: the same for flows at a draining endpoint.
func TestLateDrainOfHostInTouch(t *testing.T) {
	s, m := newPair(t, 21030)
	s.SetLoad(true)
	s.Endpoints(func(e *site.Endpoint) {
		if e.Service == "main" && e.Number < 0x1005 {
			e.Drain()
		}
	})
	m.pollUntil(t.Context(), time.Now().Add(site.DrainBound+time.Second))
	s.Finish()
	requireViolation(t, s, "host-1-2 sent new flow")
	requireViolation(t, s, "flows started at draining endpoints too late")
	require.NotContains(t, strings.Join(s.Violations(), "\n"), "host-0-1")
	require.Positive(t, m.checks["drain"].InForce)
	require.Positive(t, m.checks["drain"].Suspended)
}

// TestLateDrainOfHarmedHosts: late flows of hosts that can't know of the drain would fail a run.
func TestLateDrainOfHarmedHosts(t *testing.T) {
	s, m := newPair(t, 21070)
	s.Hosts()[1].Harm(time.Minute)
	s.SetLoad(true)
	s.Endpoints(func(e *site.Endpoint) {
		if e.Service == "main" && e.Number < 0x1005 {
			e.Drain()
		}
	})
	m.pollUntil(t.Context(), time.Now().Add(site.DrainBound+time.Second))
	s.Finish()
	require.Empty(t, s.Violations())
	require.Contains(t, strings.Join(s.Faults(), "\n"), "(not in touch) host-1-2 sent new flow")
}

// TestHostInTouchDoesNotAnswer: a host that is stuck, and so shows no version, would not be judged.
func TestHostInTouchDoesNotAnswer(t *testing.T) {
	s, m := newSite(t, 21050)
	require.Eventually(t, s.Hosts()[0].InTouch, 20*time.Second, 50*time.Millisecond)
	require.NoError(t, syscall.Kill(s.Hosts()[0].PID(), syscall.SIGSTOP))
	m.pollUntil(t.Context(), time.Now().Add((maxUnanswered+1)*time.Second))
	requireViolation(t, s, "does not answer 4 queries")
}

// TestConditionsReachHosts: conditions of the store that never reach the hosts would
// prove nothing.
func TestConditionsReachHosts(t *testing.T) {
	report, err := Run(t.Context(), Options{Daemon: daemon, Port: 21060, Domains: 2, Hosts: 1, Rate: 50, Keep: true}, Schedule{
		Seed: 1, Conditions: Conditions{Stored: site.EntriesTypes, NoIncarnation: true, PageSize: 5},
	})
	require.NoError(t, err)
	defer os.RemoveAll(report.Directory)
	require.Empty(t, report.Violations, report.Faults)
	log, err := os.ReadFile(filepath.Join(report.Directory, "host-0-1.log"))
	require.NoError(t, err)
	require.Contains(t, string(log), "x-types-0 incarnation=0")
	require.Positive(t, report.Checks["drain"].InForce)
	require.Positive(t, report.Checks["configuration"].InForce)
}
