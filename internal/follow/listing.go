package follow

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"toucangap/internal/catalog"
	"toucangap/internal/event"
	"toucangap/platform"
)

// listing is a partially read listing.
type listing struct {
	batch Batch
	// startedAt is when its first page was asked for, deliveredAt when the last part was
	// passed on.
	startedAt, deliveredAt time.Duration
	// after is the last key that was read.
	after string
	// delivered is how many changes of the batch were passed on in parts.
	delivered int
	// caughtUp is the position up to which the batch holds later changes.
	caughtUp catalog.Position
	// base is the position up to which a listing before this one, of which pages were
	// missing, held later changes. Those since then are read with this one. baseAsOf is the
	// time as of which that was current.
	base     catalog.Position
	baseAsOf time.Duration
	// stale is set once the later changes can't be read. unread counts the calls for them
	// that were not answered, and catchUpAt is when the next one may be made after such a one.
	stale     bool
	unread    int
	catchUpAt time.Duration
	// failures counts the calls for the present page that failed.
	failures int
}

const (
	// listingLifetime is how long a listing may be resumed after a page has failed.
	// The store's history must still hold what has changed since its first page.
	listingLifetime = 10 * time.Second
	// maxTransfer is how long an answer of the store may take while it keeps arriving: a
	// configuration of 1 MB takes a second on a link of 10 Mbit/s that carries nothing
	// else.
	maxTransfer = 10 * time.Second
	// salvageAfter is the number of failed calls for a page from which on the host uses
	// what was read before it. One answer may be lost by chance.
	salvageAfter = 2
)

// errNoProgress means that a page that is not the last has no key after the one asked for.
var errNoProgress = merry.Sentinel("page of a listing has no further key but is not the last")

// list reads all keys. The pages together are not a snapshot: the batch is
// complete up to the first page's revision, at which the watch continues. When
// many hosts start at once the store rejects some of their calls; a listing
// with a failed page resumes at that page in the next step.
func (f *Follower) list(ctx context.Context) error {
	l := f.resumedListing()
	for range maxPages {
		page, err := f.page(ctx, l.after)
		if err != nil && !unreadable(err) {
			return f.pageFailed(ctx, l, err)
		}
		if !l.batch.Position.IsZero() && page.Incarnation != l.batch.Position.Incarnation {
			return errRestored
		}
		advanced := f.addPage(l, page)
		if err == nil && page.More && !advanced {
			err = errNoProgress
		}
		if err != nil {
			return f.pageFailed(ctx, l, err)
		}
		l.failures = 0
		f.lastResponse.Store(int64(f.BootTime()))
		if !page.More {
			return f.endListing(ctx, l)
		}
		if err := f.deliverPart(ctx, l); err != nil {
			return err
		}
	}
	f.partial = nil
	return merry.New("listing exceeds the maximum number of pages")
}

// resumedListing returns the listing of which pages are missing, or a new one.
func (f *Follower) resumedListing() *listing {
	now := f.BootTime()
	if f.partial != nil && now-f.partial.startedAt <= listingLifetime {
		return f.partial
	}
	l := &listing{batch: Batch{Complete: true, AsOf: now}, startedAt: now, deliveredAt: now}
	if f.partial != nil {
		l.base, l.baseAsOf = f.partial.caughtUp, f.partial.batch.AsOf
	}
	f.partial = l
	return l
}

// addPage adds the items of a page, which may be cut short, and reports whether there were
// any after those before. Without the store's revision, the highest one of an item stands
// for it: changes after that are read again.
func (f *Follower) addPage(l *listing, page platform.Page) (advanced bool) {
	position := page.Position()
	changes := make([]platform.Change, len(page.Items))
	last := l.after
	for i, item := range page.Items {
		changes[i].Item = item
		last = item.Key
		if page.Revision == 0 {
			position.Revision = max(position.Revision, item.Revision)
		}
	}
	advanced = last > l.after
	if position.IsZero() || page.More && !advanced {
		return false
	}
	for i := range changes {
		if c := &changes[i]; c.Revision == 0 || c.Revision > position.Revision {
			// The item is as of the page, and a higher revision would hide later changes.
			c.Revision = position.Revision
		}
	}
	if l.batch.Position.IsZero() {
		l.batch.Position = position
		if l.base.Incarnation == position.Incarnation && !l.base.IsZero() && position.After(l.base) {
			// Keys that were written and removed since then are not among the pages.
			l.batch.Position, l.batch.AsOf = l.base, l.baseAsOf
		}
	}
	l.after = max(l.after, last)
	if slices.ContainsFunc(changes, unreadableSecret) {
		l.batch.Withheld = []string{platform.SecretKey}
	}
	l.batch.Changes = append(l.batch.Changes, f.usable(changes, page.Skipped)...)
	return advanced
}

