package relayd

import "time"

// behindFrom is how long packets may have waited in the socket until the host
// counts as behind: longer than a host with a processor quota may have to pause (a tenth of
// a second), and longer than callers wait before they repeat a packet.
const behindFrom = 250 * time.Millisecond

// lag tells whether the host keeps up with its packets.
type lag struct{ behind bool }

// look takes when the socket was last empty, and reports whether the host is
// behind and whether that has changed.
func (l *lag) look(now, emptyAt time.Duration) (behind, turned bool) {
	behind = now-emptyAt >= behindFrom
	turned = behind != l.behind
	l.behind = behind
	return behind, turned
}
