package spillover

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// steady is a demand that is the same in all domains.
func steady(load float64) func(int, time.Duration) float64 {
	return func(int, time.Duration) float64 { return load }
}

// jump is a demand that moves half the callers of domains 1 and 2 to domain 0 for a span
// from 10 s on.
func jump(span time.Duration) func(int, time.Duration) float64 {
	return func(d int, now time.Duration) float64 {
		if now < 10*time.Second || now >= 10*time.Second+span {
			return 1
		}
		return [...]float64{2, 0.5, 0.5, 1}[d]
	}
}

// wave is a demand with a period of 13 s and amplitude 0.55, delayed from domain to domain
// by a share of the period.
func wave(delay float64) func(int, time.Duration) float64 {
	return func(d int, now time.Duration) float64 {
		return 1.15 * (1 + 0.55*math.Sin(2*math.Pi*(now.Seconds()/13-delay*float64(d))))
	}
}

// compare plays a demand with and without spillover, over several seeds, and returns what
// was counted from start on.
func compare(demand func(int, time.Duration) float64, start, span time.Duration) (with, without result) {
	for seed := range uint64(4) {
		for i, sum := range []*result{&with, &without} {
			m := newModel(seed, 4, demand)
			m.disabled = i == 1
			m.run(start)
			r := m.run(span)
			sum.sent += r.sent
			sum.left += r.left
			sum.late += r.late
		}
	}
	return with, without
}

// TestWave guards against a share that follows a wave of demand too late, which sends
// flows away in the trough, and against flows that leave though the wave reaches all
// domains at once.
func TestWave(t *testing.T) {
	with, without := compare(wave(0.25), 6*time.Second, 26*time.Second)
	require.Less(t, with.late, 0.92*without.late)
	require.Less(t, with.left/with.sent, 0.08)
	with, without = compare(wave(0), 6*time.Second, 26*time.Second)
	require.Less(t, with.left/with.sent, 0.02)
	require.Less(t, with.late, 1.03*without.late)
}

// TestJump guards against a share that rises too late to help with callers who move for
// 4 to 6 s, and against one that stays after they have moved back.
func TestJump(t *testing.T) {
	for _, span := range []time.Duration{4 * time.Second, 6 * time.Second} {
		with, without := compare(jump(span), 9*time.Second, span)
		require.Less(t, with.late, 0.75*without.late, span)
		after, _ := compare(jump(span), 9*time.Second+span+3*time.Second, 5*time.Second)
		require.Less(t, after.left/after.sent, 0.02, span)
	}
}

// TestShareSettles guards against an unstable control loop: with too high a gain for the
// delay of the answers, the share swings between 0 and its limit.
func TestShareSettles(t *testing.T) {
	m := newModel(1, 4, jump(time.Hour))
	m.run(14 * time.Second)
	lowest, highest := 1.0, 0.0
	for range 40 {
		m.run(250 * ms)
		lowest, highest = min(lowest, m.share(0)), max(highest, m.share(0))
	}
	require.Greater(t, lowest, 0.15)
	require.Less(t, highest-lowest, 0.2)
}

// TestFullDomainsDoNotSwap guards against flows that cross between domains of which none
// has free slots: each sees a late home and knows little of the others.
func TestFullDomainsDoNotSwap(t *testing.T) {
	for _, load := range []float64{1.5, 1.8, 2.2} {
		for _, domains := range []int{2, 4} {
			m := newModel(1, domains, steady(load))
			m.run(5 * time.Second)
			r := m.run(20 * time.Second)
			require.Less(t, r.left/r.sent, 0.03, "load %g, %d domains", load, domains)
		}
	}
}

