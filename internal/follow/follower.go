package follow

import (
	"context"
	"errors"
	"log/slog"
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
	// next is the next call, if no listing is due for another reason.
	next call
	// unanswered counts the watches without an answer since the last one with an answer,
	// outdated those in a row that stated an earlier position than the cursor.
	unanswered, outdated int
	pace                 pace
	// malformed counts the answers that could not be read to their end since the last
	// watch that could. incomplete is set if the last call had such an answer.
	malformed  int
	incomplete bool
	// listings counts the complete listings since the last watch that could be read.
	listings int
	items    itemReport
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
func (f *Follower) Resume(position catalog.Position) {
	if position.After(f.cursor) {
		f.cursor, f.next = position, callWatch
	}
}

// Lost reports whether the last call failed.
func (f *Follower) Lost() bool { return f.lost || f.incomplete }

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
		// The next step is a listing.
		f.cursor, f.partial = catalog.Position{}, nil
		return f.listingDelay()
	}
	if err != nil {
		return f.failed(started, err)
	}
	f.incomplete = false
	if f.next == callPoll {
		// The probe only tells which call is next.
		return 0
	}
	f.backoff.Reset()
	wait = max(0, f.Timings.MinInterval-(f.BootTime()-started))
	if f.next == callList {
		return max(wait, f.listingDelay())
	}
	return wait
}

func (f *Follower) call(ctx context.Context, wait time.Duration) error {
	if f.cursor.IsZero() || f.Store.Incarnation() > f.cursor.Incarnation {
		return f.list(ctx)
	}
	switch f.next {
	case callList:
		// A listing that fails alternates with the watch that it stands for.
		f.next = callWatch
		return f.list(ctx)
	case callProbe:
		return f.probe(ctx)
	case callPoll:
		return f.watch(ctx, minWait)
	default:
		return f.watch(ctx, wait)
	}
}

func (f *Follower) failed(started time.Duration, err error) time.Duration {
	if f.incomplete = unreadable(err); f.incomplete {
		f.logUnreadable(err)
		return max(f.backoff.Next(), f.listingDelay())
	}
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

// LastResponse returns when the store last responded, on the boot-time clock; 0 if
// it never did. Unlike the other methods it may be called from any goroutine.
func (f *Follower) LastResponse() time.Duration { return time.Duration(f.lastResponse.Load()) }

// watch waits for changes, at most for the given time, and for as long as they keep
// arriving. An answer without changes is current as of the end of the store's wait, one with
// changes only as of the time of the call.
func (f *Follower) watch(ctx context.Context, longest time.Duration) error {
	wait, slack := f.pace.watchLimits(f.Timings, longest)
	ctx, cancel := context.WithTimeout(ctx, wait+maxTransfer)
	defer cancel()
	started := f.BootTime()
	changes, err := f.Store.Watch(ctx, platform.AllKeys, f.cursor.Revision, wait, slack)
	if err != nil && !unreadable(err) {
		f.next = f.afterFailedWatch(err)
		return err
	}
	if changes.Incarnation != f.cursor.Incarnation {
		// The revisions since the cursor are of other changes.
		return errRestored
	}
	placed := place(changes, f.cursor.Revision)
	read := f.usable(changes.Changes, changes.Skipped)
	if err != nil {
		f.next = callList
		f.deliverAhead(changes.Incarnation, read)
		return err
	}
	now := f.BootTime()
	f.lastResponse.Store(int64(now))
	f.pace.watched(now-started, wait, len(changes.Changes) > 0)
	f.unanswered, f.next = 0, f.afterWatch(changes, placed)
	if f.next == callList || f.outdated > 0 {
		f.deliverAhead(changes.Incarnation, read)
		return nil
	}
	asOf := started
	if len(changes.Changes) == 0 {
		asOf = min(started+wait, now)
	}
	f.malformed, f.listings = 0, 0
	f.cursor = f.cursor.Max(changes.Position())
	f.changedLast, f.asOf = len(changes.Changes) > 0, asOf
	f.OnBatch(Batch{
		Changes:     read,
		Position:    f.cursor,
		AsOf:        asOf,
		Reconnected: f.reconnected(),
	})
	return nil
}
