package relayd

import "time"

// lagThreshold is how long packets may have waited in the socket before the host
// counts as lagging. It is longer than a CPU quota may pause the process (a tenth
// of a second), and longer than callers wait before they retransmit.
const lagThreshold = 250 * time.Millisecond

// lagDetector detects whether the host keeps up with its packets.
type lagDetector struct{ lagging bool }

// update reports whether the host is lagging, given when the socket was last empty,
// and whether that has changed since the last call.
func (l *lagDetector) update(now, emptyAt time.Duration) (lagging, changed bool) {
	lagging = now-emptyAt >= lagThreshold
	changed = lagging != l.lagging
	l.lagging = lagging
	return lagging, changed
}
