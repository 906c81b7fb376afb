package rollout

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucangap/internal/config"
)

func candidates(n int) []Candidate {
	var out []Candidate
	for i := range n {
		domain := []string{"gavle", "falun"}[i%2]
		out = append(out, Candidate{Name: fmt.Sprintf("host-%d", i), Domain: domain, State: config.HostLive})
	}
	return out
}

func TestElectionReplacesOnlyTheDeadWatcher(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := candidates(rapid.IntRange(6, 200).Draw(t, "hosts"))
		before := ElectWatchers(all, "gavle")
		require.Len(t, before, WatchersPerDomain)
		shuffled := rapid.Permutation(all).Draw(t, "order")
		require.Equal(t, before, ElectWatchers(shuffled, "gavle"), "the order of the list does not matter")

		dead := rapid.SampledFrom(all).Draw(t, "dead")
		i := slices.Index(all, dead)
		all[i].State = config.HostDead
		after := ElectWatchers(all, "gavle")
		require.Len(t, after, WatchersPerDomain)
		require.NotContains(t, after, dead.Name)
		for _, name := range before {
			if name != dead.Name {
				require.Contains(t, after, name, "only the dead watcher's place moves")
			}
		}
	})
}

func TestElectionSkipsHostsWithoutThePlatform(t *testing.T) {
	all := candidates(8)
	first := ElectWatchers(all, "gavle")
	for i := range all {
		all[i].PlatformUnreachable = slices.Contains(first, all[i].Name)
	}
	second := ElectWatchers(all, "gavle")
	require.Len(t, second, WatchersPerDomain)
	require.NotContains(t, second, first[0])
	require.NotContains(t, second, first[1])
	for i := range all {
		all[i].PlatformUnreachable = true
	}
	require.Equal(t, first, ElectWatchers(all, "gavle"), "the choice is unchanged if no host reaches the platform")
	require.True(t, IsWatcher(all, first[0], "gavle"))
	require.Empty(t, ElectWatchers(all, "uppsala"))
}
