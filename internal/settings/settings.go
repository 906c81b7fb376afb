// Package settings reads and validates the TOML settings file of one host: its
// name, failure domain, addresses, peers, platform or store, keys and limits.
// Settings describes a host that runs package engine, Relay one that forwards
// flows by tokens and runs package relayd.
package settings

import (
	"net/netip"
	"time"
)

// Settings holds the settings of a host that runs package engine.
type Settings struct {
	// Name is unique among the hosts.
	Name string
	// Domain is the failure domain of the host.
	Domain string
	// Group is the host group that the host belongs to: the hosts that may get
	// the same services' packets.
	Group  string
	Listen Listen
	Fabric Fabric
	// Peers are probe addresses of some other hosts, from which the host learns
	// of the rest.
	Peers    []netip.AddrPort
	Platform Platform
	Bundle   BundleTrust
	TLS      TLS
	Limits   Limits
}

// Listen holds the addresses that the process listens on.
type Listen struct {
	// Callers receives encapsulated packets from the network fabric, over UDP.
	Callers netip.AddrPort
	// Endpoints receives encapsulated replies from endpoints, over UDP.
	Endpoints netip.AddrPort
	// Packets receives packets forwarded by peers, over UDP.
	Packets netip.AddrPort
	// Probe receives membership probes, over UDP.
	Probe netip.AddrPort
	// Control receives peers' control streams, over TCP.
	Control netip.AddrPort
	// Admin serves operators' requests and metrics, over HTTP.
	Admin netip.AddrPort
}

// Fabric describes where the network fabric takes replies to callers.
type Fabric struct {
	// Return receives encapsulated packets for callers, over UDP.
	Return netip.AddrPort
}

// Platform describes how the platform, the key-value service, is reached.
type Platform struct {
	// Addresses are tried in order.
	Addresses []netip.AddrPort
	// Prefix precedes every key.
	Prefix string
	// Timeout limits the duration of one call.
	Timeout time.Duration
}

// BundleTrust defines whose signatures a bundle needs to be accepted.
type BundleTrust struct {
	// Operators maps an operator's name to an ed25519 public key, 32 bytes.
	Operators map[string][]byte
	// Required is the number of distinct operators that must have signed.
	Required int
	// Initial is the path of a signed bundle file to start from; it is optional.
	Initial string
}

// TLS holds the paths of PEM files for the control and admin listeners: the
// certificate authority, and the host's certificate with its key. All empty means
// plain text, which is allowed on loopback addresses only.
type TLS struct {
	Authority   string
	Certificate string
	Key         string
}

// Enabled reports whether TLS is configured.
func (t TLS) Enabled() bool {
	return t.Certificate != ""
}

// IsComplete reports whether all files are set or none.
func (t TLS) IsComplete() bool {
	given := t.Authority != ""
	return given == (t.Certificate != "") && given == (t.Key != "")
}

// Limits holds limits of the process.
type Limits struct {
	// TrafficGoroutines is the number of traffic goroutines; 0 means one per
	// processor.
	TrafficGoroutines int
	// MaxFlows limits the number of flows in the host's flow table. If the bundle
	// sets a lower limit, that one applies.
	MaxFlows int
}
