package packet

import "encoding/binary"

// Byte offsets in IP headers.
const (
	ip4TTLOffset      = 8
	ip4ChecksumOffset = 10
	ip6HopLimitOffset = 7
)

// minHopLimit is the minimum TTL or hop limit of a packet to be forwarded.
const minHopLimit = 2

// DecrementHopLimit decrements the TTL or hop limit of a packet that has been
// decoded without a defect, as forwarding into a tunnel requires (RFC 2003,
// section 3.1). This ends forwarding loops, for example to an endpoint whose
// address is that of a host.
func DecrementHopLimit(inner []byte) {
	if inner[0]>>4 == 6 {
		inner[ip6HopLimitOffset]--
		return
	}
	inner[ip4TTLOffset]--
	// The TTL is the high byte of its 16-bit checksum word (RFC 1141).
	sum := uint32(binary.BigEndian.Uint16(inner[ip4ChecksumOffset:])) + 1<<8
	sum = sum&0xffff + sum>>16
	binary.BigEndian.PutUint16(inner[ip4ChecksumOffset:], uint16(sum))
}
