package follow

import (
	"context"
	"errors"
	"log/slog"
	"math/bits"
	"time"

	"toucangap/internal/catalog"
	"toucangap/internal/event"
	"toucangap/platform"
)

// call is a call to the store. While a watch can't be read or is not answered, another call
// may bring the state: no call is repeated unchanged while another one has not been tried.
// Rejected calls and outages lead to no listings, which would load a store that many hosts
// follow.
type call uint8

const (
	// callWatch waits for changes after the cursor.
	callWatch call = iota
	// callList reads all keys, because the changes after the cursor can't be read.
	callList
	// callProbe reads the configuration alone, after watches without an answer: it tells
	// an outage from a store that answers only other calls.
	callProbe
	// callPoll is a watch that does not wait, after an answered probe.
	callPoll
)

const (
	// maxUnanswered is the number of failed watches from which on the store is probed. A
	// connection may be reset now and then; a watch that got no answer at all in its time
	// counts as so many, since the changes after it must be known within the bound.
	maxUnanswered = 3
	// maxOutdated is the number of answers in a row that state an earlier position than
	// the cursor from which on all keys are read.
	maxOutdated = 2
)

// unreadable reports whether an error means that the store answered but the answer could
// not be read.
func unreadable(err error) bool {
	return errors.Is(err, platform.ErrIncomplete) || errors.Is(err, platform.ErrNoRevision) || errors.Is(err, errNoProgress)
}

// afterFailedWatch returns the call after a watch that was rejected or not answered.
func (f *Follower) afterFailedWatch(err error) call {
	switch {
	case errors.Is(err, platform.ErrBusy), errors.Is(err, platform.ErrCompacted), errors.Is(err, platform.ErrOutdated):
		return callWatch
	case f.next == callPoll:
		event.Log(f.Logger, event.StoreWatchUnanswered, slog.String("error", err.Error()), logPosition(f.cursor))
		return callList
	case errors.Is(err, platform.ErrStalled):
		f.unanswered = maxUnanswered
	default:
		f.unanswered++
	}
	if f.unanswered >= maxUnanswered {
		return callProbe
	}
	return callWatch
}

// afterWatch returns the call after a watch that was answered. Changes without a key may
// be of any key, those that had to be placed may be in another order, and a store that is
// repeatedly behind the cursor reports no change until it is past it.
func (f *Follower) afterWatch(changes platform.Changes, placed bool) call {
	if changes.Revision >= f.cursor.Revision {
		f.outdated = 0
	} else {
		f.outdated++
	}
	if placed || changes.Skipped > 0 || f.outdated >= maxOutdated {
		return callList
	}
	return callWatch
}

// probe reads the configuration. An answer means that the store can be read.
func (f *Follower) probe(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, maxTransfer)
	defer cancel()
	started := f.BootTime()
	f.next = callWatch
	page, err := f.Store.List(ctx, platform.ConfigurationPrefix, "", f.pace.callLimit(f.Timings))
	f.pace.called(f.BootTime()-started, err)
	if err != nil && !unreadable(err) {
		return err
	}
	f.next = callPoll
	l := listing{}
	f.addPage(&l, page)
	f.deliverAhead(page.Incarnation, l.batch.Changes)
	return nil
}

// listingDelay is the wait before a listing in place of a watch. The first one comes at once.
// If no watch can be read after it either, further ones come at a rate that a store with
// hundreds of hosts bears, and at which changes are known within the bound.
func (f *Follower) listingDelay() time.Duration {
	if f.listings < 2 {
		return 0
	}
	return f.Timings.CallTimeout
}

// deliverAhead passes on changes that were read ahead of others. They say nothing of how
// far the state is complete or current.
func (f *Follower) deliverAhead(incarnation uint64, changes []platform.Change) {
	if len(changes) > 0 {
		f.OnBatch(Batch{Partial: true, Changes: changes, Position: catalog.Position{Incarnation: incarnation}})
	}
}

// place gives positions to the changes of a watch since the revision whose own can't be read
// or exceed the store's, which would hide all later changes of their keys. It reports whether
// there were any: since other changes of their keys may be earlier or later, all keys must
// be read. The positions are before the store's, so that a listing's items count.
func place(changes platform.Changes, since uint64) (any bool) {
	last, limit := since, max(changes.Revision, 1)-1
	for i := range changes.Changes {
		c := &changes.Changes[i]
		if c.Unplaced || changes.Revision > 0 && c.Revision > max(changes.Revision, since+1) {
			any = true
			c.Revision = min(last+1, max(limit, since+1))
		}
		last = max(last, c.Revision)
	}
	return any
}

// usable returns the changes without a secret that can't be read, in place of which the
// known one stays, and reports unreadable items.
func (f *Follower) usable(changes []platform.Change, skipped int) []platform.Change {
	now := f.BootTime()
	f.items.skipped += skipped
	kept := changes[:0]
	for i := range changes {
		c := changes[i]
		kind, _ := platform.Classify(c.Key)
		if c.Unreadable && kind != platform.KindOther {
			f.items.add(&c)
		}
		if !unreadableSecret(c) {
			kept = append(kept, c)
		}
	}
	f.items.log(f.Logger, now)
	return kept
}

func unreadableSecret(c platform.Change) bool { return c.Unreadable && c.Key == platform.SecretKey }

// itemReport collects the unreadable items for the log.
type itemReport struct {
	// first is the first key since the last line, count the number of items with a
	// readable key and skipped the number of those without.
	first          string
	count, skipped int
	loggedAt       time.Duration
}

// itemReportInterval is the least time between two lines on unreadable items: any number
// of them may be stored or answered.
const itemReportInterval = time.Second

func (r *itemReport) add(c *platform.Change) {
	if r.count == 0 {
		r.first = c.Key
	}
	r.count++
}

func (r *itemReport) log(logger *slog.Logger, now time.Duration) {
	if r.count+r.skipped == 0 || r.loggedAt > 0 && now-r.loggedAt < itemReportInterval {
		return
	}
	event.Log(logger, event.StoreItemUnreadable,
		slog.String("key", r.first), slog.Int("items", r.count), slog.Int("without_key", r.skipped))
	*r = itemReport{loggedAt: now}
}

// logUnreadable logs the first, second, fourth, eighth and so on of the answers that can't
// be read.
func (f *Follower) logUnreadable(err error) {
	f.malformed++
	if bits.OnesCount(uint(f.malformed)) == 1 {
		event.Log(f.Logger, event.StoreAnswerUnreadable,
			slog.Int("answers", f.malformed), slog.String("error", err.Error()), logPosition(f.cursor))
	}
}