func (f *Follower) endListing(ctx context.Context, l *listing) error {
	f.partial, f.listedOnce = nil, true
	// While watches get no answer, a host that reads the store by listings has not lost
	// it: a recovery grace period after each would hold all removals back beyond the bound.
	l.batch.Reconnected = f.reconnected() && f.listings == 0
	if err := f.catchUp(ctx, l, false); err != nil {
		return err
	}
	f.cursor = l.batch.Position.Max(l.caughtUp)
	f.next, f.unanswered, f.outdated = callWatch, 0, 0
	f.listings++
	event.Log(f.Logger, event.StoreListed, slog.Int("keys", len(l.batch.Changes)), logPosition(l.batch.Position))
	f.OnBatch(l.batch)
	return nil
}

// pageFailed records a failed call for a page and returns its error. If the page fails
// repeatedly, the host goes on with what it can read without that page.
func (f *Follower) pageFailed(ctx context.Context, l *listing, err error) error {
	l.failures++
	if l.failures < salvageAfter || l.batch.Position.IsZero() || ctx.Err() != nil {
		return err
	}
	if restored := f.catchUp(ctx, l, true); restored != nil {
		return restored
	}
	f.deliverRead(l)
	return err
}

// deliverPart passes on what was read of a listing that is slow or the first one. The first
// of several pages at a start holds the configuration and some endpoints, by which the
// host can serve while it reads the rest. While that takes long, it passes on what has
// changed since.
func (f *Follower) deliverPart(ctx context.Context, l *listing) error {
	if !f.listedOnce && l.delivered == 0 {
		f.deliverRead(l)
		return nil
	}
	asOf := l.batch.AsOf
	if !l.stale {
		if err := f.catchUp(ctx, l, false); err != nil {
			return err
		}
	}
	if f.listedOnce && f.BootTime()-l.deliveredAt > f.Timings.MinInterval {
		f.deliverRead(l)
	} else if !f.listedOnce && l.batch.AsOf != asOf {
		f.deliverAhead(l.batch.Position.Incarnation, slices.Clone(l.batch.Later))
	}
	return nil
}

// deliverRead passes on what was read since the last part, and all later changes.
func (f *Follower) deliverRead(l *listing) {
	part := slices.Concat(l.batch.Changes[l.delivered:], l.batch.Later)
	l.delivered, l.deliveredAt = len(l.batch.Changes), f.BootTime()
	f.deliverAhead(l.batch.Position.Incarnation, part)
}

// page reads one page, for as long as it keeps arriving: when many hosts start at once
// the store's link is full, and repeating the request would fill it with the same pages.
func (f *Follower) page(ctx context.Context, after string) (platform.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, maxTransfer)
	defer cancel()
	started := f.BootTime()
	page, err := f.Store.List(ctx, platform.AllKeys, after, f.pace.callLimit(f.Timings))
	f.pace.called(f.BootTime()-started, err)
	return page, err
}

// catchUp adds to a listing what has changed since its first page if it is slow or must be
// brought up to date, so that a host does not start with an old configuration. The error
// is errRestored if the store was restored meanwhile.
func (f *Follower) catchUp(ctx context.Context, l *listing, must bool) error {
	b, started := &l.batch, f.BootTime()
	if !must && (started-b.AsOf <= f.Timings.MinInterval || started < l.catchUpAt) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, maxTransfer)
	defer cancel()
	// The store may no longer have what has changed since the first page of a long listing.
	since := b.Position.Max(l.caughtUp)
	changes, err := f.Store.Watch(ctx, platform.AllKeys, since.Revision, minWait, f.pace.callLimit(f.Timings))
	if f.Store.Incarnation() > b.Position.Incarnation {
		return errRestored
	}
	placed := place(changes, since.Revision)
	later := f.usable(changes.Changes, changes.Skipped)
	if err == nil && (placed || changes.Skipped > 0 || changes.Revision < since.Revision) {
		err = platform.ErrIncomplete
	}
	if err != nil {
		// The batch states its age, and the next step is a watch again. A long listing must
		// not hide all further changes because one call was rejected.
		l.stale = unreadable(err) || errors.Is(err, platform.ErrCompacted)
		l.unread++
		l.catchUpAt = f.BootTime() + time.Duration(l.unread)*f.Timings.CallTimeout
		if errors.Is(err, platform.ErrCompacted) {
			// The listing is of no use, nor is its position for the next one.
			f.partial = nil
		}
		event.Log(f.Logger, event.ListingStale, slog.Duration("age", f.BootTime()-b.AsOf), slog.String("error", err.Error()))
		if unreadable(err) {
			f.deliverAhead(b.Position.Incarnation, later)
		}
		return nil
	}
	b.Later, b.AsOf, l.caughtUp = append(b.Later, later...), started, since.Max(changes.Position())
	return nil
}
