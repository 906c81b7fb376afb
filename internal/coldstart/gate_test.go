package coldstart

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	maxViewAge = 2 * time.Second
	step       = 25 * time.Millisecond
	// The simulation starts at begin and ends at end; changes and failures are drawn
	// around the middle, so that several fall within the time for which states are out of
	// date.
	begin, middle, end = 2 * time.Second, 7 * time.Second, 12 * time.Second
)

// drawTime draws a time around the middle.
func drawTime(t *rapid.T, label string) time.Duration {
	return middle + time.Duration(rapid.IntRange(-80, 80).Draw(t, label))*step
}

// span is a time during which a fault lasts.
type span struct{ from, to time.Duration }

func drawSpan(t *rapid.T, label string) span {
	from := drawTime(t, label)
	return span{from, from + time.Duration(rapid.SampledFrom([]int{0, 0, 0, 1, 20, 120, 200}).Draw(t, label))*step}
}

func (s span) contains(now time.Duration) bool { return now >= s.from && now < s.to }

// change is a change of the registrations in the store.
type change struct {
	at      time.Duration
	host    int
	removed bool
}

// conditions are what a host works under.
type conditions struct {
	// lag is how far its state is behind the store, more when it is cut off from all
	// sources.
	lag    time.Duration
	cutOff span
	// delays are the one-way delays of its packets beyond the smallest one; they
	// alternate every half second.
	delays [2]time.Duration
	// down is when the process does not run; the next one knows nothing.
	down span
}

func drawConditions(t *rapid.T) conditions {
	return conditions{
		lag:    time.Duration(rapid.SampledFrom([]int{0, 0, 500, 1000, 1500, 1900}).Draw(t, "lag")) * time.Millisecond,
		cutOff: drawSpan(t, "cut off"),
		delays: [2]time.Duration{
			time.Duration(rapid.IntRange(0, 99).Draw(t, "delay")) * time.Millisecond,
			time.Duration(rapid.IntRange(0, 99).Draw(t, "delay")) * time.Millisecond,
		},
		down: drawSpan(t, "down"),
	}
}

// process is a host that sends as much as it may.
type process struct {
	rules    Rules
	registry Registry
	gate     Gate
	asOf     time.Duration
	applied  int
}

func (p *process) sync(now, asOf time.Duration, hosts []Host, changes []change) {
	p.asOf = max(p.asOf, asOf)
	for p.applied < len(changes) && changes[p.applied].at <= p.asOf {
		c := changes[p.applied]
		p.registry.set(now, hosts[c.host], c.removed)
		p.applied++
	}
	if p.registry.Changed() {
		snapshot := p.registry.Snapshot(now)
		p.rules.Hosts = func() *Hosts { return snapshot }
	}
}

// TestLimitHoldsWhateverHostsKnow guards the bound on a cold endpoint against hosts with
// states of different age, partitions, registrations that come and go within the time for
// which states may be out of date, and restarts after which a host has forgotten its flows.
func TestLimitHoldsWhateverHostsKnow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := make([]Host, rapid.IntRange(1, 6).Draw(t, "hosts"))
		changes := make([]change, 0, 20)
		for i := range hosts {
			hosts[i] = Host{Name: fmt.Sprint("h-", i), Domain: rapid.SampledFrom([]string{"a", "a", "b"}).Draw(t, "domain")}
			changes = append(changes, change{host: i, removed: rapid.Bool().Draw(t, "absent at first")})
		}
		for range rapid.IntRange(0, 6).Draw(t, "changes") {
			changes = append(changes, change{
				at:      drawTime(t, "at"),
				host:    rapid.IntRange(0, len(hosts)-1).Draw(t, "host"),
				removed: rapid.Bool().Draw(t, "removed"),
			})
		}
		slices.SortStableFunc(changes, func(a, b change) int { return int(a.at - b.at) })
		limit := Bounds{Factor: 1.5, Allowance: 5}.Limit(float64(rapid.IntRange(0, 6).Draw(t, "per second")))
		endpoint := fmt.Sprint("i-", rapid.IntRange(0, 5).Draw(t, "endpoint"))
		var arrivals []time.Duration
		for i := range hosts {
			arrivals = append(arrivals, sendAll(t, hosts, i, changes, endpoint, limit)...)
		}
		slices.Sort(arrivals)
		for i := range arrivals {
			if i >= limit && arrivals[i]-arrivals[i-limit] < window {
				t.Fatalf("%d flows within a second until %v, limit %d", limit+1, arrivals[i], limit)
			}
		}
	})
}

