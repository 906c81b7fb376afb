package config

import (
	"net/netip"
)

// HostState is the life-cycle state of a host as its peers see it.
type HostState uint8

// The states of a host. A host that joins and shuts down gracefully passes
// through all but HostDead in this order.
const (
	// HostJoining owns no flows yet; it receives the records of the flows that
	// it will own.
	HostJoining HostState = iota + 1
	// HostLive owns its share of the flows.
	HostLive
	// HostLeaving hands over its flows, which it owns until it has left.
	HostLeaving
	// HostLeft has stopped after a completed handover.
	HostLeft
	// HostDead has stopped responding and was confirmed dead by its peers.
	HostDead
)

// String returns the state's name as used in dumps.
func (s HostState) String() string {
	switch s {
	case HostJoining:
		return "joining"
	case HostLive:
		return "live"
	case HostLeaving:
		return "leaving"
	case HostLeft:
		return "left"
	case HostDead:
		return "dead"
	}
	return "unknown"
}

// Host describes one host.
type Host struct {
	Name   string
	Domain string
	// Group is the name of the host group that it belongs to.
	Group string
	// Packets is the UDP address for packets forwarded by peers.
	Packets netip.AddrPort
	// Control is the TCP address for peers' control streams.
	Control netip.AddrPort
	// Probe is the UDP address for membership probes.
	Probe netip.AddrPort
	// Incarnation increases when the host refutes a suspicion or restarts.
	Incarnation uint64
	State       HostState
}

// OwnsFlows reports whether a host in this state owns flows.
func (s HostState) OwnsFlows() bool {
	return s == HostLive || s == HostLeaving
}
