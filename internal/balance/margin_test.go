package balance

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

// poisson returns the probability that a Poisson number with the mean is n.
func poisson(mean float64, n int) float64 {
	logFactorial, _ := math.Lgamma(float64(n) + 1)
	return math.Exp(float64(n)*math.Log(mean) - mean - logFactorial)
}

// heldThoughFree returns the probability that a new request finds its host at the limit
// while fewer requests than slots are in progress at all hosts together. Requests in
// progress are Poisson numbers, spread over the hosts at random.
func heldThoughFree(hosts, slots int, load, limit float64) float64 {
	mean := load * float64(slots) / float64(hosts)
	sum := 0.0
	for own := int(math.Ceil(limit)); own < slots; own++ {
		others := 0.0
		for n := range slots - own {
			others += poisson(mean*float64(hosts-1), n)
		}
		sum += poisson(mean, own) * others
	}
	return sum
}

// TestMarginLeavesNoSlotsIdle: with the bare share as its limit, a host of many holds
// requests although slots are free, only because it happens to get more than its mean.
func TestMarginLeavesNoSlotsIdle(t *testing.T) {
	const slots = 240
	for _, hosts := range []int{4, 31, 71, 300} {
		for _, load := range []float64{0.55, 0.85} {
			t.Run(fmt.Sprint(hosts, load), func(t *testing.T) {
				m, window := float64(slots)/float64(hosts), Window{closed: true}
				held := func(limit float64) float64 { return heldThoughFree(hosts, slots, load, window.Limit(limit)) }
				before, after := held(m), held(LimitWithMargin(m, hosts))
				t.Logf("limit %.1f to %.1f, held though slots are free %.5f to %.5f; at 1.4 m %.5f",
					window.Limit(m), LimitWithMargin(m, hosts), before, after, held(1.4*m))
				require.LessOrEqual(t, after, 0.05, "2 standard deviations")
				require.LessOrEqual(t, after, before/4)
			})
		}
	}
	require.Equal(t, 336.0, LimitWithMargin(336, 1), "no other host's slots are free")
	require.Zero(t, LimitWithMargin(0, 4))
}
