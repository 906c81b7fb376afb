package relayd

import (
	"context"
	"log/slog"
	"time"

	"github.com/ansel1/merry/v2"

	"toucangap/internal/event"
)

// errStopped is the cause of a planned end.
var errStopped = merry.Sentinel("stopped as asked")

const (
	// leaveRotation is how long routers may go on sending to a host that says
	// that it is not ready: two questions, asked twice a second, and their way.
	rotationExitTime = 1300 * time.Millisecond
	// quiet is how long no packet may have come before a host that has left the
	// rotation ends: longer than callers take to repeat a packet.
	quietTime = 400 * time.Millisecond
	// quietStep is how often that is looked at.
	stopPollInterval = 50 * time.Millisecond
	// stopMargin is kept between the end of a planned stop and SIGKILL.
	stopMargin = time.Second
	// leaveTime is kept for leaving the rotation itself.
	exitTime = rotationExitTime + quietTime + stopMargin
)

// Stop leaves the rotation, forwards packets until none come any more, and
// returns; the caller then ends Run. While too many other hosts of the domain are
// restarting it waits.
func (d *Daemon) Stop(ctx context.Context) {
	started := d.clock.Monotonic()
	event.Log(d.logger, event.StopBegun, slog.Duration("at_most", d.settings.Bounds.Stop-stopMargin))
	d.waitForOthers(ctx, started)
	d.ready.stopping.Store(true)
	go d.registrar.deregister(context.WithoutCancel(ctx))
	sleep(ctx, min(rotationExitTime, d.settings.Bounds.Stop/2))
	for ctx.Err() == nil {
		now := d.clock.Monotonic()
		idle := now - time.Duration(d.traffic.lastPacket.Load())
		if idle >= quietTime || now-started >= d.settings.Bounds.Stop-stopMargin {
			return
		}
		sleep(ctx, stopPollInterval)
	}
}

// awaitOthers waits until enough other hosts of the domain are in the rotation,
// as long as the time until SIGKILL allows.
func (d *Daemon) waitForOthers(ctx context.Context, started time.Duration) {
	logged := false
	for ctx.Err() == nil && d.clock.Monotonic()-started < d.settings.Bounds.Stop-exitTime {
		ok, others := d.control.mayLeave(ctx, d.registrar.host)
		if ok {
			return
		}
		if !logged {
			logged = true
			event.Log(d.logger, event.StopWaits, slog.Any("restarting", others))
		}
		sleep(ctx, stopPollInterval)
	}
}
