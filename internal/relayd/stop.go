package relayd

import (
	"context"
	"log/slog"
	"time"

	"github.com/ansel1/merry/v2"

	"toucangap/internal/event"
)

// errStopped is a cancellation cause that Run takes for a graceful shutdown.
var errStopped = merry.Sentinel("graceful shutdown")

const (
	// rotationExitTime is how long routers may keep sending to a host that
	// reports that it is not ready: two readiness requests, sent twice a
	// second, and their latency.
	rotationExitTime = 1300 * time.Millisecond
	// quietTime is how long no packet must have arrived before a host that has
	// left the rotation exits: longer than callers take to retransmit.
	quietTime = 400 * time.Millisecond
	// stopPollInterval is how often the conditions for leaving the rotation and
	// for exiting are checked.
	stopPollInterval = 50 * time.Millisecond
	// stopMargin is the time reserved between the end of a graceful shutdown and
	// SIGKILL.
	stopMargin = time.Second
	// exitTime is the time reserved, before SIGKILL, for leaving the rotation and
	// draining.
	exitTime = rotationExitTime + quietTime + stopMargin
)

// Stop leaves the rotation, forwards packets until none have arrived for quietTime
// or only stopMargin is left until SIGKILL, and returns; canceling the context of
// Run then ends the process. Stop first waits while too many other hosts of the
// domain are restarting.
func (d *Daemon) Stop(ctx context.Context) {
	started := d.clock.Monotonic()
	event.Log(d.logger, event.ShutdownStarted, slog.Duration("at_most", d.settings.Bounds.Stop-stopMargin))
	d.waitForOthers(ctx, started)
	d.ready.stopping.Store(true)
	d.traffic.do(d.traffic.relay.LeaveRotation)
	go d.registrar.deregister(context.WithoutCancel(ctx))
	sleep(ctx, min(rotationExitTime, d.settings.Bounds.Stop/2))
	d.traffic.do(func() { d.traffic.relay.StopHolding(d.clock.Monotonic()) })
	for ctx.Err() == nil {
		now := d.clock.Monotonic()
		idle := now - time.Duration(d.traffic.lastPacket.Load())
		if idle >= quietTime || now-started >= d.settings.Bounds.Stop-stopMargin {
			return
		}
		sleep(ctx, stopPollInterval)
	}
}

// waitForOthers waits until enough other hosts of the domain are in the
// rotation, or as long as the time until SIGKILL allows.
func (d *Daemon) waitForOthers(ctx context.Context, started time.Duration) {
	logged := false
	for ctx.Err() == nil && d.clock.Monotonic()-started < d.settings.Bounds.Stop-exitTime {
		ok, others := d.control.mayLeave(ctx, d.registrar.host)
		if ok {
			return
		}
		if !logged {
			logged = true
			event.Log(d.logger, event.ShutdownWaiting, slog.Any("restarting", others))
		}
		sleep(ctx, stopPollInterval)
	}
}
