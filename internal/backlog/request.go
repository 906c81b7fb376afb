// Package backlog decides which of the requests that wait at a host for room at a
// service's endpoints is forwarded next, and which can't be served. It answers backlogs:
// after an outage, in a burst or beside slow hosts more requests wait than endpoints can
// take, some of their callers are about to give up, and others can still be answered
// within their targets. It does no I/O and reads no clock.
package backlog

import "time"

const (
	// AttemptTimeout is how long a caller waits for the acceptance of a SYN, from its first
	// copy, before it tries again, and retryPause the mean pause until then.
	AttemptTimeout = 1400 * time.Millisecond
	retryPause     = 50 * time.Millisecond
	// neededAnswerTimes is the multiple of the usual answer time that a request is given
	// before its caller gives up. Work varies; an answer that is late has used a slot for
	// nothing.
	neededAnswerTimes = 2
)

// Request is a request that waits. Times are on one clock.
type Request struct {
	// Since is when its caller sent the first SYN of the flow, as far as the host can tell.
	Since time.Duration
	// Target is the time from Since within which its answer has its full value.
	Target time.Duration
	// Timeout is how long its caller waits for an answer, in all attempts together.
	Timeout time.Duration
	// Until is the latest time at which it can be forwarded on this flow.
	Until time.Duration
	// Priority is 0 for the most urgent requests.
	Priority int
}

// Pace is how fast the requests that wait are served.
type Pace struct {
	Now time.Duration
	// Takes is the usual time to answer a request that is forwarded.
	Takes time.Duration
	// Interval is the expected time between two requests that are forwarded.
	Interval time.Duration
	// LostUntil is the latest time at which callers' SYNs were lost; see Losses. Flows that
	// began soon after may be further attempts of requests that nobody served.
	LostUntil time.Duration
}

// after returns the time at which the n-th request from now is forwarded.
func (p *Pace) after(n int) time.Duration { return p.Now + time.Duration(n)*p.Interval }

// inTarget reports whether the answer can still have its full value if the request is
// forwarded now.
func (r *Request) inTarget(p *Pace) bool { return p.Now+p.Takes <= r.Since+r.Target }

// deadline returns the time by which the request has to be forwarded so that its caller
// gets an answer, whichever of its attempts this flow is: nothing in a SYN tells that, and
// after an outage longer than an attempt most are not the first. A flow can be a further
// attempt if the one before began while nobody served it. Attempts whose callers have given
// up by now, or are about to, don't count.
func (r *Request) deadline(p *Pace) time.Duration {
	end := r.Until
	for before := time.Duration(0); before < r.Timeout; before += AttemptTimeout + retryPause {
		if before > 0 && r.Since-AttemptTimeout-retryPause >= p.LostUntil {
			break
		}
		if by := r.Since + r.Timeout - before - neededAnswerTimes*p.Takes; by > p.Now {
			end = min(end, by)
		}
	}
	return end
}
