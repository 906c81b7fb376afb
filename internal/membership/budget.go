package membership

import "time"

// budget is a token bucket of bytes or datagrams.
type budget struct {
	// rate is in units per second, burst in units.
	rate, burst float64
	tokens      float64
}

func newBudget(rate, burst float64) budget {
	return budget{rate: rate, burst: burst, tokens: burst}
}

func (b *budget) refill(elapsed time.Duration) {
	b.tokens = min(b.burst, b.tokens+b.rate*elapsed.Seconds())
}

// take reports whether the units may be spent. A cost above the burst is
// allowed once the bucket is full, and leaves it in debt.
func (b *budget) take(units int) bool {
	if b.tokens < min(float64(units), b.burst) {
		return false
	}
	b.tokens -= float64(units)
	return true
}
