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
	"toucangap/internal/relay"
	"toucangap/platform"
)

const (
	// receiveBuffer is the socket's buffer in bytes: what arrives while the
	// process waits for its turn on a thin host.
	receiveBuffer = 1 << 20
	// settle is how long the socket has to be empty before a timer counts: what
	// it waits for may have arrived and not been read.
	lateReadWait = 500 * time.Microsecond
	// idleWake is the longest time between two looks at the clock, by which a
	// pause of the process shows.
	maxIdleWait = 250 * time.Millisecond
	// pauseThreshold is the time between two looks at the clock from which the
	// process counts as paused; it is longer than a turn that a thin host may
	// have to wait for.
	pauseThreshold = time.Second
	// startPatience is how long packets are left unread after a start while
	// nothing is known; it is below the first repetition of callers. startStep
	// is how often that is looked at.
	viewWaitLimit    = 150 * time.Millisecond
	viewPollInterval = 2 * time.Millisecond
)

// traffic owns the relay and the socket of callers' packets.
type traffic struct {
	clock    *clock
	conn     *net.UDPConn
	socket   *socket
	lag      lagDetector
	relay    *relay.Relay
	control  *control
	logger   *slog.Logger
	observer *observer
	// callerPort is the port at which callers take packets.
	callerPort uint16
	// questions run on the traffic goroutine, for dumps.
	tasks    chan func()
	stopping atomic.Bool

	view        *catalog.View
	lastRefresh time.Duration
	lastCheck   time.Duration
	// lastSlept is how long the machine has slept in all.
	lastSlept time.Duration
	// lastPacket is when a packet came last, in nanoseconds of the steady clock.
	lastPacket atomic.Int64
	// failures tells that requests have failed since it was last cleared, and
	// lastFailed is their number as seen by look.
	failures   atomic.Bool
	lastFailed int64
	malformed  atomic.Int64
	sendErrors atomic.Int64
	reset      []byte
}

func listenPackets(address netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, merry.Prepend(err, "listen for callers' packets")
	}
	if err := conn.SetReadBuffer(receiveBuffer); err != nil {
		conn.Close()
		return nil, merry.Prepend(err, "set the socket's buffer")
	}
	return conn, nil
}

// run takes packets until stop.
func (t *traffic) run() error {
	frame := make([]byte, platform.IntendedBytes+platform.MaxPacket+1)
	var err error
	if t.socket, err = newSocket(t.conn, t.clock); err != nil {
		return err
	}
	t.waitForView()
	t.lastRefresh = t.clock.Monotonic()
	t.lastCheck, t.lastSlept = t.lastRefresh, t.clock.BootTime()-t.lastRefresh
	for !t.stopping.Load() {
		t.runTasks()
		if err := t.conn.SetReadDeadline(t.deadline()); err != nil {
			return merry.Prepend(err, "set a deadline")
		}
		n, err := t.socket.read(frame[platform.IntendedBytes:])
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

// awaitView leaves packets in the socket until there is something to decide
// them by, for a moment: after a restart that is as long as one call to the
// store takes.
func (t *traffic) waitForView() {
	for waited := time.Duration(0); waited < viewWaitLimit && t.control.view.Load() == nil && !t.stopping.Load(); waited += viewPollInterval {
		time.Sleep(viewPollInterval)
	}
}

// readLate looks once more for a packet after a deadline has passed: a read
// whose deadline is over does not look at the socket.
func (t *traffic) retryRead(frame []byte) (int, error) {
	if err := t.conn.SetReadDeadline(time.Now().Add(lateReadWait)); err != nil {
		return 0, merry.Prepend(err, "set a deadline")
	}
	return t.socket.read(frame[platform.IntendedBytes:])
}

// deadline returns until when to wait for a packet.
func (t *traffic) deadline() time.Time {
	now := t.clock.Monotonic()
	wait := maxIdleWait
	if due, ok := t.relay.NextDue(); ok {
		wait = min(wait, max(0, due-now))
	}
	return t.clock.started.Add(now + wait)
}

// look reads the clock and takes a new view if there is one.
func (t *traffic) refresh() time.Duration {
	now := t.clock.Monotonic()
	if now-t.lastCheck >= maxIdleWait {
		t.checkPause(now)
	}
	t.lastRefresh = now
	t.checkLag(now)
	if failed := t.relay.Failed(); failed != t.lastFailed {
		t.lastFailed = failed
		t.failures.Store(true)
	}
	if v := t.control.view.Load(); v != t.view {
		t.view = v
		t.relay.SetView(now, v)
	}
	return now
}

// checkLag notes when the host falls behind its packets, and when it has caught
// up: meanwhile nothing that it sees tells of endpoints.
func (t *traffic) checkLag(now time.Duration) {
	lagging, changed := t.lag.update(now, t.socket.emptyAt)
	if !changed {
		return
	}
	t.relay.Behind(now, lagging)
	t.observer.lagging(now, lagging, now-t.socket.emptyAt)
}

// checkPause finds out whether the process stood still: either between two
// looks, or while the machine slept and the steady clock stood still as well.
func (t *traffic) checkPause(now time.Duration) {
	slept := t.clock.BootTime() - now
	gap := now - t.lastRefresh + slept - t.lastSlept
	t.lastCheck, t.lastSlept = now, slept
	if gap > pauseThreshold {
		t.relay.Resume(now)
		t.observer.paused(now, gap)
	}
}

func (t *traffic) packet(now time.Duration, frame []byte, n int) {
	t.lastPacket.Store(int64(now))
	frame = frame[:platform.IntendedBytes+n]
	s, err := platform.DecodePacket(frame[platform.IntendedBytes:])
	if err != nil {
		t.malformed.Add(1)
		t.observer.malformed(now, n, err)
		return
	}
	t.relay.Packet(now, s, frame)
}

// Forward implements relay.Output.
func (t *traffic) Forward(e *catalog.Entry, frame []byte) {
	platform.Direct(frame, e.Number, e.Token())
	t.send(frame, e.Address.AddrPort())
}

// Reset implements relay.Output.
func (t *traffic) Reset(flow catalog.Flow, lastAcknowledgement uint32) {
	t.reset = platform.AppendReset(t.reset[:0], flow, lastAcknowledgement)
	caller := flow.Caller.AddrPort().Addr()
	t.send(t.reset, netip.AddrPortFrom(caller, t.callerPort))
}

func (t *traffic) send(datagram []byte, to netip.AddrPort) {
	if _, err := t.conn.WriteToUDPAddrPort(datagram, to); err != nil {
		if t.sendErrors.Add(1) == 1 {
			event.Log(t.logger, event.SendFailed, slog.String("to", to.String()), slog.String("error", err.Error()))
		}
	}
}

// ask runs a question on the traffic goroutine.
func (t *traffic) do(task func()) {
	done := make(chan struct{})
	t.tasks <- func() { task(); close(done) }
	t.wake()
	<-done
}

// wake makes the traffic goroutine look around at once.
func (t *traffic) wake() { _ = t.conn.SetReadDeadline(time.Unix(1, 0)) }

func (t *traffic) runTasks() {
	for {
		select {
		case q := <-t.tasks:
			q()
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
