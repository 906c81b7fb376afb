// Package inner encodes and decodes the inner IP packets of the UDP
// encapsulation (Foo over UDP, GUE variant 1) used between the fabric, the
// hosts and the endpoints.
package inner

import (
	"encoding/binary"
	"net/netip"

	"github.com/ansel1/merry/v2"
	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

// MaxSize is the maximum size of an inner packet in bytes.
const MaxSize = 9000

const (
	hopLimit  = 64
	tcpWindow = 65535
	ipv4      = 4
	ipv6      = 6
)

// ErrMalformed is returned for data that is not a packet of a known kind.
var ErrMalformed = merry.Sentinel("malformed inner packet")

// Kind is the type of an inner packet's payload.
type Kind uint8

// Kinds of inner packets.
const (
	// Datagram is a UDP datagram.
	Datagram Kind = iota + 1
	// Segment is a TCP segment.
	Segment
	// Unreachable is an ICMP error about a packet sent by the destination. Its
	// source is the destination address of that packet.
	Unreachable
)

// Flags holds the flags of a TCP segment.
type Flags uint8

// TCP flags.
const (
	Fin Flags = 1 << iota
	Syn
	Reset
	Ack
)

// Packet is a decoded inner packet.
type Packet struct {
	Kind        Kind
	Source      netip.AddrPort
	Destination netip.AddrPort
	Flags       Flags
	// Sequence and Acknowledgment are a TCP segment's sequence numbers.
	Sequence, Acknowledgment uint32
	Payload                  []byte
}

// Encode serializes a datagram or segment with its IP header and checksums. It
// does not encode Unreachable packets.
func Encode(p Packet) ([]byte, error) {
	network, checksum := networkLayer(p)
	transport := transportLayer(p)
	if err := transport.SetNetworkLayerForChecksum(checksum); err != nil {
		return nil, merry.Prepend(err, "encode inner packet")
	}
	buffer := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	err := gopacket.SerializeLayers(buffer, options, network, transport, gopacket.Payload(p.Payload))
	if err != nil {
		return nil, merry.Prepend(err, "encode inner packet")
	}
	return buffer.Bytes(), nil
}

// checksummedLayer is a transport layer whose checksum covers the IP addresses.
type checksummedLayer interface {
	gopacket.SerializableLayer
	SetNetworkLayerForChecksum(gopacket.NetworkLayer) error
}

func networkLayer(p Packet) (gopacket.SerializableLayer, gopacket.NetworkLayer) {
	protocol := layers.IPProtocolUDP
	if p.Kind == Segment {
		protocol = layers.IPProtocolTCP
	}
	source, destination := p.Source.Addr(), p.Destination.Addr()
	if source.Is4() {
		ip := &layers.IPv4{
			Version: ipv4, TTL: hopLimit, Protocol: protocol, Flags: layers.IPv4DontFragment,
			SrcIP: source.AsSlice(), DstIP: destination.AsSlice(),
		}
		return ip, ip
	}
	ip := &layers.IPv6{
		Version: ipv6, HopLimit: hopLimit, NextHeader: protocol,
		SrcIP: source.AsSlice(), DstIP: destination.AsSlice(),
	}
	return ip, ip
}

func transportLayer(p Packet) checksummedLayer {
	if p.Kind != Segment {
		return &layers.UDP{
			SrcPort: layers.UDPPort(p.Source.Port()),
			DstPort: layers.UDPPort(p.Destination.Port()),
		}
	}
	return &layers.TCP{
		SrcPort: layers.TCPPort(p.Source.Port()),
		DstPort: layers.TCPPort(p.Destination.Port()),
		Seq:     p.Sequence, Ack: p.Acknowledgment, Window: tcpWindow,
		FIN: p.Flags&Fin != 0, SYN: p.Flags&Syn != 0,
		RST: p.Flags&Reset != 0, ACK: p.Flags&Ack != 0,
	}
}

// header is a decoded IP header with the IP payload.
type header struct {
	source, destination netip.Addr
	protocol            layers.IPProtocol
	payload             []byte
}

// Decode parses an inner packet. The payload aliases data. The error is
// ErrMalformed.
func Decode(data []byte) (Packet, error) {
	h, err := decodeNetwork(data)
	if err != nil {
		return Packet{}, err
	}
	switch h.protocol {
	case layers.IPProtocolUDP:
		return decodeDatagram(h)
	case layers.IPProtocolTCP:
		return decodeSegment(h)
	case layers.IPProtocolICMPv4, layers.IPProtocolICMPv6:
		return decodeUnreachable(h)
	}
	return Packet{}, merry.Appendf(ErrMalformed, "unsupported protocol %s", h.protocol)
}

func decodeNetwork(data []byte) (header, error) {
	if len(data) == 0 {
		return header{}, merry.Append(ErrMalformed, "empty")
	}
	switch data[0] >> 4 {
	case ipv4:
		var ip layers.IPv4
		if err := ip.DecodeFromBytes(data, gopacket.NilDecodeFeedback); err != nil {
			return header{}, merry.Wrap(ErrMalformed, merry.WithCause(err))
		}
		source, _ := netip.AddrFromSlice(ip.SrcIP)
		destination, _ := netip.AddrFromSlice(ip.DstIP)
		return header{source, destination, ip.Protocol, ip.Payload}, nil
	case ipv6:
		var ip layers.IPv6
		if err := ip.DecodeFromBytes(data, gopacket.NilDecodeFeedback); err != nil {
			return header{}, merry.Wrap(ErrMalformed, merry.WithCause(err))
		}
		source, _ := netip.AddrFromSlice(ip.SrcIP)
		destination, _ := netip.AddrFromSlice(ip.DstIP)
		return header{source, destination, ip.NextHeader, ip.Payload}, nil
	}
	return header{}, merry.Append(ErrMalformed, "unknown IP version")
}

func decodeDatagram(h header) (Packet, error) {
	var udp layers.UDP
	if err := udp.DecodeFromBytes(h.payload, gopacket.NilDecodeFeedback); err != nil {
		return Packet{}, merry.Wrap(ErrMalformed, merry.WithCause(err))
	}
	return Packet{
		Kind:        Datagram,
		Source:      netip.AddrPortFrom(h.source, uint16(udp.SrcPort)),
		Destination: netip.AddrPortFrom(h.destination, uint16(udp.DstPort)),
		Payload:     udp.Payload,
	}, nil
}

func decodeSegment(h header) (Packet, error) {
	var tcp layers.TCP
	if err := tcp.DecodeFromBytes(h.payload, gopacket.NilDecodeFeedback); err != nil {
		return Packet{}, merry.Wrap(ErrMalformed, merry.WithCause(err))
	}
	return Packet{
		Kind:        Segment,
		Source:      netip.AddrPortFrom(h.source, uint16(tcp.SrcPort)),
		Destination: netip.AddrPortFrom(h.destination, uint16(tcp.DstPort)),
		Flags:       segmentFlags(&tcp),
		Sequence:    tcp.Seq, Acknowledgment: tcp.Ack,
		Payload: tcp.Payload,
	}, nil
}

func segmentFlags(tcp *layers.TCP) Flags {
	var f Flags
	for _, set := range []struct {
		on   bool
		flag Flags
	}{{tcp.FIN, Fin}, {tcp.SYN, Syn}, {tcp.RST, Reset}, {tcp.ACK, Ack}} {
		if set.on {
			f |= set.flag
		}
	}
	return f
}

// icmpHeaderSize is the size in bytes of an ICMP error's header before the
// quoted packet, in ICMPv4 and ICMPv6.
const icmpHeaderSize = 8

// decodeUnreachable decodes the addresses of the packet quoted in an ICMP
// destination unreachable message.
func decodeUnreachable(h header) (Packet, error) {
	const typeV4, typeV6, ports = 3, 1, 4
	if len(h.payload) < icmpHeaderSize {
		return Packet{}, merry.Append(ErrMalformed, "truncated ICMP message")
	}
	if t := h.payload[0]; t != typeV4 && t != typeV6 {
		return Packet{}, merry.Appendf(ErrMalformed, "unsupported ICMP type %d", t)
	}
	quoted, err := decodeNetwork(h.payload[icmpHeaderSize:])
	if err != nil {
		return Packet{}, err
	}
	if len(quoted.payload) < ports {
		return Packet{}, merry.Append(ErrMalformed, "truncated quoted packet")
	}
	return Packet{
		Kind:        Unreachable,
		Source:      netip.AddrPortFrom(quoted.destination, binary.BigEndian.Uint16(quoted.payload[2:])),
		Destination: netip.AddrPortFrom(quoted.source, binary.BigEndian.Uint16(quoted.payload)),
	}, nil
}
