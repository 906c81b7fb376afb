package follow

import (
	"math/rand/v2"
	"time"
)

// Pace are the times of following the store, derived from the bound within
// which a change has to be in force. A watch may go silent without a sign, so
// each is short and bounded; the worst case, a change right after a pause began
// whose watch then goes silent, is Pause+Watch+Slack, two thirds of the bound.
// While all is well knowledge is at most Pause+Watch old, which is less than
// MaxAge.
type Pace struct {
	// Watch is how long the store may hold a watch.
	Watch time.Duration
	// Slack is how much longer its answer may take.
	Slack time.Duration
	// Pause is the least time between the beginnings of two calls while all is
	// well, which bounds the calls when changes come thick.
	Pause time.Duration
	// Call bounds calls other than watches.
	Call time.Duration
	// MaxAge is the age of knowledge from which a host asks somewhere else.
	MaxAge time.Duration
	// Ping is the time between two signs of life on a feed, Silence the time
	// after which it counts as lost.
	Ping    time.Duration
	Silence time.Duration
}

// NewPace derives the times from the shortest of the bounds on changes.
func NewPace(bound time.Duration) Pace {
	return Pace{
		Watch:   bound * 5 / 12,
		Slack:   bound / 8,
		Pause:   bound / 8,
		Call:    bound / 3,
		MaxAge:  bound * 2 / 3,
		Ping:    bound / 6,
		Silence: bound / 3,
	}
}

// The bounds of the wait after a failed call. The longest is well below the
// time within which a machine that is reached again has to be current.
const (
	firstBackoff   = 50 * time.Millisecond
	longestBackoff = 500 * time.Millisecond
)

// Backoff is an exponential backoff with jitter. The zero value is ready.
type Backoff struct {
	failures int
}

// Next returns how long to wait after one more failure.
func (b *Backoff) Next() time.Duration {
	d := min(firstBackoff<<min(b.failures, 8), longestBackoff)
	b.failures++
	return d/2 + rand.N(d/2+1)
}

// Reset ends a series of failures.
func (b *Backoff) Reset() { b.failures = 0 }

// Failures returns the length of the present series.
func (b *Backoff) Failures() int { return b.failures }
