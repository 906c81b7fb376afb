package relayd

import "time"

// behindFrom is how long packets may have waited in the socket until the host
// counts as behind: longer than a host with a usage cap may have to pause (a tenth of
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

const (
	// shortestRest is how long a host that was behind stays out of the rotation;
	// longestRest bounds the doubling of that while it happens again and again.
	shortestRest = 2 * time.Second
	longestRest  = 16 * time.Second
	// restMemory is how long a host has to keep up until its next rest is short.
	restMemory = 20 * time.Second
)

// rest decides how long a host that falls behind stays out of the rotation. The
// load that it answers is a host that has become too slow for its share of
// packets: others serve its callers sooner, and a host that comes back at once
// would fall behind again.
type rest struct {
	until time.Duration
	span  time.Duration
}

// look takes whether the host is behind, and reports whether it should rest.
func (r *rest) look(now time.Duration, behind bool) bool {
	if !behind {
		return now < r.until
	}
	if now >= r.until {
		r.span = min(2*r.span, longestRest)
		if r.span == 0 || now >= r.until+restMemory {
			r.span = shortestRest
		}
	}
	r.until = max(r.until, now+r.span)
	return true
}
