package follow

import (
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucangap/internal/catalog"
	"toucangap/platform"
	"toucangap/platform/platformtest"
)

const (
	testLifetime = time.Minute
	testHistory  = 20 * time.Second
)

func newTestReplica() *Replica {
	return NewReplica(slog.New(slog.DiscardHandler), testLifetime, testHistory)
}

// at returns a position in the store's first incarnation.
func at(revision uint64) catalog.Position {
	return catalog.Position{Incarnation: 1, Revision: revision}
}

func put(key string, revision uint64, value string) platform.Change {
	return platform.Change{Item: platform.Item{Key: key, Value: []byte(value), Revision: revision, Incarnation: 1}}
}

func removal(key string, revision uint64) platform.Change {
	return platform.Change{Item: platform.Item{Key: key, Revision: revision, Incarnation: 1}, Removed: true}
}

func configurationAt(revision, version uint64) platform.Change {
	return put(platformtest.ConfigurationKey, revision, platformtest.Configuration(version))
}

func entryAt(id string, revision uint64, state string) platform.Change {
	return put(platformtest.EndpointKey(id), revision, platformtest.EntryWithoutStart(state, 1))
}

func availableIDs(v *catalog.View) []string {
	var out []string
	for _, e := range v.Available("s") {
		out = append(out, e.ID)
	}
	return out
}

func TestUnreadableEntryHidesNoOther(t *testing.T) {
	r := newTestReplica()
	r.Apply(0, Batch{Position: at(5), Changes: []platform.Change{
		configurationAt(2, 1), entryAt("i-1", 3, "ready"), put(platformtest.EndpointKey("i-2"), 4, "\xff"), entryAt("i-3", 5, "ready"),
	}})
	require.Equal(t, []string{"i-1", "i-3"}, availableIDs(r.View(0)))
	r.Apply(0, Batch{Position: at(6), Changes: []platform.Change{put(platformtest.EndpointKey("i-1"), 6, "{}")}})
	require.Equal(t, []string{"i-3"}, availableIDs(r.View(0)), "an endpoint with an unreadable entry gets no new flows")
	require.NotNil(t, r.View(0).ByToken(catalog.TokenOf("i-1")), "its existing flows are still forwarded")
}

// TestOddEntriesHideNoDrain: another writer leaves entries that are nested deeply, or hold
// numbers or ports out of range, among those of one listing and of one watch. The drain of
// an endpoint beside them applies, and none of them takes flows.
func TestOddEntriesHideNoDrain(t *testing.T) {
	good := platformtest.EntryWithoutStart("ready", 1)
	odd := []string{
		strings.Repeat("[", 1<<15),
		strings.Repeat(`{"a":`, 1<<15),
		strings.Replace(good, `"Slots":2`, `"Slots":9223372036854775807`, 1),
		strings.Replace(good, `"Slots":2`, `"Slots":1e300`, 1),
		strings.Replace(good, ":80\"", ":70000\"", 1),
	}
	for _, value := range odd {
		require.NotEqual(t, good, value)
	}
	r := newTestReplica()
	changes := []platform.Change{configurationAt(2, 1), entryAt("i-1", 3, "ready"), entryAt("i-2", 4, "ready")}
	for i, value := range odd {
		changes = append(changes, put(platformtest.EndpointKey(fmt.Sprint("i-", 30+i)), uint64(5+i), value))
	}
	r.Apply(0, Batch{Position: at(20), Changes: changes})
	require.Equal(t, []string{"i-1", "i-2"}, availableIDs(r.View(0)))
	changes = nil
	for i, value := range odd {
		changes = append(changes, put(platformtest.EndpointKey(fmt.Sprint("i-", 30+i)), uint64(21+i), value))
	}
	r.Apply(0, Batch{Position: at(40), Changes: append(changes, entryAt("i-1", 40, "draining"))})
	require.Equal(t, []string{"i-2"}, availableIDs(r.View(0)))
}

func TestUnreadableConfigurationKeepsThePrevious(t *testing.T) {
	r := newTestReplica()
	r.Apply(0, Batch{Position: at(2), Changes: []platform.Change{configurationAt(2, 7)}})
	require.False(t, r.Apply(0, Batch{Position: at(3), Changes: []platform.Change{put(platformtest.ConfigurationKey, 3, "{")}}))
	require.False(t, r.Apply(0, Batch{Position: at(4), Changes: []platform.Change{removal(platformtest.ConfigurationKey, 4)}}))
	require.Equal(t, uint64(7), r.View(0).Configuration.Version)
	require.True(t, r.Apply(0, Batch{Position: at(5), Changes: []platform.Change{configurationAt(5, 8)}}))
}

