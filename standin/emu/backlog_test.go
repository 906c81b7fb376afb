package emu

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestCallersAreRescuedAfterALongOutage: six hosts are away for 1.9 s and come back one
// by one, while half of the slots are needed. Callers wait 2.5 s in two attempts, so that
// those who sent first have half a second left, and there are slots for all. With newest
// requests first, and hosts that came back first keeping the room, a fifth of the callers
// of the first second got no answer.
func TestCallersAreRescuedAfterALongOutage(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		c := LongRequests(seed)
		c.Domains, c.Hosts = 3, 2
		em := New(c)
		em.At(3*time.Second, func() {
			for i, h := range em.Hosts() {
				h.Kill(1900*time.Millisecond + time.Duration(i)*50*time.Millisecond)
			}
		})
		r := em.Run(9 * time.Second)
		require.Empty(t, r.Violations())
		away, after := r.between(3, 5), r.between(5, 9)
		t.Logf("seed %d: of %d sent meanwhile %d failed, of %d later %d failed, %d in target", seed, away.Requests, away.Failed, after.Requests, after.Failed, after.InTarget)
		require.Less(t, float64(away.Failed), 0.1*float64(away.Requests))
		require.Zero(t, after.Failed)
	}
}
