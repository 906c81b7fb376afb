// Package follow keeps a host's copy of the configuration and the endpoints up
// to date, from the store itself or over a feed (see package feed) from another
// host that follows it. One goroutine owns the Replica; others pass it the batches
// that they receive.
package follow

import (
	"log/slog"
	"time"

	"toucangap/internal/catalog"
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
	Changes  []platform.Change
	// Later holds the changes after Revision that were made while a slow listing
	// was read.
	Later []platform.Change
	// Revision is the store's revision up to which the batch is complete.
	Revision uint64
	// AsOf is the time, on the boot-time clock, as of which the batch is
	// current: the source has missed no earlier change.
	AsOf time.Duration
	// Reconnected means that the source had lost contact with the store before.
	Reconnected bool
	// RecoveryGrace is the rest of the source's recovery grace period.
	RecoveryGrace time.Duration
}

// keyState is the last known state of a key.
type keyState struct {
	value    []byte
	revision uint64
	removed  bool
	// removedAt is when the removal was received, on the monotonic clock.
	removedAt time.Duration
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
	secret   []byte
	asOf     time.Duration
	// compacted is the highest revision of a removal that has been discarded.
	compacted uint64
	// history is how long removals are kept.
	history time.Duration
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
	}
}

// Apply applies a batch and reports whether a view made before is out of date. The
// time is on the monotonic clock.
func (r *Replica) Apply(now time.Duration, b Batch) (changed bool) {
	if b.Reconnected {
		r.directory.StartRecoveryGrace(now)
	}
	r.directory.ExtendRecoveryGrace(now, b.RecoveryGrace)
	for i := range b.Changes {
		if r.applyChange(now, &b.Changes[i]) {
			changed = true
		}
	}
	if b.Complete && r.removeUnlisted(now, b) {
		changed = true
	}
	for i := range b.Later {
		if r.applyChange(now, &b.Later[i]) {
			changed = true
		}
		r.directory.Advance(b.Later[i].Revision)
	}
	if b.Revision > r.directory.Revision() {
		r.directory.Advance(b.Revision)
	}
	if b.AsOf > r.asOf {
		r.asOf = b.AsOf
	}
	return changed
}

// applyChange applies a change unless a newer one of its key is known.
func (r *Replica) applyChange(now time.Duration, c *platform.Change) bool {
	old, known := r.items[c.Key]
	if known && old.revision >= c.Revision || !known && c.Revision <= r.compacted {
		// An unknown key's removal may be among the discarded ones, so a change that
		// is no newer than those is ignored.
		return false
	}
	r.items[c.Key] = keyState{value: c.Value, revision: c.Revision, removed: c.Removed, removedAt: now}
	kind, name := platform.Classify(c.Key)
	switch kind {
	case platform.KindConfiguration:
		return r.applyConfiguration(c)
	case platform.KindEndpoint:
		return r.applyEndpoint(now, name, c)
	case platform.KindHost:
		r.applyHost(now, name, c)
	case platform.KindSecret:
		r.secret = c.Value
	}
	return false
}

// removeUnlisted removes the keys that a complete listing did not contain. Keys
// that are newer than the listing stay.
func (r *Replica) removeUnlisted(now time.Duration, b Batch) (changed bool) {
	listed := make(map[string]bool, len(b.Changes))
	for i := range b.Changes {
		listed[b.Changes[i].Key] = true
	}
	for key, item := range r.items {
		if listed[key] || item.removed || item.revision > b.Revision {
			continue
		}
		removal := platform.Change{Item: platform.Item{Key: key, Revision: b.Revision}, Removed: true}
		if r.applyChange(now, &removal) {
			changed = true
		}
	}
	return changed
}

