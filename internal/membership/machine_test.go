package membership

import (
	"flag"
	"math"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucangap/internal/config"
	"toucangap/internal/peerpb"
)

// soak multiplies the number of seeds of the randomized runs.
var soak = flag.Uint64("soak", 1, "multiplies the seeds of randomized runs")

// TestMain fixes the seed of rapid unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// machine injects random faults into a group of five. Its exported methods are
// the actions that rapid chooses from.
type machine struct {
	net *network
}

func (m *machine) node(t *rapid.T) *node {
	return m.net.nodes[rapid.IntRange(0, len(m.net.nodes)-1).Draw(t, "host")]
}

// Kill stops a process without notice.
func (m *machine) Kill(t *rapid.T) {
	m.node(t).killed = true
}

// Restart starts a new process of the same name without any state.
func (m *machine) Restart(t *rapid.T) {
	x := m.node(t)
	x.delayed, x.resumes = nil, 0
	m.net.start(x)
}

// Pause suspends a process for a time that it does not observe.
func (m *machine) Pause(t *rapid.T) {
	pause := rapid.IntRange(1, 60_000).Draw(t, "milliseconds")
	m.node(t).resumes = m.net.now + time.Duration(pause)*time.Millisecond
}

// Cut drops all packets in one direction between two hosts.
func (m *machine) Cut(t *rapid.T) {
	m.net.blocked[[2]*node{m.node(t), m.node(t)}] = true
}

// Separate partitions the group in two.
func (m *machine) Separate(t *rapid.T) {
	at := rapid.IntRange(1, len(m.net.nodes)-1).Draw(t, "at")
	m.net.setPartition(m.net.nodes[:at], m.net.nodes[at:], true)
}

// Heal ends all partitions.
func (m *machine) Heal(*rapid.T) {
	clear(m.net.blocked)
}

// Disturb sets loss, duplication and jitter of the network.
func (m *machine) Disturb(t *rapid.T) {
	m.net.loss = rapid.Float64Range(0, 0.3).Draw(t, "loss")
	m.net.duplicated = rapid.Float64Range(0, 0.3).Draw(t, "duplicated")
	m.net.jitter = time.Duration(rapid.IntRange(1, 200).Draw(t, "jitter")) * time.Millisecond
}

// Leave announces a graceful shutdown, and Return takes it back.
func (m *machine) Leave(t *rapid.T) {
	m.node(t).members.SetSelfState(config.HostLeaving)
}

// Return makes a host live again, whatever state it claimed before.
func (m *machine) Return(t *rapid.T) {
	m.node(t).members.SetSelfState(config.HostLive)
}

// Run lets time pass.
func (m *machine) Run(t *rapid.T) {
	m.net.run(time.Duration(rapid.IntRange(1, 10_000).Draw(t, "milliseconds")) * time.Millisecond)
}

// Check holds after each step.
func (m *machine) Check(t *rapid.T) {
	for _, x := range m.net.nodes {
		require.Empty(t, x.violation)
		require.LessOrEqual(t, x.largest, MaxProbeBytes)
		for _, mem := range x.members.members {
			require.Equal(t, alive(mem.host.State), mem.index >= 0)
		}
	}
}

// TestViewsConvergeAfterFaults injects any mix of faults, heals them, and then
// requires that every running host sees every other in the state that it
// claims, and that no killed one is considered alive.
func TestViewsConvergeAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{net: newNetwork(rapid.Uint64().Draw(t, "seed"), 5)}
		m.net.run(5 * time.Second)
		t.Repeat(rapid.StateMachineActions(m))
		m.heal()
		require.Empty(t, m.net.disagreement())
	})
}

// TestHostileMessages sends arbitrary messages to a host and checks that its
// own incarnation only grows and that what it sends stays within limits.
func TestHostileMessages(t *testing.T) {
	names := rapid.SampledFrom([]string{"", "host-0000", "host-0001", "host-0002", "stranger"})
	numbers := rapid.OneOf(rapid.Uint64Range(0, 3), rapid.Just(uint64(math.MaxUint64)), rapid.Uint64())
	updates := rapid.Custom(func(t *rapid.T) *peerpb.Rumor {
		r := &peerpb.Rumor{
			Name: names.Draw(t, "name"), Incarnation: numbers.Draw(t, "incarnation"),
			State: peerpb.HostState(rapid.Int32Range(-1, 7).Draw(t, "state")), Suspect: rapid.Bool().Draw(t, "suspect"),
		}
		if rapid.Bool().Draw(t, "described") {
			address := rapid.SampledFrom([][]byte{nil, {1}, addressBytes(addressOf(1)), addressBytes(addressOf(77))})
			r.Description = &peerpb.Description{Version: numbers.Draw(t, "version"), Group: "all", Probe: address.Draw(t, "probe")}
		}
		return r
	})
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(1, 3)
		n.run(2 * time.Second)
		x := n.nodes[0]
		for range rapid.IntRange(1, 50).Draw(t, "messages") {
			before := x.members.Self().Incarnation
			n.process(x, x.members.Receive(n.now, addressOf(rapid.IntRange(0, 9).Draw(t, "address")), &peerpb.Probe{
				Kind: peerpb.Probe_Kind(rapid.Int32Range(-1, 7).Draw(t, "kind")), Sequence: rapid.Uint32Range(0, 9).Draw(t, "sequence"),
				From: names.Draw(t, "from"), Incarnation: numbers.Draw(t, "incarnation"), Target: names.Draw(t, "target"),
				State: peerpb.HostState(rapid.Int32Range(-1, 7).Draw(t, "state")), Introduce: rapid.Bool().Draw(t, "introduce"),
				Rumors: rapid.SliceOfN(updates, 0, 4).Draw(t, "rumors"),
			}))
			n.run(time.Duration(rapid.IntRange(0, 400).Draw(t, "milliseconds")) * time.Millisecond)
			require.GreaterOrEqual(t, x.members.Self().Incarnation, before)
			(&machine{net: n}).Check(t)
		}
	})
}

// heal ends all faults except the deaths, sets a list that still names the
// killed hosts, and gives the group time to converge.
func (m *machine) heal() {
	clear(m.net.blocked)
	m.net.loss, m.net.duplicated, m.net.jitter = 0, 0, time.Millisecond
	var listed []config.Host
	for _, x := range m.net.nodes {
		host := x.members.Self()
		host.State = config.HostLive
		listed = append(listed, host)
	}
	for _, x := range m.net.nodes {
		x.resumes = min(x.resumes, m.net.now)
		x.members.SetPlatformHosts(listed)
	}
	m.net.run(45 * time.Second)
}
