package platform

import (
	"time"
)

// callBudget is a token bucket that bounds the rate of calls.
type callBudget struct {
	// rate is in calls per second.
	rate   float64
	burst  float64
	tokens float64
	last   time.Time
}

// newCallBudget returns a full bucket. The rate is in calls per second.
func newCallBudget(rate float64, burst int, now time.Time) callBudget {
	return callBudget{rate: rate, burst: float64(burst), tokens: float64(burst), last: now}
}

// refill adds the tokens gained since the last refill.
func (b *callBudget) refill(now time.Time) {
	gained := max(0, now.Sub(b.last).Seconds()) * b.rate
	b.tokens = min(b.burst, b.tokens+gained)
	b.last = now
}

// setRate changes the rate from now on.
func (b *callBudget) setRate(rate float64, now time.Time) {
	b.refill(now)
	b.rate = rate
}

// take removes one token and reports whether there was one.
func (b *callBudget) take(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// The retry budget: each successful call adds a fraction of a retry. The total is
// capped, so that a long time without failures does not allow a retry storm.
const (
	retryTokensPerSuccess = 0.1
	maxRetryTokens        = 10.0
)

// retryBudget caps the share of calls that are retries.
type retryBudget struct {
	tokens float64
}

// earn adds the tokens of a successful call.
func (b *retryBudget) earn() {
	b.tokens = min(maxRetryTokens, b.tokens+retryTokensPerSuccess)
}

// take removes one retry and reports whether there was one.
func (b *retryBudget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
