package emu

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestReplacedEndpointsRefuse: a third of a service's endpoints end and answer SYNs with
// resets, while the store can't tell. They look free, and a refusal ends a caller's
// attempt at once. Hosts must not each learn of each of them by callers' attempts.
func TestReplacedEndpointsRefuse(t *testing.T) {
	em := New(ManyHosts(1))
	em.At(2*time.Second, func() {
		for i, e := range em.Endpoints("alerts") {
			if i%3 == 0 {
				e.CrashRefusing(4*time.Second, 10*time.Second)
			}
		}
	})
	r := em.Run(7 * time.Second)
	require.Empty(t, r.Violations())
	before := r.between(1, 2).Failed // in progress at endpoints that end
	t.Logf("of %d: failed %d, of these in progress %d", r.Total().Requests, r.Total().Failed, before)
	// 24 hosts hold 19 ended endpoints for good: 456 attempts if each host tries each.
	require.Less(t, r.between(2, 7).Failed, 50)
	require.Less(t, r.between(4, 7).Failed, 5, "nor are they tried again and again")
}

// TestPartitionHeals: half of the endpoints are silent for 4 s and come back
// together, unchanged. The others must not stay overloaded.
func TestPartitionHeals(t *testing.T) {
	em := New(ManyHosts(1))
	em.At(2*time.Second, func() {
		for i, e := range em.Endpoints("alerts") {
			if i%2 != 0 {
				e.Down = true
				em.At(6*time.Second, func() { e.Down = false })
			}
		}
	})
	used := 0
	em.At(9*time.Second, func() {
		for _, e := range em.Endpoints("alerts") {
			if e.Load() > 0 {
				used++
			}
		}
	})
	r := em.Run(10 * time.Second)
	require.Empty(t, r.Violations())
	during, after := r.between(2, 6), r.between(7, 10)
	t.Logf("of %d: failed %d, late %d, and %d after it", during.Requests, during.Failed, during.Late, after.Late)
	require.Less(t, 50*(during.Failed+during.Late), during.Requests, "callers hardly notice the silent ones")
	require.Equal(t, after.Requests, after.InTarget)
	require.Greater(t, used, 28, "those that came back are used")
}
