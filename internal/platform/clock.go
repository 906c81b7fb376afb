package platform

import (
	"context"
	"time"
)

// Clock provides the time and timers, so that tests can control both.
type Clock interface {
	// Now returns the time; only differences between times are used.
	Now() time.Time
	// AfterFunc runs f on its own goroutine after d unless stop is called first.
	AfterFunc(d time.Duration, f func()) (stop func() bool)
}

// SystemClock is the clock of the operating system.
type SystemClock struct{}

// Now implements Clock.
func (SystemClock) Now() time.Time {
	return time.Now()
}

// AfterFunc implements Clock.
func (SystemClock) AfterFunc(d time.Duration, f func()) func() bool {
	return time.AfterFunc(d, f).Stop
}

// Sleep waits for d on the clock. It returns the cause of the context's end if
// that comes first.
func Sleep(ctx context.Context, clock Clock, d time.Duration) error {
	done := make(chan struct{})
	stop := clock.AfterFunc(d, func() { close(done) })
	defer stop()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// withTimeout derives a context that is canceled with errTimeout after d on
// the clock.
func withTimeout(ctx context.Context, clock Clock, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := clock.AfterFunc(d, func() { cancel(errTimeout) })
	return ctx, func() {
		stop()
		cancel(context.Canceled)
	}
}
