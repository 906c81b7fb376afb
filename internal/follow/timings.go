package follow

import (
	"math/rand/v2"
	"time"
)

// Timings are the intervals and timeouts for following the store, derived from
// the bound within which a change must be in force. A watch may stop getting
// responses without an error, so every watch is short and has a timeout. In the
// worst case, a change is made just after a call, and the next watch, which starts
// after MinInterval, gets no response: it times out
// MinInterval+WatchWait+WatchSlack after the change, at two thirds of the bound.
// Normally the state is at most NormalAge old, which is less than MaxAge.
type Timings struct {
	// WatchWait is how long the store may hold a watch.
	WatchWait time.Duration
	// WatchSlack is how much longer than WatchWait the response may take to begin, and
	// the longest time without more of it, unless the store has answered later than that
	// (see pace).
	WatchSlack time.Duration
	// MinInterval is the minimum time between the starts of two successful
	// calls, which limits the call rate when changes are frequent.
	MinInterval time.Duration
	// CallTimeout bounds calls other than watches, with the same exception.
	CallTimeout time.Duration
	// MaxAge is the age of the state from which a host tries other sources.
	MaxAge time.Duration
	// PingInterval is the time between two pings on a feed, SilenceTimeout the
	// time without a message after which the feed counts as lost.
	PingInterval   time.Duration
	SilenceTimeout time.Duration
}

// NewTimings derives the timings from the shortest of the times within which
// changes must be in force.
func NewTimings(bound time.Duration) Timings {
	return Timings{
		WatchWait:      bound * 5 / 12,
		WatchSlack:     bound / 8,
		MinInterval:    bound / 8,
		CallTimeout:    bound / 3,
		MaxAge:         bound * 2 / 3,
		PingInterval:   bound / 6,
		SilenceTimeout: bound / 3,
	}
}

// NormalAge is the age that the state of a host that follows the store reaches while the
// store answers at once.
func (t Timings) NormalAge() time.Duration { return t.MinInterval + t.WatchWait }

// longestCall is the most time that a call gets for its answer to begin: the bound within
// which changes must be in force. A state that takes longer to read is old in any case.
func (t Timings) longestCall() time.Duration { return 3 * t.CallTimeout }

// The bounds of the wait after a failed call. The maximum is well below the
// time within which a machine must be current once it can be reached again.
const (
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
)

// Backoff is an exponential backoff with jitter. The zero value is ready.
type Backoff struct {
	failures int
}

// Next returns how long to wait after another failure.
func (b *Backoff) Next() time.Duration {
	d := min(initialBackoff<<min(b.failures, 8), maxBackoff)
	b.failures++
	return d/2 + rand.N(d/2+1)
}

// Reset ends a series of failures.
func (b *Backoff) Reset() { b.failures = 0 }

// Failures returns the number of failures since the last Reset.
func (b *Backoff) Failures() int { return b.failures }
