package fairshare

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// release releases one request and returns its route.
func release(s *Shares) string {
	i, ok := s.Next()
	if !ok {
		return ""
	}
	route := s.slots[i].route
	s.Charge(i)
	s.Remove(i)
	return route
}

// TestReleasesFollowTheWeights: a rounding error or a lost credit gives a route more or
// less than 2^-priority of the releases, with and without a route of priority 0.
func TestReleasesFollowTheWeights(t *testing.T) {
	for least := range 4 {
		var s Shares
		for range 400 {
			s.Add("urgent", least)
			s.Add("equal", least)
			s.Add("half", least+1)
			s.Add("quarter", least+2)
		}
		count := map[string]int{}
		for range 11 * 20 {
			count[release(&s)]++
		}
		require.Equal(t, map[string]int{"urgent": 80, "equal": 80, "half": 40, "quarter": 20}, count)
	}
}

// TestLentShareReturnsAtOnce: a route that was idle while another one took all releases
// would have to wait for what the other one has waiting. What it gets ahead of the other is
// bounded, or a long quiet time would let it starve the other.
func TestLentShareReturnsAtOnce(t *testing.T) {
	var s Shares
	s.Add("returns", 0)
	release(&s)
	for range 300 {
		s.Add("burst", 0)
	}
	for range 100 {
		require.Equal(t, "burst", release(&s), "nothing is idle")
	}
	for range 100 {
		s.Add("returns", 0)
	}
	order := make([]string, savedReleases+20)
	for i := range order {
		order[i] = release(&s)
	}
	count := func(order []string) (n int) {
		for _, route := range order {
			if route == "returns" {
				n++
			}
		}
		return n
	}
	require.GreaterOrEqual(t, count(order[:savedReleases]), savedReleases-1)
	require.InDelta(t, 10, count(order[savedReleases:]), 1)
}

// TestSlotsAreBounded: names of routes change with the configuration, and each decision
// looks at all slots.
func TestSlotsAreBounded(t *testing.T) {
	var s Shares
	for i := range 3 * keptRoutes {
		s.Add(fmt.Sprint(i), 0)
		release(&s)
	}
	require.Len(t, s.slots, keptRoutes)
}

// TestExcessIsRejected: the queue is filled by one route; the other's only request must
// not be the one that is rejected, whatever the weights.
func TestExcessIsRejected(t *testing.T) {
	for priority := range 4 {
		var s Shares
		s.Add("other", priority)
		burst := 0
		for range 50 {
			burst = s.Add("burst", 0)
		}
		i, ok := s.FurthestAbove()
		require.True(t, ok)
		require.Equal(t, burst, i, "priority %d", priority)
	}
}

// TestNoRouteIsStarved: with requests added, released and rejected at random, no route
// waits for more releases of others than 2^priority + 1 rounds and what
// they have saved up, nothing is idle while
// a request waits, and rejections come from a route that is above its share.
func TestNoRouteIsStarved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Shares
		routes := rapid.IntRange(1, 6).Draw(t, "routes")
		priorities := make([]int, routes)
		for r := range priorities {
			priorities[r] = rapid.IntRange(0, 4).Draw(t, "priority")
		}
		waiting, passed, total := make([]int, routes), make([]int, routes), 0
		for range rapid.IntRange(10, 300).Draw(t, "steps") {
			r := rapid.IntRange(0, routes-1).Draw(t, "route")
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0, 1:
				s.Add(fmt.Sprint(r), priorities[r])
				waiting[r]++
				total++
			case 2, 3:
				name := release(&s)
				require.Equal(t, total > 0, name != "", "idle while a request waits")
				if name == "" {
					continue
				}
				for other := range waiting {
					if waiting[other] > 0 && fmt.Sprint(other) != name {
						passed[other]++
						require.LessOrEqual(t, passed[other], (1<<priorities[other]+1+savedReleases)*(routes-1), "route %d is starved", other)
						continue
					}
					passed[other] = 0
					if fmt.Sprint(other) == name {
						waiting[other]--
						total--
					}
				}
			case 4:
				i, ok := s.FurthestAbove()
				require.Equal(t, total > 0, ok)
				if !ok {
					continue
				}
				weights := 0
				for j := range s.slots {
					if s.slots[j].waiting > 0 {
						weights += s.slots[j].weight()
					}
				}
				require.GreaterOrEqual(t, s.slots[i].waiting*weights, total*s.slots[i].weight(), "rejected below its share")
				for other := range waiting {
					if fmt.Sprint(other) == s.slots[i].route {
						waiting[other]--
						if waiting[other] == 0 {
							passed[other] = 0
						}
					}
				}
				total--
				s.Remove(i)
			}
		}
	})
}

// TestDecisionAllocatesNothing: decisions are made for each packet that finds something waiting.
func TestDecisionAllocatesNothing(t *testing.T) {
	var s Shares
	for range 3 {
		s.Add("a", 0)
		s.Add("b", 3)
	}
	require.Zero(t, testing.AllocsPerRun(100, func() {
		s.Add("a", 0)
		s.FurthestAbove()
		i, _ := s.Next()
		s.Charge(i)
		s.Remove(i)
	}))
}