// sendAll returns when the flows of one host arrive at the endpoint, which is in domain a.
func sendAll(t *rapid.T, hosts []Host, index int, changes []change, endpoint string, limit int) (arrivals []time.Duration) {
	c := drawConditions(t)
	var p *process
	for now := begin; now < end; now += step {
		if c.down.contains(now) {
			p = nil
			continue
		}
		if p == nil {
			p = &process{asOf: -time.Hour}
			p.rules = Rules{Host: hosts[index], MaxViewAge: maxViewAge, Hosts: func() *Hosts { return nil }}
		}
		if !c.cutOff.contains(now) {
			p.sync(now, now-c.lag, hosts, changes)
		}
		p.rules.ViewAge = func() time.Duration { return now - p.asOf }
		for p.gate.Allows(now, &p.rules, endpoint, "a", limit) {
			p.gate.Record(now)
			arrivals = append(arrivals, now+c.delays[now/(500*time.Millisecond)%2])
		}
	}
	return arrivals
}

// snapshot returns registrations that were received at the start.
func snapshot(hosts ...Host) *Hosts {
	var r Registry
	for _, h := range hosts {
		r.Put(0, h)
	}
	return r.Snapshot(0)
}

// TestOneOwnerOfTheDomain guards against endpoints without an owner, with one in another
// domain while their own has hosts, and against owners that most endpoints share.
func TestOneOwnerOfTheDomain(t *testing.T) {
	var hosts []Host
	for i := range 30 {
		hosts = append(hosts, Host{Name: fmt.Sprint("h-", i), Domain: fmt.Sprint("d-", i%3)})
	}
	all := snapshot(hosts...)
	count := make(map[Host]int)
	for i := range 3000 {
		o := all.ownership(0, time.Second, fmt.Sprint("i-", i), "d-1")
		require.Equal(t, "d-1", o.owner.Domain)
		count[o.owner]++
	}
	require.Len(t, count, 10)
	for h, n := range count {
		require.InDelta(t, 300, n, 100, "%v", h)
	}
	require.NotZero(t, all.ownership(0, time.Second, "i-1", "empty").owner)
	require.Zero(t, snapshot().ownership(0, time.Second, "i-1", "d-1").owner)
}

// TestOwnerSendsHalfOfTheLimit guards against an owner that sends before it can know of
// its predecessors, nothing after that, or more than its half within a second at the
// endpoint, where flows may arrive closer together than they were sent.
func TestOwnerSendsHalfOfTheLimit(t *testing.T) {
	own := Host{Name: "h", Domain: "a"}
	hosts := snapshot(own)
	rules := Rules{
		Host: own, MaxViewAge: maxViewAge, Hosts: func() *Hosts { return hosts },
		ViewAge: func() time.Duration { return 0 },
	}
	var g Gate
	var sent []time.Duration
	for now := time.Duration(0); now < 10*time.Second; now += step {
		if g.Allows(now, &rules, "i", "a", 21) {
			g.Record(now)
			sent = append(sent, now)
		}
	}
	require.Equal(t, 3100*time.Millisecond, sent[0])
	require.Equal(t, sent[0]+9*step, sent[9])
	require.Equal(t, sent[0]+1100*time.Millisecond, sent[10])
	require.Len(t, sent, 70, "10 in each period")
	require.Zero(t, testing.AllocsPerRun(100, func() { g.Allows(time.Hour, &rules, "i", "a", 21) }))
	rules.ViewAge = func() time.Duration { return maxViewAge }
	require.False(t, g.Allows(time.Hour, &rules, "i", "a", 21))
}
