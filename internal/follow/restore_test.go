package follow

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucangap/internal/catalog"
	"toucangap/platform"
	"toucangap/platform/platformtest"
)

// restored returns the change as one of the store's second incarnation.
func restored(c platform.Change) platform.Change {
	c.Incarnation = 2
	return c
}

// restoredHold is how long entries of a restored store are held back.
const restoredHold = 5 * time.Second

func inSecond(revision uint64) catalog.Position {
	return catalog.Position{Incarnation: 2, Revision: revision}
}

// reportAt is an endpoint's report with a number, of the incarnation that started at
// the time.
func reportAt(id string, revision uint64, state string, report, started int) platform.Change {
	return put(platformtest.EndpointKey(id), revision, platformtest.Entry(state, report, started))
}

// TestRestoredStoreReplacesKnownState: the store comes back from a copy with lower
// revisions, and its operator and endpoints have written again. A replica that
// compares revisions alone ignores all of it.
func TestRestoredStoreReplacesKnownState(t *testing.T) {
	r := newTestReplica()
	r.Apply(0, Batch{Complete: true, Position: at(100), Changes: []platform.Change{
		configurationAt(90, 7), reportAt("i-1", 95, "ready", 1, 5), reportAt("i-2", 96, "ready", 1, 5),
	}})
	r.Apply(time.Second, Batch{Complete: true, Position: inSecond(60), Changes: []platform.Change{
		restored(configurationAt(58, 8)), restored(reportAt("i-1", 59, "draining", 4, 5)),
	}})
	require.EqualValues(t, 8, r.View(time.Second).Configuration.Version)
	require.Equal(t, []string{"i-2"}, availableIDs(r.View(time.Second)), "a missing entry is used for the grace period")
	require.Empty(t, availableIDs(r.View(time.Second+recoveryGracePeriod)))
	require.Equal(t, inSecond(60), r.Progress().Position)
	r.Apply(2*time.Second, Batch{Position: inSecond(61), Changes: []platform.Change{restored(reportAt("i-3", 61, "ready", 1, 6))}})
	require.Contains(t, availableIDs(r.View(2*time.Second)), "i-3", "later changes have lower revisions than before")
}

// TestOlderCopiesBringNothingBack: the copy holds an older configuration, an older
// report of an endpoint that is draining, and the entry of one that is gone. None of
// them counts, until the endpoint has reported again or the store has kept the entry
// for longer than it keeps those of silent endpoints.
func TestOlderCopiesBringNothingBack(t *testing.T) {
	known := func() *Replica {
		r := newTestReplica()
		r.Apply(0, Batch{Position: at(100), Changes: []platform.Change{
			configurationAt(90, 7), reportAt("i-d", 95, "draining", 9, 5),
			reportAt("i-9", 50, "ready", 1, 5), reportAt("i-e", 98, "ready", 1, 8), reportAt("i-a", 97, "ready", 1, 5),
		}})
		r.Apply(0, Batch{Position: at(101), Changes: []platform.Change{removal(platformtest.EndpointKey("i-9"), 101)}})
		r.Apply(time.Second, Batch{Complete: true, Position: inSecond(60), Changes: []platform.Change{
			restored(configurationAt(58, 6)), restored(reportAt("i-d", 55, "ready", 8, 5)),
			restored(reportAt("i-9", 50, "ready", 1, 5)), restored(reportAt("i-e", 57, "draining", 7, 5)),
			restored(reportAt("i-a", 57, "ready", 1, 5)),
		}})
		return r
	}
	r := known()
	require.EqualValues(t, 7, r.View(time.Second).Configuration.Version)
	require.Equal(t, []string{"i-a", "i-e"}, availableIDs(r.View(time.Second)))
	end := time.Second + restoredHold
	next, _ := r.Expire(end - time.Millisecond)
	require.Equal(t, end, next)
	require.NotContains(t, availableIDs(r.View(end-time.Millisecond)), "i-9")
	_, changed := r.Expire(end)
	require.True(t, changed)
	require.Contains(t, availableIDs(r.View(end)), "i-9", "an entry that stays in the store counts in the end")

	for name, c := range map[string]platform.Change{
		"i-d": reportAt("i-d", 61, "ready", 10, 5), "i-9": reportAt("i-9", 61, "ready", 2, 5),
	} {
		r = known()
		r.Apply(2*time.Second, Batch{Position: inSecond(61), Changes: []platform.Change{restored(c)}})
		require.Contains(t, availableIDs(r.View(2*time.Second)), name, "it has reported to the restored store")
	}
	r = known()
	r.Apply(2*time.Second, Batch{Position: inSecond(61), Changes: []platform.Change{restored(removal(platformtest.EndpointKey("i-9"), 61))}})
	r.Expire(end)
	require.NotContains(t, availableIDs(r.View(end)), "i-9", "the store has removed the entry again")
}

