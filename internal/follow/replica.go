// Package follow keeps a host's copy of the configuration and the endpoints up
// to date, from the store itself or over a feed (see package feed) from another
// host that follows it. One goroutine owns the Replica; others pass it the batches
// that they receive.
package follow

import (
	"log/slog"
	"sync/atomic"
	"time"

	"toucangap/internal/catalog"
	"toucangap/internal/coldstart"
	"toucangap/internal/event"
	"toucangap/platform"
)

// recoveryGracePeriod is how long entries may be missing after the store's
// return before they count as removed: the two seconds within which the
// platform promises to restore them, and a margin for the transfer.
const recoveryGracePeriod = 2500 * time.Millisecond

// Batch is an update from a source.
type Batch struct {
	// Complete means that keys that are not among the changes don't exist.
	Complete bool
	// Partial means that the batch goes ahead of a complete one or of a large change: it
	// says nothing of how far the state is complete or current.
	Partial bool
	Changes []platform.Change
	// Withheld holds keys that the source leaves out. The batch says nothing about them,
	// whether it is complete or not.
	Withheld []string
	// Later holds the changes after Position that were made while a slow listing
	// was read.
	Later []platform.Change
	// Position is the store's position up to which the batch is complete.
	Position catalog.Position
	// Version is that of the source's configuration, if the source is a peer.
	Version uint64
	// AsOf is the time, on the boot-time clock, as of which the batch is
	// current: the source has missed no earlier change.
	AsOf time.Duration
	// Reconnected means that the source had lost contact with the store before.
	Reconnected bool
	// RecoveryGrace is the rest of the source's recovery grace period.
	RecoveryGrace time.Duration
}

// Progress is how much of the store's state a host has.
type Progress struct {
	// Position is the store's position up to which its state is complete; zero if it
	// has none.
	Position catalog.Position
	// Version is that of its configuration in force, 0 if it has none.
	Version uint64
}

// Replica is a host's copy of the store's keys and the state decoded from them. It
// is not safe for concurrent use.
type Replica struct {
	logger    *slog.Logger
	directory *catalog.Directory
	// items holds the states by key, including those of recently removed keys.
	items map[string]keyState
	// hosts holds the registered hosts by name, absences the recent periods in
	// which one was not registered.
	hosts    map[string]Host
	absences map[string]absence
	// hostsRevision counts the changes of hosts.
	hostsRevision uint64
	// registry holds the registrations with the times of their changes.
	registry coldstart.Registry
	secret   []byte
	asOf     time.Duration
	// inForce is the write of the configuration in force. A restored store may hold
	// an older one.
	inForce platform.Change
	// compacted is the position up to which removals may be missing from items: they
	// were discarded, or made before a listing.
	compacted catalog.Position
	// compactedKeys holds that position for keys that a source has withheld: what it brought
	// says nothing about them.
	compactedKeys map[string]catalog.Position
	// history is how long removals are kept.
	history time.Duration
	// listing is set while a listing or a part of one is applied.
	listing bool
	// stated is the position of the complete batch that is being applied, else zero. found
	// collects the keys that it has shown to be missing.
	stated catalog.Position
	found  []string
	// restores counts the incarnations of the store after the first.
	restores int64
	// applying is the key of the change that is being applied, nil between batches.
	applying atomic.Pointer[string]
}

// NewReplica returns an empty replica. Flows of removed endpoints are forwarded
// for flowLifetime. Removals of keys are kept for history, so that peers can be
// told of them.
func NewReplica(logger *slog.Logger, flowLifetime, history time.Duration) *Replica {
	return &Replica{
		logger:    logger,
		directory: catalog.NewDirectory(recoveryGracePeriod, flowLifetime),
		items:     make(map[string]keyState),
		hosts:     make(map[string]Host),
		absences:  make(map[string]absence),
		history:   history,

		compactedKeys: make(map[string]catalog.Position),
	}
}

