package backlog

import "time"

const (
	// lossSmoothing is the weight of a SYN in the share of copies, so that about the last 16
	// SYNs determine it; lossShare is the share from which SYNs count as being lost: networks
	// lose single packets at any time.
	lossSmoothing = 1.0 / 16
	lossShare     = 0.1
)

// Losses tells until when callers' SYNs were lost on their way to the hosts, from the SYNs
// of which a host sees a copy first. It answers hosts that are away, slow or cut off: what
// their callers send goes to other hosts later, as a copy or a further attempt.
type Losses struct {
	until  time.Duration
	copies float64
}

// NewLosses returns the state of a host that serves callers from now on.
func NewLosses(now time.Duration) Losses { return Losses{until: now} }

// Record records the first SYN that the host sees of a flow, and whether it is a copy.
func (l *Losses) Record(now time.Duration, isCopy bool) {
	l.copies *= 1 - lossSmoothing
	if isCopy {
		l.copies += lossSmoothing
	}
	if isCopy && l.copies > lossShare {
		l.until = now
	}
}

// Until returns the latest time at which SYNs were lost, as far as the host can tell.
func (l *Losses) Until() time.Duration { return l.until }
