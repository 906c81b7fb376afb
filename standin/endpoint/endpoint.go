// Package endpoint simulates the users' endpoints: it serves CoAP and TCP requests
// over the encapsulation that hosts use, and injects faults on command.
package endpoint

import (
	"bytes"
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"toucangap/standin/exchange"
	"toucangap/standin/inner"
	"toucangap/standin/rotation"
	"toucangap/standin/topology"
)

// Identity identifies an endpoint and its service.
type Identity struct {
	Name    string
	Service string
	Domain  string
	// Advertised is the service's address and port, to which callers send.
	Advertised netip.AddrPort
	Protocol   topology.Protocol
}

// Endpoint is a simulated endpoint of one service. It is safe for concurrent use.
type Endpoint struct {
	Identity
	socket *net.UDPConn
	hosts  *rotation.Rotation
	config Config

	mu        sync.Mutex
	random    *rand.Rand
	condition Condition
	runLog    *runLog
	pool      *pool
	coap      *coapServer
	stream    *streamServer
}

// Listen opens an endpoint's socket on its address.
func Listen(id Identity, address netip.AddrPort, config Config, hosts *rotation.Rotation) (*Endpoint, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, merry.Prependf(err, "endpoint %s", id.Name)
	}
	e := &Endpoint{
		Identity:  id,
		socket:    socket,
		hosts:     hosts,
		config:    config,
		random:    exchange.Random(config.Seed, id.Name),
		condition: newCondition(),
		runLog:    newRunLog(),
	}
	e.discardState()
	return e, nil
}

// Address returns the address that the endpoint listens on.
func (e *Endpoint) Address() netip.AddrPort {
	return e.socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// discardState discards all flows and requests in progress.
func (e *Endpoint) discardState() {
	if e.pool == nil {
		e.pool = &pool{endpoint: e}
	}
	e.pool.reset()
	e.coap = newCoAPServer(e)
	e.stream = newStreamServer(e)
}

// Serve processes packets until the context is canceled.
func (e *Endpoint) Serve(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { e.socket.Close() })
	defer stop()
	buffer := make([]byte, inner.MaxSize)
	for {
		n, _, err := e.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		e.receive(bytes.Clone(buffer[:n]))
	}
}

// receive handles a datagram from a host and may retain data.
func (e *Endpoint) receive(data []byte) {
	p, err := inner.Decode(data)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runLog.counts.Packets++
	switch {
	case err != nil:
		e.runLog.counts.Malformed++
	case e.condition.drops(p.Source):
		e.runLog.counts.Lost++
	case e.Protocol == topology.UDP && p.Kind == inner.Datagram:
		e.coap.handle(p)
	case e.Protocol == topology.TCP && p.Kind == inner.Segment && p.Destination == e.Advertised:
		e.stream.handle(p)
	default:
		e.runLog.recordMisdirected(p.Destination.String())
	}
}

// send sends a datagram to a caller.
func (e *Endpoint) send(service, caller netip.AddrPort, payload []byte) {
	e.transmit(inner.Packet{Kind: inner.Datagram, Source: service, Destination: caller, Payload: payload})
}

// transmit sends a packet to a random host in rotation, unless a fault drops it.
func (e *Endpoint) transmit(p inner.Packet) {
	if e.condition.drops(p.Destination) {
		return
	}
	data, err := inner.Encode(p)
	if err != nil {
		e.runLog.counts.Malformed++
		return
	}
	// A send error counts as a lost packet; the caller retransmits.
	_, _ = e.socket.WriteToUDPAddrPort(data, e.hosts.Pick(e.random))
}

// maxServiceTimeMeans limits a random service time, in multiples of the mean,
// before the factors of faults apply.
const maxServiceTimeMeans = 6

// serviceTime returns an exponentially distributed service time, determined by
// the seed and the request ID, times the present factor.
func (e *Endpoint) serviceTime(id string) time.Duration {
	random := exchange.Random(e.config.Seed, id)
	means := min(random.ExpFloat64(), maxServiceTimeMeans) * e.condition.serviceTimeFactor()
	return time.Duration(means * float64(e.config.ServiceTime))
}

// Apply executes a command, whatever endpoint it names. It fails with
// ErrUnknownCommand.
func (e *Endpoint) Apply(command Command) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.condition.apply(command); err != nil {
		return err
	}
	if command.Verb == Crash {
		e.discardState()
	}
	return nil
}

// Dump is a snapshot of an endpoint's state.
type Dump struct {
	Name      string    `json:"name"`
	Service   string    `json:"service"`
	Domain    string    `json:"domain"`
	Condition Condition `json:"condition"`
	// Flows counts open flows; Running and Waiting count requests.
	Flows   int    `json:"flows"`
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
	Counts  Counts `json:"counts"`
	// Openings lists the last 50 flows opened.
	Openings []Opening `json:"openings,omitempty"`
	// Misdirected lists the first 100 requests (by ID) and packets (by
	// destination address) for another service.
	Misdirected []string `json:"misdirected,omitempty"`
	Runs        []Run    `json:"runs,omitempty"`
	// Truncated tells that Runs is not complete.
	Truncated bool `json:"truncated,omitempty"`
}

// Dump returns the endpoint's state with at most limit runs, sorted by ID.
func (e *Endpoint) Dump(limit int) Dump {
	d := e.snapshot()
	slices.SortFunc(d.Runs, func(a, b Run) int { return cmp.Compare(a.ID, b.ID) })
	if len(d.Runs) > limit {
		d.Runs, d.Truncated = d.Runs[:limit], true
	}
	return d
}

// snapshot returns the endpoint's state with all runs.
func (e *Endpoint) snapshot() Dump {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.coap.expire(time.Now())
	return Dump{
		Name: e.Name, Service: e.Service, Domain: e.Domain,
		Condition:   e.condition,
		Flows:       e.coap.open() + e.stream.open(),
		Running:     e.pool.running,
		Waiting:     len(e.pool.waiting),
		Counts:      e.runLog.counts,
		Openings:    slices.Clone(e.runLog.openings),
		Misdirected: slices.Clone(e.runLog.misdirected),
		Runs:        e.runLog.list(),
		Truncated:   e.runLog.counts.Forgotten > 0,
	}
}
