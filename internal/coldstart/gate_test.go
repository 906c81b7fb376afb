package coldstart

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// register returns a registry in which hosts h-0 to h-(n-1) of domain a registered at 0.
func register(n int) (r *Registry) {
	r = &Registry{}
	for i := range n {
		r.Put(0, Host{Name: fmt.Sprint("h-", i), Domain: "a"})
	}
	return r
}

// TestOwnersShareEndpointsOfTheirDomain guards against owners in another domain while the
// endpoint's own has hosts, endpoints without an owner, and one host that owns most.
func TestOwnersShareEndpointsOfTheirDomain(t *testing.T) {
	r, count := register(10), make(map[Host]int)
	r.Put(0, Host{Name: "far", Domain: "b"})
	for i := range 3000 {
		count[r.Snapshot().ownership(0, time.Second, fmt.Sprint("i-", i), "a").owner]++
	}
	require.Len(t, count, 10)
	for h, n := range count {
		require.InDelta(t, 300, n, 100, "%v", h)
	}
	require.NotZero(t, r.Snapshot().ownership(0, time.Second, "i", "empty").owner)
	require.Zero(t, register(0).Snapshot().ownership(0, time.Second, "i", "a").owner)
}

// TestThirdOwnerWaits guards against three hosts that act at the same time, by states from
// before, between and after two changes: only the second owner may act at once.
func TestThirdOwnerWaits(t *testing.T) {
	const settle = 3 * time.Second
	r := register(3)
	first := r.Snapshot().ownership(10*time.Second, settle, "i", "a")
	require.Equal(t, settle, first.clearAt, "what was before the first state is unknown")
	r.Remove(10*time.Second, first.owner)
	second := r.Snapshot().ownership(10*time.Second, settle, "i", "a")
	require.Equal(t, settle, second.clearAt)
	r.Remove(12*time.Second, second.owner)
	third := r.Snapshot().ownership(12*time.Second, settle, "i", "a")
	require.Equal(t, 13*time.Second, third.validUntil)
	require.Greater(t, third.clearAt, third.validUntil)
	third = r.Snapshot().ownership(13*time.Second, settle, "i", "a")
	require.LessOrEqual(t, third.clearAt, 13*time.Second)
	require.Len(t, map[Host]bool{first.owner: true, second.owner: true, third.owner: true}, 3)
}

// TestOwnerSendsHalfOfTheLimit guards against an owner that sends before it can know of its
// predecessors, nothing after that, or more than its half within a second at the endpoint,
// where flows may arrive closer together than they were sent.
func TestOwnerSendsHalfOfTheLimit(t *testing.T) {
	hosts, age := register(1).Snapshot(), time.Duration(0)
	rules := Rules{
		Host: Host{Name: "h-0", Domain: "a"}, MaxViewAge: 2 * time.Second,
		Hosts: func() *Hosts { return hosts }, ViewAge: func() time.Duration { return age },
	}
	var g Gate
	var sent []time.Duration
	for now := time.Duration(0); now < 10*time.Second; now += 25 * time.Millisecond {
		if g.Allows(now, &rules, "i", "a", 21) {
			g.Record(now)
			sent = append(sent, now)
		}
	}
	require.Len(t, sent, 70, "10 in each period")
	require.Equal(t, 3100*time.Millisecond, sent[0])
	require.Equal(t, 4200*time.Millisecond, sent[10])
	require.Zero(t, testing.AllocsPerRun(100, func() { g.Allows(time.Hour, &rules, "i", "a", 21) }))
	age = rules.MaxViewAge
	require.False(t, g.Allows(time.Hour, &rules, "i", "a", 21))
}
