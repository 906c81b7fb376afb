package config

import (
	"net/netip"
)

// HostState is the life-cycle state of an entry host as its peers see it.
type HostState uint8

// The states of a host, in the order in which it passes through them.
const (
	// HostJoining owns no flows yet; it receives replicas of its future share.
	HostJoining HostState = iota + 1
	// HostLive owns its share of flows.
	HostLive
	// HostLeaving hands over its share, which it owns until it has left.
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

// Host describes one entry host.
type Host struct {
	Name   string
	Domain string
	// Group is the group of hosts that the host belongs to.
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
