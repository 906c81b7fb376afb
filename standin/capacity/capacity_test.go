package capacity

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/internal/config"
	"toucangap/internal/steer"
)

// These tests check that the measured systems work; otherwise the measurements
// would be meaningless.

func TestGroupHoldsRecords(t *testing.T) {
	g := newGroup(4, newBundle(4, 4, endpointsPerService))
	g.runUntil(joinTimeout, g.allLive)
	require.True(t, g.allLive())
	g.run(2 * steer.JoinGrace)
	g.openFlows(500)
	opened := int64(0)
	for _, n := range g.nodes {
		opened += n.shard.Counts.FlowsOpened
	}
	require.EqualValues(t, 4*500, opened)
	g.drain()
	g.waitForRecords()
	require.Positive(t, g.recordsIn())
	for _, n := range g.nodes {
		require.Zero(t, n.shared.RecordsWaiting.Load())
	}
	joining := g.join()
	g.runUntil(handoverTimeout, g.allLive)
	require.Equal(t, config.HostLive, joining.control.State())
}

func TestOwnedKeys(t *testing.T) {
	single := newSingleShard(shardGroupSize, newBundle(shardGroupSize, shardGroupSize, endpointsPerService), 0)
	single.sendToAll(time.Second, single.ownedKeys(100), steer.TCPSyn)
	require.EqualValues(t, 100, single.shard.Counts.FlowsOpened)
}

func TestPrint(t *testing.T) {
	var out strings.Builder
	s := Section{Name: "part", Description: "a part", Rows: []Row{{"size=1", []Value{{"time", "ns", 1234.5}}}}}
	require.NoError(t, s.Print(&out))
	require.Contains(t, out.String(), "time=1234 ns")
}
