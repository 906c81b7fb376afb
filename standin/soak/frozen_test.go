package soak

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/standin/kv"
	"toucangap/standin/site"
)

// drainAndConfigure plays a drain and a configuration after a disturbance of the store, and
// requires that all hosts follow both within the bounds.
func drainAndConfigure(t *testing.T, port int, disturb func(s *site.Site)) {
	s, err := site.New(site.Options{
		Daemon: daemon, Dir: t.TempDir(), Port: port, Seed: 1, Domains: 3, Hosts: 1, Endpoints: 3, Rate: 100,
	})
	require.NoError(t, err)
	t.Cleanup(s.Close)
	require.True(t, waitReady(t.Context(), s))
	m := newMonitor(s)
	s.SetLoad(true)
	// The check of versions leaves out hosts that are younger than the bound.
	m.pollUntil(t.Context(), time.Now().Add(site.ConfigBound))
	disturb(s)
	m.pollUntil(t.Context(), time.Now().Add(500*time.Millisecond))
	var leaving *site.Endpoint
	s.Endpoints(func(e *site.Endpoint) {
		if leaving == nil {
			leaving = e
			e.Drain()
		}
	})
	s.Configure()
	m.pollUntil(t.Context(), time.Now().Add(site.DrainBound+5*time.Second))
	s.Finish()
	if len(s.Violations()) > 0 {
		printLogs(t, s)
	}
	require.Empty(t, s.Violations(), s.Faults())
}

// printLogs prints the lines of the hosts' logs that are not about single flows.
func printLogs(t *testing.T, s *site.Site) {
	for _, h := range s.Hosts() {
		text, err := os.ReadFile(filepath.Join(s.Options.Dir, h.Name+".log"))
		require.NoError(t, err)
		for line := range bytes.Lines(text) {
			if !bytes.Contains(line, []byte(" flow=")) {
				t.Logf("%s: %s", h.Name, bytes.TrimSpace(line))
			}
		}
	}
}

// TestDrainIsKnownOnCalmSite: the checks of the tests below fail without a fault.
func TestDrainIsKnownOnCalmSite(t *testing.T) {
	drainAndConfigure(t, 21000, func(*site.Site) {})
}

// TestDrainIsKnownBesideUnreadableEntries: hosts go on placing flows by an old state after
// another writer has stored entries that together exceed the size of an answer that hosts read.
func TestDrainIsKnownBesideUnreadableEntries(t *testing.T) {
	keys := []string{"servers/x-1", "servers/x-2", "servers/x-3", "servers/x-4"}
	drainAndConfigure(t, 21010, func(s *site.Site) {
		require.True(t, s.Store.PutAll(keys, bytes.Repeat([]byte{0xff}, 1<<20)))
	})
}

// TestDrainIsKnownBesideTextValue: the same after another writer has stored one value that is
// sent as plain text in place of base64.
func TestDrainIsKnownBesideTextValue(t *testing.T) {
	drainAndConfigure(t, 21040, func(s *site.Site) { site.WriteEntries(s.Store, site.EntriesText, 0) })
}

// TestDrainIsKnownAtSlowStore: hosts ask a store that answers a little later than their time
// limits again and again, and place flows by an old state.
func TestDrainIsKnownAtSlowStore(t *testing.T) {
	drainAndConfigure(t, 21090, func(s *site.Site) {
		s.Store.SetFaults(kv.Faults{Slow: 450 * time.Millisecond})
		for range 3 {
			s.Configure()
			time.Sleep(site.ConfigBound / 2)
		}
	})
}
