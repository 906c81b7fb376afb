package fabric

import (
	"math/rand/v2"
	"net/netip"

	"github.com/ansel1/merry/v2"

	"toucangap/standin/exchange"
	"toucangap/standin/inner"
)

// arrivalQueueSize bounds the packets queued for a caller.
const arrivalQueueSize = 64

// ErrAddressInUse is returned for a caller address that is already open.
var ErrAddressInUse = merry.Sentinel("caller address in use")

// Line connects one caller address and port to the fabric. It is not safe for
// concurrent use.
type Line struct {
	fabric  *Fabric
	address netip.AddrPort
	random  *rand.Rand
	queue   chan inner.Packet
}

// Open opens a line for a caller's address and port.
func (f *Fabric) Open(address netip.AddrPort) (*Line, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, open := f.lines[address]; open {
		return nil, merry.Appendf(ErrAddressInUse, "%s", address)
	}
	line := &Line{
		fabric:  f,
		address: address,
		random:  exchange.Random(f.seed, address.String()),
		queue:   make(chan inner.Packet, arrivalQueueSize),
	}
	f.lines[address] = line
	return line, nil
}

// Address returns the caller's address and port.
func (l *Line) Address() netip.AddrPort {
	return l.address
}

// Arrivals returns the channel of packets for the caller.
func (l *Line) Arrivals() <-chan inner.Packet {
	return l.queue
}

// Send sends a packet; each copy goes to a randomly picked host.
func (l *Line) Send(p inner.Packet) error {
	p.Source = l.address
	data, err := inner.Encode(p)
	if err != nil {
		return err
	}
	f := l.fabric
	f.sent.Add(1)
	for _, delay := range f.impair(l.random) {
		host := f.hosts.Pick(l.random)
		runAfter(delay, func() { f.transmit(data, host) })
	}
	return nil
}

// transmit sends a packet to a host, unless the host is blocked.
func (f *Fabric) transmit(data []byte, host netip.AddrPort) {
	if _, blocked := f.blocked.Load(host); blocked {
		f.lost.Add(1)
		return
	}
	// Write errors are ignored: callers retransmit lost packets.
	_, _ = f.connection.WriteToUDPAddrPort(data, host)
}

// Close releases the caller's address and port.
func (l *Line) Close() {
	l.fabric.mu.Lock()
	defer l.fabric.mu.Unlock()
	delete(l.fabric.lines, l.address)
}
