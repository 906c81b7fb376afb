package steer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucangap/internal/config"
)

// The expected choices in TestChoose.
const (
	wantDefault = "default"
	wantOther   = "other"
	wantNone    = "none"
)

// TestChoose changes one condition of a flow's default endpoint, all three
// endpoints holding 100 flows, and checks whether a new flow gets the default.
// mayLeave is the expectation for a flow that may leave a usable default, mustStay
// for one that must keep it.
func TestChoose(t *testing.T) {
	cases := []struct {
		name     string
		set      func(first *Endpoint, others []*Endpoint)
		mayLeave string
		mustStay string
	}{
		{"even loads", func(*Endpoint, []*Endpoint) {}, wantDefault, wantDefault},
		{"within the tolerance", func(e *Endpoint, _ []*Endpoint) { e.Load.Flows.Store(115) }, wantDefault, wantDefault},
		{"beyond the tolerance", func(e *Endpoint, _ []*Endpoint) { e.Load.Flows.Store(125) }, wantOther, wantDefault},
		{"beyond the tolerance with peers' flows", func(e *Endpoint, _ []*Endpoint) { e.Load.PeerFlows.Store(25) }, wantOther, wantDefault},
		{"slow", func(e *Endpoint, others []*Endpoint) {
			e.addServiceTime(time.Second)
			others[0].addServiceTime(10 * time.Millisecond)
			others[1].addServiceTime(10 * time.Millisecond)
		}, wantOther, wantDefault},
		{"less than slowRatio slower", func(e *Endpoint, others []*Endpoint) {
			e.addServiceTime(14 * time.Millisecond)
			others[0].addServiceTime(10 * time.Millisecond)
			others[1].addServiceTime(10 * time.Millisecond)
		}, wantDefault, wantDefault},
		{"shedding", func(e *Endpoint, _ []*Endpoint) { e.Load.shedUntil.Store(int64(testNow + 1)) }, wantOther, wantDefault},
		{"shedding ended", func(e *Endpoint, _ []*Endpoint) { e.Load.shedUntil.Store(int64(testNow)) }, wantDefault, wantDefault},
		{"ramp begun 1 s ago", func(e *Endpoint, _ []*Endpoint) { e.StartRamp(testNow - time.Second) }, wantOther, wantDefault},
		{"ramp complete", func(e *Endpoint, _ []*Endpoint) { e.StartRamp(testNow - rampTime) }, wantDefault, wantDefault},
		{"dead", func(e *Endpoint, _ []*Endpoint) {
			e.noteUnanswered(testNow - deadAfterUnanswered - 1)
			e.Load.lastProbe.Store(int64(testNow - probeInterval + 1))
		}, wantOther, wantOther},
		{"dead and due for a probe", func(e *Endpoint, _ []*Endpoint) {
			e.noteUnanswered(testNow - deadAfterUnanswered - 1)
			e.Load.lastProbe.Store(int64(testNow - probeInterval))
		}, wantDefault, wantDefault},
		{"dead, due for a probe and full", func(e *Endpoint, _ []*Endpoint) {
			e.noteUnanswered(testNow - deadAfterUnanswered - 1)
			setMaxFlows(e, 100)
		}, wantOther, wantOther},
		{"unanswered for less", func(e *Endpoint, _ []*Endpoint) { e.noteUnanswered(testNow - deadAfterUnanswered) }, wantDefault, wantDefault},
		{"draining", func(e *Endpoint, _ []*Endpoint) { e.SetLife(testNow, LifeDraining) }, wantOther, wantOther},
		{"full", func(e *Endpoint, _ []*Endpoint) { setMaxFlows(e, 100) }, wantOther, wantOther},
		{"room for one", func(e *Endpoint, _ []*Endpoint) { setMaxFlows(e, 101) }, wantDefault, wantDefault},
		{"reports that it is full while it answers", func(e *Endpoint, _ []*Endpoint) {
			e.Report(testNow, 1)
			e.noteAnswer(testNow)
		}, wantDefault, wantDefault},
		{"reports that it is full and answers no flow", func(e *Endpoint, _ []*Endpoint) { e.Report(testNow, 1) }, wantOther, wantDefault},
		{"reported long ago that it is full", func(e *Endpoint, _ []*Endpoint) { e.Report(testNow-reportValidity-1, 1) }, wantDefault, wantDefault},
		{"others report that they are idle", func(_ *Endpoint, others []*Endpoint) {
			others[0].Report(testNow, 0)
			others[1].Report(testNow, 0)
		}, wantDefault, wantDefault},
		{"reports that it is idle with too many flows", func(e *Endpoint, _ []*Endpoint) {
			e.Load.Flows.Store(125)
			e.Report(testNow, 0)
		}, wantOther, wantDefault},
		{"all full", func(e *Endpoint, others []*Endpoint) {
			for _, e := range append(others, e) {
				setMaxFlows(e, 100)
			}
		}, wantNone, wantNone},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for mayLeaveDefault, want := range map[bool]string{true: c.mayLeave, false: c.mustStay} {
				table := newTestTable(config.BalanceSteady, 4, 4, 4)
				fp := testFlow(1)
				first, others := table.Default(fp), []*Endpoint(nil)
				for _, e := range table.Endpoints {
					e.Load.Flows.Store(100)
					if e != first {
						others = append(others, e)
					}
				}
				c.set(first, others)
				chooser := newChooser()
				got := chooser.choose(testNow, table, fp, mayLeaveDefault).endpoint
				switch want {
				case wantDefault:
					require.Same(t, first, got, "mayLeaveDefault %v", mayLeaveDefault)
				case wantOther:
					require.Contains(t, others, got, "mayLeaveDefault %v", mayLeaveDefault)
				case wantNone:
					require.Nil(t, got, "mayLeaveDefault %v", mayLeaveDefault)
				}
			}
		})
	}
}

