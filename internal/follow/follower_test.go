package follow

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/internal/catalog"
	"toucangap/platform"
	"toucangap/platform/platformtest"
)

// fakeStore answers from a script. Its clock advances by the duration of each
// answer.
type fakeStore struct {
	t     *testing.T
	now   time.Duration
	steps []step
	// incarnation is the latest of the answers so far.
	incarnation uint64
}

// step is one expected call and its answer.
type step struct {
	want  string
	takes time.Duration
	page  platform.Page
	watch platform.Changes
	err   error
}

func (s *fakeStore) next(call string) step {
	require.NotEmpty(s.t, s.steps, "unexpected call %s", call)
	n := s.steps[0]
	s.steps = s.steps[1:]
	require.Equal(s.t, n.want, call)
	s.now += n.takes
	s.incarnation = max(s.incarnation, n.page.Incarnation, n.watch.Incarnation)
	return n
}

func (s *fakeStore) List(_ context.Context, prefix, after string, _ time.Duration) (platform.Page, error) {
	n := s.next(fmt.Sprintf("list %q after %q", prefix, after))
	return n.page, n.err
}

func (s *fakeStore) Watch(_ context.Context, _ string, since uint64, wait, _ time.Duration) (platform.Changes, error) {
	n := s.next(fmt.Sprintf("watch since %d for %s", since, wait))
	return n.watch, n.err
}

// Incarnation implements Store: the latest of the answers so far.
func (s *fakeStore) Incarnation() uint64 { return s.incarnation }

// runScript runs a follower through the script and returns its batches and
// waits.
func runScript(t *testing.T, steps ...step) (batches []Batch, waits []time.Duration, f *Follower) {
	store := &fakeStore{t: t, now: 100 * time.Second, steps: steps}
	f = &Follower{
		Store:    store,
		Timings:  NewTimings(3 * time.Second),
		Logger:   slog.New(slog.DiscardHandler),
		BootTime: func() time.Duration { return store.now },
		OnBatch:  func(b Batch) { batches = append(batches, b) },
	}
	for len(store.steps) > 0 {
		waits = append(waits, f.Step(t.Context()))
	}
	return batches, waits, f
}

const watch0 = "watch since 5 for 1.25s"

func listOf(revision uint64, keys ...string) step {
	s := step{want: `list "" after ""`, takes: 4 * time.Millisecond, page: platform.Page{Revision: revision, Incarnation: 1}}
	for _, k := range keys {
		s.page.Items = append(s.page.Items, platform.Item{Key: k, Revision: 1})
	}
	return s
}

// TestPagesAreNotASnapshot checks that the watch continues from the first
// page's revision, so that changes made while the other pages were read are not
// lost.
func TestPagesAreNotASnapshot(t *testing.T) {
	first := listOf(5, "a", "b")
	first.page.More = true
	second := step{want: `list "" after "b"`, page: platform.Page{Revision: 9, Incarnation: 1, Items: []platform.Item{{Key: "c", Revision: 8}}}}
	batches, _, _ := runScript(t, first, second, step{want: watch0, watch: platform.Changes{Revision: 9, Incarnation: 1}})
	require.Len(t, batches, 3)
	batches = batches[1:]
	require.True(t, batches[0].Complete)
	require.Equal(t, at(5), batches[0].Position)
	require.Len(t, batches[0].Changes, 3)
	require.Equal(t, 100*time.Second, batches[0].AsOf, "current as of the first call")
}

// TestListingResumesAfterAFailedPage checks that only a rejected page is read
// again, and that the listing restarts after listingLifetime.
func TestListingResumesAfterAFailedPage(t *testing.T) {
	first := listOf(5, "a", "b")
	first.page.More = true
	second := `list "" after "b"`
	last := platform.Page{Revision: 9, Incarnation: 1, Items: []platform.Item{{Key: "c", Revision: 8}}}
	batches, waits, _ := runScript(t, first, step{want: second, err: platform.ErrBusy}, step{want: second, page: last})
	require.Len(t, batches, 2)
	batches = batches[1:]
	require.Len(t, batches[0].Changes, 3)
	require.Equal(t, at(5), batches[0].Position)
	require.Equal(t, 100*time.Second, batches[0].AsOf)
	require.Positive(t, waits[0])

	batches, _, _ = runScript(t, first, step{want: second, takes: listingLifetime, err: platform.ErrBusy}, listOf(20, "d"))
	require.Len(t, batches, 2)
	require.Len(t, batches[1].Changes, 1)
	require.Equal(t, at(20), batches[1].Position)
}

