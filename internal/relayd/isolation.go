package relayd

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"toucangap/internal/follow"
	"toucangap/platform"
)

const (
	// isolationProbeTimeout is how long the store may take to answer a probe. A slow store
	// answers within a quarter of a second.
	isolationProbeTimeout = 500 * time.Millisecond
	// isolationProbeInterval is the time between two checks whether a probe is asked for,
	// and isolationAskedFor how long an asking counts.
	isolationProbeInterval = 50 * time.Millisecond
	isolationAskedFor      = time.Second
)

// isolation tells whether the host has lost contact with the store: its state is older
// than any source of state delivers, or the store does not answer a probe. Probes are made
// only while somebody asks, since calls to the store are priced.
type isolation struct {
	control *control
	clock   *clock
	maxAge  time.Duration
	// probe calls the store.
	probe func(ctx context.Context) error
	// askedAt is when isolated last asked for probes, on the monotonic clock.
	askedAt atomic.Int64
	// silent is set while the last probe, made because somebody asked, had no answer.
	silent atomic.Bool
}

func newIsolation(c *control, clk *clock, store *platform.Store, timings follow.Timings) *isolation {
	i := &isolation{control: c, clock: clk, maxAge: timings.MaxAge}
	i.probe = func(ctx context.Context) error {
		var revision uint64
		if v := c.view.Load(); v != nil {
			revision = v.Position.Revision
		}
		_, err := store.Watch(ctx, platform.AllKeys, revision, time.Millisecond, isolationProbeTimeout)
		return err
	}
	return i
}

// isolated reports whether the host has lost contact with the store, and asks for probes
// if it may.
func (i *isolation) isolated(probe bool) bool {
	if probe {
		i.askedAt.Store(int64(i.clock.Monotonic()))
	}
	return i.silent.Load() || i.control.age() > i.maxAge
}

// run probes the store while somebody asks, until the context ends.
func (i *isolation) run(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, isolationProbeInterval)
		i.check(ctx)
	}
}

func (i *isolation) check(ctx context.Context) {
	askedAt := time.Duration(i.askedAt.Load())
	if askedAt == 0 || i.clock.Monotonic()-askedAt > isolationAskedFor {
		i.silent.Store(false)
		return
	}
	i.silent.Store(timedOut(i.probe(ctx)))
}

// timedOut reports whether an error means that nothing of an answer came in time. A store
// that refuses the call, resets the connection or sends a long answer can be reached.
func timedOut(err error) bool {
	var network net.Error
	return errors.Is(err, platform.ErrStalled) || errors.As(err, &network) && network.Timeout()
}
