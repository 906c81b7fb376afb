package follow

import (
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucangap/internal/catalog"
	"toucangap/platform"
)

const (
	testLifetime = time.Minute
	testHistory  = 20 * time.Second
)

func newTestKeeper() *Keeper {
	return NewKeeper(slog.New(slog.DiscardHandler), testLifetime, testHistory)
}

func put(key string, revision uint64, value string) platform.Change {
	return platform.Change{Item: platform.Item{Key: key, Value: []byte(value), Revision: revision}}
}

func removal(key string, revision uint64) platform.Change {
	return platform.Change{Item: platform.Item{Key: key, Revision: revision}, Removed: true}
}

func configurationAt(revision, version uint64) platform.Change {
	return put("op/config", revision, fmt.Sprintf(
		`{"Version":%d,"Routes":[{"Name":"r","Hostname":"198.18.0.1","Prefix":"/443/","Service":"s"}],"Services":[{"Name":"s"}]}`, version))
}

func entryAt(id string, revision uint64, state string) platform.Change {
	return put("servers/"+id, revision, fmt.Sprintf(
		`{"Service":"s","Address":"10.0.0.1:80","Zone":"d","Version":"v1","Slots":2,"State":%q,"ColdRemainingMs":0,"Sequence":1}`, state))
}

func openIDs(v *catalog.View) []string {
	var out []string
	for _, e := range v.Open("s") {
		out = append(out, e.ID)
	}
	return out
}

func TestUnreadableEntryHidesNoOther(t *testing.T) {
	k := newTestKeeper()
	k.Apply(0, Batch{Revision: 5, Changes: []platform.Change{
		configurationAt(2, 1), entryAt("i-1", 3, "ready"), put("servers/i-2", 4, "\xff"), entryAt("i-3", 5, "ready"),
	}})
	require.Equal(t, []string{"i-1", "i-3"}, openIDs(k.View(0)))
	k.Apply(0, Batch{Revision: 6, Changes: []platform.Change{put("servers/i-1", 6, "{}")}})
	require.Equal(t, []string{"i-3"}, openIDs(k.View(0)), "an entry that was overwritten takes no new flows")
	require.NotNil(t, k.View(0).ByToken(catalog.TokenOf("i-1")), "its flows go on")
}

func TestUnreadableConfigurationLeavesTheFormer(t *testing.T) {
	k := newTestKeeper()
	k.Apply(0, Batch{Revision: 2, Changes: []platform.Change{configurationAt(2, 7)}})
	require.False(t, k.Apply(0, Batch{Revision: 3, Changes: []platform.Change{put("op/config", 3, "{")}}))
	require.False(t, k.Apply(0, Batch{Revision: 4, Changes: []platform.Change{removal("op/config", 4)}}))
	require.Equal(t, uint64(7), k.View(0).Configuration.Version)
	require.True(t, k.Apply(0, Batch{Revision: 5, Changes: []platform.Change{configurationAt(5, 8)}}))
}

// TestOrderOfNewsDoesNotMatter: news come from the store and from peers, twice
// and out of order; the newest of each key stands.
func TestOrderOfNewsDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		changes := []platform.Change{configurationAt(1, 1)}
		newest := make(map[string]platform.Change)
		for i := range rapid.IntRange(1, 30).Draw(t, "changes") {
			id := fmt.Sprintf("i-%d", rapid.IntRange(1, 5).Draw(t, "id"))
			revision := uint64(i + 2)
			c := rapid.SampledFrom([]platform.Change{
				entryAt(id, revision, "ready"), entryAt(id, revision, "draining"),
				removal("servers/"+id, revision), put("servers/"+id, revision, "?"),
			}).Draw(t, "change")
			changes = append(changes, c)
			newest[id] = c
		}
		k := newTestKeeper()
		now := time.Duration(0)
		for _, c := range rapid.Permutation(append(changes, changes...)).Draw(t, "order") {
			k.Apply(now, Batch{Changes: []platform.Change{c}})
			now += time.Millisecond
		}
		for id, c := range newest {
			want := c.Revision > 0 && string(c.Value) == string(entryAt(id, 0, "ready").Value)
			if got := slices.Contains(openIDs(k.View(now)), id); got != want {
				t.Fatalf("%s: open %t after %s", id, got, c.Value)
			}
		}
	})
}

