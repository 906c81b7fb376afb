package relayd

import "time"

// limiter limits the rate of log lines of one kind by a token bucket, which holds
// at most burst lines and starts full. It is for use by one goroutine.
type limiter struct {
	perSecond  float64
	burst      float64
	tokens     float64
	last       time.Duration
	suppressed int64
}

func newLimiter(perSecond, burst float64) *limiter {
	return &limiter{perSecond: perSecond, burst: burst, tokens: burst}
}

// allow reports whether a line may be written now, and counts it as suppressed
// if not.
func (l *limiter) allow(now time.Duration) bool {
	l.tokens = min(l.burst, l.tokens+(now-l.last).Seconds()*l.perSecond)
	l.last = now
	if l.tokens < 1 {
		l.suppressed++
		return false
	}
	l.tokens--
	return true
}

// takeSuppressed returns the number of lines suppressed since the last call.
func (l *limiter) takeSuppressed() int64 {
	n := l.suppressed
	l.suppressed = 0
	return n
}
