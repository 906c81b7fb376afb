package reply

import (
	"github.com/gopacket/gopacket/layers"

	"toucangap/internal/flow"
	"toucangap/internal/steer"
)

// reset builds the RST that a closed port sends (RFC 9293, section 3.10.7.1).
// If the segment has ACK, the RST's sequence number is the acknowledgment number,
// which the caller expects next. For any other segment, such as a SYN, it is 0 and
// the RST acknowledges the whole segment. An RST that replaces an endpoint's
// segment takes over its numbers. A reset is never replied to.
func (b *Builder) reset(p *steer.Packet) ([]byte, error) {
	if p.Key.Protocol != flow.TCP {
		return nil, ErrNotApplicable
	}
	flags := p.TCP.Flags
	if flags&steer.TCPReset != 0 {
		return nil, ErrMustNotReply
	}
	b.tcp = layers.TCP{
		SrcPort: layers.TCPPort(p.Key.Service.Port()),
		DstPort: layers.TCPPort(p.Key.Caller.Port()),
		RST:     true,
	}
	switch {
	case p.Direction == steer.FromEndpoint:
		b.tcp.Seq = p.TCP.Sequence
		b.tcp.Ack = p.TCP.Acknowledgment
		b.tcp.ACK = flags&steer.TCPAck != 0
	case flags&steer.TCPAck != 0:
		b.tcp.Seq = p.TCP.Acknowledgment
	default:
		b.tcp.Ack = p.TCP.Sequence + segmentLength(p.TCP)
		b.tcp.ACK = true
	}
	ip := b.ipHeader(p.Key, layers.IPProtocolTCP)
	if err := b.tcp.SetNetworkLayerForChecksum(ip); err != nil {
		return nil, ErrEncode
	}
	return b.serialize(ip, &b.tcp)
}

// segmentLength returns SEG.LEN of RFC 9293: the data length, counting SYN and
// FIN.
func segmentLength(t steer.TCP) uint32 {
	length := uint32(t.Payload)
	if t.Flags&steer.TCPSyn != 0 {
		length++
	}
	if t.Flags&steer.TCPFin != 0 {
		length++
	}
	return length
}
