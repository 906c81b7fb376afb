// Package topology reads the topology file shared by the stand-ins: the hosts,
// the services and each service's endpoints.
package topology

import (
	"net/netip"

	"github.com/BurntSushi/toml"
	"github.com/ansel1/merry/v2"
)

// Protocol is the transport protocol of a service.
type Protocol string

// Transport protocols.
const (
	// UDP services use CoAP.
	UDP Protocol = "udp"
	// TCP services exchange numbered data over long-lived connections.
	TCP Protocol = "tcp"
)

// ErrInvalid is returned for a topology with missing or unknown parts.
var ErrInvalid = merry.Sentinel("invalid topology")

// Topology describes the hosts and what they connect to.
type Topology struct {
	// Control is the HTTP address of the endpoints' control interface.
	Control netip.AddrPort `toml:"control"`
	// Return is the UDP address to which hosts send packets for callers.
	Return   netip.AddrPort `toml:"return"`
	Hosts    []Host         `toml:"host"`
	Services []Service      `toml:"service"`
}

// Host is a machine that runs the load balancer.
type Host struct {
	Name string `toml:"name"`
	// Callers and Endpoints are its UDP listeners for traffic from each side.
	Callers   netip.AddrPort `toml:"callers"`
	Endpoints netip.AddrPort `toml:"endpoints"`
	// Admin is the address for status queries; if unset, the host always counts
	// as up.
	Admin netip.AddrPort `toml:"admin"`
}

// Service is an advertised address and the endpoints behind it.
type Service struct {
	Name      string         `toml:"name"`
	Protocol  Protocol       `toml:"protocol"`
	Address   netip.AddrPort `toml:"address"`
	Endpoints []Endpoint     `toml:"endpoint"`
}

// Endpoint is a back end of a service.
type Endpoint struct {
	Name    string         `toml:"name"`
	Domain  string         `toml:"domain"`
	Address netip.AddrPort `toml:"address"`
}

// Load reads and validates a topology file. The error is ErrInvalid if the file
// has an unknown key or lacks what check requires.
func Load(path string) (*Topology, error) {
	var t Topology
	meta, err := toml.DecodeFile(path, &t)
	if err != nil {
		return nil, merry.Prependf(err, "read topology")
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, merry.Appendf(ErrInvalid, "%s: unknown key %s", path, unknown[0])
	}
	if err := t.check(); err != nil {
		return nil, merry.Prepend(err, path)
	}
	return &t, nil
}

// check returns an error if hosts, services, addresses or endpoints are
// missing or a protocol is unknown.
func (t *Topology) check() error {
	if len(t.Hosts) == 0 || len(t.Services) == 0 {
		return merry.Append(ErrInvalid, "no hosts or no services")
	}
	for _, s := range t.Services {
		if s.Protocol != UDP && s.Protocol != TCP {
			return merry.Appendf(ErrInvalid, "service %s: unknown protocol %q", s.Name, s.Protocol)
		}
		if !s.Address.IsValid() || len(s.Endpoints) == 0 {
			return merry.Appendf(ErrInvalid, "service %s: no address or no endpoints", s.Name)
		}
	}
	return nil
}
