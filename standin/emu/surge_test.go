package emu

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// between sums the counts of the requests that started in the seconds from the first
// to before the last.
func (r *Result) between(first, last int) (t Counts) {
	for _, s := range r.Seconds[first:last] {
		t.add(s)
	}
	return t
}

// compareHolding runs the faults with and without holding.
func compareHolding(t *testing.T, seed uint64, faults func(em *Emulator)) (with, without *Result) {
	for _, disabled := range []bool{false, true} {
		c := LongRequests(seed)
		c.Options.Disabled.Holding = disabled
		em := New(c)
		faults(em)
		r := em.Run(9 * time.Second)
		require.Empty(t, r.Violations())
		if disabled {
			without = r
		} else {
			with = r
		}
	}
	return with, without
}

// TestSurgeAfterOutage: all hosts are away for 1.6 s. Callers retransmit and retry
// together when they are back, which is up to three times the usual load. Without
// holding, the endpoints' queues fill, so that nearly all requests of the next second
// are late, and many callers use up their retries.
func TestSurgeAfterOutage(t *testing.T) {
	for seed := uint64(1); seed <= 2; seed++ {
		with, without := compareHolding(t, seed, func(em *Emulator) {
			em.At(3*time.Second, func() {
				for _, h := range em.Hosts() {
					h.Kill(1600 * time.Millisecond)
				}
			})
		})
		after, before := with.between(5, 9), without.between(5, 9)
		t.Logf("of %d: in target %d, failed %d; without holding %d, %d", after.Requests, after.InTarget, after.Failed, before.InTarget, before.Failed)
		require.Greater(t, float64(after.InTarget), 0.8*float64(after.Requests))
		require.Zero(t, after.Failed)
		require.Less(t, 3*with.between(3, 5).Failed, 2*without.between(3, 5).Failed, "fewer of those that the outage held fail")
		require.Greater(t, with.Total().Share(), without.Total().Share())
	}
}

// TestCrowdOnLongRequests: three times the usual load for two seconds, half more than
// the endpoints can do. More requests are answered, and more of them in time.
func TestCrowdOnLongRequests(t *testing.T) {
	with, without := compareHolding(t, 1, func(em *Emulator) {
		em.At(3*time.Second, func() { em.SetLoadFactor(3) })
		em.At(5*time.Second, func() { em.SetLoadFactor(1) })
	})
	t.Logf("share %.3f, failed %d; without holding %.3f, %d", with.Total().Share(), with.Total().Failed, without.Total().Share(), without.Total().Failed)
	require.Greater(t, with.Total().Share(), without.Total().Share())
	require.Less(t, with.Total().Failed, without.Total().Failed)
	require.Equal(t, with.between(7, 9).Requests, with.between(7, 9).InTarget, "the crowd leaves no backlog")
}

// TestNothingIsHeldWithRoom: outside congestion no caller waits at a host.
func TestNothingIsHeldWithRoom(t *testing.T) {
	c := LongRequests(1)
	em := New(c)
	held := func() (n int64) {
		for _, h := range em.Hosts() {
			n += h.Stats().Held
		}
		return n
	}
	started := int64(0)
	em.At(2*time.Second, func() { started = held() })
	r := em.Run(6 * time.Second)
	require.Equal(t, r.Total().Requests, r.Total().InTarget)
	require.Equal(t, started, held())
}

// TestOneHostRestarts: the endpoints are not congested, so the window of the host that
// has just started costs callers nothing.
func TestOneHostRestarts(t *testing.T) {
	with, without := compareHolding(t, 1, func(em *Emulator) {
		em.At(3*time.Second, func() { em.Hosts()[0].Kill(2 * time.Second) })
	})
	require.InDelta(t, without.Total().Share(), with.Total().Share(), 0.005)
	require.LessOrEqual(t, with.Total().Failed, without.Total().Failed+2)
}