// TestOrderOfChangesDoesNotMatter checks that the newest change of each key
// wins when changes arrive from the store and from peers, twice and out of
// order.
func TestOrderOfChangesDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		changes := []platform.Change{configurationAt(1, 1)}
		newest := make(map[string]platform.Change)
		for i := range rapid.IntRange(1, 30).Draw(t, "changes") {
			id := fmt.Sprintf("i-%d", rapid.IntRange(1, 5).Draw(t, "id"))
			revision := uint64(i + 2)
			c := rapid.SampledFrom([]platform.Change{
				entryAt(id, revision, "ready"), entryAt(id, revision, "draining"),
				removal(platformtest.EndpointKey(id), revision), put(platformtest.EndpointKey(id), revision, "?"),
			}).Draw(t, "change")
			changes = append(changes, c)
			newest[id] = c
		}
		r := newTestReplica()
		now := time.Duration(0)
		for _, c := range rapid.Permutation(append(changes, changes...)).Draw(t, "order") {
			r.Apply(now, Batch{Changes: []platform.Change{c}})
			now += time.Millisecond
		}
		for id, c := range newest {
			want := c.Revision > 0 && string(c.Value) == string(entryAt(id, 0, "ready").Value)
			if got := slices.Contains(availableIDs(r.View(now)), id); got != want {
				t.Fatalf("%s: available %t after %s", id, got, c.Value)
			}
		}
	})
}

// TestForgottenRemovalsDoNotComeBack: a peer that was paused may bring an entry
// whose removal has been compacted since; the entry must stay removed.
func TestForgottenRemovalsDoNotComeBack(t *testing.T) {
	r := newTestReplica()
	old := entryAt("i-1", 3, "ready")
	r.Apply(0, Batch{Position: at(4), Changes: []platform.Change{configurationAt(2, 1), old, removal(platformtest.EndpointKey("i-1"), 4)}})
	r.Expire(testHistory)
	r.Expire(testLifetime)
	r.Apply(testLifetime, Batch{Changes: []platform.Change{old}})
	require.Empty(t, availableIDs(r.View(testLifetime)))
}

// TestPeersReachTheSameState checks that a peer that applies what Since
// returns, whatever its state before, has the same available endpoints
// and configuration.
func TestPeersReachTheSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source, peer := newTestReplica(), newTestReplica()
		now := time.Duration(0)
		revision := uint64(1)
		source.Apply(now, Batch{Position: at(1), Changes: []platform.Change{configurationAt(1, 1)}})
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 8000).Draw(t, "ms")) * time.Millisecond
			source.Expire(now)
			peer.Expire(now)
			if rapid.Bool().Draw(t, "sync") {
				peer.Apply(now, source.Since(now, peer.Progress()))
				requireSameState(t, now, source, peer)
				continue
			}
			revision++
			id := fmt.Sprintf("i-%d", rapid.IntRange(1, 4).Draw(t, "id"))
			c := rapid.SampledFrom([]platform.Change{
				entryAt(id, revision, "ready"), entryAt(id, revision, "draining"),
				removal(platformtest.EndpointKey(id), revision), configurationAt(revision, revision),
			}).Draw(t, "change")
			source.Apply(now, Batch{Position: at(revision), Changes: []platform.Change{c}})
		}
		peer.Apply(now, source.Since(now, peer.Progress()))
		requireSameState(t, now, source, peer)
	})
}

func requireSameState(t *rapid.T, now time.Duration, a, b *Replica) {
	va, vb := a.View(now), b.View(now)
	if !slices.Equal(availableIDs(va), availableIDs(vb)) {
		t.Fatalf("available: %v at the source, %v at the peer", availableIDs(va), availableIDs(vb))
	}
	if va.Configuration.Version != vb.Configuration.Version || a.Progress() != b.Progress() {
		t.Fatalf("version %d at %s, and %d at %s", va.Configuration.Version, a.Progress().Position, vb.Configuration.Version, b.Progress().Position)
	}
}

// TestExpiredEntriesAreKeptAfterAnOutage: the store returns from an outage with
// the leases of all entries expired. They stay in use during the recovery grace
// period.
func TestExpiredEntriesAreKeptAfterAnOutage(t *testing.T) {
	r := newTestReplica()
	r.Apply(0, Batch{Position: at(4), Changes: []platform.Change{
		configurationAt(2, 1), entryAt("i-1", 3, "ready"), entryAt("i-2", 4, "ready"),
	}})
	back := 10 * time.Second
	r.Apply(back, Batch{Complete: true, Reconnected: true, Position: at(9), Changes: []platform.Change{configurationAt(2, 1)}})
	require.Equal(t, []string{"i-1", "i-2"}, availableIDs(r.View(back)))
	r.Apply(back+time.Second, Batch{Position: at(10), Changes: []platform.Change{entryAt("i-2", 10, "ready")}})
	require.Equal(t, []string{"i-2"}, availableIDs(r.View(back+recoveryGracePeriod)))
}

