package follow

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"toucangap/internal/catalog"
	"toucangap/internal/event"
	"toucangap/platform"
)

// Store is the part of the platform's store client that a Follower uses.
type Store interface {
	List(ctx context.Context, prefix, after string, stall time.Duration) (platform.Page, error)
	Watch(ctx context.Context, prefix string, since uint64, wait, stall time.Duration) (platform.Changes, error)
	// Incarnation returns the latest incarnation that a response has stated.
	Incarnation() uint64
}

// errRestored means that a listing or watch was overtaken by a restore of the store.
var errRestored = merry.Sentinel("store was restored from a copy")

// minWait is the wait of a watch that returns at once with what has changed.
const minWait = time.Millisecond

// maxPages bounds a listing to a million keys.
const maxPages = 2000

// Follower reads the store, with a listing of all keys or a watch for changes, and
// passes what it read to OnBatch. It is for use by one goroutine.
type Follower struct {
	Store   Store
	Timings Timings
	Logger  *slog.Logger
	// BootTime reads a clock that keeps running while the machine sleeps.
	BootTime func() time.Duration
	// OnBatch receives what was read from the store.
	OnBatch func(Batch)

	// cursor is the position at which the next watch continues; zero means that a
	// listing is due.
	cursor catalog.Position
	// partial is a listing of which pages are missing.
	partial *listing
	// listedOnce is set once a complete listing has been read since the start.
	listedOnce bool
	backoff    Backoff
	// changedLast is set if the last watch had changes; asOf is the time as of which its
	// answer was current, on the boot-time clock.
	changedLast bool
	asOf        time.Duration
	// lastResponse is when the store last responded, in nanoseconds of the
	// boot-time clock.
	lastResponse atomic.Int64
	// lost is set once a call has failed, until a listing or watch succeeds; lostAt
	// is when the first failed call began.
	lostAt time.Duration
	lost   bool
	// fedAsOf is the time as of which another source was current last.
	fedAsOf time.Duration
	health  health
}

// Resume lets the next step continue from the position, up to which another
// source has brought changes meanwhile.
func (f *Follower) Resume(position catalog.Position) { f.cursor = f.cursor.Max(position) }

// Lost reports whether the last call failed.
func (f *Follower) Lost() bool { return f.lost }

// Step makes one call that waits for changes, or a listing if one is due, and
// returns how long to wait before the next step; 0 once the context has ended. A
// failure is logged and retried by the next step.
func (f *Follower) Step(ctx context.Context) time.Duration {
	return f.step(ctx, f.watchWait())
}

// watchWait returns for how long the next watch may wait. An answer with changes is
// current only as of the time of the call, so the watch after a long one is shorter: it
// must end before the state is older than normal, or peers would end their feeds.
func (f *Follower) watchWait() time.Duration {
	if !f.changedLast {
		return f.Timings.WatchWait
	}
	left := f.asOf + f.Timings.NormalAge() - f.BootTime()
	return min(max(left, minWait), f.Timings.WatchWait)
}

// Poll makes one call that does not wait for changes. It brings the state up to
// date at once after another source was lost. Its result is that of Step.
func (f *Follower) Poll(ctx context.Context) time.Duration {
	return f.step(ctx, minWait)
}

func (f *Follower) step(ctx context.Context, wait time.Duration) time.Duration {
	started := f.BootTime()
	f.health.begin(started)
	err := f.call(ctx, wait)
	f.health.end(err)
	if ctx.Err() != nil {
		return 0
	}
	if errors.Is(err, platform.ErrCompacted) || errors.Is(err, errRestored) {
		// The next step, without delay, is a listing.
		f.cursor, f.partial = catalog.Position{}, nil
		return 0
	}
	if err != nil {
		return f.failed(started, err)
	}
	f.backoff.Reset()
	return max(0, f.Timings.MinInterval-(f.BootTime()-started))
}

func (f *Follower) call(ctx context.Context, wait time.Duration) error {
	if f.cursor.IsZero() || f.Store.Incarnation() > f.cursor.Incarnation {
		return f.list(ctx)
	}
	return f.watch(ctx, wait)
}

func (f *Follower) failed(started time.Duration, err error) time.Duration {
	if !f.lost {
		f.lost, f.lostAt = true, started
		event.Log(f.Logger, event.StoreLost, slog.String("error", err.Error()), logPosition(f.cursor))
	}
	return f.backoff.Next()
}

// Fed records that another source was current as of the time, on the boot-time clock.
func (f *Follower) Fed(asOf time.Duration) { f.fedAsOf = max(f.fedAsOf, asOf) }

// reconnected records an answer, and reports whether failures preceded it and no other
// source has kept the state current since the first of them.
func (f *Follower) reconnected() bool {
	if !f.lost {
		return false
	}
	f.lost = false
	event.Log(f.Logger, event.StoreReachable,
		slog.Duration("away", f.BootTime()-f.lostAt), slog.Int("failures", f.backoff.Failures()))
	return f.fedAsOf <= f.lostAt || f.BootTime()-f.fedAsOf > f.Timings.NormalAge()
}

// listing is a partially read listing.
type listing struct {
	batch Batch
	// startedAt is when its first page was asked for.
	startedAt time.Duration
	// after is the last key that was read.
	after string
	// caughtUp is the position up to which the batch holds later changes.
	caughtUp catalog.Position
}

