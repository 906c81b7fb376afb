package reply

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"

	"toucangap/internal/flow"
	"toucangap/internal/steer"
)

// Codes of the CoAP responses: 5.03 tells that the request was not run, and 5.04
// that its outcome is unknown.
const (
	codeServiceUnavailable = codes.ServiceUnavailable
	codeGatewayTimeout     = codes.GatewayTimeout
)

// Sizes of the CoAP responses in bytes.
const (
	coapHeaderLength = 4
	// maxAgeOptionLength is the option's header, with one byte of extended delta,
	// and its value.
	maxAgeOptionLength = 2 + maxAgeBytes
	maxAgeBytes        = 4
	maxCoAPLength      = coapHeaderLength + message.MaxTokenSize + maxAgeOptionLength
)

// response builds a CoAP response with the token of the request in p. The response
// to a confirmable request is piggybacked on its acknowledgement and has the same
// message ID; any other is a non-confirmable message with an ID of the builder.
func (b *Builder) response(p *steer.Packet, code codes.Code, retryAfter time.Duration) ([]byte, error) {
	if p.Key.Protocol != flow.UDP || p.Direction == steer.FromEndpoint || !p.HasCoAP || !p.CoAP.IsRequest() {
		return nil, ErrNotApplicable
	}
	m := message.Message{
		Token: p.CoAP.Token.Bytes[:p.CoAP.Token.Length],
		Code:  code,
		Type:  message.NonConfirmable,
	}
	if p.CoAP.Type == steer.CoAPConfirmable {
		m.Type = message.Acknowledgement
		m.MessageID = int32(p.CoAP.MessageID)
	} else {
		m.MessageID = int32(b.nextMessageID)
		b.nextMessageID++
	}
	if code == codeServiceUnavailable {
		var age [maxAgeBytes]byte
		m.Options = message.Options{{ID: message.MaxAge, Value: encodeUint(age[:], wholeSeconds(retryAfter))}}
	}
	n, err := coder.DefaultCoder.Encode(m, b.coap[:])
	if err != nil {
		return nil, ErrEncode
	}
	return b.datagram(p.Key, b.coap[:n])
}

// wholeSeconds rounds up, so that a caller never retries too early.
func wholeSeconds(d time.Duration) uint32 {
	if d <= 0 {
		return 0
	}
	seconds := int64(d / time.Second)
	if d%time.Second != 0 {
		seconds++
	}
	return uint32(min(seconds, math.MaxUint32))
}

// encodeUint encodes a uint option (RFC 7252, section 3.2) in the fewest bytes.
func encodeUint(buffer []byte, value uint32) []byte {
	binary.BigEndian.PutUint32(buffer, value)
	for len(buffer) > 0 && buffer[0] == 0 {
		buffer = buffer[1:]
	}
	return buffer
}

// datagram builds a UDP packet with the data, from the service to the caller.
func (b *Builder) datagram(key flow.Key, data []byte) ([]byte, error) {
	b.udp = layers.UDP{
		SrcPort: layers.UDPPort(key.Service.Port()),
		DstPort: layers.UDPPort(key.Caller.Port()),
	}
	ip := b.ipHeader(key, layers.IPProtocolUDP)
	if err := b.udp.SetNetworkLayerForChecksum(ip); err != nil {
		return nil, ErrEncode
	}
	return b.serialize(ip, &b.udp, gopacket.Payload(data))
}
