package site

import (
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"

	"toucangap/platform"
	"toucangap/standin/ends"
)

// Endpoint is an endpoint that registers in the store.
type Endpoint struct {
	ends.Endpoint
	// Link carries packets from hosts.
	Link *PacketLink

	site     *Site
	id       string
	domain   string
	conn     *net.UDPConn
	draining bool
	gone     bool
	born     int64
	// harmedUntil is until when the rules on flows allow for faults of it.
	harmedUntil time.Duration
}

// entry is an endpoint's entry in the store.
type entry struct {
	Service         string
	Address         string
	Zone            string
	Version         string
	Slots           int
	State           string
	ColdRemainingMs int
	Sequence        int
	Born            int64 `json:"born"`
}

// AddEndpoint starts an endpoint.
func (s *Site) AddEndpoint(service, domain string) (*Endpoint, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.endpoints) + 1
	own := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 3, byte(n >> 8), byte(n)}), uint16(s.Options.Port))
	proxy := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 6, byte(n >> 8), byte(n)}), uint16(s.Options.Port))
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(own))
	if err != nil {
		return nil, merry.Prepend(err, "listen for an endpoint")
	}
	link, err := s.newPacketLink(proxy, own)
	if err != nil {
		conn.Close()
		return nil, err
	}
	e := &Endpoint{
		Endpoint: ends.Endpoint{Number: uint64(n) + 0x1000, Service: service, Slots: 2, Queue: 8, Key: s.key, Ledger: s.ledger, Slow: 1},
		Link:     link,
		site:     s, id: fmt.Sprintf("i-%x", n+0x1000), domain: domain, conn: conn, born: time.Now().UnixMilli(),
	}
	s.endpoints = append(s.endpoints, e)
	e.register()
	s.wait.Go(e.read)
	return e, nil
}

func (e *Endpoint) read() {
	b := make([]byte, 2048)
	for {
		n, err := e.conn.Read(b)
		if err != nil {
			return
		}
		if n < platform.IntendedBytes {
			continue
		}
		var intended uint64
		for _, x := range b[:platform.IntendedBytes] {
			intended = intended<<8 | uint64(x)
		}
		packet := append([]byte(nil), b[platform.IntendedBytes:n]...)
		e.site.mu.Lock()
		e.send(e.Receive(e.site.now(), intended, packet))
		e.site.mu.Unlock()
	}
}

// send carries packets to the callers that they name.
func (e *Endpoint) send(packets [][]byte) {
	for _, p := range packets {
		s, err := platform.Decode(p)
		if err != nil {
			continue
		}
		caller := netip.AddrPortFrom(s.Flow.Service.AddrPort().Addr(), uint16(e.site.Options.Port))
		_, _ = e.conn.WriteToUDPAddrPort(p, caller)
	}
}

// register writes the entry, which lapses after three heartbeats.
func (e *Endpoint) register() {
	if e.gone || e.Down {
		return
	}
	state := "ready"
	if e.draining {
		state = "draining"
	}
	value, err := json.Marshal(entry{
		Service: e.Service, Address: e.Link.From.String(), Zone: e.domain, Version: "v1", Slots: e.Slots,
		State: state, Born: e.born,
	})
	if err != nil {
		panic(err) // the entry has no value that JSON can't hold
	}
	e.site.Store.Put("servers/"+e.id, value, 3*heartbeat)
}

// beat renews all entries.
func (s *Site) beat() {
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

// Usable reports whether the endpoint runs and stays.
func (e *Endpoint) Usable() bool { return !e.gone && !e.draining && !e.Down }

// harm notes that the endpoint or its link is harmed for a span.
func (e *Endpoint) harm(span time.Duration) {
	e.harmedUntil = max(e.harmedUntil, e.site.now()+span+stable)
}

// Crash makes the endpoint dark for a span; it forgets its flows.
func (e *Endpoint) Crash(span time.Duration) {
	e.harm(span)
	e.Restart()
	e.Down = true
	time.AfterFunc(span, func() {
		e.site.mu.Lock()
		defer e.site.mu.Unlock()
		e.Down = false
		e.born = time.Now().UnixMilli()
		e.register()
	})
}

// Drain reports that the endpoint leaves; it serves on for a while.
func (e *Endpoint) Drain() {
	e.draining = true
	e.LeavesAt = e.site.now() + DrainBound
	e.register()
	time.AfterFunc(DrainBound+2*time.Second, func() {
		e.site.mu.Lock()
		defer e.site.mu.Unlock()
		e.gone = true
		e.harm(0)
		e.site.Store.Remove("servers/" + e.id)
	})
}

// SlowDown multiplies the endpoint's work.
func (e *Endpoint) SlowDown(factor float64) { e.Slow = factor }

// FailRequests makes the endpoint answer a share of its requests, in 256ths, with
// errors, and leave another share unanswered, for a span.
func (e *Endpoint) FailRequests(errs, hangs uint8, span time.Duration) {
	e.Errs, e.Fails = errs, hangs
	time.AfterFunc(span, func() {
		e.site.mu.Lock()
		defer e.site.mu.Unlock()
		e.Errs, e.Fails = 0, 0
	})
}

// HarmLink harms the packets from hosts for a span.
func (e *Endpoint) HarmLink(h Harm, span time.Duration) {
	e.harm(span)
	e.Link.Set(h, span)
}

func (e *Endpoint) close() {
	_ = e.conn.Close()
	e.Link.close()
}
