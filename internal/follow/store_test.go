package follow

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/platform"
)

// fakeStore answers from a script; its clock moves by what answers take.
type fakeStore struct {
	t     *testing.T
	now   time.Duration
	steps []step
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
	return n
}

func (s *fakeStore) List(_ context.Context, prefix, after string, _ time.Duration) (platform.Page, error) {
	n := s.next(fmt.Sprintf("list %q after %q", prefix, after))
	return n.page, n.err
}

func (s *fakeStore) Watch(_ context.Context, _ string, since uint64, wait time.Duration) (platform.Changes, error) {
	n := s.next(fmt.Sprintf("watch since %d for %s", since, wait))
	return n.watch, n.err
}

// play runs a follower through the script and returns its batches and waits.
func play(t *testing.T, steps ...step) (batches []Batch, waits []time.Duration, f *Follower) {
	store := &fakeStore{t: t, now: 100 * time.Second, steps: steps}
	f = &Follower{
		Store:  store,
		Pace:   NewPace(3 * time.Second),
		Logger: slog.New(slog.DiscardHandler),
		Awake:  func() time.Duration { return store.now },
		Take:   func(b Batch) { batches = append(batches, b) },
	}
	for len(store.steps) > 0 {
		waits = append(waits, f.Step(t.Context()))
	}
	return batches, waits, f
}

const watch0 = "watch since 5 for 1.25s"

func listOf(revision uint64, keys ...string) step {
	s := step{want: `list "" after ""`, takes: 4 * time.Millisecond, page: platform.Page{Revision: revision}}
	for _, k := range keys {
		s.page.Items = append(s.page.Items, platform.Item{Key: k, Revision: 1})
	}
	return s
}

// TestPagesAreNoSnapshot: the watch goes on from the first page, so that what
// changed while the others were read is heard again.
func TestPagesAreNoSnapshot(t *testing.T) {
	first := listOf(5, "a", "b")
	first.page.More = true
	second := step{want: `list "" after "b"`, page: platform.Page{Revision: 9, Items: []platform.Item{{Key: "c", Revision: 8}}}}
	batches, _, _ := play(t, first, second, step{want: watch0, watch: platform.Changes{Revision: 9}})
	require.Len(t, batches, 2)
	require.True(t, batches[0].Complete)
	require.Equal(t, uint64(5), batches[0].Revision)
	require.Len(t, batches[0].Changes, 3)
	require.Equal(t, 100*time.Second, batches[0].Proven, "proven by the time of the first call")
}

// TestListingGoesOnAfterALostPage: a page that was turned away is read again
// alone; after a long pause the listing begins anew.
func TestListingGoesOnAfterALostPage(t *testing.T) {
	first := listOf(5, "a", "b")
	first.page.More = true
	second := `list "" after "b"`
	last := platform.Page{Revision: 9, Items: []platform.Item{{Key: "c", Revision: 8}}}
	batches, waits, _ := play(t, first, step{want: second, err: platform.ErrBusy}, step{want: second, page: last})
	require.Len(t, batches, 1)
	require.Len(t, batches[0].Changes, 3)
	require.Equal(t, uint64(5), batches[0].Revision)
	require.Equal(t, 100*time.Second, batches[0].Proven)
	require.Positive(t, waits[0])

	batches, _, _ = play(t, first, step{want: second, takes: listingLife, err: platform.ErrBusy}, listOf(20, "d"))
	require.Len(t, batches, 1)
	require.Len(t, batches[0].Changes, 1)
	require.Equal(t, uint64(20), batches[0].Revision)
}

