// Package fabric simulates the network between callers and hosts. It sends each
// packet of a flow to a random host in rotation, whatever the flow, and delays,
// drops, duplicates and reorders packets as configured.
package fabric

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"toucangap/standin/exchange"
	"toucangap/standin/inner"
	"toucangap/standin/rotation"
)

// Impairment configures the impairment of packets in both directions. Rates
// are probabilities from 0 to 1.
type Impairment struct {
	// Every packet is delayed by Delay plus a random time up to Jitter.
	Delay, Jitter time.Duration
	// Loss is the rate of dropped packets.
	Loss float64
	// Duplication is the rate of packets that arrive twice.
	Duplication float64
	// Reordering is the rate of packets delayed by an extra ReorderDelay. The
	// second copy of a duplicated packet follows at random within ReorderDelay.
	Reordering   float64
	ReorderDelay time.Duration
}

// Counts holds a fabric's packet counters.
type Counts struct {
	// Sent counts packets from callers, and Received packets for callers, before
	// any loss or duplication.
	Sent     int64 `json:"sent"`
	Received int64 `json:"received"`
	// Lost counts packets dropped in either direction, including those for
	// blocked hosts.
	Lost       int64 `json:"lost"`
	Duplicated int64 `json:"duplicated"`
	Reordered  int64 `json:"reordered"`
	// Malformed counts packets for callers that can't be decoded.
	Malformed int64 `json:"malformed"`
	// Stray counts packets for a caller address and port that are not open.
	Stray int64 `json:"stray"`
	// Overrun counts packets dropped because their caller's queue was full.
	Overrun int64 `json:"overrun"`
}

// Fabric connects callers to hosts. It is safe for concurrent use.
type Fabric struct {
	connection *net.UDPConn
	hosts      *rotation.Rotation
	impairment Impairment
	seed       uint64
	blocked    sync.Map // netip.AddrPort of a host to struct{}

	mu    sync.Mutex
	ports map[netip.AddrPort]*Port
	// random impairs packets to callers.
	random *rand.Rand

	sent, received, lost, duplicated, reordered, malformed, stray, overrun atomic.Int64
}

// socketBuffer is the size in bytes requested for the socket's receive buffer.
const socketBuffer = 4 << 20

// Listen opens a fabric that receives packets for callers at address and sends
// their packets to hosts. The seed determines all random choices.
func Listen(address netip.AddrPort, hosts *rotation.Rotation, impairment Impairment, seed uint64) (*Fabric, error) {
	connection, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, merry.Prepend(err, "fabric")
	}
	if err := connection.SetReadBuffer(socketBuffer); err != nil {
		connection.Close()
		return nil, merry.Prepend(err, "fabric")
	}
	return &Fabric{
		connection: connection,
		hosts:      hosts,
		impairment: impairment,
		seed:       seed,
		ports:      make(map[netip.AddrPort]*Port),
		random:     exchange.Random(seed, "return"),
	}, nil
}

// Address returns the address that receives packets for callers.
func (f *Fabric) Address() netip.AddrPort {
	return f.connection.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Block drops all packets to a host until Unblock is called. The host is named
// by the address at which it receives packets from callers.
func (f *Fabric) Block(host netip.AddrPort) {
	f.blocked.Store(host, struct{}{})
}

// Unblock undoes Block.
func (f *Fabric) Unblock(host netip.AddrPort) {
	f.blocked.Delete(host)
}

// Counts returns the current counters.
func (f *Fabric) Counts() Counts {
	return Counts{
		Sent: f.sent.Load(), Received: f.received.Load(), Lost: f.lost.Load(),
		Duplicated: f.duplicated.Load(), Reordered: f.reordered.Load(),
		Malformed: f.malformed.Load(), Stray: f.stray.Load(), Overrun: f.overrun.Load(),
	}
}

// Serve delivers packets to callers until the context ends or reading fails. It
// closes the fabric's socket when the context ends.
func (f *Fabric) Serve(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { f.connection.Close() })
	defer stop()
	buffer := make([]byte, inner.MaxSize)
	for {
		n, _, err := f.connection.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		f.received.Add(1)
		data := bytes.Clone(buffer[:n])
		f.mu.Lock()
		delays := f.impair(f.random)
		f.mu.Unlock()
		for _, delay := range delays {
			runAfter(delay, func() { f.deliver(data) })
		}
	}
}

// impair returns the delay of each copy of a packet; none if it is dropped.
func (f *Fabric) impair(random *rand.Rand) []time.Duration {
	i := &f.impairment
	// Every packet draws the same count of random numbers, so that a changed rate
	// doesn't change what the other rates do to later packets.
	loss, duplication, reordering := random.Float64(), random.Float64(), random.Float64()
	jitter, duplicateJitter := random.Float64(), random.Float64()
	if loss < i.Loss {
		f.lost.Add(1)
		return nil
	}
	delay := i.Delay + time.Duration(jitter*float64(i.Jitter))
	if reordering < i.Reordering {
		f.reordered.Add(1)
		delay += i.ReorderDelay
	}
	if duplication >= i.Duplication {
		return []time.Duration{delay}
	}
	f.duplicated.Add(1)
	return []time.Duration{delay, delay + time.Duration(duplicateJitter*float64(i.ReorderDelay))}
}

// runAfter runs deliver after a delay.
func runAfter(delay time.Duration, deliver func()) {
	if delay <= 0 {
		deliver()
		return
	}
	time.AfterFunc(delay, deliver)
}

// deliver decodes a packet and queues it for its caller.
func (f *Fabric) deliver(data []byte) {
	p, err := inner.Decode(data)
	if err != nil {
		f.malformed.Add(1)
		return
	}
	f.mu.Lock()
	port, open := f.ports[p.Destination]
	f.mu.Unlock()
	if !open {
		f.stray.Add(1)
		return
	}
	select {
	case port.queue <- p:
	default:
		f.overrun.Add(1)
	}
}
