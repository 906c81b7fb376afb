package rollout

import (
	"cmp"
	"slices"

	"toucangap/internal/config"
	"toucangap/internal/flow"
)

// WatchersPerDomain is the number of hosts in each failure domain that watch
// the platform.
const WatchersPerDomain = 2

// Candidate is a host that may watch the platform for its failure domain.
type Candidate struct {
	Name   string
	Domain string
	State  config.HostState
	// PlatformUnreachable is set if the host recently tried the platform and could
	// not reach it.
	PlatformUnreachable bool
}

// ElectWatchers returns the names of the hosts that watch the platform for the
// domain, the first choice first. All hosts that see the same candidates choose
// the same watchers, and the death of a watcher replaces only that one. Hosts
// that can't reach the platform are skipped as long as others are left.
func ElectWatchers(candidates []Candidate, domain string) []string {
	rendezvousKey := flow.Fingerprint(flow.HashName("platform watcher of " + domain))
	var best []rankedCandidate
	for _, c := range candidates {
		if c.Domain != domain || !canWatch(c.State) {
			continue
		}
		best = insertRanked(best, rankedCandidate{c, flow.Score(rendezvousKey, flow.HashName(c.Name))})
	}
	names := make([]string, len(best))
	for i, r := range best {
		names[i] = r.Name
	}
	return names
}

// rankedCandidate is a candidate with its rendezvous score.
type rankedCandidate struct {
	Candidate
	score uint64
}

// compare orders the better candidate first.
func (r rankedCandidate) compare(other rankedCandidate) int {
	return cmp.Or(
		trueFirst(!r.PlatformUnreachable, !other.PlatformUnreachable),
		cmp.Compare(other.score, r.score),
		cmp.Compare(r.Name, other.Name),
	)
}

// insertRanked inserts the candidate if it is among the best WatchersPerDomain.
func insertRanked(best []rankedCandidate, r rankedCandidate) []rankedCandidate {
	i, _ := slices.BinarySearchFunc(best, r, rankedCandidate.compare)
	if i == WatchersPerDomain {
		return best
	}
	best = slices.Insert(best, i, r)
	return best[:min(len(best), WatchersPerDomain)]
}

// canWatch reports whether a host in the state can watch the platform. A
// joining host can, since it needs a bundle before it can become live.
func canWatch(state config.HostState) bool {
	return state == config.HostJoining || state == config.HostLive
}

// IsWatcher reports whether the named host watches the platform for its domain.
func IsWatcher(candidates []Candidate, self, domain string) bool {
	return slices.Contains(ElectWatchers(candidates, domain), self)
}
