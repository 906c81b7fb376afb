package relayd

import (
	"bytes"
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"toucangap/internal/catalog"
	"toucangap/internal/coldstart"
	"toucangap/internal/follow"
	"toucangap/internal/holders"
)

// control owns the replica of the store's state. Other goroutines access the
// replica through functions that run on the control goroutine, or read the
// published view.
type control struct {
	clock   *clock
	replica *follow.Replica
	tasks   chan task
	view    atomic.Pointer[catalog.View]
	// running is the task in progress, nil between tasks.
	running atomic.Pointer[runningTask]
	// asOf is the time as of which the replica is current, in nanoseconds on the
	// boot-time clock.
	asOf atomic.Int64
	// position is the store's position up to which the replica is complete, nil before the
	// first batch.
	position atomic.Pointer[catalog.Position]
	// restores is how often the store was restored from a copy since the start.
	restores atomic.Int64
	// hostCount is the number of registered hosts.
	hostCount atomic.Int64
	// name and domain are those of the host, homeHostCount is the number of hosts registered
	// in its failure domain.
	name          string
	domain        string
	homeHostCount atomic.Int64
	// registrations holds the registered hosts, nil before the first is known.
	registrations atomic.Pointer[coldstart.Hosts]
	// directory holds the hosts that take notices, made at directoryAt from the registrations
	// of hostsRevision; noticeSecret authenticates notices, nil until it is known.
	directory     atomic.Pointer[holders.Directory]
	directoryAt   time.Duration
	hostsRevision uint64
	noticeSecret  atomic.Pointer[[]byte]
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

// task is a function that runs on the control goroutine.
type task struct {
	name string
	run  func()
}

// runningTask is a task in progress and when it began, on the boot-time clock.
type runningTask struct {
	name  string
	since time.Duration
}

func newControl(
	c *clock, logger *slog.Logger, registry metrics.Registry, flowLifetime, history time.Duration,
) *control {
	return &control{
		clock:      c,
		replica:    follow.NewReplica(logger, flowLifetime, history),
		tasks:      make(chan task),
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
		case t := <-c.tasks:
			c.execute(t)
		case <-timer.C:
		}
		var next time.Duration
		c.execute(task{"expire", func() { next = c.expire() }})
		if next > 0 {
			timer.Reset(max(time.Millisecond, next-c.clock.Monotonic()))
		}
	}
}

// execute runs a task and lets other goroutines see it meanwhile.
func (c *control) execute(t task) {
	c.running.Store(&runningTask{t.name, c.clock.BootTime()})
	t.run()
	c.running.Store(nil)
}

// expire removes expired state from the replica, publishes changed registrations, and returns
// when to do so next, 0 if nothing will expire.
func (c *control) expire() (next time.Duration) {
	now := c.clock.Monotonic()
	next, changed := c.replica.Expire(now)
	if changed {
		c.publish()
	}
	if due := c.publishDirectory(now); due > 0 && (next == 0 || due < next) {
		next = due
	}
	return next
}

// busy returns the task in progress, and the key of the change that it applies if it does;
// a zero task means that there is none.
func (c *control) busy() (t runningTask, key string) {
	if running := c.running.Load(); running != nil {
		return *running, c.replica.Applying()
	}
	return runningTask{}, ""
}

// do runs a task on the control goroutine and waits for it. It reports whether
// the task ran. If it returns false, the task may still run later.
func (c *control) do(ctx context.Context, name string, run func()) bool {
	done := make(chan struct{})
	select {
	case c.tasks <- task{name, func() { run(); close(done) }}:
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
	c.do(ctx, "apply", func() {
		previous := c.replica.AsOf()
		changed := c.replica.Apply(c.clock.Monotonic(), b)
		position := c.replica.Progress().Position
		c.position.Store(&position)
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

// directoryInterval is the least time between two directories, for each registered host:
// while thousands of hosts start, each of their registrations would need a new one, which
// takes 10 ms for 12,000 hosts.
const directoryInterval = 200 * time.Microsecond

// publishDirectory makes the hosts that take notices, and the secret, known to the traffic
// goroutine; the hosts not before the secret, without which no notice can be sent. It returns
// when to call it again, 0 if no change waits.
func (c *control) publishDirectory(now time.Duration) (next time.Duration) {
	secret, _ := c.replica.Secret()
	if len(secret) == 0 {
		return 0
	}
	if former := c.noticeSecret.Load(); former == nil || !bytes.Equal(*former, secret) {
		c.noticeSecret.Store(&secret)
	}
	revision := c.replica.HostsRevision()
	if revision == c.hostsRevision {
		return 0
	}
	due := c.directoryAt + time.Duration(c.replica.HostCount())*directoryInterval
	if c.directory.Load() != nil && now < due {
		return due
	}
	c.hostsRevision, c.directoryAt = revision, now
	c.directory.Store(holders.NewDirectory(c.replica.NoticeHosts(), holders.Host{Name: c.name, Domain: c.domain}))
	c.onPublish()
	return 0
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

// ask runs a function on the control goroutine and returns its result, or the zero value
// if the context ends first.
func ask[T any](ctx context.Context, c *control, name string, read func() T) (result T) {
	var answer T
	if c.do(ctx, name, func() { answer = read() }) {
		result = answer
	}
	return result
}

// Since implements feed.Source.
func (c *control) Since(ctx context.Context, client follow.Progress) (follow.Batch, error) {
	var b follow.Batch
	if !c.do(ctx, "since", func() { b = c.replica.Since(c.clock.Monotonic(), client) }) {
		return follow.Batch{}, context.Cause(ctx)
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
	type result struct {
		secret []byte
		stored bool
	}
	r := ask(ctx, c, "secret", func() (r result) {
		r.secret, r.stored = c.replica.Secret()
		return r
	})
	return r.secret, r.stored
}

// hosts returns the registered hosts.
func (c *control) hosts(ctx context.Context) []follow.Host {
	return ask(ctx, c, "hosts", c.replica.Hosts)
}

// mayLeave reports whether the host may leave the rotation now.
func (c *control) mayLeave(ctx context.Context, h follow.Host) (ok bool, restarting []string) {
	type result struct {
		ok         bool
		restarting []string
	}
	r := ask(ctx, c, "may leave", func() (r result) {
		r.ok, r.restarting = c.replica.MayLeave(c.clock.Monotonic(), h.Name, h.Domain)
		return r
	})
	return r.ok, r.restarting
}

// progress returns how much of the store's state the replica has.
func (c *control) progress(ctx context.Context) follow.Progress {
	return ask(ctx, c, "progress", c.replica.Progress)
}

// age returns the time since the replica was last known to be current.
func (c *control) age() time.Duration {
	return c.clock.BootTime() - time.Duration(c.asOf.Load())
}

// busyFor returns how long the task in progress has taken so far.
func (c *control) busyFor() time.Duration {
	t, _ := c.busy()
	if t.name == "" {
		return 0
	}
	return c.clock.BootTime() - t.since
}
