package peerlink

import (
	"context"
	"math/rand/v2"
	"time"
)

// backoff is an exponential backoff with delays of at most minBackoff at first and
// of at most maxBackoff later. Each delay is drawn from the upper half of its
// range, so that hosts do not dial at the same moment.
type backoff struct {
	delay time.Duration
}

func newBackoff() *backoff {
	return &backoff{delay: minBackoff}
}

func (b *backoff) next() time.Duration {
	half := b.delay / 2
	b.delay = min(2*b.delay, maxBackoff)
	return half + rand.N(half)
}

// sleep waits for the duration or until the context is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
