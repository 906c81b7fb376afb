// Package catalog holds a host's knowledge of routes and endpoints: the types
// that decoders fill in, and immutable views of them. It does no I/O and reads
// no clock.
package catalog

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Address is an IPv4 address and port, compact enough for use in flow keys.
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

// AddrPort converts the address for use with sockets and in logs.
func (a Address) AddrPort() netip.AddrPort {
	ip := netip.AddrFrom4([4]byte{byte(a.IP >> 24), byte(a.IP >> 16), byte(a.IP >> 8), byte(a.IP)})
	return netip.AddrPortFrom(ip, a.Port)
}

// String formats the address as "192.0.2.1:443".
func (a Address) String() string { return a.AddrPort().String() }

// Flow identifies a flow by its two ends.
type Flow struct {
	Caller Address
	// Destination is the address that the caller sends to.
	Destination Address
}

// Hash returns an evenly distributed hash that is the same on all hosts.
func (f Flow) Hash() uint64 {
	var b [12]byte
	putUint32(b[0:], f.Caller.IP)
	putUint32(b[4:], f.Destination.IP)
	b[8], b[9] = byte(f.Caller.Port), byte(f.Caller.Port>>8)
	b[10], b[11] = byte(f.Destination.Port), byte(f.Destination.Port>>8)
	return xxhash.Sum64(b[:])
}

func putUint32(b []byte, v uint32) {
	b[0], b[1], b[2], b[3] = byte(v), byte(v>>8), byte(v>>16), byte(v>>24)
}

// String formats the flow as "caller>destination".
func (f Flow) String() string { return f.Caller.String() + ">" + f.Destination.String() }

// Token identifies an endpoint in a packet. Zero identifies none.
type Token uint32

// TokenOf derives an endpoint's token from its id alone, so that all hosts agree
// on it without communication.
func TokenOf(id string) Token {
	t := Token(xxhash.Sum64String(id))
	if t == 0 {
		return 1
	}
	return t
}

// Endpoint is an endpoint's description of itself.
type Endpoint struct {
	ID string
	// Recipient is the id that the endpoint compares with the recipient in a
	// packet, where 0 means any endpoint.
	Recipient uint64
	Service   string
	Address   Address
	// Domain is the endpoint's failure domain.
	Domain string
	// Software is the endpoint's software version.
	Software string
	// Slots is the number of requests that it processes concurrently.
	Slots int
	// Draining is set if the endpoint takes no new flows.
	Draining bool
	// ColdFor is how much longer the endpoint is slow because it has just started,
	// counted from when it wrote its entry.
	ColdFor time.Duration
	// Report is the number of this report among those of its incarnation.
	Report int64
	// StartedUnixMs is when this incarnation started, or 0 if not reported.
	StartedUnixMs int64
}

// Token returns the endpoint's token.
func (e *Endpoint) Token() Token { return TokenOf(e.ID) }

// Share is a service's share of a route's new flows.
type Share struct {
	Service string
	Weight  int
}

// Route defines which services get the new flows to an address.
type Route struct {
	Name    string
	Address Address
	// Idempotent is set if callers may retry requests after any failure.
	Idempotent bool
	// Timeout is the callers' timeout for a request, TargetLatency the time
	// within which an answer has its full value.
	Timeout       time.Duration
	TargetLatency time.Duration
	// Priority is 0 for the most urgent requests.
	Priority int
	Shares   []Share
}

// Service returns the service for a flow with the given hash, which is the same
// on all hosts that have the same shares. It returns "" if no share has a weight.
func (r *Route) Service(hash uint64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total <= 0 {
		return ""
	}
	// Only the high bits select the service; all bits rank the endpoints.
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

// ColdStart describes how a service's endpoints start.
type ColdStart struct {
	// For is how long an endpoint is cold after its start.
	For time.Duration
	// PerSecond is the number of requests a second that a cold endpoint bears, or 0 if
	// the number is not limited.
	PerSecond float64
}

// LimitsCold reports whether any service limits flows to its cold endpoints. The
// configuration may be nil.
func (c *Configuration) LimitsCold() bool {
	if c == nil {
		return false
	}
	for _, cold := range c.ColdStarts {
		if cold.PerSecond > 0 {
			return true
		}
	}
	return false
}

// Configuration is a version of the operators' configuration.
type Configuration struct {
	Version uint64
	Routes  []Route
	// Services maps each service to the number of flows that one of its
	// endpoints may hold.
	Services map[string]int
	// ColdStarts holds the services whose endpoints are cold after their start.
	ColdStarts map[string]ColdStart
	// IdleTimeout is how long a flow must be idle before it may be removed, or 0 if
	// the configuration sets none.
	IdleTimeout time.Duration
}
