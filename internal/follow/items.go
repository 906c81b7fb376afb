package follow

import (
	"time"

	"toucangap/internal/catalog"
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

// unlisted returns the known keys that a complete listing does not contain and that
// are not newer than it.
func (r *Replica) unlisted(b Batch) (keys []string) {
	listed := make(map[string]bool, len(b.Changes))
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

// Expire discards removals that are older than the history, and expired endpoints.
// Its results are those of catalog.Directory.Expire.
func (r *Replica) Expire(now time.Duration) (next time.Duration, changed bool) {
	for key, item := range r.items {
		if item.removed && now >= item.removedAt+r.history {
			delete(r.items, key)
			r.compacted = r.compacted.Max(item.position)
		}
	}
	return r.directory.Expire(now)
}
