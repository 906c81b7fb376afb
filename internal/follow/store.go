package follow

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"toucangap/internal/event"
	"toucangap/platform"
)

// Store is what following needs of the platform's store.
type Store interface {
	List(ctx context.Context, prefix, after string, stall time.Duration) (platform.Page, error)
	Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) (platform.Changes, error)
}

// shortestWait is the wait of a watch that is only to say what has changed.
const shortestWait = time.Millisecond

// maxPages bounds a listing: a million keys.
const maxPages = 2000

// Follower brings what the store says. It serves one goroutine.
type Follower struct {
	Store  Store
	Pace   Pace
	Logger *slog.Logger
	// Awake tells the time on a clock that runs on while the machine sleeps.
	Awake func() time.Duration
	// Take is given what the store says.
	Take func(Batch)

	// cursor is where the next watch goes on; 0 means that a listing is due.
	cursor uint64
	// begun is a listing of which pages are missing.
	begun *listing
	// listed tells that a listing has been read whole since the start.
	listed  bool
	backoff Backoff
	// answeredAt is when the store answered last.
	answeredAt atomic.Int64
	lostAt     time.Duration
	lost       bool
}

// Resume makes the next step go on from the revision, which another source has
// brought meanwhile.
func (f *Follower) Resume(revision uint64) { f.cursor = max(f.cursor, revision) }

// Lost reports whether the last call failed.
func (f *Follower) Lost() bool { return f.lost }

// Step makes one call, which waits for changes, and returns how long to wait
// before the next one.
func (f *Follower) Step(ctx context.Context) time.Duration {
	return f.step(ctx, f.Pace.Watch)
}

// Check makes one call that does not wait for changes: it brings the state up
// to date at once, after another source was lost.
func (f *Follower) Check(ctx context.Context) time.Duration {
	return f.step(ctx, shortestWait)
}

func (f *Follower) step(ctx context.Context, wait time.Duration) time.Duration {
	begun := f.Awake()
	err := f.call(ctx, wait)
	if ctx.Err() != nil {
		return 0
	}
	if errors.Is(err, platform.ErrCompacted) {
		// The listing that is due now is a call like any other.
		f.cursor = 0
		return 0
	}
	if err != nil {
		return f.failed(begun, err)
	}
	f.backoff.Reset()
	return max(0, f.Pace.Pause-(f.Awake()-begun))
}

func (f *Follower) call(ctx context.Context, wait time.Duration) error {
	if f.cursor == 0 {
		return f.list(ctx)
	}
	return f.watch(ctx, wait)
}

func (f *Follower) failed(begun time.Duration, err error) time.Duration {
	if !f.lost {
		f.lost, f.lostAt = true, begun
		event.Log(f.Logger, event.StoreLost, slog.String("error", err.Error()), slog.Uint64("revision", f.cursor))
	}
	return f.backoff.Next()
}

// regained notes an answer and reports whether failures came before it.
func (f *Follower) regained() bool {
	if !f.lost {
		return false
	}
	f.lost = false
	event.Log(f.Logger, event.StoreRegained,
		slog.Duration("away", f.Awake()-f.lostAt), slog.Int("failures", f.backoff.Failures()))
	return true
}

// listing is a listing of which some pages have been read.
type listing struct {
	batch Batch
	// after is the last key that was read.
	after string
}

// listingLife is how long a listing is gone on with after a page has failed.
// What changed meanwhile has to be in the store's history still.
const listingLife = 10 * time.Second

// list reads all keys. The pages are no snapshot: the batch is complete up to
// the first page's revision, and the watch goes on from there. When many hosts
// start at once the store turns some of their calls away; a listing that has
// lost a page goes on with it at the next step.
func (f *Follower) list(ctx context.Context) error {
	if f.begun == nil || f.Awake()-f.begun.batch.Proven > listingLife {
		f.begun = &listing{batch: Batch{Complete: true, Proven: f.Awake()}}
	}
	l := f.begun
	for range maxPages {
		page, err := f.page(ctx, l.after)
		if err != nil {
			return err
		}
		f.answeredAt.Store(int64(f.Awake()))
		if l.batch.Revision == 0 {
			l.batch.Revision = page.Revision
		}
		for _, item := range page.Items {
			l.batch.Changes = append(l.batch.Changes, platform.Change{Item: item})
			l.after = item.Key
		}
		if !page.More || len(page.Items) == 0 {
			f.begun, f.listed = nil, true
			f.cursor = l.batch.Revision
			l.batch.Regained = f.regained()
			f.freshen(ctx, &l.batch)
			event.Log(f.Logger, event.StoreListed, slog.Int("keys", len(l.batch.Changes)), slog.Uint64("revision", l.batch.Revision))
			f.Take(l.batch)
			return nil
		}
	}
	f.begun = nil
	return merry.New("listing does not end")
}

// Answered returns when the store last answered, on the clock that runs on while
// the machine sleeps; 0 if it never did. Unlike the other methods it may be
// called from any goroutine.
func (f *Follower) Answered() time.Duration { return time.Duration(f.answeredAt.Load()) }

// page reads one page. A host that has just started waits for as long as the page
// keeps arriving: when many start at once, the store's link is full, and to give
// up and ask again would fill it with the same pages.
func (f *Follower) page(ctx context.Context, after string) (platform.Page, error) {
	limit := f.Pace.Call
	if !f.listed {
		limit = listingLife
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return f.Store.List(ctx, platform.Everything, after, f.Pace.Call)
}

// freshen adds to a listing that took long what has changed since its first page,
// so that a host does not begin with an old configuration.
func (f *Follower) freshen(ctx context.Context, b *Batch) {
	begun := f.Awake()
	if begun-b.Proven <= f.Pace.Pause {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, f.Pace.Call)
	defer cancel()
	changes, err := f.Store.Watch(ctx, platform.Everything, b.Revision, shortestWait)
	if err != nil {
		// The batch says how old it is, and the next step is a watch again.
		event.Log(f.Logger, event.ListingOld, slog.Duration("age", f.Awake()-b.Proven), slog.String("error", err.Error()))
		return
	}
	b.Later, b.Proven = changes.Changes, begun
	f.cursor = max(f.cursor, changes.Revision)
}

// watch waits for changes. An answer without any proves that nothing had
// changed when the store's wait was over; one with changes only that they were
// all at the time of the call.
func (f *Follower) watch(ctx context.Context, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+f.Pace.Slack)
	defer cancel()
	begun := f.Awake()
	changes, err := f.Store.Watch(ctx, platform.Everything, f.cursor, wait)
	if err != nil {
		return err
	}
	f.answeredAt.Store(int64(f.Awake()))
	proven := begun
	if len(changes.Changes) == 0 {
		proven = min(begun+wait, f.Awake())
	}
	f.cursor = max(f.cursor, changes.Revision)
	f.Take(Batch{
		Changes:  changes.Changes,
		Revision: f.cursor,
		Proven:   proven,
		Regained: f.regained(),
	})
	return nil
}