// TestOutdatedUpdatesChangeNothing: an answer or a feed's update from before the
// restore arrives after it, or an update without the state before it.
func TestOutdatedUpdatesChangeNothing(t *testing.T) {
	r := newTestReplica()
	r.Apply(0, Batch{Complete: true, Position: inSecond(60), AsOf: time.Second, Changes: []platform.Change{
		restored(configurationAt(58, 8)), restored(reportAt("i-1", 59, "draining", 4, 5)),
	}})
	before := r.Progress()
	require.False(t, r.Apply(0, Batch{Position: at(200), AsOf: time.Minute, Changes: []platform.Change{reportAt("i-1", 200, "ready", 5, 5)}}))
	require.False(t, r.Apply(0, Batch{Complete: true, Position: at(200), AsOf: time.Minute}))
	later := catalog.Position{Incarnation: 3, Revision: 70}
	require.False(t, r.Apply(0, Batch{Position: later, AsOf: time.Minute}), "not complete")
	require.Equal(t, before, r.Progress())
	require.Equal(t, time.Second, r.AsOf(), "it does not make the state look current")
}

// TestLostSecretIsKept: the copy is from before the hosts wrote their secret. They
// keep it, so that feeds go on, and know that it has to be written again.
func TestLostSecretIsKept(t *testing.T) {
	r := newTestReplica()
	r.Apply(0, Batch{Complete: true, Position: at(9), Changes: []platform.Change{put(platform.SecretKey, 5, "one")}})
	r.Apply(0, Batch{Complete: true, Position: inSecond(4)})
	secret, stored := r.Secret()
	require.Equal(t, "one", string(secret))
	require.False(t, stored)
	r.Apply(0, Batch{Position: inSecond(5), Changes: []platform.Change{restored(put(platform.SecretKey, 5, "two"))}})
	secret, stored = r.Secret()
	require.Equal(t, "two", string(secret), "the store's secret is the hosts'")
	require.True(t, stored)
}

// TestPeerWithLaterConfigurationTellsIt: a host that starts during a restore reads an
// old version from the store; a host that has run since before it knows a later one.
func TestPeerWithLaterConfigurationTellsIt(t *testing.T) {
	copied := Batch{Complete: true, Position: inSecond(60), Changes: []platform.Change{restored(configurationAt(58, 6))}}
	old := newTestReplica()
	old.Apply(0, Batch{Complete: true, Position: at(100), Changes: []platform.Change{configurationAt(90, 7)}})
	old.Apply(0, copied)
	started := newTestReplica()
	started.Apply(0, copied)
	require.EqualValues(t, 6, started.View(0).Configuration.Version)
	require.True(t, started.Apply(0, old.Since(0, started.Progress())))
	require.EqualValues(t, 7, started.View(0).Configuration.Version)
	require.Empty(t, old.Since(0, started.Progress()).Changes)
}

