// Package follow keeps a host's knowledge of the configuration and the
// endpoints current: from the store itself or from another host that follows
// it. The keeper is the state, owned by one goroutine; runners bring it what
// they hear.
package follow

import (
	"log/slog"
	"time"

	"toucangap/internal/catalog"
	"toucangap/internal/event"
	"toucangap/platform"
)

// lapseGrace is how long entries may be missing after the store's return before
// they are held for gone: the two seconds within which the platform promises
// them back, and a little for the way.
const lapseGrace = 2500 * time.Millisecond

// Batch is news from a source.
type Batch struct {
	// Complete tells that keys that are not among the changes don't exist.
	Complete bool
	Changes  []platform.Change
	// Later are changes after the revision, which a listing does not speak of.
	Later []platform.Change
	// Revision is the store's revision up to which the batch is complete.
	Revision uint64
	// Proven is the moment, on the clock that runs on while the machine sleeps,
	// up to which the source is sure to have missed nothing.
	Proven time.Duration
	// Regained tells that the source had lost contact with the store before.
	Regained bool
	// Unsettled is for how long the source does not believe removals.
	Unsettled time.Duration
}

// kept is one key as it was last written.
type kept struct {
	value    []byte
	revision uint64
	removed  bool
	// removedAt is when the removal was heard of, on the steady clock.
	removedAt time.Duration
}

// Keeper is the state. It is not safe for concurrent use.
type Keeper struct {
	logger    *slog.Logger
	directory *catalog.Directory
	items     map[string]kept
	hosts     map[string]Host
	absences  map[string]absence
	secret    []byte
	proven    time.Duration
	// forgotten is the revision up to which removals are no longer known.
	forgotten uint64
	history   time.Duration
}

// NewKeeper returns an empty keeper. Flows of removed endpoints are forwarded
// for flowLifetime; removals are remembered for peers for history.
func NewKeeper(logger *slog.Logger, flowLifetime, history time.Duration) *Keeper {
	return &Keeper{
		logger:    logger,
		directory: catalog.NewDirectory(lapseGrace, flowLifetime),
		items:     make(map[string]kept),
		hosts:     make(map[string]Host),
		absences:  make(map[string]absence),
		history:   history,
	}
}

// Apply takes a batch and reports whether a view made before would differ now.
// Times are on the steady clock.
func (k *Keeper) Apply(now time.Duration, b Batch) (changed bool) {
	if b.Regained {
		k.directory.Unsettle(now)
	}
	k.directory.HoldFor(now, b.Unsettled)
	for i := range b.Changes {
		if k.change(now, &b.Changes[i]) {
			changed = true
		}
	}
	if b.Complete && k.retain(now, b) {
		changed = true
	}
	for i := range b.Later {
		if k.change(now, &b.Later[i]) {
			changed = true
		}
		k.directory.Advance(b.Later[i].Revision)
	}
	if b.Revision > k.directory.Revision() {
		k.directory.Advance(b.Revision)
	}
	if b.Proven > k.proven {
		k.proven = b.Proven
	}
	return changed
}

// change takes one change unless it is older than what is known of its key.
func (k *Keeper) change(now time.Duration, c *platform.Change) bool {
	old, known := k.items[c.Key]
	if known && old.revision >= c.Revision || !known && c.Revision <= k.forgotten {
		// A key that is unknown below the forgotten removals was removed.
		return false
	}
	k.items[c.Key] = kept{value: c.Value, revision: c.Revision, removed: c.Removed, removedAt: now}
	kind, name := platform.Classify(c.Key)
	switch kind {
	case platform.KindConfiguration:
		return k.configuration(c)
	case platform.KindEndpoint:
		return k.endpoint(now, name, c)
	case platform.KindHost:
		k.host(now, name, c)
	case platform.KindSecret:
		k.secret = c.Value
	}
	return false
}

