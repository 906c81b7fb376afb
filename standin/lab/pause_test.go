package lab

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestShortPauseRefusesNothing pauses a host just long enough for its peers to
// suspect it. Under light load no request may be refused afterwards.
func TestShortPauseRefusesNothing(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		w := New(Config{
			Seed:    seed,
			Bundle:  Solaris.Bundle(),
			Domains: Solaris.HostDomains(),
			Brain:   NewCore(Weakening{}),
		})
		w.Run(15 * time.Second)
		stream := requestStream(1, 150, time.Minute)
		w.Load().Prefill(stream, 150, 5*time.Second)
		w.Load().Start(stream)
		w.Run(10 * time.Second)
		paused := w.Hosts()[1]
		w.Pause(paused, time.Second)
		w.Run(time.Minute)
		require.Zero(t, w.Load().Result.Refused, "seed %d", seed)
		require.Empty(t, w.Violations, "seed %d", seed)
		c := paused.Core()
		require.Greater(t, c.shared.RefuseUntil(), c.now(), "the host must hold its peers' leases again")
	}
}