// Apply applies a batch and reports whether a view made before is out of date. The
// time is on the monotonic clock. A batch of an earlier incarnation of the store is
// ignored, also as to how current it is; one of a later incarnation must be complete.
func (r *Replica) Apply(now time.Duration, b Batch) (changed bool) {
	defer r.applying.Store(nil)
	known := r.directory.Position()
	restored := b.Position.Incarnation > known.Incarnation && !known.IsZero()
	if b.Position.Incarnation < known.Incarnation || restored && !b.Complete {
		event.Log(r.logger, event.UpdateIgnored, logPosition(b.Position), slog.Uint64("current", known.Incarnation))
		return false
	}
	if restored {
		r.startIncarnation(now, b)
	}
	if b.Reconnected {
		r.directory.StartRecoveryGrace(now)
	}
	r.directory.ExtendRecoveryGrace(now, b.RecoveryGrace)
	if b.Complete || known.IsZero() {
		changed = r.applyListing(now, b)
	} else {
		changed = r.applyChanges(now, b.Changes)
	}
	if r.applyChanges(now, b.Later) {
		changed = true
	}
	for i := range b.Later {
		r.directory.Advance(b.Later[i].Position())
	}
	r.directory.Advance(b.Position)
	r.asOf = max(r.asOf, b.AsOf)
	return changed
}

// applyListing applies a listing, or a part of one at the start. It logs one line: with
// thousands of endpoints, a line for each takes a small host longer than all else at its
// start.
func (r *Replica) applyListing(now time.Duration, b Batch) (changed bool) {
	r.listing = true
	if b.Complete {
		r.stated = b.Position
	}
	changed = r.applyChanges(now, b.Changes)
	r.listing, r.stated = false, catalog.Position{}
	r.logFound()
	endpoints, draining := r.directory.Count()
	event.Log(r.logger, event.StateReceived, logPosition(b.Position), slog.Bool("complete", b.Complete),
		slog.Int("endpoints", endpoints), slog.Int("draining", draining), slog.Int("hosts", len(r.hosts)))
	if !b.Complete {
		return changed
	}
	if r.removeUnlisted(now, b) {
		changed = true
	}
	r.compactUpTo(b)
	return changed
}

func (r *Replica) applyChanges(now time.Duration, changes []platform.Change) (changed bool) {
	for i := range changes {
		if r.applyChange(now, &changes[i]) {
			changed = true
		}
	}
	return changed
}

// startIncarnation prepares for the first, complete batch of a restored store. What
// other writers wrote since the copy is written again soon, so a recovery grace
// period starts for what is missing.
func (r *Replica) startIncarnation(now time.Duration, b Batch) {
	known := r.directory.Position()
	r.directory.StartRecoveryGrace(now)
	r.restores++
	event.Log(r.logger, event.StoreRestored,
		logPosition(b.Position), slog.Uint64("previous_incarnation", known.Incarnation),
		slog.Uint64("previous_revision", known.Revision), slog.Int("keys", len(b.Changes)),
		slog.Int("keys_missing", len(r.unlisted(b))))
}

// applyChange applies a change unless a newer one of its key is known.
func (r *Replica) applyChange(now time.Duration, c *platform.Change) bool {
	r.applying.Store(&c.Key)
	kind, name := platform.Classify(c.Key)
	if r.outdated(c) {
		// A configuration may come from a host that knows a later version than a
		// restored store.
		return kind == platform.KindConfiguration && !c.Removed && r.applyConfiguration(c)
	}
	r.recordIfMissed(kind, name, c)
	r.items[c.Key] = keyState{value: c.Value, position: c.Position(), removed: c.Removed, removedAt: now}
	switch kind {
	case platform.KindConfiguration:
		return r.applyConfiguration(c)
	case platform.KindEndpoint:
		return r.applyEndpoint(now, name, c)
	case platform.KindEvacuation:
		r.dropUnusable(c.Key)
		return r.applyEvacuation(now, name, c)
	case platform.KindOther:
		r.dropUnusable(c.Key)
	case platform.KindHost:
		r.applyHost(now, name, c)
	case platform.KindSecret:
		// A secret that a restored store has lost stays: a host writes it again. With an empty
		// one, hosts would refuse all feeds.
		if !c.Removed && len(c.Value) > 0 {
			r.secret = c.Value
		}
	}
	return false
}

