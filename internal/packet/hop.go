package packet

import (
	"encoding/binary"
	"net/netip"

	"toucangap/internal/steer"
)

// The hop header precedes the inner packet in datagrams between hosts:
//
//	byte 0  version, HopVersion
//	byte 1  hop, steer.HopToOwner or steer.HopToFormer
//	byte 2  direction, steer.FromCaller or steer.FromEndpoint
//	byte 3  length of the endpoint's address: 0, 4 or 16 bytes
//	then, if that is not 0, the address and a 2-byte port, big endian
//
// The endpoint's underlay address is present only for packets from endpoints, so
// that the receiver can check which endpoint sent them.
const (
	// HopVersion is the version of the hop header.
	HopVersion = 1
	// MaxHopLength is the maximum length of a hop header in bytes.
	MaxHopLength = hopFixedLength + 16 + hopPortLength

	hopFixedLength = 4
	hopPortLength  = 2
)

// HopHeader describes a packet that one host passes to another.
type HopHeader struct {
	Hop       steer.Hop
	Direction steer.Direction
	// Endpoint is the address that a packet from an endpoint came from. It is the
	// zero AddrPort for packets from a caller.
	Endpoint netip.AddrPort
}

// Length returns the length of the encoded header in bytes.
func (h HopHeader) Length() int {
	if !h.Endpoint.IsValid() {
		return hopFixedLength
	}
	return hopFixedLength + h.Endpoint.Addr().BitLen()/8 + hopPortLength
}

// AppendHop appends the encoded header to dst.
func AppendHop(dst []byte, h HopHeader) []byte {
	addr := h.Endpoint.Addr()
	dst = append(dst, HopVersion, byte(h.Hop), byte(h.Direction), byte(addr.BitLen()/8))
	switch {
	case addr.Is4():
		b := addr.As4()
		dst = append(dst, b[:]...)
	case addr.Is6():
		b := addr.As16()
		dst = append(dst, b[:]...)
	default:
		return dst
	}
	return binary.BigEndian.AppendUint16(dst, h.Endpoint.Port())
}

// ParseHop splits a datagram from a peer into the hop header and the inner
// packet, which aliases b. The defect is DefectNone or DefectHopHeader.
func ParseHop(b []byte) (HopHeader, []byte, Defect) {
	if len(b) < hopFixedLength || b[0] != HopVersion {
		return HopHeader{}, nil, DefectHopHeader
	}
	h := HopHeader{Hop: steer.Hop(b[1]), Direction: steer.Direction(b[2])}
	if h.Hop != steer.HopToOwner && h.Hop != steer.HopToFormer {
		return HopHeader{}, nil, DefectHopHeader
	}
	size, rest := int(b[3]), b[hopFixedLength:]
	switch {
	case h.Direction == steer.FromCaller && size == 0:
		return h, rest, DefectNone
	case h.Direction != steer.FromEndpoint || size != 4 && size != 16:
		return HopHeader{}, nil, DefectHopHeader
	case len(rest) < size+hopPortLength:
		return HopHeader{}, nil, DefectHopHeader
	}
	addr, _ := netip.AddrFromSlice(rest[:size])
	port := binary.BigEndian.Uint16(rest[size:])
	h.Endpoint = netip.AddrPortFrom(addr, port)
	return h, rest[size+hopPortLength:], DefectNone
}
