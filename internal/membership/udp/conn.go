// Package udp carries membership probes over a UDP socket. A goroutine decodes
// incoming datagrams and hands them to the control goroutine, which owns the
// membership view and sends the view's datagrams through the same socket, so
// that peers' acks come back to the address that they know.
//
// With a key that all hosts share, each datagram starts with a message
// authentication code, and datagrams without a valid one are dropped. Without a
// key every sender is trusted, which is for networks that only hosts of the
// system can send to. There is no replay protection: a replayed datagram has the
// same effect as a delayed one.
package udp

import (
	"cmp"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rcrowley/go-metrics"

	"toucangap/internal/event"
	"toucangap/internal/membership"
	"toucangap/internal/peerpb"
)

const (
	// packetBuffer is the capacity of the packet channel; excess packets are
	// dropped and counted, as a full socket buffer would drop them.
	packetBuffer = 256
	// readErrorDelay is the wait after a failed read.
	readErrorDelay = 50 * time.Millisecond
	// logInterval is the minimum time between two log lines of the same kind.
	logInterval = 10 * time.Second
)

// Packet is a decoded datagram.
type Packet struct {
	From  netip.AddrPort
	Probe *peerpb.Probe
}

// Options configures a Conn.
type Options struct {
	// Address is the UDP address to listen on.
	Address netip.AddrPort
	// Key authenticates the datagrams between all hosts; empty means none.
	Key []byte
	// Logger receives the events of the package; nil means slog.Default.
	Logger *slog.Logger
	// Registry receives the counters, under "probe."; nil means a private
	// registry. They count bytes without IP and UDP headers.
	Registry metrics.Registry
}

// Conn sends and receives membership probes on a UDP socket.
type Conn struct {
	codec   codec
	socket  *net.UDPConn
	packets chan Packet
	logger  *slog.Logger
	running sync.WaitGroup
	closed  chan struct{}

	sentBytes, sentDatagrams, sendErrors       metrics.Counter
	receivedBytes, received, rejected, dropped metrics.Counter
	rejectedLog, failedLog                     logLimiter
}

// Listen binds the address and starts receiving.
func Listen(options Options) (*Conn, error) {
	logger := cmp.Or(options.Logger, slog.Default())
	registry := options.Registry
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(options.Address))
	if err != nil {
		return nil, merry.Prepend(err, "listen for probes")
	}
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("probe."+name, registry)
	}
	c := &Conn{
		codec:         codec{key: options.Key},
		socket:        socket,
		packets:       make(chan Packet, packetBuffer),
		logger:        logger,
		closed:        make(chan struct{}),
		sentBytes:     counter("sent.bytes"),
		sentDatagrams: counter("sent.datagrams"),
		sendErrors:    counter("sent.errors"),
		receivedBytes: counter("received.bytes"),
		received:      counter("received.datagrams"),
		rejected:      counter("received.malformed"),
		dropped:       counter("received.dropped"),
	}
	c.running.Go(c.receiveLoop)
	return c, nil
}

// Address returns the bound address.
func (c *Conn) Address() netip.AddrPort {
	return c.socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Packets returns the channel of received packets. It is never closed.
func (c *Conn) Packets() <-chan Packet {
	return c.packets
}

// Send writes the datagrams. Failures are counted, not returned, since the
// protocol treats an unsent datagram like a lost one.
func (c *Conn) Send(sends []membership.Datagram) {
	for _, s := range sends {
		c.sendOne(s)
	}
}

func (c *Conn) sendOne(s membership.Datagram) {
	b, err := c.codec.encode(s.Probe)
	if err == nil {
		_, err = c.socket.WriteToUDPAddrPort(b, s.To)
	}
	if err != nil {
		c.sendErrors.Inc(1)
		return
	}
	c.sentBytes.Inc(int64(len(b)))
	c.sentDatagrams.Inc(1)
}

// Close closes the socket and waits for the receiving goroutine.
func (c *Conn) Close() error {
	close(c.closed)
	err := c.socket.Close()
	c.running.Wait()
	return err
}

func (c *Conn) receiveLoop() {
	buffer := make([]byte, tagBytes+membership.MaxProbeBytes+1)
	for {
		n, from, err := c.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			c.readFailed(err)
			continue
		}
		c.receive(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buffer[:n])
	}
}

func (c *Conn) receive(from netip.AddrPort, b []byte) {
	c.received.Inc(1)
	c.receivedBytes.Inc(int64(len(b)))
	probe, ok := c.codec.decode(b)
	if !ok {
		c.reject(from)
		return
	}
	select {
	case c.packets <- Packet{From: from, Probe: probe}:
	default:
		c.dropped.Inc(1)
	}
}

func (c *Conn) reject(from netip.AddrPort) {
	c.rejected.Inc(1)
	if c.rejectedLog.allow(time.Now()) {
		event.Log(c.logger, event.ProbeRefused, slog.String("address", from.String()))
	}
}

func (c *Conn) readFailed(err error) {
	if c.failedLog.allow(time.Now()) {
		event.Log(c.logger, event.ProbeSocketFailed, slog.String("error", err.Error()))
	}
	select {
	case <-time.After(readErrorDelay):
	case <-c.closed:
	}
}

// logLimiter limits the rate of log lines.
type logLimiter struct {
	next time.Time
}

func (l *logLimiter) allow(now time.Time) bool {
	if now.Before(l.next) {
		return false
	}
	l.next = now.Add(logInterval)
	return true
}
