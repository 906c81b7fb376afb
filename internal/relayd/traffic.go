package relayd

import (
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"toucangap/internal/catalog"
	"toucangap/internal/event"
	"toucangap/internal/holders"
	"toucangap/internal/relay"
	"toucangap/platform"
)

const (
	// receiveBuffer is the size of the socket's receive buffer in bytes. It
	// holds what arrives while the process waits for the processor on a small
	// host.
	receiveBuffer = 1 << 20
	// lateReadWait is how long the socket must stay empty before an expired
	// timer is processed: the packet that the timer waits for may have arrived
	// and not been read yet.
	lateReadWait = 500 * time.Microsecond
	// maxIdleWait is the longest wait for a packet. It bounds the time between
	// two clock readings of a running process, so that a much longer time
	// indicates a pause.
	maxIdleWait = 250 * time.Millisecond
	// pauseThreshold is the time between two clock readings from which the
	// process counts as paused. It is longer than the process may have to wait
	// for the processor on a small host.
	pauseThreshold = time.Second
	// viewWaitLimit is how long packets are left unread after the process has
	// started while there is no view; it is shorter than the callers' first
	// retransmission timeout. viewPollInterval is how often the view is checked.
	viewWaitLimit    = 150 * time.Millisecond
	viewPollInterval = 2 * time.Millisecond
)

// traffic owns the relay and the socket for callers' packets. Its methods run on
// the traffic goroutine, except do, wake and stop.
type traffic struct {
	clock    *clock
	conn     *net.UDPConn
	socket   *socket
	lag      lagDetector
	relay    *relay.Relay
	control  *control
	logger   *slog.Logger
	observer *observer
	// callerPort is the port at which callers receive packets, such as resets.
	callerPort uint16
	// idleWait is maxIdleWait; tests set a longer one.
	idleWait time.Duration
	// tasks run on the traffic goroutine.
	tasks    chan func()
	stopping atomic.Bool

	view *catalog.View
	// notices exchanges notices with other hosts, directory is the last one it got.
	notices   *notices
	directory *holders.Directory
	// lastRefresh and lastCheck are the monotonic times of the last refresh and
	// of the last check for a pause.
	lastRefresh time.Duration
	lastCheck   time.Duration
	// lastSlept is the total time that the machine had slept by lastCheck.
	lastSlept time.Duration
	// lastPacket is when the last packet arrived, in nanoseconds on the
	// monotonic clock.
	lastPacket atomic.Int64
	// newFailures is set when requests have failed, so that there are reports to
	// exchange; exchange clears it. lastFailed is the total number of failed
	// requests at the last refresh.
	newFailures atomic.Bool
	lastFailed  int64
	malformed   atomic.Int64
	sendErrors  atomic.Int64
	// reset is the reused buffer for resets.
	reset []byte
}

func listenPackets(address netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, merry.Prepend(err, "listen for callers' packets")
	}
	if err := conn.SetReadBuffer(receiveBuffer); err != nil {
		conn.Close()
		return nil, merry.Prepend(err, "set the socket's receive buffer")
	}
	return conn, nil
}

// run processes packets, timers and tasks until stop.
func (t *traffic) run() error {
	frame := make([]byte, platform.RecipientBytes+platform.MaxPacket+1)
	var err error
	if t.socket, err = newSocket(t.conn, t.clock); err != nil {
		return err
	}
	t.waitForView()
	t.lastRefresh = t.clock.Monotonic()
	t.lastCheck, t.lastSlept = t.lastRefresh, t.clock.BootTime()-t.lastRefresh
	for !t.stopping.Load() {
		t.runTasks()
		if err := t.setReadDeadline(); err != nil {
			return merry.Prepend(err, "set the read deadline")
		}
		n, err := t.socket.read(frame[platform.RecipientBytes:])
		if errors.Is(err, os.ErrDeadlineExceeded) {
			n, err = t.retryRead(frame)
		}
		now := t.refresh()
		switch {
		case err == nil:
			t.packet(now, frame, n)
		case errors.Is(err, os.ErrDeadlineExceeded):
			t.relay.Tick(now)
		case errors.Is(err, net.ErrClosed):
			return nil
		default:
			return merry.Prepend(err, "read callers' packets")
		}
	}
	return nil
}

// waitForView leaves packets in the socket until there is a view to forward them
// by, for at most viewWaitLimit: after a restart one call to the store yields a
// view.
func (t *traffic) waitForView() {
	for waited := time.Duration(0); waited < viewWaitLimit && t.control.view.Load() == nil && !t.stopping.Load(); waited += viewPollInterval {
		time.Sleep(viewPollInterval)
	}
}

// retryRead reads once more, for at most lateReadWait, after the deadline of a read
// has passed: a read that starts after its deadline fails even if a packet is
// queued.
func (t *traffic) retryRead(frame []byte) (int, error) {
	if err := t.conn.SetReadDeadline(time.Now().Add(lateReadWait)); err != nil {
		return 0, merry.Prepend(err, "set the read deadline")
	}
	return t.socket.read(frame[platform.RecipientBytes:])
}