// TestStartingHostServesByTheFirstPage: hundreds of hosts start at once and fill the
// store's link, so that a whole listing takes seconds. The first page arrives early
// and holds the configuration; a change of it meanwhile must not wait for the end of
// the listing. The store's state counts as unknown until then.
func TestStartingHostServesByTheFirstPage(t *testing.T) {
	first := listOf(5, platformtest.ConfigurationKey, platformtest.EndpointKey("a"))
	first.page.More = true
	second := step{
		want: `list "" after "` + platformtest.EndpointKey("a") + `"`, takes: time.Second,
		page: platform.Page{Revision: 9, Incarnation: 1, More: true, Items: []platform.Item{{Key: platformtest.EndpointKey("b"), Revision: 4}}},
	}
	changed := []platform.Change{{Item: platform.Item{Key: platformtest.ConfigurationKey, Revision: 7}}}
	meanwhile := step{want: "watch since 5 for 1ms", watch: platform.Changes{Revision: 8, Incarnation: 1, Changes: changed}}
	last := step{want: `list "" after "` + platformtest.EndpointKey("b") + `"`, page: platform.Page{Revision: 9, Incarnation: 1, Items: []platform.Item{{Key: platformtest.EndpointKey("c"), Revision: 4}}}}
	batches, _, _ := runScript(t, first, second, meanwhile, last)
	require.Len(t, batches, 3)
	for _, part := range batches[:2] {
		require.False(t, part.Complete)
		require.True(t, part.Position.IsZero())
		require.Zero(t, part.AsOf)
	}
	require.Len(t, batches[0].Changes, 2)
	require.Equal(t, changed, batches[1].Changes)
	require.True(t, batches[2].Complete)
	require.Len(t, batches[2].Changes, 4)
	require.Equal(t, changed, batches[2].Later)
}

// TestLaterListingsDeliverNoParts: a host that has state already is not served by
// parts of a listing.
func TestLaterListingsDeliverNoParts(t *testing.T) {
	first := listOf(50, "a")
	first.page.More = true
	second := step{want: `list "" after "a"`, page: platform.Page{Revision: 51, Incarnation: 1}}
	batches, _, _ := runScript(t, listOf(5), step{want: watch0, err: platform.ErrCompacted}, first, second)
	require.Len(t, batches, 2)
	require.True(t, batches[1].Complete)
}

// TestLongListingIsBroughtUpToDate checks that changes made during a listing
// are fetched at once and delivered with it, and that the batch states its age
// if that fails.
func TestLongListingIsBroughtUpToDate(t *testing.T) {
	slow := listOf(5, "a")
	slow.takes = 4 * time.Second
	later := []platform.Change{{Item: platform.Item{Key: "b", Revision: 7}}}
	batches, _, f := runScript(t, slow, step{want: "watch since 5 for 1ms", watch: platform.Changes{Revision: 8, Incarnation: 1, Changes: later}})
	require.Len(t, batches, 1)
	require.Equal(t, at(5), batches[0].Position)
	require.Equal(t, later, batches[0].Later)
	require.Equal(t, 104*time.Second, batches[0].AsOf)
	require.Equal(t, at(8), f.cursor)

	batches, _, f = runScript(t, slow, step{want: "watch since 5 for 1ms", err: platform.ErrBusy})
	require.Len(t, batches, 1)
	require.Equal(t, 100*time.Second, batches[0].AsOf)
	require.Equal(t, at(5), f.cursor)
}

