package reply

import (
	"slices"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"toucangap/internal/flow"
	"toucangap/internal/steer"
)

// Maximum sizes of ICMP errors, including the IP header, and sizes of headers in
// bytes.
const (
	// maxICMPv4Length is the limit of RFC 1812, section 4.3.2.3.
	maxICMPv4Length = 576
	// maxICMPv6Length is the limit of RFC 4443, section 2.4 (c).
	maxICMPv6Length = 1280

	ip4HeaderLength  = 20
	ip6HeaderLength  = 40
	icmpHeaderLength = 8
)

// icmp6Unused is the unused field of ICMPv6 errors, which the encoder treats as
// payload.
var icmp6Unused [4]byte

// unreachable builds an ICMP "port unreachable" error (RFC 792, RFC 4443), which
// quotes as much of the original packet as fits.
func (b *Builder) unreachable(p *steer.Packet, original []byte) ([]byte, error) {
	if p.Key.Protocol != flow.UDP || p.Direction == steer.FromEndpoint {
		return nil, ErrNotApplicable
	}
	if original == nil {
		var err error
		if original, err = b.synthesizeOriginal(p.Key); err != nil {
			return nil, err
		}
	}
	if p.Key.Service.Addr().Is4() {
		return b.unreachable4(p.Key, original)
	}
	return b.unreachable6(p.Key, original)
}

// unreachable4 builds the ICMPv4 error.
func (b *Builder) unreachable4(key flow.Key, original []byte) ([]byte, error) {
	ip := b.ipHeader(key, layers.IPProtocolICMPv4)
	b.icmp4.TypeCode = layers.CreateICMPv4TypeCode(
		layers.ICMPv4TypeDestinationUnreachable, layers.ICMPv4CodePort)
	return b.serialize(ip, &b.icmp4, quote(original, maxICMPv4Length-ip4HeaderLength-icmpHeaderLength))
}

// unreachable6 builds the ICMPv6 error.
func (b *Builder) unreachable6(key flow.Key, original []byte) ([]byte, error) {
	ip := b.ipHeader(key, layers.IPProtocolICMPv6)
	b.icmp6.TypeCode = layers.CreateICMPv6TypeCode(
		layers.ICMPv6TypeDestinationUnreachable, layers.ICMPv6CodePortUnreachable)
	if err := b.icmp6.SetNetworkLayerForChecksum(ip); err != nil {
		return nil, ErrEncode
	}
	quoted := quote(original, maxICMPv6Length-ip6HeaderLength-icmpHeaderLength)
	return b.serialize(ip, &b.icmp6, gopacket.Payload(icmp6Unused[:]), quoted)
}

// quote returns at most limit leading bytes of a packet.
func quote(original []byte, limit int) gopacket.Payload {
	return gopacket.Payload(original[:min(len(original), limit)])
}

// synthesizeOriginal builds an empty packet of the flow. It contains what a caller
// needs in a quoted packet: addresses, protocol and ports.
func (b *Builder) synthesizeOriginal(key flow.Key) ([]byte, error) {
	reversed := flow.Key{Protocol: key.Protocol, Caller: key.Service, Service: key.Caller}
	data, err := b.datagram(reversed, nil)
	return slices.Clone(data), err
}
