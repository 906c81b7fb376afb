package packet

import (
	"encoding/binary"
	"net/netip"

	"github.com/gopacket/gopacket"

	"toucangap/internal/flow"
)

// Header sizes in bytes, and masks.
const (
	ip4HeaderLength = 20
	ip6HeaderLength = 40
	udpHeaderLength = 8
	tcpHeaderLength = 20

	// ip4FragmentMask covers the "more fragments" flag and the fragment offset.
	ip4FragmentMask = 0x3fff
)

// IP protocol numbers that have specific rules.
const (
	protocolHopByHop    = 0
	protocolICMP        = 1
	protocolRouting     = 43
	protocolFragment    = 44
	protocolESP         = 50
	protocolAH          = 51
	protocolICMPv6      = 58
	protocolNoNext      = 59
	protocolDestination = 60
	protocolMobility    = 135
	protocolHIP         = 139
	protocolShim6       = 140
)

// checkHeaders checks lengths, versions and protocols of a whole inner packet and
// returns its transport protocol. A packet that passes decodes without an error,
// so malformed packets cause no allocation of errors.
func checkHeaders(data []byte) (flow.Protocol, Defect) {
	switch {
	case len(data) == 0:
		return 0, DefectEmpty
	case len(data) > MaxPacket:
		return 0, DefectTooLong
	}
	switch data[0] >> 4 {
	case 4:
		return checkIPv4(data)
	case 6:
		return checkIPv6(data)
	}
	return 0, DefectVersion
}

// checkIPv4 checks an IPv4 header and the transport header behind it.
func checkIPv4(data []byte) (flow.Protocol, Defect) {
	if len(data) < ip4HeaderLength {
		return 0, DefectTruncated
	}
	header := data[:ip4HeaderLength]
	words := header[0] & 0x0f
	switch {
	case int(words)*4 < ip4HeaderLength:
		return 0, DefectLength
	case int(words)*4 > ip4HeaderLength:
		return 0, DefectOptions
	case int(binary.BigEndian.Uint16(header[2:])) != len(data):
		return 0, DefectLength
	case gopacket.FoldChecksum(gopacket.ComputeChecksum(header, 0)) != 0:
		return 0, DefectHeaderChecksum
	case header[ip4TTLOffset] < minHopLimit:
		return 0, DefectHopLimit
	case binary.BigEndian.Uint16(header[6:])&ip4FragmentMask != 0:
		return 0, DefectFragment
	}
	return checkTransport(header[9], data[ip4HeaderLength:])
}

// checkIPv6 checks an IPv6 header and the transport header behind it.
func checkIPv6(data []byte) (flow.Protocol, Defect) {
	if len(data) < ip6HeaderLength {
		return 0, DefectTruncated
	}
	if int(binary.BigEndian.Uint16(data[4:])) != len(data)-ip6HeaderLength {
		return 0, DefectLength
	}
	if data[ip6HopLimitOffset] < minHopLimit {
		return 0, DefectHopLimit
	}
	switch data[6] {
	case protocolFragment:
		return 0, DefectFragment
	case protocolHopByHop, protocolRouting, protocolESP, protocolAH, protocolNoNext,
		protocolDestination, protocolMobility, protocolHIP, protocolShim6:
		return 0, DefectExtension
	}
	return checkTransport(data[6], data[ip6HeaderLength:])
}

// checkTransport checks the transport lengths in an IP payload and returns the
// transport protocol.
func checkTransport(number uint8, payload []byte) (flow.Protocol, Defect) {
	switch number {
	case uint8(flow.TCP):
		return flow.TCP, checkTCP(payload)
	case uint8(flow.UDP):
		return flow.UDP, checkUDP(payload)
	case protocolICMP, protocolICMPv6:
		return 0, DefectICMP
	}
	return 0, DefectProtocol
}

// checkTCP checks the lengths of a TCP segment. Options are left to the endpoints
// to validate.
func checkTCP(payload []byte) Defect {
	if len(payload) < tcpHeaderLength {
		return DefectTruncated
	}
	offset := int(payload[12]>>4) * 4
	if offset < tcpHeaderLength || offset > len(payload) {
		return DefectTCPHeader
	}
	return DefectNone
}

// checkUDP checks the lengths of a UDP datagram.
func checkUDP(payload []byte) Defect {
	switch {
	case len(payload) < udpHeaderLength:
		return DefectTruncated
	case int(binary.BigEndian.Uint16(payload[4:])) != len(payload):
		return DefectLength
	}
	return DefectNone
}

// broadcast is the IPv4 limited broadcast address.
var broadcast = netip.AddrFrom4([4]byte{255, 255, 255, 255})

// checkAddresses checks the addresses and ports of a packet.
func checkAddresses(sender, receiver netip.AddrPort) Defect {
	switch {
	case !validAddress(sender.Addr()), !validAddress(receiver.Addr()), sender == receiver:
		return DefectAddress
	case sender.Port() == 0, receiver.Port() == 0:
		return DefectPort
	}
	return DefectNone
}

// validAddress reports whether the address may be an end of a flow.
func validAddress(a netip.Addr) bool {
	return !a.IsUnspecified() && !a.IsMulticast() && !a.Is4In6() && a != broadcast
}
