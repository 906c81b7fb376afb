package site

import (
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"

	"toucangap/internal/catalog"
	"toucangap/platform"
	"toucangap/standin/ends"
)

// Endpoint is an endpoint that registers in the store.
type Endpoint struct {
	ends.Endpoint
	// Link is the proxy for packets from hosts.
	Link *PacketLink

	site        *Site
	id          string
	domain      string
	conn        *net.UDPConn
	draining    bool
	removed     bool  // from the store, for good
	startedAtMs int64 // Unix time
	// checksSuspendedUntil is when the checks of its flows apply again after a fault.
	checksSuspendedUntil time.Duration
	cold                 coldStart
	// entryDelay is the time from the end of a crash until the entry is written again,
	// registersAt when that is.
	entryDelay  time.Duration
	registersAt time.Duration
	// reportedLate and notedLate hold the hosts for which a late flow after the drain has been
	// recorded as a violation, and as a note.
	reportedLate, notedLate map[*Host]bool
	// excused holds the flows that hosts not in touch sent after the drain deadline.
	excused map[catalog.Flow]bool
}

// entry is an endpoint's entry in the store; its fields are encoded by name.
type entry struct {
	Service         string
	Address         string
	Zone            string
	Version         string
	Slots           int
	State           string
	ColdRemainingMs int64
	Sequence        int
	Born            int64 `json:"born"`
}

// AddEndpoint starts an endpoint in a domain and registers it in the store.
func (s *Site) AddEndpoint(service, domain string) (*Endpoint, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, err := s.addEndpoint(service, domain)
	if err == nil {
		e.startCold()
		e.register()
	}
	return e, err
}

// addEndpoint starts an endpoint that is warm and not registered.
func (s *Site) addEndpoint(service, domain string) (*Endpoint, error) {
	n := len(s.endpoints) + 1
	own := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 3, byte(n >> 8), byte(n)}), uint16(s.Options.Port))
	proxy := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 6, byte(n >> 8), byte(n)}), uint16(s.Options.Port))
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(own))
	if err != nil {
		return nil, merry.Prepend(err, "listen on an endpoint address")
	}
	link, err := s.newPacketLink(proxy, own)
	if err != nil {
		conn.Close()
		return nil, err
	}
	e := &Endpoint{
		Endpoint: ends.Endpoint{Number: uint64(n) + 0x1000, Service: service, Slots: 2, Queue: 8, Key: s.key, Ledger: s.ledger, WorkFactor: 1},
		Link:     link,
		site:     s, id: fmt.Sprintf("i-%x", n+0x1000), domain: domain, conn: conn, startedAtMs: time.Now().UnixMilli(),
		reportedLate: make(map[*Host]bool), notedLate: make(map[*Host]bool), excused: make(map[catalog.Flow]bool),
	}
	s.endpoints = append(s.endpoints, e)
	s.wait.Go(e.read)
	s.wait.Go(func() {
		link.run(func(from netip.AddrPort, datagram []byte) { s.checkNewFlow(e, from, datagram) })
	})
	return e, nil
}

func (e *Endpoint) read() {
	b := make([]byte, 2048)
	for {
		n, err := e.conn.Read(b)
		if err != nil {
			return
		}
		if n < platform.RecipientBytes {
			continue
		}
		var recipient uint64
		for _, x := range b[:platform.RecipientBytes] {
			recipient = recipient<<8 | uint64(x)
		}
		packet := append([]byte(nil), b[platform.RecipientBytes:n]...)
		e.site.mu.Lock()
		now, before, late := e.site.now(), e.Flows(), e.Ledger.LateFlows
		e.send(e.Receive(now, recipient, packet))
		if e.Ledger.LateFlows > late {
			e.countExcused(packet)
		}
		if e.Flows() > before {
			e.countNewFlow(now)
		}
		e.site.mu.Unlock()
	}
}

// send sends packets to the callers that they are addressed to.
func (e *Endpoint) send(packets [][]byte) {
	for _, p := range packets {
		s, err := platform.Decode(p)
		if err != nil {
			continue
		}
		caller := netip.AddrPortFrom(s.Flow.Destination.AddrPort().Addr(), uint16(e.site.Options.Port))
		_, _ = e.conn.WriteToUDPAddrPort(p, caller)
	}
}

