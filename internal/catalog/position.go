package catalog

import (
	"cmp"
	"fmt"
)

// Position is a point in the store's history. Revisions count the changes within
// one incarnation of the store. A store that is restored from an older copy begins
// its next incarnation and gives out some revisions again, so that revisions of
// different incarnations can't be compared; positions can.
type Position struct {
	// Incarnation rises with each restore; 0 means that the store states none.
	Incarnation uint64
	Revision    uint64
}

// Compare returns -1, 0 or 1 if p is before, at or after the other position.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Incarnation, other.Incarnation), cmp.Compare(p.Revision, other.Revision))
}

// After reports whether p is after the other position.
func (p Position) After(other Position) bool { return p.Compare(other) > 0 }

// Max returns the later of two positions.
func (p Position) Max(other Position) Position {
	if other.After(p) {
		return other
	}
	return p
}

// IsZero reports whether nothing of the store is known: revisions start above 0.
func (p Position) IsZero() bool { return p.Revision == 0 }

// String formats the position as "incarnation/revision".
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Incarnation, p.Revision) }