// TestLeavingTheRotation checks that a host may not leave the rotation while too
// few other hosts of its domain would remain in it.
func TestLeavingTheRotation(t *testing.T) {
	host := func(name, domain string, revision uint64) platform.Change {
		return put(platform.HostKey(name), revision,
			fmt.Sprintf(`{"name":%q,"domain":%q,"feed":"10.0.0.1:7000"}`, name, domain))
	}
	gone := func(name string, revision uint64) platform.Change { return removal(platform.HostKey(name), revision) }
	mayLeave := func(r *Replica, now time.Duration) bool {
		ok, _ := r.MayLeave(now, "a", "d")
		return ok
	}
	r := newTestReplica()
	r.Apply(0, Batch{Position: at(5), Changes: []platform.Change{
		host("a", "d", 1), host("b", "d", 2), host("c", "d", 3), host("x", "other", 4), host("y", "other", 5),
	}})
	require.True(t, mayLeave(r, 0))
	r.Apply(time.Second, Batch{Position: at(7), Changes: []platform.Change{gone("x", 6), gone("y", 7)}})
	require.True(t, mayLeave(r, time.Second), "other domains do not count")
	r.Apply(2*time.Second, Batch{Position: at(8), Changes: []platform.Change{gone("b", 8)}})
	require.False(t, mayLeave(r, 2*time.Second), "one of three would remain")
	back := 3 * time.Second
	r.Apply(back, Batch{Position: at(9), Changes: []platform.Change{host("b", "d", 9)}})
	require.False(t, mayLeave(r, back), "routers have not checked its readiness yet")
	require.True(t, mayLeave(r, back+rejoinDelay))
	r.Apply(back, Batch{Position: at(10), Changes: []platform.Change{gone("b", 10)}})
	require.True(t, mayLeave(r, back+maxRestartTime), "its absence has expired")

	large := newTestReplica()
	for i := range 12 {
		large.Apply(0, Batch{Changes: []platform.Change{host(fmt.Sprintf("h%d", i), "d", uint64(i+1))}})
	}
	large.Apply(0, Batch{Changes: []platform.Change{gone("h1", 20), gone("h2", 21), gone("h3", 22)}})
	ok, restarting := large.MayLeave(0, "h0", "d")
	require.True(t, ok, "eight of twelve remain")
	require.Equal(t, []string{"h1", "h2", "h3"}, restarting)
}

// TestFeedsFormNoCycle checks that with any set of hosts, following the first
// upstreams ends at a host that follows the store, and that each failure domain
// has one host with an upstream outside of it.
func TestFeedsFormNoCycle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var hosts []Host
		for i := range rapid.IntRange(1, 40).Draw(t, "hosts") {
			hosts = append(hosts, Host{
				Name:     fmt.Sprintf("h%d-%d", i, rapid.Uint16().Draw(t, "name")),
				Domain:   fmt.Sprintf("d%d", rapid.IntRange(1, 5).Draw(t, "domain")),
				Capacity: rapid.IntRange(0, 3).Draw(t, "capacity"),
			})
		}
		byName := make(map[string]Host)
		for _, h := range hosts {
			byName[h.Name] = h
		}
		followers := 0
		outward := make(map[string]int)
		for _, h := range hosts {
			upstreams := Upstreams(hosts, h)
			if len(upstreams) == 0 {
				followers++
				outward[h.Domain]++
				continue
			}
			if upstreams[0].Domain != h.Domain {
				outward[h.Domain]++
			}
			for _, f := range upstreams {
				if compareRank(f, h) >= 0 {
					t.Fatalf("%s is fed by the lower-ranked %s", h.Name, f.Name)
				}
			}
		}
		if followers != 1 {
			t.Fatalf("%d hosts follow the store, want 1", followers)
		}
		for domain, n := range outward {
			if n != 1 {
				t.Fatalf("%d hosts of %s have no upstream in their domain", n, domain)
			}
		}
	})
}

