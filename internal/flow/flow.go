// Package flow identifies flows and computes the rendezvous hashing scores by
// which hosts and endpoints are ranked for them. Every function is deterministic,
// so that all hosts compute the same result from the same inputs without
// communicating.
package flow

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"toucangap/internal/rendezvous"
)

// Protocol is the IP protocol number of a flow's transport.
type Protocol uint8

// The transports that are forwarded.
const (
	TCP Protocol = 6
	UDP Protocol = 17
)

// String returns the protocol's usual name.
func (p Protocol) String() string {
	switch p {
	case TCP:
		return "tcp"
	case UDP:
		return "udp"
	}
	return "unknown"
}

// Key is the five-tuple of a flow as seen in the caller's direction.
type Key struct {
	Protocol Protocol
	// Caller is the address and port that opened the flow.
	Caller netip.AddrPort
	// Service is the advertised address and port that the caller talks to.
	Service netip.AddrPort
}

// keyBytes is the size of the hashed form: seed, protocol, two 16-byte
// addresses and two ports.
const keyBytes = 8 + 1 + 2*(16+2)

// Fingerprint is a 64-bit hash of a Key. Two live flows of one group collide
// with a probability below 1e-8 at 300,000 flows per host.
type Fingerprint uint64

// Fingerprint hashes the key with the seed that the bundle shares among all
// hosts. The seed prevents callers from choosing ports that collide.
func (k Key) Fingerprint(seed uint64) Fingerprint {
	var b [keyBytes]byte
	binary.LittleEndian.PutUint64(b[0:], seed)
	b[8] = byte(k.Protocol)
	caller := k.Caller.Addr().As16()
	service := k.Service.Addr().As16()
	copy(b[9:], caller[:])
	copy(b[25:], service[:])
	binary.LittleEndian.PutUint16(b[41:], k.Caller.Port())
	binary.LittleEndian.PutUint16(b[43:], k.Service.Port())
	return Fingerprint(xxhash.Sum64(b[:]))
}

// NodeHash identifies a host or an endpoint in rendezvous hashing.
type NodeHash uint64

// HashName returns the NodeHash of a name.
func HashName(name string) NodeHash {
	return NodeHash(xxhash.Sum64String(name))
}

// Score returns the rendezvous score of a node for a flow; the highest wins.
func Score(fp Fingerprint, node NodeHash) uint64 {
	return mix(uint64(fp) ^ mix(uint64(node)))
}

// WeightedScore returns the highest of weight independent scores, so that a node
// wins flows in proportion to its weight. A weight of 0 scores 0 and never wins
// against a positive weight.
func WeightedScore(fp Fingerprint, node NodeHash, weight int) uint64 {
	var best uint64
	seed := mix(uint64(node))
	for range weight {
		best = max(best, mix(uint64(fp)^seed))
		seed = mix(seed)
	}
	return best
}

// mix is one step of SplitMix64.
func mix(x uint64) uint64 {
	return rendezvous.Mix(x + rendezvous.Increment)
}
