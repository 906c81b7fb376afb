package peerlink

import (
	"net"

	"github.com/rcrowley/go-metrics"

	"toucangap/internal/peerpb"
)

// meter counts messages and bytes. Frame counters exclude the overhead of yamux,
// TLS and TCP; wire counters include that of yamux and TLS. Rates are computed
// from the difference between two readings.
type meter struct {
	registry     metrics.Registry
	wireSent     metrics.Counter
	wireReceived metrics.Counter
	refused      metrics.Counter
}

// Names of counters. A prefix is followed by the name of a host or message kind
// and a suffix.
const (
	wireSentName     = "peerlink.wire.sent.bytes"
	wireReceivedName = "peerlink.wire.received.bytes"
	refusedName      = "peerlink.refused.connections"
	hostPrefix       = "peerlink.host."
	kindPrefix       = "peerlink.kind."
)

// Suffixes of the counters kept per host and per message kind.
const (
	sentBytes        = ".sent.bytes"
	sentMessages     = ".sent.messages"
	receivedBytes    = ".received.bytes"
	receivedMessages = ".received.messages"
	droppedMessages  = ".dropped.messages"
)

func newMeter(registry metrics.Registry) *meter {
	return &meter{
		registry:     registry,
		wireSent:     metrics.GetOrRegisterCounter(wireSentName, registry),
		wireReceived: metrics.GetOrRegisterCounter(wireReceivedName, registry),
		refused:      metrics.GetOrRegisterCounter(refusedName, registry),
	}
}

func (m *meter) sent(host string, f frame) {
	size := int64(len(f.bytes))
	m.add(hostPrefix+host, sentBytes, size)
	m.add(hostPrefix+host, sentMessages, 1)
	m.add(kindPrefix+f.kind, sentBytes, size)
	m.add(kindPrefix+f.kind, sentMessages, 1)
}

func (m *meter) received(host string, envelope *peerpb.Envelope) {
	size, name := int64(frameSize(envelope)), kind(envelope)
	m.add(hostPrefix+host, receivedBytes, size)
	m.add(hostPrefix+host, receivedMessages, 1)
	m.add(kindPrefix+name, receivedBytes, size)
	m.add(kindPrefix+name, receivedMessages, 1)
}

func (m *meter) dropped(host string) {
	m.add(hostPrefix+host, droppedMessages, 1)
}

func (m *meter) add(prefix, suffix string, n int64) {
	metrics.GetOrRegisterCounter(prefix+suffix, m.registry).Inc(n)
}

// value returns the value of a counter, or 0 if it does not exist yet.
func (m *meter) value(name string) int64 {
	if c, ok := m.registry.Get(name).(metrics.Counter); ok {
		return c.Count()
	}
	return 0
}

// unregister removes the counters of a host that is no longer a peer.
func (m *meter) unregister(host string) {
	for _, suffix := range []string{sentBytes, sentMessages, receivedBytes, receivedMessages, droppedMessages} {
		m.registry.Unregister(hostPrefix + host + suffix)
	}
}

// countBytes wraps a connection to count its bytes.
func (m *meter) countBytes(conn net.Conn) net.Conn {
	return &countedConn{Conn: conn, meter: m}
}

type countedConn struct {
	net.Conn
	meter *meter
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.wireReceived.Inc(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.wireSent.Inc(int64(n))
	return n, err
}