// TestWatchIsCurrentAsOf checks that an answer without changes is current as of
// the end of the wait, also if it arrives late, and one with changes only as of
// the time of the call.
func TestWatchIsCurrentAsOf(t *testing.T) {
	batches, waits, _ := runScript(t, listOf(5),
		step{want: watch0, takes: 1250 * time.Millisecond, watch: platform.Changes{Revision: 5, Incarnation: 1}},
		step{want: watch0, takes: 1700 * time.Millisecond, watch: platform.Changes{Revision: 5, Incarnation: 1}},
		step{want: watch0, takes: 10 * time.Millisecond, watch: platform.Changes{Revision: 6, Incarnation: 1, Changes: make([]platform.Change, 1)}})
	started := 100*time.Second + 4*time.Millisecond
	require.Equal(t, started+1250*time.Millisecond, batches[1].AsOf)
	require.Equal(t, started+2500*time.Millisecond, batches[2].AsOf)
	require.Equal(t, started+2950*time.Millisecond, batches[3].AsOf)
	require.Zero(t, waits[1])
	require.Equal(t, 365*time.Millisecond, waits[3], "successive changes are fetched together")
}

// TestFailuresKeepTheCursor checks that after a lost answer the watch continues
// where it was, and that the next batch reports the reconnection.
func TestFailuresKeepTheCursor(t *testing.T) {
	lost := errors.New("no answer")
	batches, waits, f := runScript(t, listOf(5),
		step{want: watch0, takes: time.Second, err: lost},
		step{want: watch0, err: platform.ErrBusy},
		step{want: watch0, err: lost},
		step{want: watch0, watch: platform.Changes{Revision: 7, Incarnation: 1, Changes: make([]platform.Change, 2)}},
		step{want: "watch since 7 for 1.25s", watch: platform.Changes{Revision: 7, Incarnation: 1}})
	require.False(t, batches[0].Reconnected)
	require.True(t, batches[1].Reconnected)
	require.False(t, batches[2].Reconnected)
	require.False(t, f.Lost())
	for i, w := range waits[1:4] {
		limit := initialBackoff << i
		require.GreaterOrEqual(t, w, limit/2)
		require.LessOrEqual(t, w, limit)
	}
}

// TestCompactedHistoryCausesAListing: a 410 leads to a listing, not to a
// failure.
func TestCompactedHistoryCausesAListing(t *testing.T) {
	batches, waits, _ := runScript(t, listOf(5), step{want: watch0, err: platform.ErrCompacted}, listOf(50, "a"),
		step{want: "watch since 50 for 1.25s", watch: platform.Changes{Revision: 50, Incarnation: 1}})
	require.Zero(t, waits[1])
	require.True(t, batches[1].Complete)
	require.False(t, batches[1].Reconnected)
}

// TestCursorNeverGoesBack checks that neither a stale answer nor another source
// moves the watch's cursor back.
func TestCursorNeverGoesBack(t *testing.T) {
	_, _, f := runScript(t, listOf(5), step{want: watch0, watch: platform.Changes{Revision: 3, Incarnation: 1}},
		step{want: watch0, watch: platform.Changes{Revision: 5, Incarnation: 1}})
	f.Resume(at(4))
	require.Equal(t, at(5), f.cursor)
	f.Resume(at(8))
	require.Equal(t, at(8), f.cursor)
	f.Resume(catalog.Position{Incarnation: 2, Revision: 3})
	require.Equal(t, catalog.Position{Incarnation: 2, Revision: 3}, f.cursor, "a restored store's revisions are later")
}

// TestBackoffIsBounded checks that the rate of calls stays bounded in an outage
// of any length.
func TestBackoffIsBounded(t *testing.T) {
	var b Backoff
	var sum time.Duration
	for range 1000 {
		w := b.Next()
		require.LessOrEqual(t, w, maxBackoff)
		sum += w
	}
	require.Greater(t, sum, 990*maxBackoff/2)
}

