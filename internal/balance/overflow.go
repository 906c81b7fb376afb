package balance

import "time"

// Parameters of Overflow.
const (
	// overflowStart is the limit at first and after a pause, overflowLowest the lowest one:
	// its answers tell when there is room again.
	overflowStart  = 2.0
	overflowLowest = 1.0
	// overflowGrowth changes the limit for each answer in time while the limit is used, so
	// that it grows by half within an answer time, overflowShrinkage for each congested one.
	// Both are equal in effect while a third of the answers is congested.
	overflowGrowth    = 0.5
	overflowShrinkage = 1.0
	// overflowPause is how long nothing is sent after a SYN without a handshake ACK.
	overflowPause = 250 * time.Millisecond
	// overflowMemory is how long a limit applies without an answer.
	overflowMemory = 3 * time.Second
)

// Overflow limits the requests of one service that a host lets wait for answers in another
// failure domain since its own has no room. It answers callers that gather in one domain:
// the endpoints there serve a part of them while others have free slots. Nobody tells the
// host how much room the other domain has; the limit rises with answers that did not wait
// there and falls with those that did, so that the other domain's own callers, whose hosts
// do not have to ask for room, come first (additive increase and decrease, as in Window).
type Overflow struct {
	limit       float64
	answeredAt  time.Duration
	pausedUntil time.Duration
}

// Room reports whether one more request may be sent, given those that wait.
func (o *Overflow) Room(now time.Duration, inFlight int) bool {
	return now >= o.pausedUntil && float64(inFlight) < o.Limit(now)
}

// Limit returns how many requests may wait.
func (o *Overflow) Limit(now time.Duration) float64 {
	if o.limit == 0 || now-o.answeredAt > overflowMemory {
		return overflowStart
	}
	return max(o.limit, overflowLowest)
}

// RecordAnswer records whether a request's answer was congested, and how many requests
// waited before it.
func (o *Overflow) RecordAnswer(now time.Duration, congested bool, inFlight int) {
	o.limit = o.Limit(now)
	o.answeredAt = now
	switch {
	case congested:
		o.limit = max(overflowLowest, o.limit-overflowShrinkage)
	case float64(inFlight) >= o.limit-1:
		o.limit += overflowGrowth
	}
}

// RecordUnanswered records a SYN without a handshake ACK: the domain may be cut off.
func (o *Overflow) RecordUnanswered(now time.Duration) {
	o.limit, o.answeredAt = overflowLowest, now
	o.pausedUntil = now + overflowPause
}