// TestSlowRemotes guards against flows that leave a busy home for domains whose endpoints
// all take longer.
func TestSlowRemotes(t *testing.T) {
	m := newModel(1, 4, func(d int, _ time.Duration) float64 { return [...]float64{1.6, 0.3, 0.3, 0.3}[d] })
	m.slowness = []float64{1, 4, 4, 4}
	m.run(5 * time.Second)
	r := m.run(20 * time.Second)
	require.Less(t, r.left/r.sent, 0.03)
}

// TestCutOff guards against flows that are sent into a network partition, against a late
// home that gets no relief from the other domains meanwhile, and against a domain that
// stays excluded after the partition.
func TestCutOff(t *testing.T) {
	m := newModel(1, 4, jump(time.Hour))
	m.run(14 * time.Second)
	m.cut = 1
	m.run(time.Second)
	r := m.run(10 * time.Second)
	require.Less(t, r.unreachable/r.sent, 0.005)
	require.Greater(t, m.share(0), 0.1)
	detected := 0
	for _, c := range m.hosts[0] {
		// A host that sends few flows there may not have had three in a row.
		if d := c.domain("b"); d.unanswered >= cutOffSYNs {
			detected++
			require.Zero(t, d.work.weight)
		}
	}
	require.Greater(t, detected, hostsPerDomain*2/3)
	m.cut = -1
	m.run(maxCutOff + 2*time.Second)
	reached := 0
	for _, c := range m.hosts[0] {
		if c.Allowed("b") {
			reached++
		}
	}
	require.Greater(t, reached, hostsPerDomain*2/3)
}

// TestAllCutOff guards against a share that stays above 0 with no domain to go to.
func TestAllCutOff(t *testing.T) {
	m := newModel(1, 4, jump(time.Hour))
	m.run(14 * time.Second)
	m.cut = 0
	m.run(2 * time.Second)
	r := m.run(10 * time.Second)
	require.Less(t, r.unreachable/r.sent, 0.01)
	require.Less(t, m.share(0), 0.03)
}

// TestRestart guards against hosts that know nothing and send many flows away, or that
// take the answers of a full home for the usual ones and never send any. After a pause of
// the host only the present loads are unknown.
func TestRestart(t *testing.T) {
	m := newModel(1, 4, jump(time.Hour))
	m.run(14 * time.Second)
	for d, hosts := range m.hosts {
		for i := range hosts {
			hosts[i] = m.newHost(m.domains[d])
		}
	}
	require.Zero(t, m.share(0))
	r := m.run(time.Second)
	require.Less(t, r.left/r.sent, 0.1)
	m.run(4 * time.Second)
	require.Greater(t, m.share(0), 0.15)
	require.Less(t, m.share(1)+m.share(2)+m.share(3), 0.06)
	for _, c := range m.hosts[0] {
		c.Reset()
	}
	require.Zero(t, m.share(0))
	m.run(2 * time.Second)
	require.Greater(t, m.share(0), 0.1)
}

// TestSlots guards against a share beyond the other domains' part of the slots, and
// against one where home or the others have none.
func TestSlots(t *testing.T) {
	c := New("a")
	c.AddSlots("a", 30)
	c.AddSlots("b", 10)
	now := time.Second
	play := func(home time.Duration) {
		for range 400 {
			now += minStep
			c.RecordAnswer(now, "a", home, target)
			c.RecordAnswer(now, "b", 20*ms, target)
			c.Leaves(now, 0)
		}
	}
	play(20 * ms)
	require.Zero(t, c.Share())
	play(target)
	require.InDelta(t, 0.25, c.Share(), 0.001)
	left := 0
	for hash := range uint64(10_000) {
		if c.Leaves(now, hash) {
			left++
		}
	}
	require.InDelta(t, 2500, left, 150)
	c.ClearSlots()
	c.AddSlots("b", 10)
	play(target)
	require.Zero(t, c.Share())
	require.True(t, c.Allowed("b"))
	c.ClearSlots()
	c.AddSlots("a", 30)
	play(target)
	require.Zero(t, c.Share())
	require.False(t, c.Allowed("b"))
}