// TestForgottenRemovalsDoNotComeBack: a peer that stood still may bring an
// entry whose removal was long ago.
func TestForgottenRemovalsDoNotComeBack(t *testing.T) {
	k := newTestKeeper()
	old := entryAt("i-1", 3, "ready")
	k.Apply(0, Batch{Revision: 4, Changes: []platform.Change{configurationAt(2, 1), old, removal("servers/i-1", 4)}})
	k.Expire(testHistory)
	k.Expire(testLifetime)
	k.Apply(testLifetime, Batch{Changes: []platform.Change{old}})
	require.Empty(t, openIDs(k.View(testLifetime)))
}

// TestPeersReachTheSameState: a peer that takes what Since gives, whatever it
// had before, ends up with the same open endpoints and configuration.
func TestPeersReachTheSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source, peer := newTestKeeper(), newTestKeeper()
		now := time.Duration(0)
		revision := uint64(1)
		source.Apply(now, Batch{Revision: 1, Changes: []platform.Change{configurationAt(1, 1)}})
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 8000).Draw(t, "ms")) * time.Millisecond
			source.Expire(now)
			peer.Expire(now)
			if rapid.Bool().Draw(t, "sync") {
				peer.Apply(now, source.Since(now, peer.Revision()))
				requireSameState(t, now, source, peer)
				continue
			}
			revision++
			id := fmt.Sprintf("i-%d", rapid.IntRange(1, 4).Draw(t, "id"))
			c := rapid.SampledFrom([]platform.Change{
				entryAt(id, revision, "ready"), entryAt(id, revision, "draining"),
				removal("servers/"+id, revision), configurationAt(revision, revision),
			}).Draw(t, "change")
			source.Apply(now, Batch{Revision: revision, Changes: []platform.Change{c}})
		}
		peer.Apply(now, source.Since(now, peer.Revision()))
		requireSameState(t, now, source, peer)
	})
}

func requireSameState(t *rapid.T, now time.Duration, a, b *Keeper) {
	va, vb := a.View(now), b.View(now)
	if !slices.Equal(openIDs(va), openIDs(vb)) {
		t.Fatalf("open %v at the source, %v at the peer", openIDs(va), openIDs(vb))
	}
	if va.Configuration.Version != vb.Configuration.Version || a.Revision() != b.Revision() {
		t.Fatalf("version %d at %d, and %d at %d", va.Configuration.Version, a.Revision(), vb.Configuration.Version, b.Revision())
	}
}

// TestLapsedEntriesAreHeldAfterAnOutage plays a store that comes back with all
// entries lapsed.
func TestLapsedEntriesAreHeldAfterAnOutage(t *testing.T) {
	k := newTestKeeper()
	k.Apply(0, Batch{Revision: 4, Changes: []platform.Change{
		configurationAt(2, 1), entryAt("i-1", 3, "ready"), entryAt("i-2", 4, "ready"),
	}})
	back := 10 * time.Second
	k.Apply(back, Batch{Complete: true, Regained: true, Revision: 9, Changes: []platform.Change{configurationAt(2, 1)}})
	require.Equal(t, []string{"i-1", "i-2"}, openIDs(k.View(back)))
	k.Apply(back+time.Second, Batch{Revision: 10, Changes: []platform.Change{entryAt("i-2", 10, "ready")}})
	require.Equal(t, []string{"i-2"}, openIDs(k.View(back+lapseGrace)))
}

// TestLeavingTheRotation: a host stays while too few others would be left.
func TestLeavingTheRotation(t *testing.T) {
	host := func(name, domain string, revision uint64) platform.Change {
		return put(platform.HostKey(name), revision,
			fmt.Sprintf(`{"name":%q,"domain":%q,"feed":"10.0.0.1:7000"}`, name, domain))
	}
	gone := func(name string, revision uint64) platform.Change { return removal(platform.HostKey(name), revision) }
	may := func(k *Keeper, now time.Duration) bool {
		ok, _ := k.MayLeave(now, "a", "d")
		return ok
	}
	k := newTestKeeper()
	k.Apply(0, Batch{Revision: 5, Changes: []platform.Change{
		host("a", "d", 1), host("b", "d", 2), host("c", "d", 3), host("x", "other", 4), host("y", "other", 5),
	}})
	require.True(t, may(k, 0))
	k.Apply(time.Second, Batch{Revision: 7, Changes: []platform.Change{gone("x", 6), gone("y", 7)}})
	require.True(t, may(k, time.Second), "other domains do not count")
	k.Apply(2*time.Second, Batch{Revision: 8, Changes: []platform.Change{gone("b", 8)}})
	require.False(t, may(k, 2*time.Second), "one of three would be left")
	back := 3 * time.Second
	k.Apply(back, Batch{Revision: 9, Changes: []platform.Change{host("b", "d", 9)}})
	require.False(t, may(k, back), "routers have not asked it yet")
	require.True(t, may(k, back+settleTime))
	k.Apply(back, Batch{Revision: 10, Changes: []platform.Change{gone("b", 10)}})
	require.True(t, may(k, back+restartTime), "it has left for good")

	large := newTestKeeper()
	for i := range 12 {
		large.Apply(0, Batch{Changes: []platform.Change{host(fmt.Sprintf("h%d", i), "d", uint64(i+1))}})
	}
	large.Apply(0, Batch{Changes: []platform.Change{gone("h1", 20), gone("h2", 21), gone("h3", 22)}})
	ok, restarting := large.MayLeave(0, "h0", "d")
	require.True(t, ok, "eight of twelve are left")
	require.Equal(t, []string{"h1", "h2", "h3"}, restarting)
}

