package relayd

import "time"

// lagThreshold is how long packets may have waited in the socket before the
// host counts as lagging: longer than a processor quota may pause it (a tenth
// of a second), and longer than callers wait before they retransmit.
const lagThreshold = 250 * time.Millisecond

// lagDetector detects whether the host keeps up with its packets.
type lagDetector struct{ lagging bool }

// update takes when the socket was last empty, and reports whether the host is
// lagging and whether that has changed.
func (l *lagDetector) update(now, emptyAt time.Duration) (lagging, changed bool) {
	lagging = now-emptyAt >= lagThreshold
	changed = lagging != l.lagging
	l.lagging = lagging
	return lagging, changed
}
