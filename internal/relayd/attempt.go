package relayd

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
)

// errInterrupted is the cause with which the monitor cancels an attempt.
var errInterrupted = merry.Prepend(context.Canceled, "state is old; trying the next source")

// attempt is a call to the store or a feed of another host that is in progress. The times
// are on the boot-time clock.
type attempt struct {
	begunAt time.Duration
	// receivedAt is when something of an answer arrived last, in nanoseconds.
	receivedAt atomic.Int64
	cancel     context.CancelCauseFunc
}

// attemptKey is the key of the attempt among the values of its context.
type attemptKey struct{}

// try does work that waits for a source. It reports whether the monitor has interrupted it.
func (s *syncer) try(ctx context.Context, work func(ctx context.Context)) (interrupted bool) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a := &attempt{begunAt: s.clock.BootTime(), cancel: cancel}
	a.receivedAt.Store(int64(a.begunAt))
	s.attempt.Store(a)
	defer s.attempt.Store(nil)
	work(context.WithValue(ctx, attemptKey{}, a))
	return errors.Is(context.Cause(ctx), errInterrupted)
}

// received records that something of an answer has arrived in the attempt of the context.
func (s *syncer) received(ctx context.Context) {
	if a, ok := ctx.Value(attemptKey{}).(*attempt); ok {
		a.receivedAt.Store(int64(s.clock.BootTime()))
	}
}

// interrupt cancels the attempt in progress. It may be called from any goroutine.
func (s *syncer) interrupt() {
	if a := s.attempt.Load(); a != nil {
		a.cancel(errInterrupted)
	}
}

// step lets the follower make a call and returns how long to wait before the next one, and
// whether the monitor has interrupted it.
func (s *syncer) step(ctx context.Context, call func(ctx context.Context) time.Duration) (wait time.Duration, interrupted bool) {
	interrupted = s.try(ctx, func(ctx context.Context) { wait = call(ctx) })
	return wait, interrupted
}