// TestFeedsFormNoCircle: whatever hosts are registered, following the first
// choices of feeders always ends at a host that follows the store, and each
// failure domain has one host that looks outside.
func TestFeedsFormNoCircle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var hosts []Host
		for i := range rapid.IntRange(1, 40).Draw(t, "hosts") {
			hosts = append(hosts, Host{
				Name:   fmt.Sprintf("h%d-%d", i, rapid.Uint16().Draw(t, "name")),
				Domain: fmt.Sprintf("d%d", rapid.IntRange(1, 5).Draw(t, "domain")),
			})
		}
		byName := make(map[string]Host)
		for _, h := range hosts {
			byName[h.Name] = h
		}
		followers := 0
		outward := make(map[string]int)
		for _, h := range hosts {
			feeders := Feeders(hosts, h.Name, h.Domain)
			if len(feeders) == 0 {
				followers++
				outward[h.Domain]++
				continue
			}
			if feeders[0].Domain != h.Domain {
				outward[h.Domain]++
			}
			for _, f := range feeders {
				if rank(feedSalt, f.Name) <= rank(feedSalt, h.Name) {
					t.Fatalf("%s is fed by the lower %s", h.Name, f.Name)
				}
			}
		}
		if followers != 1 {
			t.Fatalf("%d hosts follow the store", followers)
		}
		for domain, n := range outward {
			if n != 1 {
				t.Fatalf("%d hosts of %s look outside", n, domain)
			}
		}
	})
}

func TestHelpersOfTheOwnDomainComeFirst(t *testing.T) {
	hosts := []Host{{Name: "a", Domain: "x"}, {Name: "b", Domain: "y"}, {Name: "c", Domain: "x"}, {Name: "d", Domain: "y"}}
	helpers := Helpers(hosts, "a", "x")
	require.Len(t, helpers, 3)
	require.Equal(t, "c", helpers[0].Name)
}

// TestPaceMeetsItsBound: a change is known within the bound in the worst order
// of events, and knowledge that is kept current by a feed never looks stale.
func TestPaceMeetsItsBound(t *testing.T) {
	for _, bound := range []time.Duration{time.Second, 3 * time.Second, 5 * time.Second, 30 * time.Second} {
		p := NewPace(bound)
		require.LessOrEqual(t, p.Pause+p.Watch+p.Slack, bound*2/3)
		require.Less(t, p.Pause+p.Watch, p.MaxAge)
		require.Less(t, p.MaxAge+p.Ping, bound)
		require.LessOrEqual(t, 2*p.Ping, p.Silence)
	}
}

// TestLaterChangesOfAListing: what came after a listing's revision is neither
// dropped by the listing nor older than it.
func TestLaterChangesOfAListing(t *testing.T) {
	k := NewKeeper(slog.New(slog.DiscardHandler), time.Minute, time.Minute)
	change := func(key string, revision uint64, removed bool) platform.Change {
		return platform.Change{Item: platform.Item{Key: key, Value: []byte("{}"), Revision: revision}, Removed: removed}
	}
	k.Apply(0, Batch{
		Complete: true, Revision: 5,
		Changes: []platform.Change{change("x/a", 3, false), change("x/b", 4, false)},
		Later:   []platform.Change{change("x/a", 7, true), change("x/c", 8, false)},
	})
	require.True(t, k.items["x/a"].removed)
	require.False(t, k.items["x/b"].removed)
	require.False(t, k.items["x/c"].removed)
	require.Equal(t, uint64(8), k.Revision())
}
