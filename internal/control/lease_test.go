package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucangap/internal/config"
	"toucangap/internal/peerpb"
)

// TestLeaseFromSending checks that a lease runs from the sending of its request,
// not from the arrival of the grant, and that a late grant does not shorten it.
func TestLeaseFromSending(t *testing.T) {
	var l lease
	for i := range 20 {
		l.request(Time(i)*time.Second, 1)
	}
	cases := []struct {
		name     string
		sequence uint64
		want     Time
	}{
		{"too old", 12, 0},
		{"oldest one kept", 13, 12*time.Second + leaseDuration},
		{"later one", 19, 18*time.Second + leaseDuration},
		{"out of order", 15, 18*time.Second + leaseDuration},
		{"never sent", 21, 18*time.Second + leaseDuration},
		{"last one", 20, 19*time.Second + leaseDuration},
	}
	for _, c := range cases {
		l.onGrant(&peerpb.LeaseGrant{Sequence: c.sequence, DurationMs: uint32(leaseDuration / time.Millisecond)})
		require.Equal(t, c.want, l.heldUntil, c.name)
	}
	require.Equal(t, 19*time.Second+contactDuration, l.contactUntil)
}

// TestLeaseGranted checks that a lease is granted for the maximum duration at
// most, and that neither a departed host nor an older incarnation gets one.
func TestLeaseGranted(t *testing.T) {
	cases := []struct {
		name        string
		state       config.HostState
		incarnation uint64
		durationMs  uint32
		want        Time
	}{
		{"live", config.HostLive, 3, 1000, time.Minute + time.Second},
		{"duration too long", config.HostLive, 3, 1_000_000, time.Minute + leaseDuration},
		{"leaving", config.HostLeaving, 3, 1000, time.Minute + time.Second},
		{"newer incarnation", config.HostLive, 4, 1000, time.Minute + time.Second},
		{"older incarnation", config.HostLive, 2, 1000, 0},
		{"dead", config.HostDead, 3, 1000, 0},
		{"left", config.HostLeft, 3, 1000, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := testControl("a")
			h.SetHosts(0, []config.Host{{Name: "a", Incarnation: 3, State: c.state}})
			h.Receive(time.Minute, "a", envelope(&peerpb.LeaseRequest{
				Sequence: 1, Incarnation: c.incarnation, DurationMs: c.durationMs,
			}))
			require.Equal(t, c.want, h.peers["a"].lease.grantedUntil)
		})
	}
}

// TestLeaseNeedsAll checks that a host may refuse requests only while it holds a
// lease from every peer that may own its flows. A peer considered dead counts
// until it is confirmed stopped, and a pause of the process ends all leases.
func TestLeaseNeedsAll(t *testing.T) {
	h := testControl("a", "b")
	grant := func(name string, now Time) {
		h.peers[name].lease.request(now, 1)
		h.peers[name].lease.onGrant(&peerpb.LeaseGrant{Sequence: h.peers[name].lease.sequence, DurationMs: 2500})
	}
	until := func(now Time) Time {
		h.updateLeases(now)
		return h.shared.RefuseUntil()
	}
	grant("a", time.Second)
	require.Zero(t, until(time.Second))
	grant("b", 2*time.Second)
	require.Equal(t, 3500*time.Millisecond, until(2*time.Second))
	h.SetHosts(2*time.Second, []config.Host{{Name: "a", Incarnation: 1, State: config.HostDead}})
	require.Equal(t, 3500*time.Millisecond, until(2*time.Second))
	h.peers["a"].confirmedStopped = true
	require.Equal(t, 4500*time.Millisecond, until(2*time.Second))
	h.Paused()
	require.Zero(t, until(2*time.Second))
}

// TestMajority partitions the owners into two sides at random, with the hosts of
// the other side considered dead or merely out of contact. The hosts of exactly one
// side must consider themselves the majority.
func TestMajority(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 9).Draw(t, "hosts")
		sides := rapid.SliceOfN(rapid.Bool(), n, n).Draw(t, "sides")
		sides[0], sides[n-1] = true, false
		order := rapid.Permutation(sides).Draw(t, "order")
		const now = time.Minute
		verdicts := make(map[bool]map[bool]int)
		for i, side := range order {
			var peers []string
			for j := range order {
				if j != i {
					peers = append(peers, fmt.Sprint("h", j))
				}
			}
			c := testControl(peers...)
			c.self.Name = fmt.Sprint("h", i)
			for j, other := range order {
				p := c.peers[fmt.Sprint("h", j)]
				switch {
				case j == i:
				case other == side:
					p.lease.contactUntil = now
				case rapid.Bool().Draw(t, "considered dead"):
					c.SetHosts(now, []config.Host{{Name: p.host.Name, State: config.HostDead}})
				}
			}
			if verdicts[side] == nil {
				verdicts[side] = make(map[bool]int)
			}
			verdicts[side][c.inMajority(now)]++
		}
		require.Len(t, verdicts[true], 1, "hosts of one side disagree")
		require.Len(t, verdicts[false], 1, "hosts of one side disagree")
		require.NotEqual(t, verdicts[true][true] > 0, verdicts[false][true] > 0)
	})
}
