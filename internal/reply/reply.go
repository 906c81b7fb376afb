// Package reply builds the replies that the load balancer generates itself, as
// whole inner IP packets from the service to the caller: TCP RST, ICMP port
// unreachable, and the CoAP responses 5.03 and 5.04.
package reply

import (
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"toucangap/internal/flow"
	"toucangap/internal/steer"
)

// MaxLength is the maximum length of a reply in bytes: that of an ICMPv6 error,
// which may fill the minimum MTU of IPv6.
const MaxLength = maxICMPv6Length

// hopLimit is the TTL or hop limit of replies.
const hopLimit = 64

// The errors of Build.
var (
	// ErrNotApplicable is returned if the kind of reply does not suit the packet:
	// a reset for UDP, ICMP unreachable for TCP, a CoAP response to anything but a
	// caller's CoAP request, any reply but a reset to an endpoint's packet, or
	// any reply without a valid flow key.
	ErrNotApplicable = merry.Sentinel("reply kind is not applicable to the packet")
	// ErrMustNotReply is returned for a packet that must not be replied to, such as a
	// reset.
	ErrMustNotReply = merry.Sentinel("packet must not be replied to")
	// ErrEncode is returned if encoding fails.
	ErrEncode = merry.Sentinel("cannot encode reply")
)

// Builder builds replies in a buffer that it reuses. It is not safe for concurrent
// use.
type Builder struct {
	buffer        gopacket.SerializeBuffer
	ip4           layers.IPv4
	ip6           layers.IPv6
	icmp4         layers.ICMPv4
	icmp6         layers.ICMPv6
	tcp           layers.TCP
	udp           layers.UDP
	coap          [maxCoAPLength]byte
	nextMessageID uint16
}

// NewBuilder returns a Builder. Message IDs of non-confirmable CoAP responses count
// up from firstMessageID; each shard of a host uses a different one.
func NewBuilder(firstMessageID uint16) *Builder {
	return &Builder{buffer: gopacket.NewSerializeBuffer(), nextMessageID: firstMessageID}
}

// Build returns the reply of the given kind to the caller of p. Original is the
// inner packet that p was decoded from; ReplyUnreachable quotes it. RetryAfter
// is sent as the Max-Age of ReplyNotRun, rounded up to whole seconds. The result
// is valid until the next call. Build fails with ErrNotApplicable,
// ErrMustNotReply or ErrEncode.
//
// To build a reply without a packet at hand, pass a nil original and a p with what
// is known of the flow and with p.Direction FromCaller. A reset then needs TCPAck
// and, in p.TCP.Acknowledgment, the next sequence number that the caller expects.
// A CoAP response needs the token of the request, and the type
// CoAPNonConfirmable if the request has already been acknowledged.
func (b *Builder) Build(kind steer.ReplyKind, p *steer.Packet, original []byte, retryAfter time.Duration) ([]byte, error) {
	if !p.Key.Caller.IsValid() || !p.Key.Service.IsValid() {
		return nil, ErrNotApplicable
	}
	switch kind {
	case steer.ReplyReset:
		return b.reset(p)
	case steer.ReplyUnreachable:
		return b.unreachable(p, original)
	case steer.ReplyNotRun:
		return b.response(p, codeServiceUnavailable, retryAfter)
	case steer.ReplyOutcomeUnknown:
		return b.response(p, codeGatewayTimeout, 0)
	}
	return nil, ErrNotApplicable
}

// networkLayer is an IP header that can be serialized.
type networkLayer interface {
	gopacket.NetworkLayer
	gopacket.SerializableLayer
}

// ipHeader returns the IP header from the service to the caller.
func (b *Builder) ipHeader(key flow.Key, protocol layers.IPProtocol) networkLayer {
	source, destination := key.Service.Addr(), key.Caller.Addr()
	if source.Is4() {
		b.ip4 = layers.IPv4{
			Version: 4, IHL: 5, TTL: hopLimit, Protocol: protocol, Flags: layers.IPv4DontFragment,
			SrcIP: appendAddr(b.ip4.SrcIP[:0], source),
			DstIP: appendAddr(b.ip4.DstIP[:0], destination),
		}
		return &b.ip4
	}
	b.ip6 = layers.IPv6{
		Version: 6, HopLimit: hopLimit, NextHeader: protocol,
		SrcIP: appendAddr(b.ip6.SrcIP[:0], source),
		DstIP: appendAddr(b.ip6.DstIP[:0], destination),
	}
	return &b.ip6
}

// appendAddr appends the bytes of an address.
func appendAddr(dst []byte, a netip.Addr) []byte {
	if a.Is4() {
		b := a.As4()
		return append(dst, b[:]...)
	}
	b := a.As16()
	return append(dst, b[:]...)
}

// serialize encodes the layers and fills in lengths and checksums.
func (b *Builder) serialize(all ...gopacket.SerializableLayer) ([]byte, error) {
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(b.buffer, options, all...); err != nil {
		return nil, merry.Wrap(ErrEncode, merry.WithCause(err))
	}
	return b.buffer.Bytes(), nil
}
