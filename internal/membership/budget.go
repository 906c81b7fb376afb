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

// refill adds the tokens of the elapsed time, up to the burst.
func (b *budget) refill(elapsed time.Duration) {
	b.tokens = min(b.burst, b.tokens+b.rate*elapsed.Seconds())
}

// take spends the units if the bucket holds as many, and reports whether it did.
// A cost above the burst is allowed once the bucket is full, and leaves it in
// debt.
func (b *budget) take(units int) bool {
	if b.tokens < min(float64(units), b.burst) {
		return false
	}
	b.tokens -= float64(units)
	return true
}