// TestFollowerListsARestoredStore: the counter is past the cursor again, so that the
// store answers the watch without a 410, with changes from another history.
func TestFollowerListsARestoredStore(t *testing.T) {
	second := func(s step) step {
		s.page.Incarnation, s.watch.Incarnation = 2, 2
		return s
	}
	batches, waits, f := runScript(t, listOf(5, "a"),
		second(step{want: watch0, watch: platform.Changes{Revision: 9, Changes: make([]platform.Change, 2)}}),
		second(listOf(9, "b")),
		second(step{want: "watch since 9 for 1.25s", watch: platform.Changes{Revision: 9}}))
	require.Zero(t, waits[1])
	require.Len(t, batches, 3, "the watch's changes were not delivered")
	require.True(t, batches[1].Complete)
	require.Equal(t, inSecond(9), batches[1].Position)
	require.Equal(t, inSecond(9), f.cursor)
}

// TestFollowerListsAgainIfRestoredMeanwhile: the store is restored between two pages
// of a listing, or before the watch that brings a slow one up to date.
func TestFollowerListsAgainIfRestoredMeanwhile(t *testing.T) {
	first := listOf(5, "a")
	first.page.More = true
	next := step{want: `list "" after "a"`, page: platform.Page{Revision: 3, Incarnation: 2}}
	whole := listOf(3, "a")
	whole.page.Incarnation = 2
	batches, _, _ := runScript(t, first, next, whole)
	require.Len(t, batches, 2)
	require.False(t, batches[0].Complete, "the first page, by which a starting host serves")
	require.True(t, batches[1].Complete)
	require.Equal(t, inSecond(3), batches[1].Position)

	slow := listOf(5, "a")
	slow.takes = time.Second
	late := step{want: "watch since 5 for 1ms", watch: platform.Changes{Revision: 8, Incarnation: 2}}
	batches, _, _ = runScript(t, slow, late, whole)
	require.Len(t, batches, 1)
	require.Equal(t, inSecond(3), batches[0].Position)
}

// storeModel is a store with a plain history, which restores itself from any of its
// earlier states.
type storeModel struct {
	position catalog.Position
	items    map[string]platform.Change
	history  []map[string]platform.Change
	changes  []platform.Change
}

func (s *storeModel) write(c platform.Change) {
	s.position.Revision++
	c.Revision, c.Incarnation = s.position.Revision, s.position.Incarnation
	s.items = cloneItems(s.items)
	s.items[c.Key] = c
	if c.Removed {
		delete(s.items, c.Key)
	}
	s.history = append(s.history, s.items)
	s.changes = append(s.changes, c)
}

func cloneItems(items map[string]platform.Change) map[string]platform.Change {
	c := make(map[string]platform.Change, len(items))
	for key, item := range items {
		c[key] = item
	}
	return c
}

// restore goes back by a number of writes.
func (s *storeModel) restore(writes int) {
	n := max(0, len(s.history)-writes)
	s.history, s.changes, s.items = s.history[:n], nil, map[string]platform.Change{}
	if n > 0 {
		s.items = s.history[n-1]
	}
	s.position = catalog.Position{Incarnation: s.position.Incarnation + 1, Revision: s.position.Revision - uint64(min(writes, int(s.position.Revision)-1))}
}

func (s *storeModel) list() Batch {
	b := Batch{Complete: true, Position: s.position}
	for _, c := range s.items {
		c.Incarnation = s.position.Incarnation
		b.Changes = append(b.Changes, c)
	}
	return b
}

// watch returns what is new since the position, as Follower delivers it.
func (s *storeModel) watch(since catalog.Position) Batch {
	if since.Incarnation != s.position.Incarnation {
		return s.list()
	}
	b := Batch{Position: s.position}
	for _, c := range s.changes {
		if c.Position().After(since) {
			b.Changes = append(b.Changes, c)
		}
	}
	return b
}