// TestListingHostTellsOfEarlierRemovals: a host that has just started knows the store
// from a listing, and so nothing of removals before it. A host that was cut off since
// before one of them must not keep the endpoint when that host feeds it.
func TestListingHostTellsOfEarlierRemovals(t *testing.T) {
	cutOff := newTestReplica()
	cutOff.Apply(0, Batch{Complete: true, Position: at(5), Changes: []platform.Change{configurationAt(2, 1), entryAt("i-1", 3, "ready"), entryAt("i-2", 4, "ready")}})
	started := newTestReplica()
	started.Apply(0, Batch{Complete: true, Position: at(9), Changes: []platform.Change{configurationAt(2, 1), entryAt("i-2", 4, "ready")}})
	cutOff.Apply(0, started.Since(0, cutOff.Progress()))
	require.Equal(t, []string{"i-2"}, availableIDs(cutOff.View(0)))
	require.False(t, started.Since(0, cutOff.Progress()).Complete, "later updates are small")
}

// TestFeedTreeIsBounded: of hundreds of hosts in a domain none feeds more than the
// fan-out, the strong ones are the inner hosts, and no host is more than three feeds
// away from the first one.
func TestFeedTreeIsBounded(t *testing.T) {
	var hosts []Host
	for i := range 500 {
		hosts = append(hosts, Host{Name: fmt.Sprintf("h%d", i), Domain: "d", Capacity: CapacityOf(0.15, 20)})
		if i%5 == 0 {
			hosts[i].Capacity = CapacityOf(0.8, 200)
		}
	}
	fed := make(map[string]int)
	parents := make(map[string]string)
	for _, h := range hosts {
		if upstreams := Upstreams(hosts, h); len(upstreams) > 0 {
			require.Equal(t, CapacityOf(0.8, 200), upstreams[0].Capacity)
			fed[upstreams[0].Name]++
			parents[h.Name] = upstreams[0].Name
		}
	}
	for name, n := range fed {
		require.LessOrEqual(t, n, feedFanOut, name)
	}
	for _, h := range hosts {
		depth := 0
		for name := h.Name; parents[name] != ""; name = parents[name] {
			depth++
		}
		require.LessOrEqual(t, depth, 3)
	}
	require.Equal(t, CapacityOf(0.15, 20), CapacityOf(0.154, 20), "hosts of one kind are equal")
}

// TestChildrenOfALostHostFindOthers: with its parent gone a host follows one of the
// parent's ancestors, and all other hosts above it are alternatives.
func TestChildrenOfALostHostFindOthers(t *testing.T) {
	var hosts []Host
	for i := range 40 {
		hosts = append(hosts, Host{Name: fmt.Sprintf("h%d", i), Domain: "d"})
	}
	slices.SortFunc(hosts, compareRank)
	last := hosts[39]
	upstreams := Upstreams(hosts, last)
	require.Equal(t, []Host{hosts[4], hosts[0], hosts[1]}, upstreams[:3])
	require.Len(t, upstreams, 39)
}

func TestFallbacksOfTheOwnDomainComeFirst(t *testing.T) {
	hosts := []Host{{Name: "a", Domain: "x"}, {Name: "b", Domain: "y"}, {Name: "c", Domain: "x"}, {Name: "d", Domain: "y"}}
	fallbacks := Fallbacks(hosts, "a", "x")
	require.Len(t, fallbacks, 3)
	require.Equal(t, "c", fallbacks[0].Name)
}

// TestTimingsMeetTheBound checks that a change is received within the bound in
// the worst order of events, and that state kept current by a feed never looks
// stale.
func TestTimingsMeetTheBound(t *testing.T) {
	for _, bound := range []time.Duration{time.Second, 3 * time.Second, 5 * time.Second, 30 * time.Second} {
		timings := NewTimings(bound)
		require.LessOrEqual(t, timings.MinInterval+timings.WatchWait+timings.WatchSlack, bound*2/3)
		require.Less(t, timings.MinInterval+timings.WatchWait, timings.MaxAge)
		require.Less(t, timings.MaxAge+timings.PingInterval, bound)
		require.LessOrEqual(t, 2*timings.PingInterval, timings.SilenceTimeout)
	}
}

// TestLaterChangesOfAListing checks that changes after a listing's revision are
// neither removed by the listing nor overwritten by it.
func TestLaterChangesOfAListing(t *testing.T) {
	r := NewReplica(slog.New(slog.DiscardHandler), time.Minute, time.Minute)
	change := func(key string, revision uint64, removed bool) platform.Change {
		return platform.Change{Item: platform.Item{Key: key, Value: []byte("{}"), Revision: revision, Incarnation: 1}, Removed: removed}
	}
	r.Apply(0, Batch{
		Complete: true, Position: at(5),
		Changes: []platform.Change{change("x/a", 3, false), change("x/b", 4, false)},
		Later:   []platform.Change{change("x/a", 7, true), change("x/c", 8, false)},
	})
	require.True(t, r.items["x/a"].removed)
	require.False(t, r.items["x/b"].removed)
	require.False(t, r.items["x/c"].removed)
	require.Equal(t, at(8), r.Progress().Position)
}