// TestLongListingIsBroughtUpToDate: what has changed while a listing was read is
// asked for at once and given with it; if that fails the batch says how old it is.
func TestLongListingIsBroughtUpToDate(t *testing.T) {
	slow := listOf(5, "a")
	slow.takes = 4 * time.Second
	later := []platform.Change{{Item: platform.Item{Key: "b", Revision: 7}}}
	batches, _, f := play(t, slow, step{want: "watch since 5 for 1ms", watch: platform.Changes{Revision: 8, Changes: later}})
	require.Len(t, batches, 1)
	require.Equal(t, uint64(5), batches[0].Revision)
	require.Equal(t, later, batches[0].Later)
	require.Equal(t, 104*time.Second, batches[0].Proven)
	require.Equal(t, uint64(8), f.cursor)

	batches, _, f = play(t, slow, step{want: "watch since 5 for 1ms", err: platform.ErrBusy})
	require.Len(t, batches, 1)
	require.Equal(t, 100*time.Second, batches[0].Proven)
	require.Equal(t, uint64(5), f.cursor)
}

// TestProofOfAWatch: an answer without changes proves the whole wait, one with
// changes only the time of the call; a late answer proves no more.
func TestProofOfAWatch(t *testing.T) {
	batches, waits, _ := play(t, listOf(5),
		step{want: watch0, takes: 1250 * time.Millisecond, watch: platform.Changes{Revision: 5}},
		step{want: watch0, takes: 1700 * time.Millisecond, watch: platform.Changes{Revision: 5}},
		step{want: watch0, takes: 10 * time.Millisecond, watch: platform.Changes{Revision: 6, Changes: make([]platform.Change, 1)}})
	begun := 100*time.Second + 4*time.Millisecond
	require.Equal(t, begun+1250*time.Millisecond, batches[1].Proven)
	require.Equal(t, begun+2500*time.Millisecond, batches[2].Proven)
	require.Equal(t, begun+2950*time.Millisecond, batches[3].Proven)
	require.Zero(t, waits[1])
	require.Equal(t, 365*time.Millisecond, waits[3], "changes in a row are fetched together")
}

// TestFailuresKeepThePlace: after a lost answer the watch goes on where it was,
// and the batch that follows says that contact was lost.
func TestFailuresKeepThePlace(t *testing.T) {
	lost := errors.New("no answer")
	batches, waits, f := play(t, listOf(5),
		step{want: watch0, takes: time.Second, err: lost},
		step{want: watch0, err: platform.ErrBusy},
		step{want: watch0, err: lost},
		step{want: watch0, watch: platform.Changes{Revision: 7, Changes: make([]platform.Change, 2)}},
		step{want: "watch since 7 for 1.25s", watch: platform.Changes{Revision: 7}})
	require.False(t, batches[0].Regained)
	require.True(t, batches[1].Regained)
	require.False(t, batches[2].Regained)
	require.False(t, f.Lost())
	for i, w := range waits[1:4] {
		limit := firstBackoff << i
		require.GreaterOrEqual(t, w, limit/2)
		require.LessOrEqual(t, w, limit)
	}
}

// TestLostHistoryIsReadAnew: a 410 leads to a listing, not to a failure.
func TestLostHistoryIsReadAnew(t *testing.T) {
	batches, waits, _ := play(t, listOf(5), step{want: watch0, err: platform.ErrCompacted}, listOf(50, "a"),
		step{want: "watch since 50 for 1.25s", watch: platform.Changes{Revision: 50}})
	require.Zero(t, waits[1])
	require.True(t, batches[1].Complete)
	require.False(t, batches[1].Regained)
}

// TestRevisionsNeverGoBack: neither a stale answer nor another source lowers
// the place from which the watch goes on.
func TestRevisionsNeverGoBack(t *testing.T) {
	_, _, f := play(t, listOf(5), step{want: watch0, watch: platform.Changes{Revision: 3}},
		step{want: watch0, watch: platform.Changes{Revision: 5}})
	f.Resume(4)
	require.Equal(t, uint64(5), f.cursor)
	f.Resume(8)
	require.Equal(t, uint64(8), f.cursor)
}

// TestBackoffIsBounded: an outage of any length costs a bounded rate of calls.
func TestBackoffIsBounded(t *testing.T) {
	var b Backoff
	var sum time.Duration
	for range 1000 {
		w := b.Next()
		require.LessOrEqual(t, w, longestBackoff)
		sum += w
	}
	require.Greater(t, sum, 990*longestBackoff/2)
}
