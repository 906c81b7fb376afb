package packet_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"toucangap/internal/flow"
	"toucangap/internal/packet"
	"toucangap/internal/reply"
	"toucangap/internal/steer"
)

// FuzzDatagram runs one datagram through hop header parsing, decoding, every
// reply and forwarding. The corpus in testdata/fuzz/FuzzDatagram covers each
// transport, version and header. Repaired inputs pass the IPv4 header checksum,
// which mutated inputs rarely do.
func FuzzDatagram(f *testing.F) {
	f.Fuzz(func(t *testing.T, fromPeer, fromEndpoint, readRequests, repaired bool, data []byte) {
		direction := steer.FromCaller
		if fromEndpoint {
			direction = steer.FromEndpoint
		}
		inner := data
		if fromPeer {
			header, rest, defect := packet.ParseHop(data)
			if defect != packet.DefectNone {
				return
			}
			require.Equal(t, data[:len(data)-len(rest)], packet.AppendHop(nil, header))
			direction, inner = header.Direction, rest
		}
		if repaired {
			repairChecksums(inner)
		}
		var p steer.Packet
		if packet.NewDecoder(reads(readRequests)).Decode(inner, direction, &p) != packet.DefectNone {
			return
		}
		requireBounds(t, &p, inner, readRequests)
		requireReplies(t, &p, inner)
		requireForwarded(t, &p, inner, readRequests)
	})
}

// repairChecksums corrects the IPv4 header checksum and zeroes that of UDP.
func repairChecksums(inner []byte) {
	const udpEnd = 28
	if len(inner) < udpEnd || inner[0]>>4 != 4 {
		return
	}
	if inner[9] == byte(flow.UDP) {
		inner[26], inner[27] = 0, 0
	}
	fixIPv4Checksum(inner)
}

// requireBounds checks that lengths lie within the datagram and that the flow key
// is valid.
func requireBounds(t *testing.T, p *steer.Packet, inner []byte, readRequests bool) {
	require.Equal(t, len(inner), p.Length)
	require.LessOrEqual(t, p.Length, packet.MaxPacket)
	require.GreaterOrEqual(t, p.TCP.Payload, 0)
	require.Less(t, p.TCP.Payload, p.Length)
	require.LessOrEqual(t, p.CoAP.Token.Length, uint8(len(p.CoAP.Token.Bytes)))
	require.Equal(t, readRequests && p.Key.Protocol == flow.UDP, p.HasCoAP)
	require.Equal(t, p.Key.Caller.Addr().Is4(), p.Key.Service.Addr().Is4())
	require.NotZero(t, p.Key.Caller.Port())
	require.NotZero(t, p.Key.Service.Port())
	require.False(t, p.CoAP.Deadline < 0 || p.CoAP.MaxAge < 0)
}

// requireForwarded checks that forwarding changes only the hop limit.
func requireForwarded(t *testing.T, p *steer.Packet, inner []byte, readRequests bool) {
	out := append([]byte(nil), inner...)
	packet.DecrementHopLimit(out)
	decoded := steer.Packet{}
	defect := packet.NewDecoder(reads(readRequests)).Decode(out, p.Direction, &decoded)
	if defect != packet.DefectHopLimit {
		require.Equal(t, packet.DefectNone, defect)
		require.Equal(t, *p, decoded)
	}
}

// requireReplies checks that every reply that can be built is a valid packet
// from the service to the caller.
func requireReplies(t *testing.T, p *steer.Packet, inner []byte) {
	b := reply.NewBuilder(0)
	for kind := steer.ReplyNone; kind <= steer.ReplyOutcomeUnknown; kind++ {
		out, err := b.Build(kind, p, inner, p.CoAP.Deadline)
		if err != nil {
			continue
		}
		require.LessOrEqual(t, len(out), reply.MaxLength)
		var decoded steer.Packet
		defect := packet.NewDecoder(reads(p.HasCoAP)).Decode(out, steer.FromEndpoint, &decoded)
		if kind == steer.ReplyUnreachable {
			require.Equal(t, packet.DefectICMP, defect)
			continue
		}
		require.Equal(t, packet.DefectNone, defect)
		require.Equal(t, p.Key, decoded.Key)
	}
}