func (r *Replica) applyConfiguration(c *platform.Change) bool {
	if c.Removed {
		// Operators never withdraw a configuration, so the last one stays in
		// force.
		event.Log(r.logger, event.ConfigurationRefused, slog.String("error", "key removed"), logPosition(c.Position()))
		return false
	}
	configuration, routeErrors, err := platform.DecodeConfiguration(c.Value)
	if err != nil {
		event.Log(r.logger, event.ConfigurationRefused, slog.String("error", err.Error()), logPosition(c.Position()))
		return false
	}
	for _, routeError := range routeErrors {
		event.Log(r.logger, event.RouteInvalid, slog.String("error", routeError.Error()), slog.Uint64("version", configuration.Version))
	}
	if !r.directory.SetConfiguration(configuration) {
		return false
	}
	r.inForce = *c
	event.Log(r.logger, event.ConfigurationInForce,
		slog.Uint64("version", configuration.Version),
		logPosition(c.Position()),
		slog.Int("routes", len(configuration.Routes)),
		slog.Int("services", len(configuration.Services)))
	return true
}

func (r *Replica) applyEndpoint(now time.Duration, id string, c *platform.Change) bool {
	if c.Removed {
		removed := r.directory.RemoveEndpoint(now, id, c.Position())
		if removed {
			event.Log(r.logger, event.EndpointRemoved, slog.String("endpoint", id),
				logPosition(c.Position()),
				slog.Duration("held_for", r.directory.RecoveryGraceLeft(now)))
		}
		return removed
	}
	e, err := platform.DecodeEndpoint(id, c.Value)
	if err != nil {
		event.Log(r.logger, event.EntryInvalid, slog.String("endpoint", id),
			logPosition(c.Position()), slog.String("error", err.Error()))
		r.dropUnusable(c.Key)
		return r.directory.RemoveEndpoint(now, id, c.Position())
	}
	if !r.listing {
		r.logEndpoint(e, c.Position())
	}
	return r.directory.PutEndpoint(now, e, c.Position())
}

// applyEvacuation applies a request to evacuate a failure domain, or its removal. Whatever
// the value is, the key's existence is the request: a value that can't be read must not
// send flows into the domain.
func (r *Replica) applyEvacuation(now time.Duration, domain string, c *platform.Change) (changed bool) {
	id := event.DomainEvacuated
	if c.Removed {
		id = event.EvacuationRemoved
		changed = r.directory.EndEvacuation(now, domain, c.Position())
	} else {
		changed = r.directory.Evacuate(domain, c.Position())
	}
	event.Log(r.logger, id, slog.String("domain", domain), logPosition(c.Position()),
		slog.Bool("changed", changed), slog.Duration("held_for", r.directory.RecoveryGraceLeft(now)))
	return changed
}

func (r *Replica) logEndpoint(e *catalog.Endpoint, position catalog.Position) {
	id := event.EndpointListed
	if e.Draining {
		id = event.EndpointDraining
	}
	event.Log(r.logger, id, slog.String("endpoint", e.ID), slog.String("service", e.Service),
		slog.String("address", e.Address.String()), slog.String("domain", e.Domain),
		logPosition(position), slog.Duration("cold_for", e.ColdFor))
}

// logPosition returns a position as two attributes.
func logPosition(p catalog.Position) slog.Attr {
	return slog.Group("", slog.Uint64("incarnation", p.Incarnation), slog.Uint64("revision", p.Revision))
}

// View returns an immutable view of the current state.
func (r *Replica) View(now time.Duration) *catalog.View { return r.directory.View(now) }

// Progress returns how much of the store's state the replica has.
func (r *Replica) Progress() Progress {
	p := Progress{Position: r.directory.Position()}
	if c := r.directory.Configuration(); c != nil {
		p.Version = c.Version
	}
	return p
}

// Restores returns how often the store was restored from a copy since the start.
func (r *Replica) Restores() int64 { return r.restores }

// AsOf returns the time as of which the replica is current, on the boot-time
// clock.
func (r *Replica) AsOf() time.Duration { return r.asOf }