const (
	// listingLifetime is how long a listing may be resumed after a page has failed.
	// The store's history must still hold what has changed since its first page.
	listingLifetime = 10 * time.Second
	// maxTransfer is how long an answer of the store may take while it keeps arriving: a
	// configuration of 1 MB takes a second on a link of 10 Mbit/s that carries nothing
	// else.
	maxTransfer = 10 * time.Second
)

// list reads all keys. The pages together are not a snapshot: the batch is
// complete up to the first page's revision, at which the watch continues. When
// many hosts start at once the store rejects some of their calls; a listing
// with a failed page resumes at that page in the next step.
func (f *Follower) list(ctx context.Context) error {
	if f.partial == nil || f.BootTime()-f.partial.startedAt > listingLifetime {
		now := f.BootTime()
		f.partial = &listing{batch: Batch{Complete: true, AsOf: now}, startedAt: now}
	}
	l := f.partial
	for range maxPages {
		page, err := f.page(ctx, l.after)
		if err != nil {
			return err
		}
		if page.More && len(page.Items) == 0 {
			return merry.New("page of a listing is empty but not the last")
		}
		f.lastResponse.Store(int64(f.BootTime()))
		if l.batch.Position.IsZero() {
			l.batch.Position = page.Position()
		}
		if page.Incarnation != l.batch.Position.Incarnation {
			return errRestored
		}
		for _, item := range page.Items {
			l.batch.Changes = append(l.batch.Changes, platform.Change{Item: item})
			l.after = item.Key
		}
		if err := f.deliverPart(ctx, l, page); err != nil {
			return err
		}
		if !page.More {
			f.partial, f.listedOnce = nil, true
			l.batch.Reconnected = f.reconnected()
			if err := f.catchUp(ctx, l); err != nil {
				return err
			}
			f.cursor = l.batch.Position.Max(l.caughtUp)
			event.Log(f.Logger, event.StoreListed, slog.Int("keys", len(l.batch.Changes)), logPosition(l.batch.Position))
			f.OnBatch(l.batch)
			return nil
		}
	}
	f.partial = nil
	return merry.New("listing exceeds the maximum number of pages")
}

// deliverPart passes on the first of several pages at a start: it holds the
// configuration and some endpoints, by which the host can serve while it reads the
// rest. While that takes long, it passes on what has changed since.
func (f *Follower) deliverPart(ctx context.Context, l *listing, page platform.Page) error {
	if f.listedOnce || !page.More {
		return nil
	}
	part := Batch{Partial: true, Position: catalog.Position{Incarnation: page.Incarnation}}
	if len(l.batch.Changes) == len(page.Items) {
		part.Changes = slices.Clone(l.batch.Changes)
	} else {
		asOf := l.batch.AsOf
		if err := f.catchUp(ctx, l); err != nil || l.batch.AsOf == asOf {
			return err
		}
		part.Changes = slices.Clone(l.batch.Later)
	}
	f.OnBatch(part)
	return nil
}

// LastResponse returns when the store last responded, on the boot-time clock; 0 if
// it never did. Unlike the other methods it may be called from any goroutine.
func (f *Follower) LastResponse() time.Duration { return time.Duration(f.lastResponse.Load()) }

// page reads one page, for as long as it keeps arriving: when many hosts start at once
// the store's link is full, and repeating the request would fill it with the same pages.
func (f *Follower) page(ctx context.Context, after string) (platform.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, maxTransfer)
	defer cancel()
	return f.Store.List(ctx, platform.AllKeys, after, f.Timings.CallTimeout)
}

// catchUp adds to a slow listing what has changed since its first page, so that
// a host does not start with an old configuration. The error is errRestored if the
// store was restored meanwhile.
func (f *Follower) catchUp(ctx context.Context, l *listing) error {
	b, started := &l.batch, f.BootTime()
	if started-b.AsOf <= f.Timings.MinInterval {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, maxTransfer)
	defer cancel()
	changes, err := f.Store.Watch(ctx, platform.AllKeys, b.Position.Revision, minWait, f.Timings.CallTimeout)
	if f.Store.Incarnation() > b.Position.Incarnation {
		return errRestored
	}
	if err != nil {
		// The batch states its age, and the next step is a watch again.
		event.Log(f.Logger, event.ListingStale, slog.Duration("age", f.BootTime()-b.AsOf), slog.String("error", err.Error()))
		return nil
	}
	b.Later, b.AsOf, l.caughtUp = changes.Changes, started, changes.Position()
	return nil
}

// watch waits for changes, and for as long as they keep arriving. An answer without changes is current as of the end
// of the store's wait, one with changes only as of the time of the call.
func (f *Follower) watch(ctx context.Context, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+maxTransfer)
	defer cancel()
	started := f.BootTime()
	changes, err := f.Store.Watch(ctx, platform.AllKeys, f.cursor.Revision, wait, f.Timings.WatchSlack)
	if err != nil {
		return err
	}
	if changes.Incarnation != f.cursor.Incarnation {
		// The revisions since the cursor are of other changes.
		return errRestored
	}
	f.lastResponse.Store(int64(f.BootTime()))
	asOf := started
	if len(changes.Changes) == 0 {
		asOf = min(started+wait, f.BootTime())
	}
	f.cursor = f.cursor.Max(changes.Position())
	f.changedLast, f.asOf = len(changes.Changes) > 0, asOf
	f.OnBatch(Batch{
		Changes:     changes.Changes,
		Position:    f.cursor,
		AsOf:        asOf,
		Reconnected: f.reconnected(),
	})
	return nil
}
