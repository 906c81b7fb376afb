package follow

import (
	"log/slog"
	"slices"
	"time"

	"toucangap/internal/catalog"
	"toucangap/internal/event"
	"toucangap/platform"
)

// keyState is the last known state of a key.
type keyState struct {
	value    []byte
	position catalog.Position
	removed  bool
	// removedAt is when the removal was received, on the monotonic clock.
	removedAt time.Duration
}

// outdated reports whether a change says nothing new of its key. An unknown key's removal may
// be among the discarded ones, so a change that is no newer than those is outdated, unless it
// is part of a complete batch from after all of them: the key exists there, and it is the
// replica that has missed it.
func (r *Replica) outdated(c *platform.Change) bool {
	old, known := r.items[c.Key]
	if known {
		return !c.Position().After(old.position)
	}
	compacted := r.compactedOf(c.Key)
	if c.Position().After(compacted) {
		return false
	}
	if c.Removed || r.stated.IsZero() || compacted.After(r.stated) {
		return true
	}
	r.found = append(r.found, c.Key)
	return false
}

// compactedOf returns the position up to which a removal of the key may be missing from items.
func (r *Replica) compactedOf(key string) catalog.Position {
	if position, withheld := r.compactedKeys[key]; withheld {
		return position
	}
	return r.compacted
}

// compactUpTo records a complete batch: removals of keys that this host never knew are not
// among its items. The batch says nothing of the keys that it withholds.
func (r *Replica) compactUpTo(b Batch) {
	for _, key := range b.Withheld {
		r.compactedKeys[key] = r.compactedOf(key)
	}
	r.compacted = r.compacted.Max(b.Position)
	for key, position := range r.compactedKeys {
		if slices.Contains(b.Withheld, key) {
			continue
		}
		if r.compactedKeys[key] = position.Max(b.Position); r.compactedKeys[key] == r.compacted {
			delete(r.compactedKeys, key)
		}
	}
}

// discard discards the removal of a key.
func (r *Replica) discard(key string, item keyState) {
	delete(r.items, key)
	r.compacted = r.compacted.Max(item.position)
	if position, withheld := r.compactedKeys[key]; withheld {
		r.compactedKeys[key] = position.Max(item.position)
	}
}

// logFound logs the keys that were missing although the state counted as complete. One line
// with the first key is enough to find the source that left them out.
func (r *Replica) logFound() {
	if len(r.found) > 0 {
		event.Log(r.logger, event.MissingKeysFound, slog.Int("keys", len(r.found)), slog.String("first", r.found[0]),
			logPosition(r.directory.Position()))
	}
	r.found = nil
}

// removeUnlisted removes the keys that a complete listing did not contain. Keys
// that are newer than the listing stay.
func (r *Replica) removeUnlisted(now time.Duration, b Batch) (changed bool) {
	for _, key := range r.unlisted(b) {
		removal := platform.Change{
			Item:    platform.Item{Key: key, Revision: b.Position.Revision, Incarnation: b.Position.Incarnation},
			Removed: true,
		}
		if r.applyChange(now, &removal) {
			changed = true
		}
	}
	return changed
}

// unlisted returns the known keys that a complete listing neither contains nor withholds
// and that are not newer than it.
func (r *Replica) unlisted(b Batch) (keys []string) {
	listed := make(map[string]bool, len(b.Changes)+len(b.Withheld))
	for _, key := range b.Withheld {
		listed[key] = true
	}
	for i := range b.Changes {
		listed[b.Changes[i].Key] = true
	}
	for key, item := range r.items {
		if !listed[key] && !item.removed && !item.position.After(b.Position) {
			keys = append(keys, key)
		}
	}
	return keys
}

// Expire discards removals that are older than the history, and expired endpoints. Removals
// that are ahead of the position up to which the state is complete are kept: without them,
// older changes that are still on their way would be ignored with those of the removed keys.
// Its results are those of catalog.Directory.Expire.
func (r *Replica) Expire(now time.Duration) (next time.Duration, changed bool) {
	own := r.directory.Position()
	for key, item := range r.items {
		if item.removed && now >= item.removedAt+r.history && !item.position.After(own) {
			r.discard(key, item)
		}
	}
	return r.directory.Expire(now)
}
