package steer

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucangap/internal/config"
)

// TestDefaultShares checks that flows are distributed by weight.
func TestDefaultShares(t *testing.T) {
	const flows = 50_000
	weights := []int{0, 1, 4, 15}
	table := newTestTable(config.BalanceSteady, weights...)
	count := make(map[*Endpoint]int)
	for i := range flows {
		count[table.Default(testFlow(i))]++
	}
	for i, e := range table.Endpoints {
		require.InDelta(t, flows*weights[i]/20, count[e], 5*math.Sqrt(flows/4), "%v", e.Key)
	}
	require.Zero(t, count[table.Endpoints[0]])
}

// TestDefaultMinimalDisruption compares tables that differ in one endpoint: only
// that endpoint's flows have another default, and their number is about its share.
func TestDefaultMinimalDisruption(t *testing.T) {
	const flows = 2000
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(1, 16), 2, 8).Draw(t, "weights")
		first := rapid.IntRange(0, 1<<20).Draw(t, "first")
		after := newTestTable(config.BalanceSteady, weights...)
		n := len(weights) - 1
		before := newTestTable(config.BalanceSteady, weights[:n]...)
		total, moved := 0, 0
		for _, w := range weights {
			total += w
		}
		for i := range flows {
			was, is := before.Default(testFlow(first+i)).Key, after.Default(testFlow(first+i)).Key
			if was != is {
				require.Equal(t, after.Endpoints[n].Key, is)
				moved++
			}
		}
		share := float64(weights[n]) / float64(total)
		require.InDelta(t, flows*share, moved, 6*math.Sqrt(flows*share*(1-share))+1)
	})
}