// setReadDeadline sets the time until which to wait for a packet. It checks for tasks and
// views afterwards: a wake just before is overwritten, and would be noticed only after
// maxIdleWait.
func (t *traffic) setReadDeadline() error {
	if err := t.conn.SetReadDeadline(t.deadline()); err != nil {
		return err
	}
	if t.pending() {
		t.wake()
	}
	return nil
}

// pending reports whether a task, a new view, notices or the end wait for the traffic goroutine.
func (t *traffic) pending() bool {
	return len(t.tasks) > 0 || t.control.view.Load() != t.view || t.stopping.Load() || t.notices != nil && t.notices.filled.Load()
}

// deadline returns the time until which to wait for a packet.
func (t *traffic) deadline() time.Time {
	now := t.clock.Monotonic()
	wait := t.idleWait
	if due, ok := t.relay.NextDue(); ok {
		wait = min(wait, max(0, due-now))
	}
	return t.clock.started.Add(now + wait)
}

// refresh reads the clock, checks for pauses, lag and failed requests, and passes
// a new view to the relay. It returns the monotonic time.
func (t *traffic) refresh() time.Duration {
	now := t.clock.Monotonic()
	if now-t.lastCheck >= maxIdleWait {
		t.checkPause(now)
	}
	t.lastRefresh = now
	t.checkLag(now)
	if failed := t.relay.Failed(); failed != t.lastFailed {
		t.lastFailed = failed
		t.newFailures.Store(true)
	}
	if v := t.control.view.Load(); v != t.view {
		t.view = v
		t.relay.SetView(now, v)
	}
	if d := t.control.directory.Load(); d != t.directory {
		t.directory = d
		t.notices.exchange.SetDirectory(now, d)
	}
	if t.notices != nil {
		t.notices.handleWaiting(now)
	}
	return now
}

// checkLag notifies the relay when the host begins and ceases to lag: while it
// lags, the times that it measures include its own delay and say nothing about
// endpoints.
func (t *traffic) checkLag(now time.Duration) {
	lagging, changed := t.lag.update(now, t.socket.emptyAt)
	if !changed {
		return
	}
	t.relay.SetLagging(now, lagging)
	t.observer.lagging(now, lagging, now-t.socket.emptyAt)
}

// checkPause detects that the process was paused, either between two refreshes
// or while the machine slept and the monotonic clock stood still.
func (t *traffic) checkPause(now time.Duration) {
	slept := t.clock.BootTime() - now
	gap := now - t.lastRefresh + slept - t.lastSlept
	t.lastCheck, t.lastSlept = now, slept
	if gap > pauseThreshold {
		t.relay.ResumeAfterPause(now, gap)
		t.observer.paused(now, gap)
	}
}

// packet passes a datagram of n bytes, which follows the frame's recipient prefix,
// to the relay.
func (t *traffic) packet(now time.Duration, frame []byte, n int) {
	t.lastPacket.Store(int64(now))
	frame = frame[:platform.RecipientBytes+n]
	s, err := platform.DecodePacket(frame[platform.RecipientBytes:])
	if err != nil {
		t.malformed.Add(1)
		t.observer.malformed(now, n, err)
		return
	}
	t.relay.Packet(now, s, frame)
}

// Forward implements relay.Output.
func (t *traffic) Forward(e *catalog.Entry, token catalog.Token, frame []byte) {
	platform.AddressFrame(frame, e.Recipient, token)
	t.send(frame, e.Address.AddrPort())
}

// Reset implements relay.Output.
func (t *traffic) Reset(flow catalog.Flow, lastAcknowledgement uint32) {
	t.reset = platform.AppendReset(t.reset[:0], flow, lastAcknowledgement)
	caller := flow.Caller.AddrPort().Addr()
	t.send(t.reset, netip.AddrPortFrom(caller, t.callerPort))
}

// send sends a datagram. Errors are counted, but only the first one is logged.
func (t *traffic) send(datagram []byte, to netip.AddrPort) {
	if _, err := t.conn.WriteToUDPAddrPort(datagram, to); err != nil {
		if t.sendErrors.Add(1) == 1 {
			event.Log(t.logger, event.SendFailed, slog.String("to", to.String()), slog.String("error", err.Error()))
		}
	}
}

// do runs a task on the traffic goroutine and waits for it.
func (t *traffic) do(task func()) {
	done := make(chan struct{})
	t.tasks <- func() { task(); close(done) }
	t.wake()
	<-done
}

// wake ends the traffic goroutine's wait for a packet, so that it takes up new
// tasks and views at once.
func (t *traffic) wake() { _ = t.conn.SetReadDeadline(time.Unix(1, 0)) }

func (t *traffic) runTasks() {
	for {
		select {
		case task := <-t.tasks:
			task()
		default:
			return
		}
	}
}

// stop ends run.
func (t *traffic) stop() {
	t.stopping.Store(true)
	t.wake()
}
