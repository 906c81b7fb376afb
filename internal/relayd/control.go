package relayd

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"toucangap/internal/catalog"
	"toucangap/internal/coldstart"
	"toucangap/internal/follow"
)

// control owns the replica of the store's state. Other goroutines access the
// replica through functions that run on the control goroutine, or read the
// published view.
type control struct {
	clock   *clock
	replica *follow.Replica
	tasks   chan func()
	view    atomic.Pointer[catalog.View]
	// asOf is the time as of which the replica is current, in nanoseconds on the
	// boot-time clock.
	asOf atomic.Int64
	// restores is how often the store was restored from a copy since the start.
	restores atomic.Int64
	// hostCount is the number of registered hosts.
	hostCount atomic.Int64
	// domain is the host's failure domain, homeHostCount the number of hosts registered in it.
	domain        string
	homeHostCount atomic.Int64
	// registrations holds the registered hosts, nil before the first is known.
	registrations atomic.Pointer[coldstart.Hosts]
	// changeAges samples the age of the source's state, in milliseconds, when changes
	// are applied: they are late by no more than that.
	changeAges metrics.Histogram
	// onPublish is called after each new view.
	onPublish func()

	mu sync.Mutex
	// changed is closed and replaced when the replica has changed or has become
	// more current.
	changed chan struct{}
}

func newControl(
	c *clock, logger *slog.Logger, registry metrics.Registry, flowLifetime, history time.Duration,
) *control {
	return &control{
		clock:      c,
		replica:    follow.NewReplica(logger, flowLifetime, history),
		tasks:      make(chan func()),
		changeAges: newHistogram(registry, "change_age_milliseconds"),
		changed:    make(chan struct{}),
	}
}

// run executes tasks, and removes expired state from the replica, until the
// context ends.
func (c *control) run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case task := <-c.tasks:
			task()
		case <-timer.C:
		}
		next, changed := c.replica.Expire(c.clock.Monotonic())
		if changed {
			c.publish()
		}
		if next > 0 {
			timer.Reset(max(time.Millisecond, next-c.clock.Monotonic()))
		}
	}
}

// do runs a task on the control goroutine and waits for it. It reports whether
// the task ran.
func (c *control) do(ctx context.Context, task func()) bool {
	done := make(chan struct{})
	select {
	case c.tasks <- func() { task(); close(done) }:
	case <-ctx.Done():
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// apply applies a batch to the replica and publishes what has changed.
func (c *control) apply(ctx context.Context, b follow.Batch) {
	c.do(ctx, func() {
		previous := c.replica.AsOf()
		changed := c.replica.Apply(c.clock.Monotonic(), b)
		c.restores.Store(c.replica.Restores())
		c.hostCount.Store(int64(c.replica.HostCount()))
		c.homeHostCount.Store(int64(c.replica.HostCountIn(c.domain)))
		if hosts := c.replica.Registrations(); hosts != nil {
			c.registrations.Store(hosts)
		}
		asOf := c.replica.AsOf()
		c.asOf.Store(int64(asOf))
		if len(b.Changes) > 0 && !b.Partial {
			c.changeAges.Update((c.clock.BootTime() - b.AsOf).Milliseconds())
		}
		if changed {
			c.publish()
		}
		if changed || len(b.Changes) > 0 || asOf != previous {
			c.notify()
		}
	})
}

// publish makes a view of the current state for the traffic goroutine.
func (c *control) publish() {
	c.view.Store(c.replica.View(c.clock.Monotonic()))
	c.onPublish()
}

// notify wakes the goroutines that wait for a change.
func (c *control) notify() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.changed)
	c.changed = make(chan struct{})
}

// Changed implements feed.Source.
func (c *control) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Since implements feed.Source.
func (c *control) Since(ctx context.Context, client follow.Progress) (follow.Batch, error) {
	var b follow.Batch
	if !c.do(ctx, func() { b = c.replica.Since(c.clock.Monotonic(), client) }) {
		return b, context.Cause(ctx)
	}
	return b, nil
}

// Secret implements feed.Source.
func (c *control) Secret(ctx context.Context) (secret []byte) {
	secret, _ = c.secret(ctx)
	return secret
}

// secret returns the hosts' shared secret, or nil, and whether the store holds one.
func (c *control) secret(ctx context.Context) (secret []byte, stored bool) {
	c.do(ctx, func() { secret, stored = c.replica.Secret() })
	return secret, stored
}

// hosts returns the registered hosts.
func (c *control) hosts(ctx context.Context) (hosts []follow.Host) {
	c.do(ctx, func() { hosts = c.replica.Hosts() })
	return hosts
}

// mayLeave reports whether the host may leave the rotation now.
func (c *control) mayLeave(ctx context.Context, h follow.Host) (ok bool, restarting []string) {
	c.do(ctx, func() { ok, restarting = c.replica.MayLeave(c.clock.Monotonic(), h.Name, h.Domain) })
	return ok, restarting
}

// progress returns how much of the store's state the replica has.
func (c *control) progress(ctx context.Context) (p follow.Progress) {
	c.do(ctx, func() { p = c.replica.Progress() })
	return p
}

// age returns the time since the replica was last known to be current.
func (c *control) age() time.Duration {
	return c.clock.BootTime() - time.Duration(c.asOf.Load())
}
