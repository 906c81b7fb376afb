package relayd

import (
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"toucangap/internal/event"
	"toucangap/internal/holders"
)

// notices carries notices on flows between this host and others, over UDP. Its exchange is for
// use by the traffic goroutine.
type notices struct {
	exchange *holders.Exchange
	conn     *net.UDPConn
	traffic  *traffic
	// buffer is reused for sending.
	buffer []byte
	// waiting holds the notices that the traffic goroutine has not handled yet. After a
	// pause of the process there are many, and SYNs must not fail over before they are read.
	mu      sync.Mutex
	waiting []received
	filled  atomic.Bool
	// ignored counts datagrams that are no notices, sendErrors notices that were not sent.
	ignored    atomic.Int64
	sendErrors atomic.Int64
}

// received is a notice and the address that it came from.
type received struct {
	notice holders.Notice
	from   netip.AddrPort
}

// readRetryDelay is the wait after a failed read.
const readRetryDelay = 100 * time.Millisecond

// maxWaiting limits the notices that wait; excess ones are dropped.
const maxWaiting = 10_000

// newNotices binds the socket for notices.
func newNotices(address netip.AddrPort, t *traffic) (*notices, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, merry.Prepend(err, "listen for notices")
	}
	n := &notices{conn: conn, traffic: t}
	n.exchange = holders.NewExchange(n)
	t.notices = n
	return n, nil
}

// secret returns the hosts' shared secret, nil if it is not known yet.
func (n *notices) secret() []byte {
	if secret := n.traffic.control.noticeSecret.Load(); secret != nil {
		return *secret
	}
	return nil
}

// run passes other hosts' notices to the traffic goroutine until the socket is closed. The
// host works without them, so that a failed read does not end it.
func (n *notices) run() {
	datagram := make([]byte, holders.DatagramBytes+1)
	for {
		length, from, err := n.conn.ReadFromUDPAddrPort(datagram)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			n.ignore(from, err)
			time.Sleep(readRetryDelay)
			continue
		}
		notice, err := holders.Decode(datagram[:length], n.secret())
		if err != nil {
			n.ignore(from, err)
			continue
		}
		n.add(received{notice, netip.AddrPortFrom(from.Addr().Unmap(), from.Port())})
	}
}

// ignore counts a datagram that could not be read or is no notice; only the first one is
// logged.
func (n *notices) ignore(from netip.AddrPort, err error) {
	if n.ignored.Add(1) == 1 {
		event.Log(n.traffic.logger, event.NoticeIgnored, slog.String("from", from.String()), slog.String("error", err.Error()))
	}
}

// add queues a notice for the traffic goroutine.
func (n *notices) add(r received) {
	n.mu.Lock()
	if len(n.waiting) < maxWaiting {
		n.waiting = append(n.waiting, r)
	}
	n.mu.Unlock()
	if !n.filled.Swap(true) {
		n.traffic.wake()
	}
}

// handleWaiting handles the notices that wait. It runs on the traffic goroutine.
func (n *notices) handleWaiting(now time.Duration) {
	if !n.filled.Swap(false) {
		return
	}
	n.mu.Lock()
	list := n.waiting
	n.waiting = nil
	n.mu.Unlock()
	for _, r := range list {
		n.exchange.Receive(now, r.from, r.notice)
	}
}

// Send implements holders.Output.
func (n *notices) Send(to netip.AddrPort, notice holders.Notice) {
	secret := n.secret()
	if len(secret) == 0 {
		return
	}
	var err error
	if n.buffer, err = holders.Encode(n.buffer[:0], secret, notice); err == nil {
		_, err = n.conn.WriteToUDPAddrPort(n.buffer, to)
	}
	if err != nil && n.sendErrors.Add(1) == 1 {
		event.Log(n.traffic.logger, event.SendFailed, slog.String("to", to.String()), slog.String("error", err.Error()))
	}
}

// Reported implements holders.Output.
func (n *notices) Reported(now time.Duration, notice holders.Notice) {
	n.traffic.relay.HolderReported(now, notice)
}

// close ends run.
func (n *notices) close() { _ = n.conn.Close() }