func (r *Replica) applyConfiguration(c *platform.Change) bool {
	if c.Removed {
		// Operators never withdraw a configuration, so the last one stays in
		// force.
		event.Log(r.logger, event.ConfigurationRefused, slog.String("error", "key removed"), slog.Uint64("revision", c.Revision))
		return false
	}
	configuration, routeErrors, err := platform.DecodeConfiguration(c.Value)
	if err != nil {
		event.Log(r.logger, event.ConfigurationRefused, slog.String("error", err.Error()), slog.Uint64("revision", c.Revision))
		return false
	}
	for _, routeError := range routeErrors {
		event.Log(r.logger, event.RouteInvalid, slog.String("error", routeError.Error()), slog.Uint64("version", configuration.Version))
	}
	if !r.directory.SetConfiguration(configuration, c.Revision) {
		return false
	}
	event.Log(r.logger, event.ConfigurationInForce,
		slog.Uint64("version", configuration.Version),
		slog.Uint64("revision", c.Revision),
		slog.Int("routes", len(configuration.Routes)),
		slog.Int("services", len(configuration.Services)))
	return true
}

func (r *Replica) applyEndpoint(now time.Duration, id string, c *platform.Change) bool {
	if c.Removed {
		removed := r.directory.RemoveEndpoint(now, id, c.Revision)
		if removed {
			event.Log(r.logger, event.EndpointRemoved, slog.String("endpoint", id),
				slog.Uint64("revision", c.Revision),
				slog.Duration("held_for", r.directory.RecoveryGraceLeft(now)))
		}
		return removed
	}
	e, err := platform.DecodeEndpoint(id, c.Value)
	if err != nil {
		event.Log(r.logger, event.EntryInvalid, slog.String("endpoint", id),
			slog.Uint64("revision", c.Revision), slog.String("error", err.Error()))
		return r.directory.RemoveEndpoint(now, id, c.Revision)
	}
	r.logEndpoint(e, c.Revision)
	return r.directory.PutEndpoint(now, e, c.Revision)
}

func (r *Replica) logEndpoint(e *catalog.Endpoint, revision uint64) {
	id := event.EndpointListed
	if e.Draining {
		id = event.EndpointDraining
	}
	event.Log(r.logger, id, slog.String("endpoint", e.ID), slog.String("service", e.Service),
		slog.String("address", e.Address.String()), slog.String("domain", e.Domain),
		slog.Uint64("revision", revision), slog.Duration("cold_for", e.ColdFor))
}

// View returns an immutable view of the current state.
func (r *Replica) View(now time.Duration) *catalog.View { return r.directory.View(now) }

// Expire discards removals that are older than the history, and expired endpoints.
// Its results are those of catalog.Directory.Expire.
func (r *Replica) Expire(now time.Duration) (next time.Duration, changed bool) {
	for key, item := range r.items {
		if item.removed && now >= item.removedAt+r.history {
			delete(r.items, key)
			r.compacted = max(r.compacted, item.revision)
		}
	}
	return r.directory.Expire(now)
}

// Revision returns the store's revision up to which the state is complete.
func (r *Replica) Revision() uint64 { return r.directory.Revision() }

// AsOf returns the time as of which the replica is current, on the boot-time
// clock.
func (r *Replica) AsOf() time.Duration { return r.asOf }

// Since returns what a peer that is complete up to the revision is missing. The
// batch is complete, without removals, if the peer has no state yet or if a
// removal that it may be missing was discarded.
func (r *Replica) Since(now time.Duration, revision uint64) Batch {
	b := Batch{
		Complete:      revision == 0 || revision < r.compacted,
		Revision:      r.directory.Revision(),
		AsOf:          r.asOf,
		RecoveryGrace: r.directory.RecoveryGraceLeft(now),
	}
	for key, item := range r.items {
		if b.Complete && item.removed || !b.Complete && item.revision <= revision {
			continue
		}
		b.Changes = append(b.Changes, platform.Change{
			Item:    platform.Item{Key: key, Value: item.value, Revision: item.revision},
			Removed: item.removed,
		})
	}
	return b
}
