package packet

import (
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"toucangap/internal/coapmsg"
	"toucangap/internal/flow"
	"toucangap/internal/steer"
)

// MaxPacket is the maximum length of an inner packet in bytes. It is well above
// the usual MTU of an underlay.
const MaxPacket = 2048

// layersDecoded is the number of layers decoded: IP and transport.
const layersDecoded = 2

// RequestReader reports whether requests are parsed in flows of the service that
// the key identifies.
type RequestReader func(flow.Key) bool

// Decoder decodes packets without allocating. It is not safe for concurrent use.
type Decoder struct {
	readsRequests RequestReader

	ip4     layers.IPv4
	ip6     layers.IPv6
	tcp     layers.TCP
	udp     layers.UDP
	parser4 *gopacket.DecodingLayerParser
	parser6 *gopacket.DecodingLayerParser
	decoded []gopacket.LayerType
	coap    *coapmsg.Reader
}

// NewDecoder returns a decoder that calls readsRequests for every UDP packet that
// has passed the other checks.
func NewDecoder(readsRequests RequestReader) *Decoder {
	d := &Decoder{
		readsRequests: readsRequests,
		decoded:       make([]gopacket.LayerType, 0, layersDecoded),
		coap:          coapmsg.NewReader(),
	}
	d.parser4 = d.newParser(layers.LayerTypeIPv4, &d.ip4)
	d.parser6 = d.newParser(layers.LayerTypeIPv6, &d.ip6)
	return d
}

// newParser returns a parser for one IP version that stops after the transport
// layer.
func (d *Decoder) newParser(first gopacket.LayerType, ip gopacket.DecodingLayer) *gopacket.DecodingLayerParser {
	var container gopacket.DecodingLayerContainer = gopacket.DecodingLayerArray(nil)
	container = container.Put(ip).Put(&d.tcp).Put(&d.udp)
	parser := gopacket.NewDecodingLayerParser(first)
	parser.SetDecodingLayerContainer(container)
	parser.IgnoreUnsupported = true
	return parser
}

// Decode fills p from the inner packet in data. The direction depends on the
// receiving socket. Decode leaves p.Hop and p.Endpoint zero, and retains no
// reference to data. If it returns a defect other than DefectNone, p is undefined.
func (d *Decoder) Decode(data []byte, direction steer.Direction, p *steer.Packet) Defect {
	*p = steer.Packet{Direction: direction, Length: len(data)}
	protocol, defect := checkHeaders(data)
	if defect != DefectNone {
		return defect
	}
	source, destination, ok := d.parse(data)
	if !ok {
		return DefectTruncated
	}
	return d.fill(protocol, source, destination, p)
}

// parse decodes the IP and transport layers and returns the IP addresses.
func (d *Decoder) parse(data []byte) (source, destination netip.Addr, ok bool) {
	parser := d.parser4
	if data[0]>>4 == 6 {
		parser = d.parser6
	}
	if parser.DecodeLayers(data, &d.decoded) != nil || len(d.decoded) != layersDecoded {
		return netip.Addr{}, netip.Addr{}, false
	}
	if parser == d.parser4 {
		source, _ = netip.AddrFromSlice(d.ip4.SrcIP)
		destination, _ = netip.AddrFromSlice(d.ip4.DstIP)
	} else {
		source, _ = netip.AddrFromSlice(d.ip6.SrcIP)
		destination, _ = netip.AddrFromSlice(d.ip6.DstIP)
	}
	return source, destination, true
}

// fill completes p from the decoded layers.
func (d *Decoder) fill(protocol flow.Protocol, source, destination netip.Addr, p *steer.Packet) Defect {
	var from, to uint16
	if protocol == flow.TCP {
		from, to = uint16(d.tcp.SrcPort), uint16(d.tcp.DstPort)
	} else {
		from, to = uint16(d.udp.SrcPort), uint16(d.udp.DstPort)
	}
	sender := netip.AddrPortFrom(source, from)
	receiver := netip.AddrPortFrom(destination, to)
	if defect := checkAddresses(sender, receiver); defect != DefectNone {
		return defect
	}
	p.Key = flow.Key{Protocol: protocol, Caller: sender, Service: receiver}
	if p.Direction == steer.FromEndpoint {
		p.Key.Caller, p.Key.Service = receiver, sender
	}
	if protocol == flow.TCP {
		return d.fillTCP(p)
	}
	return d.fillUDP(p)
}

// fillTCP completes p from the TCP header.
func (d *Decoder) fillTCP(p *steer.Packet) Defect {
	p.TCP = steer.TCP{
		Flags:          tcpFlags(&d.tcp),
		Sequence:       d.tcp.Seq,
		Acknowledgment: d.tcp.Ack,
		Payload:        len(d.tcp.Payload),
	}
	syn := p.TCP.Flags&steer.TCPSyn != 0
	if p.TCP.Flags == 0 || syn && p.TCP.Flags&(steer.TCPFin|steer.TCPReset) != 0 {
		return DefectTCPFlags
	}
	return DefectNone
}

// tcpFlags converts the flags that verdicts depend on.
func tcpFlags(t *layers.TCP) steer.TCPFlags {
	var flags steer.TCPFlags
	if t.FIN {
		flags |= steer.TCPFin
	}
	if t.SYN {
		flags |= steer.TCPSyn
	}
	if t.RST {
		flags |= steer.TCPReset
	}
	if t.ACK {
		flags |= steer.TCPAck
	}
	return flags
}

// fillUDP completes p from the CoAP message in the UDP datagram, if the service
// has its requests parsed.
func (d *Decoder) fillUDP(p *steer.Packet) Defect {
	if !d.readsRequests(p.Key) {
		return DefectNone
	}
	if !d.validUDPChecksum(p.Key) {
		return DefectUDPChecksum
	}
	if d.coap.Read(d.udp.Payload, &p.CoAP) != nil {
		return DefectCoAP
	}
	p.HasCoAP = true
	return DefectNone
}

// validUDPChecksum verifies the checksum of the decoded datagram. A checksum
// of 0 means none over IPv4 and is invalid over IPv6.
func (d *Decoder) validUDPChecksum(key flow.Key) bool {
	var network gopacket.NetworkLayer = &d.ip4
	if !key.Service.Addr().Is4() {
		network = &d.ip6
		if d.udp.Checksum == 0 {
			return false
		}
	}
	if d.udp.SetNetworkLayerForChecksum(network) != nil {
		return false
	}
	err, result := d.udp.VerifyChecksum()
	return err == nil && result.Valid
}
