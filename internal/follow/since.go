package follow

import (
	"slices"
	"time"

	"toucangap/platform"
)

// Since returns what a peer with the given progress is missing. The batch is
// complete, without removals, if the peer has no state of this incarnation of the
// store or if a removal that it may be missing was discarded. It is empty while the
// replica has no more than a part of a listing.
func (r *Replica) Since(now time.Duration, peer Progress) Batch {
	own := r.directory.Position()
	if own.IsZero() {
		return Batch{Position: own, AsOf: r.asOf}
	}
	b := Batch{
		Complete: peer.Position.IsZero() || peer.Position.Incarnation != own.Incarnation ||
			r.compacted.After(peer.Position),
		Position:      own,
		AsOf:          r.asOf,
		RecoveryGrace: r.directory.RecoveryGraceLeft(now),
	}
	for key, item := range r.items {
		if b.Complete && item.removed || !b.Complete && !item.position.After(peer.Position) {
			continue
		}
		b.Changes = append(b.Changes, platform.Change{
			Item: platform.Item{
				Key: key, Value: item.value, Revision: item.position.Revision, Incarnation: item.position.Incarnation,
			},
			Removed: item.removed,
		})
	}
	b.Version = r.Progress().Version
	if b.Version > peer.Version && !containsChange(b.Changes, &r.inForce) {
		b.Changes = append(b.Changes, r.inForce)
	}
	return b
}

func containsChange(list []platform.Change, c *platform.Change) bool {
	return slices.ContainsFunc(list, func(other platform.Change) bool {
		return other.Key == c.Key && other.Position() == c.Position()
	})
}