// retain drops the keys that a complete listing did not have. Keys that are
// newer than the listing stay.
func (k *Keeper) retain(now time.Duration, b Batch) (changed bool) {
	listed := make(map[string]bool, len(b.Changes))
	for i := range b.Changes {
		listed[b.Changes[i].Key] = true
	}
	for key, item := range k.items {
		if listed[key] || item.removed || item.revision > b.Revision {
			continue
		}
		removal := platform.Change{Item: platform.Item{Key: key, Revision: b.Revision}, Removed: true}
		if k.change(now, &removal) {
			changed = true
		}
	}
	return changed
}

func (k *Keeper) configuration(c *platform.Change) bool {
	if c.Removed {
		// The operator never withdraws a configuration; the last one stays.
		event.Log(k.logger, event.ConfigurationRefused, slog.String("error", "key removed"), slog.Uint64("revision", c.Revision))
		return false
	}
	configuration, mistakes, err := platform.DecodeConfiguration(c.Value)
	if err != nil {
		event.Log(k.logger, event.ConfigurationRefused, slog.String("error", err.Error()), slog.Uint64("revision", c.Revision))
		return false
	}
	for _, mistake := range mistakes {
		event.Log(k.logger, event.ConfigurationMistake, slog.String("error", mistake.Error()), slog.Uint64("version", configuration.Version))
	}
	if !k.directory.SetConfiguration(configuration, c.Revision) {
		return false
	}
	event.Log(k.logger, event.ConfigurationInForce,
		slog.Uint64("version", configuration.Version),
		slog.Uint64("revision", c.Revision),
		slog.Int("routes", len(configuration.Routes)),
		slog.Int("services", len(configuration.Services)))
	return true
}

func (k *Keeper) endpoint(now time.Duration, id string, c *platform.Change) bool {
	if c.Removed {
		removed := k.directory.RemoveEndpoint(now, id, c.Revision)
		if removed {
			event.Log(k.logger, event.EndpointRemoved, slog.String("endpoint", id),
				slog.Uint64("revision", c.Revision),
				slog.Duration("held_for", k.directory.UnsettledFor(now)))
		}
		return removed
	}
	e, err := platform.DecodeEndpoint(id, c.Value)
	if err != nil {
		event.Log(k.logger, event.EntryUnreadable, slog.String("endpoint", id),
			slog.Uint64("revision", c.Revision), slog.String("error", err.Error()))
		return k.directory.RemoveEndpoint(now, id, c.Revision)
	}
	k.logEndpoint(e, c.Revision)
	return k.directory.PutEndpoint(now, e, c.Revision)
}

func (k *Keeper) logEndpoint(e *catalog.Endpoint, revision uint64) {
	id := event.EndpointListed
	if e.Draining {
		id = event.EndpointDraining
	}
	event.Log(k.logger, id, slog.String("endpoint", e.ID), slog.String("service", e.Service),
		slog.String("address", e.Address.String()), slog.String("domain", e.Domain),
		slog.Uint64("revision", revision), slog.Duration("cold_for", e.ColdFor))
}

// View returns an immutable view of the present state.
func (k *Keeper) View(now time.Duration) *catalog.View { return k.directory.View(now) }

// Expire forgets what has aged; see catalog.Directory.Expire.
func (k *Keeper) Expire(now time.Duration) (next time.Duration, changed bool) {
	for key, item := range k.items {
		if item.removed && now >= item.removedAt+k.history {
			delete(k.items, key)
			k.forgotten = max(k.forgotten, item.revision)
		}
	}
	return k.directory.Expire(now)
}

// Revision returns the store's revision up to which the state is complete.
func (k *Keeper) Revision() uint64 { return k.directory.Revision() }

// Proven returns the moment up to which nothing was missed, on the clock that
// runs on while the machine sleeps.
func (k *Keeper) Proven() time.Duration { return k.proven }

// Since returns what a peer that is complete up to the revision lacks.
func (k *Keeper) Since(now time.Duration, revision uint64) Batch {
	b := Batch{
		Complete:  revision == 0 || revision < k.forgotten,
		Revision:  k.directory.Revision(),
		Proven:    k.proven,
		Unsettled: k.directory.UnsettledFor(now),
	}
	for key, item := range k.items {
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
