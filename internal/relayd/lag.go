package relayd

import "time"

// behindFrom is how long packets may have waited in the socket until the host
// counts as behind: longer than a host with a processor quota may have to pause (a tenth of
// a second), and longer than callers wait before they repeat a packet.
const lagThreshold = 250 * time.Millisecond

// lag tells whether the host keeps up with its packets.
type lagDetector struct{ lagging bool }

// look takes when the socket was last empty, and reports whether the host is
// behind and whether that has changed.
func (l *lagDetector) update(now, emptyAt time.Duration) (lagging, changed bool) {
	lagging = now-emptyAt >= lagThreshold
	changed = lagging != l.lagging
	l.lagging = lagging
	return lagging, changed
}
