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
		sim := New(Config{
			Seed:    seed,
			Bundle:  Solaris.Bundle(),
			Domains: Solaris.HostDomains(),
			Policy:  NewCore(Mutation{}),
		})
		sim.Run(15 * time.Second)
		stream := requestStream(1, 150, time.Minute)
		sim.Callers().Prefill(stream, 150, 5*time.Second)
		sim.Callers().Start(stream)
		sim.Run(10 * time.Second)
		paused := sim.Hosts()[1]
		sim.Pause(paused, time.Second)
		sim.Run(time.Minute)
		require.Zero(t, sim.Callers().Result.Refused, "seed %d", seed)
		require.Empty(t, sim.Violations, "seed %d", seed)
		c := paused.Core()
		require.Greater(t, c.shared.RefuseUntil(), c.now(), "the host must hold its peers' leases again")
	}
}