// register writes the store entry, or renews it if it is unchanged. It expires
// after three heartbeats.
func (e *Endpoint) register() {
	if e.removed || e.Down || e.site.now() < e.registersAt {
		return
	}
	state := "ready"
	if e.draining {
		state = "draining"
	}
	value, err := json.Marshal(entry{
		Service: e.Service, Address: e.Link.Address.String(), Zone: e.domain, Version: "v1", Slots: e.Slots,
		State: state, Born: e.startedAtMs, ColdRemainingMs: e.coldRemaining().Milliseconds(),
	})
	if err != nil {
		panic(err) // all fields of the entry can be marshaled
	}
	accepted := e.site.Store.Put("servers/"+e.id, value, 3*heartbeat)
	if accepted && e.draining && e.DrainDeadline == 0 {
		e.drainAccepted()
	}
}

// renewEntries renews the store entries of all endpoints.
func (s *Site) renewEntries() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.endpoints {
		e.register()
	}
}

// Endpoints calls f for each endpoint under the site's lock.
func (s *Site) Endpoints(f func(e *Endpoint)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.endpoints {
		f(e)
	}
}

// Usable reports whether the endpoint is neither down nor draining nor removed.
func (e *Endpoint) Usable() bool { return !e.removed && !e.draining && !e.Down }

// suspendChecks suspends the checks of the endpoint's flows for the span of a fault
// and the stabilization after it.
func (e *Endpoint) suspendChecks(span time.Duration) {
	e.checksSuspendedUntil = max(e.checksSuspendedUntil, e.site.now()+span+stabilization)
}

// Crash discards the endpoint's flows and makes it ignore all packets for a span.
// Its entry is not renewed meanwhile.
func (e *Endpoint) Crash(span time.Duration) {
	e.suspendChecks(span)
	e.Restart()
	e.Down = true
	time.AfterFunc(span, func() {
		e.site.mu.Lock()
		defer e.site.mu.Unlock()
		e.Down = false
		e.startedAtMs = time.Now().UnixMilli()
		e.startCold()
		e.registersAt, e.entryDelay = e.site.now()+e.entryDelay, 0
		e.register()
	})
}

// Drain marks the endpoint as draining; it continues to serve. Its entry is removed
// from the store 2 s after DrainBound.
func (e *Endpoint) Drain() {
	e.draining = true
	e.register()
}

// drainAccepted sets the deadline for new flows, which counts from the store's acceptance
// of the report, or is when hosts are in touch again after they could not read it, and
// removes the endpoint some time after it.
func (e *Endpoint) drainAccepted() {
	now := e.site.now()
	e.DrainDeadline = max(now+DrainBound, e.site.readsHarmedUntil)
	time.AfterFunc(e.DrainDeadline-now+2*time.Second, func() {
		e.site.mu.Lock()
		defer e.site.mu.Unlock()
		e.removed = true
		e.suspendChecks(0)
		e.site.Store.Remove("servers/" + e.id)
	})
}

// SlowDown sets the factor by which the endpoint's work is multiplied.
func (e *Endpoint) SlowDown(factor float64) { e.WorkFactor = factor }

// FailRequests makes the endpoint, for a span, answer the share errs of its
// requests with errors and leave the share hangs unanswered, both in 256ths.
func (e *Endpoint) FailRequests(errs, hangs uint8, span time.Duration) {
	e.ErrorShare, e.HangShare = errs, hangs
	time.AfterFunc(span, func() {
		e.site.mu.Lock()
		defer e.site.mu.Unlock()
		e.ErrorShare, e.HangShare = 0, 0
	})
}

// ImpairLink impairs the link for packets from hosts for a span.
func (e *Endpoint) ImpairLink(imp Impairment, span time.Duration) {
	e.suspendChecks(span)
	e.Link.Set(imp, span)
}

func (e *Endpoint) close() {
	_ = e.conn.Close()
	e.Link.close()
}