// TestReplicasConvergeAfterRestores plays random writes, restores, listings, late
// batches, feeds between three hosts and restarts. Versions never go back in one
// life; an endpoint that a host has seen leaving is not available there before it
// has reported again; and once operators and endpoints have written again, all hosts
// agree with the store.
func TestReplicasConvergeAfterRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &storeModel{position: catalog.Position{Incarnation: 1, Revision: 1}}
		hosts := []*Replica{newTestReplica(), newTestReplica(), newTestReplica()}
		versions, incarnations := make([]uint64, len(hosts)), make([]uint64, len(hosts))
		// restoredAt is when a host learned of the incarnation, left the number of the
		// last report with which it saw an endpoint leave.
		restoredAt := make([]time.Duration, len(hosts))
		left := []map[string]int64{{}, {}, {}}
		ids := []string{"i-1", "i-2", "i-3"}
		states := map[string]string{}
		report, version, now := 0, uint64(1), time.Duration(0)
		var late []Batch
		writeEndpoint := func(id string) {
			report++
			if states[id] == "" {
				store.write(removal(platformtest.EndpointKey(id), 0))
				return
			}
			store.write(reportAt(id, 0, states[id], report, 5))
		}
		deliver := func(i int, b Batch) {
			hosts[i].Apply(now, b)
			hosts[i].Expire(now)
			got := hosts[i].Progress()
			require.GreaterOrEqual(t, got.Version, versions[i], "the version went back")
			versions[i] = got.Version
			if got.Position.Incarnation != incarnations[i] {
				incarnations[i], restoredAt[i] = got.Position.Incarnation, now
			}
			view := hosts[i].View(now)
			for _, id := range ids {
				if e := view.ByToken(catalog.TokenOf(id)); e != nil && e.Draining {
					left[i][id] = max(left[i][id], e.Report)
				}
			}
			for _, e := range view.Available("s") {
				if e.Report > left[i][e.ID] {
					// It has come back; an older copy of the same state is no harm.
					delete(left[i], e.ID)
				}
				if e.Report < left[i][e.ID] {
					require.GreaterOrEqual(t, now, restoredAt[i]+restoredHold, "%s takes flows by an old report", e.ID)
				}
			}
		}
		store.write(configurationAt(0, version))
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			now += rapid.SampledFrom([]time.Duration{time.Millisecond, 300 * time.Millisecond}).Draw(t, "pause")
			i := rapid.IntRange(0, len(hosts)-1).Draw(t, "host")
			switch rapid.SampledFrom([]string{"configure", "endpoint", "watch", "list", "late", "feed", "restart", "restore"}).Draw(t, "step") {
			case "configure":
				version++
				store.write(configurationAt(0, version))
			case "endpoint":
				id := rapid.SampledFrom(ids).Draw(t, "id")
				states[id] = rapid.SampledFrom([]string{"ready", "draining", ""}).Draw(t, "state")
				writeEndpoint(id)
			case "watch":
				b := store.watch(hosts[i].Progress().Position)
				late = append(late, b)
				deliver(i, b)
			case "list":
				late = append(late, store.list())
				deliver(i, store.list())
			case "late":
				if len(late) > 0 {
					deliver(i, rapid.SampledFrom(late).Draw(t, "batch"))
				}
			case "feed":
				from := hosts[rapid.IntRange(0, len(hosts)-1).Draw(t, "from")]
				if !from.Progress().Position.IsZero() {
					deliver(i, from.Since(now, hosts[i].Progress()))
				}
			case "restart":
				hosts[i], versions[i], incarnations[i], left[i] = newTestReplica(), 0, 0, map[string]int64{}
			case "restore":
				store.restore(rapid.IntRange(1, 6).Draw(t, "lost"))
			}
		}
		// Operators and endpoints write again what they wrote.
		store.write(configurationAt(0, version))
		for _, id := range ids {
			writeEndpoint(id)
		}
		now += time.Second
		deliver(0, store.watch(hosts[0].Progress().Position))
		deliver(1, hosts[0].Since(now, hosts[1].Progress()))
		deliver(2, store.list())
		want := []string{}
		for _, id := range ids {
			if states[id] == "ready" {
				want = append(want, id)
			}
		}
		now += 10 * time.Second
		for i, h := range hosts {
			h.Expire(now)
			got := append([]string{}, availableIDs(h.View(now))...)
			slices.Sort(got)
			require.Equal(t, want, got, "host %d", i)
			require.Equal(t, version, h.Progress().Version, "host %d", i)
			require.Equal(t, store.position, h.Progress().Position, "host %d", i)
		}
	})
}
