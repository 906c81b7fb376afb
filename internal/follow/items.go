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
	// inferred means that no source has reported the removal: the key was missing in a
	// complete batch.
	inferred bool
	// removedAt is when the removal was received, on the monotonic clock.
	removedAt time.Duration
}

// maxUnusableValue is the size up to which a value that this build has no use for is kept: a
// later build, which this host may feed, may have one. Other writers may store 1 MB under any
// number of keys.
const maxUnusableValue = 2 << 10

// dropUnusable discards a large value of which this build uses at most the key's existence.
// Keys and positions are kept. To all builds, an empty value is an entry that can't be read, as
// the large one is, or an evacuation, which every value is.
func (r *Replica) dropUnusable(key string) {
	if item := r.items[key]; len(item.value) > maxUnusableValue {
		item.value = nil
		r.items[key] = item
	}
}

// outdated reports whether a change says nothing new of its key. A change that is no newer
// than the last one that a source has reported is outdated, and so is one of a key that does
// not exist if it is no newer than what is known of its removal. A complete batch is the last
// word on what exists, though, if it is from after that: the replica has missed the key then.
func (r *Replica) outdated(c *platform.Change) bool {
	if item, known := r.items[c.Key]; known && !item.inferred && !c.Position().After(item.position) {
		return true
	}
	last := r.lastKnown(c.Key)
	if c.Position().After(last) {
		return false
	}
	return c.Removed || r.stated.IsZero() || last.After(r.stated)
}

// lastKnown returns the position up to which changes of the key are known. A key that does not
// exist may have been written and removed again up to compacted.
func (r *Replica) lastKnown(key string) catalog.Position {
	item, known := r.items[key]
	if known && !item.removed {
		return item.position
	}
	return item.position.Max(r.compactedOf(key))
}

// recordIfMissed records that the replica has missed a key, if the change that is about to be
// applied is older than what counted as its removal, and makes way for it.
func (r *Replica) recordIfMissed(kind platform.Kind, name string, c *platform.Change) {
	if c.Position().After(r.lastKnown(c.Key)) {
		return
	}
	r.found = append(r.found, c.Key)
	switch kind {
	case platform.KindEndpoint:
		r.directory.ForgetRemoval(name)
	case platform.KindEvacuation:
		r.directory.ForgetEvacuationEnd(name)
	}
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
		if item := r.items[key]; item.removed {
			item.inferred = true
			r.items[key] = item
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
