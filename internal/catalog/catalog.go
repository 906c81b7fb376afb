// Package catalog holds what a host knows of routes and endpoints: the typed
// values that decoders fill, and immutable views of them. Nothing here reads a
// socket or a clock.
package catalog

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Address is an IPv4 address and port, small enough for the key of a flow.
type Address struct {
	IP   uint32
	Port uint16
}

// AddressFrom converts an IPv4 address and port; ok is false for others.
func AddressFrom(a netip.AddrPort) (address Address, ok bool) {
	ip := a.Addr().Unmap()
	if !ip.Is4() {
		return Address{}, false
	}
	b := ip.As4()
	n := uint32(b[0])<<24 | uint32(b[1])<<16 | uint32(b[2])<<8 | uint32(b[3])
	return Address{IP: n, Port: a.Port()}, true
}

// AddrPort converts the address for sockets and log lines.
func (a Address) AddrPort() netip.AddrPort {
	ip := netip.AddrFrom4([4]byte{byte(a.IP >> 24), byte(a.IP >> 16), byte(a.IP >> 8), byte(a.IP)})
	return netip.AddrPortFrom(ip, a.Port)
}

// String renders the address as "192.0.2.1:443".
func (a Address) String() string { return a.AddrPort().String() }

// Flow names one flow by its two ends.
type Flow struct {
	Caller Address
	// Service is the address that the caller sends to.
	Service Address
}

// Hash spreads flows evenly; all hosts compute the same value.
func (f Flow) Hash() uint64 {
	var b [12]byte
	put32(b[0:], f.Caller.IP)
	put32(b[4:], f.Service.IP)
	b[8], b[9] = byte(f.Caller.Port), byte(f.Caller.Port>>8)
	b[10], b[11] = byte(f.Service.Port), byte(f.Service.Port>>8)
	return xxhash.Sum64(b[:])
}

func put32(b []byte, v uint32) {
	b[0], b[1], b[2], b[3] = byte(v), byte(v>>8), byte(v>>16), byte(v>>24)
}

// String renders the flow as "caller>service".
func (f Flow) String() string { return f.Caller.String() + ">" + f.Service.String() }

// Token names an endpoint inside a packet. Zero names none.
type Token uint32

// TokenOf computes an endpoint's token from its id alone, so that all hosts
// agree on it without a word.
func TokenOf(id string) Token {
	t := Token(xxhash.Sum64String(id))
	if t == 0 {
		return 1
	}
	return t
}

// Endpoint is one endpoint as it describes itself.
type Endpoint struct {
	ID string
	// Number is the id as endpoints compare it with a packet's intended
	// recipient; 0 would mean any endpoint.
	Number  uint64
	Service string
	Address Address
	Domain  string
	// Software is the version of the endpoint's program.
	Software string
	// Slots is the number of requests that it works on at once.
	Slots    int
	Draining bool
	// ColdFor is how long the endpoint stays slow after its start, counted from
	// the moment of the report.
	ColdFor time.Duration
	// StartedUnixMs is the start of this incarnation, 0 if not reported.
	StartedUnixMs int64
}

// Token returns the endpoint's token.
func (e *Endpoint) Token() Token { return TokenOf(e.ID) }

// Share is a service's part of a route's new flows.
type Share struct {
	Service string
	Weight  int
}

// Route tells where new flows to an address go.
type Route struct {
	Name    string
	Address Address
	// Idempotent requests may be sent again by callers after any failure.
	Idempotent bool
	// Timeout is the time that callers give a request, Target the time within
	// which an answer has its full worth.
	Timeout time.Duration
	Target  time.Duration
	// Priority is 0 for the most urgent requests.
	Priority int
	Shares   []Share
}

// Service returns the service for a flow with the hash: the same one on each
// host that holds the same shares.
func (r *Route) Service(hash uint64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total <= 0 {
		return ""
	}
	// The low bits choose among endpoints; the high bits choose the service.
	left := int((hash >> 32) % uint64(total))
	for _, s := range r.Shares {
		left -= s.Weight
		if left < 0 {
			return s.Service
		}
	}
	return ""
}

// Allows reports whether new flows of the route may go to the service.
func (r *Route) Allows(service string) bool {
	for _, s := range r.Shares {
		if s.Service == service && s.Weight > 0 {
			return true
		}
	}
	return false
}

// Configuration is one version of the operators' configuration.
type Configuration struct {
	Version uint64
	Routes  []Route
	// Services names the services with the number of flows that an endpoint of
	// each may hold.
	Services map[string]int
	// IdleTimeout is how long a flow may be silent before it may be forgotten.
	IdleTimeout time.Duration
}
