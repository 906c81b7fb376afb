package balance

import "time"

// Waiter is a request that waits at the host for room at the endpoints. Times are on
// one clock.
type Waiter struct {
	// Since is when its caller sent it first, as far as the host can tell.
	Since time.Duration
	// Target is the time from Since within which its answer has its full value.
	Target time.Duration
	// Until is the latest time at which it can be forwarded.
	Until time.Duration
	// Priority is 0 for the most urgent requests.
	Priority int
}

// InTarget reports whether the request's answer can still have its full value if it
// is forwarded now and takes the given time.
func (w *Waiter) InTarget(now, takes time.Duration) bool { return now+takes <= w.Since+w.Target }

// Before reports whether w is to be forwarded before the other request: those that
// can still be answered within their targets first, the urgent ones first among
// them, and the newest of these, since under overload the oldest are the next to
// miss their targets. What is late already is served from what is left, by the time
// that its caller still waits.
func (w *Waiter) Before(other *Waiter, now, takes time.Duration) bool {
	inTarget := w.InTarget(now, takes)
	if inTarget != other.InTarget(now, takes) {
		return inTarget
	}
	if !inTarget {
		return w.Until < other.Until
	}
	if w.Priority != other.Priority {
		return w.Priority < other.Priority
	}
	return w.Since > other.Since
}
