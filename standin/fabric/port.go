package fabric

import (
	"math/rand/v2"
	"net/netip"

	"github.com/ansel1/merry/v2"

	"toucangap/standin/exchange"
	"toucangap/standin/inner"
)

// arrivalQueueSize is the maximum number of packets queued for a caller; more
// are dropped and counted as overrun.
const arrivalQueueSize = 64

// ErrAddressInUse is returned for a caller address that is already open.
var ErrAddressInUse = merry.Sentinel("caller address in use")

// Port connects one caller address and port to the fabric. It is not safe for
// concurrent use.
type Port struct {
	fabric  *Fabric
	address netip.AddrPort
	random  *rand.Rand
	queue   chan inner.Packet
}

// Open opens a Port for a caller's address and UDP or TCP port. It returns
// ErrAddressInUse if they are open already.
func (f *Fabric) Open(address netip.AddrPort) (*Port, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, open := f.ports[address]; open {
		return nil, merry.Appendf(ErrAddressInUse, "%s", address)
	}
	port := &Port{
		fabric:  f,
		address: address,
		random:  exchange.Random(f.seed, address.String()),
		queue:   make(chan inner.Packet, arrivalQueueSize),
	}
	f.ports[address] = port
	return port, nil
}

// Address returns the caller's address and port.
func (p *Port) Address() netip.AddrPort {
	return p.address
}

// Arrivals returns the channel of packets for the caller.
func (p *Port) Arrivals() <-chan inner.Packet {
	return p.queue
}

// Send sends a packet from the caller; each copy goes to a randomly picked host.
// It overwrites the packet's source, and returns an error only if the packet
// can't be encoded: lost packets are not reported.
func (p *Port) Send(packet inner.Packet) error {
	packet.Source = p.address
	data, err := inner.Encode(packet)
	if err != nil {
		return err
	}
	f := p.fabric
	f.sent.Add(1)
	for _, delay := range f.impair(p.random) {
		host := f.hosts.Pick(p.random)
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

// Close releases the caller's address and port. Packets that arrive for them
// later count as stray.
func (p *Port) Close() {
	p.fabric.mu.Lock()
	defer p.fabric.mu.Unlock()
	delete(p.fabric.ports, p.address)
}