// TestEmptyPageIsNotTheEnd: a page that was cut says that more follow and holds no
// item. The listing must not count as complete, or all keys after it would be taken
// for removed.
func TestEmptyPageIsNotTheEnd(t *testing.T) {
	first := listOf(5, "a")
	first.page.More = true
	cut := step{want: `list "" after "a"`, page: platform.Page{Revision: 6, Incarnation: 1, More: true}}
	rest := step{want: `list "" after "a"`, page: platform.Page{Revision: 6, Incarnation: 1, Items: []platform.Item{{Key: "b", Revision: 2}}}}
	batches, waits, _ := runScript(t, first, cut, rest)
	require.Len(t, waits, 2, "a failure, then the rest")
	require.Len(t, batches, 2)
	require.True(t, batches[1].Complete)
	require.Len(t, batches[1].Changes, 2)
}

func TestFeedsDoNotAgeBetweenRareChanges(t *testing.T) {
	timings := NewTimings(3 * time.Second)
	late := step{
		want: watch0, takes: timings.WatchWait,
		watch: platform.Changes{Revision: 6, Incarnation: 1, Changes: make([]platform.Change, 1)},
	}
	shorter := step{want: "watch since 6 for 375ms", takes: timings.MinInterval, watch: platform.Changes{Revision: 6, Incarnation: 1}}
	batches, _, _ := runScript(t, listOf(5), late, shorter,
		step{want: "watch since 6 for 1.25s", watch: platform.Changes{Revision: 6, Incarnation: 1}})
	normalAge := timings.MinInterval + timings.WatchWait
	require.LessOrEqual(t, batches[2].AsOf-batches[1].AsOf, normalAge)
	require.Less(t, normalAge, timings.MaxAge)
}

func TestListingThatFailsAfterCatchingUpIsReadToItsEnd(t *testing.T) {
	first := listOf(5, "a")
	first.page.More = true
	second := step{
		want: `list "" after "a"`, takes: time.Second,
		page: platform.Page{Revision: 9, Incarnation: 1, More: true, Items: []platform.Item{{Key: "b", Revision: 4}}},
	}
	meanwhile := step{want: "watch since 5 for 1ms", watch: platform.Changes{Revision: 8, Incarnation: 1}}
	failed := step{want: `list "" after "b"`, err: platform.ErrBusy}
	last := step{want: `list "" after "b"`, page: platform.Page{Revision: 9, Incarnation: 1, Items: []platform.Item{{Key: "c", Revision: 4}}}}
	batches, _, _ := runScript(t, first, second, meanwhile, failed, last)
	require.True(t, batches[len(batches)-1].Complete)
	require.Len(t, batches[len(batches)-1].Changes, 3)
}

// slowLinkStore answers each watch with one change, which takes the given time to arrive.
type slowLinkStore struct {
	takes time.Duration
}

func (s slowLinkStore) List(context.Context, string, string, time.Duration) (platform.Page, error) {
	return listOf(5, "a").page, nil
}

func (s slowLinkStore) Watch(ctx context.Context, _ string, since uint64, _, _ time.Duration) (platform.Changes, error) {
	select {
	case <-time.After(s.takes):
		change := platform.Change{Item: platform.Item{Key: "large", Revision: since + 1, Incarnation: 1}}
		return platform.Changes{Changes: []platform.Change{change}, Revision: since + 1, Incarnation: 1}, nil
	case <-ctx.Done():
		return platform.Changes{}, ctx.Err()
	}
}

func (s slowLinkStore) Incarnation() uint64 { return 1 }

func TestLargeChangeIsReadOverASlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var batches []Batch
		begun := time.Now()
		f := &Follower{
			// A configuration of 1 MB over a link of 10 Mbit/s that is shared with packets.
			Store:    slowLinkStore{takes: 1600 * time.Millisecond},
			Timings:  NewTimings(5 * time.Second),
			Logger:   slog.New(slog.DiscardHandler),
			BootTime: func() time.Duration { return time.Since(begun) },
			OnBatch:  func(b Batch) { batches = append(batches, b) },
		}
		require.Zero(t, f.Step(t.Context())-f.Timings.MinInterval)
		f.Poll(t.Context())
		require.False(t, f.Lost())
		require.Len(t, batches, 2)
		require.Equal(t, "large", batches[1].Changes[0].Key)
	})
}