func setMaxFlows(e *Endpoint, n int) {
	c := *e.Config()
	c.MaxFlows = n
	e.SetConfig(c)
}

// TestChooseBoundsLoads begins flows on random tables: no endpoint gets more
// than its share plus the tolerance or the slack.
func TestChooseBoundsLoads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := rapid.SampledFrom([]config.BalancePolicy{config.BalanceSteady, config.BalanceEven}).Draw(t, "policy")
		weights := rapid.SliceOfN(rapid.IntRange(1, 16), 1, 8).Draw(t, "weights")
		flows := rapid.IntRange(1, 400).Draw(t, "flows")
		first := rapid.IntRange(0, 1<<20).Draw(t, "first")
		table := newTestTable(policy, weights...)
		chooser := newChooser()
		total := 0
		for i := range flows {
			chooser.choose(testNow, table, testFlow(first+i), true).endpoint.Load.Flows.Add(1)
		}
		for _, w := range weights {
			total += w
		}
		for i, e := range table.Endpoints {
			mean := float64(flows) * float64(weights[i]) / float64(total)
			bound := max(mean*(1+tolerance(policy)), mean+flowSlack(policy))
			require.LessOrEqual(t, float64(e.flows()), bound+1e-9, "%v", e.Key)
		}
	})
}

// TestChooseByConfiguration skips drained endpoints, but not overloaded or dead
// ones, and checks when a missing host may not know of an operator's change.
func TestChooseByConfiguration(t *testing.T) {
	const partitionedSince = testNow - time.Minute
	cases := []struct {
		name      string
		set       func(first *Endpoint)
		first     bool
		contested bool
	}{
		{"untouched", func(*Endpoint) {}, true, false},
		{"dead, full and loaded", func(e *Endpoint) {
			e.noteUnanswered(1)
			setMaxFlows(e, 1)
			e.Load.Flows.Store(1000)
		}, true, false},
		{"drained long before", func(e *Endpoint) { e.SetLife(partitionedSince-drainReplicationTime, LifeDraining) }, false, false},
		{"drained just before", func(e *Endpoint) { e.SetLife(partitionedSince-drainReplicationTime+1, LifeDraining) }, false, true},
		{"drained since", func(e *Endpoint) { e.SetLife(testNow, LifeDraining) }, false, true},
		{"brought back since", func(e *Endpoint) {
			e.SetLife(1, LifeDraining)
			e.SetLife(testNow, LifeActive)
		}, true, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := newTestTable(config.BalanceSteady, 4, 4, 4)
			fp := testFlow(1)
			first := table.Default(fp)
			c.set(first)
			chooser := newChooser()
			got := chooser.chooseByConfiguration(table, fp, partitionedSince)
			require.Equal(t, c.first, got.endpoint == first)
			require.Equal(t, c.contested, got.contested)
		})
	}
}

// TestChooseInPartitionAcrossBundles marks a choice as contested where a missing
// host that still uses the former bundle would choose another endpoint.
func TestChooseInPartitionAcrossBundles(t *testing.T) {
	former := newTestTable(config.BalanceSteady, 4, 4, 4)
	current := newTestTable(config.BalanceSteady, 4, 4, 4, 4)
	// Both tables share the endpoints that they have in common.
	copy(current.Endpoints, former.Endpoints)
	v := &View{Partitioned: true, PartitionedSince: testNow, Baseline: 1,
		Current: Tables{1: current}, History: map[config.Version]Tables{1: {1: former}}}
	s := NewShard(NewShared(), 1, 10)
	contested := 0
	for i := range 100 {
		c := &packetContext{now: testNow, view: v, table: current, fp: testFlow(i)}
		got := s.chooseInPartition(c)
		require.Same(t, current.Default(c.fp), got.endpoint)
		require.Equal(t, former.Default(c.fp) != got.endpoint, got.contested)
		if got.contested {
			contested++
		}
	}
	require.InDelta(t, 25, contested, 22)
}
