package reply

import (
	"encoding/hex"
	"flag"
	"fmt"
	"math"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/stretchr/testify/require"

	"toucangap/internal/flow"
	"toucangap/internal/packet"
	"toucangap/internal/steer"
)

// update makes the test rewrite the golden file.
var update = flag.Bool("update", os.Getenv("UPDATE_GOLDEN") != "", "write golden files")

// key returns a flow key of the given protocol and IP version.
func key(protocol flow.Protocol, version int) flow.Key {
	if version == 4 {
		return flow.Key{
			Protocol: protocol,
			Caller:   netip.MustParseAddrPort("192.0.2.7:40000"),
			Service:  netip.MustParseAddrPort("198.51.100.1:5683"),
		}
	}
	return flow.Key{
		Protocol: protocol,
		Caller:   netip.MustParseAddrPort("[2001:db8::7]:40000"),
		Service:  netip.MustParseAddrPort("[2001:db8:1::1]:5683"),
	}
}

// request returns a packet with a CoAP request.
func request(version int, kind steer.CoAPType, code uint8) *steer.Packet {
	return &steer.Packet{
		Direction: steer.FromCaller,
		Key:       key(flow.UDP, version),
		HasCoAP:   true,
		CoAP: steer.CoAP{
			Type: kind, Code: code, MessageID: 0xbeef,
			Token: steer.Token{Bytes: [8]byte{1, 2, 3}, Length: 3},
		},
	}
}

// segment returns a packet with a TCP segment.
func segment(version int, direction steer.Direction, t steer.TCP) *steer.Packet {
	return &steer.Packet{Direction: direction, Key: key(flow.TCP, version), TCP: t}
}

// goldenCase describes one reply in the golden file.
type goldenCase struct {
	name       string
	kind       steer.ReplyKind
	packet     *steer.Packet
	original   []byte
	retryAfter time.Duration
}

// goldenCases returns all cases for one IP version.
func goldenCases(version int) []goldenCase {
	udp := &steer.Packet{Direction: steer.FromCaller, Key: key(flow.UDP, version)}
	syn := steer.TCP{Flags: steer.TCPSyn, Sequence: 1000}
	synData := steer.TCP{Flags: steer.TCPSyn | steer.TCPFin, Sequence: 0xffffffff, Payload: 10}
	ack := steer.TCP{Flags: steer.TCPAck, Sequence: 1000, Acknowledgment: 7000, Payload: 10}
	get := request(version, steer.CoAPConfirmable, 1)
	post := request(version, steer.CoAPNonConfirmable, 2)
	return []goldenCase{
		{"reset of a SYN", steer.ReplyReset, segment(version, steer.FromCaller, syn), nil, 0},
		{"reset of data and FIN without ACK", steer.ReplyReset, segment(version, steer.FromCaller, synData), nil, 0},
		{"reset of a segment with ACK", steer.ReplyReset, segment(version, steer.FromCaller, ack), nil, 0},
		{"reset in place of an answer", steer.ReplyReset, segment(version, steer.FromEndpoint, ack), nil, 0},
		{"unreachable with a quotation", steer.ReplyUnreachable, udp, []byte("a packet"), 0},
		{"unreachable without a packet", steer.ReplyUnreachable, udp, nil, 0},
		{"not run, confirmable, 1.2 s", steer.ReplyNotRun, get, nil, 1200 * time.Millisecond},
		{"not run, non-confirmable, 300 s", steer.ReplyNotRun, post, nil, 300 * time.Second},
		{"not run, at once", steer.ReplyNotRun, get, nil, 0},
		{"outcome unknown, confirmable", steer.ReplyOutcomeUnknown, get, nil, 0},
		{"outcome unknown, non-confirmable", steer.ReplyOutcomeUnknown, post, nil, 0},
	}
}

// TestGolden compares every reply with the golden file byte by byte.
func TestGolden(t *testing.T) {
	const file = "testdata/replies.golden"
	var out strings.Builder
	for _, version := range []int{4, 6} {
		b := NewBuilder(0x1000)
		for _, c := range goldenCases(version) {
			reply, err := b.Build(c.kind, c.packet, c.original, c.retryAfter)
			require.NoError(t, err, c.name)
			requireValid(t, reply, c.packet.Key)
			fmt.Fprintf(&out, "IPv%d: %s\n%s\n", version, c.name, hex.Dump(reply))
		}
	}
	if *update {
		require.NoError(t, os.WriteFile(file, []byte(out.String()), 0o644))
	}
	want, err := os.ReadFile(file)
	require.NoError(t, err)
	require.Equal(t, string(want), out.String())
}

// requireValid decodes a reply with gopacket and package packet and checks its
// addresses and checksums.
func requireValid(t *testing.T, reply []byte, k flow.Key) {
	t.Helper()
	first := layers.LayerTypeIPv4
	if k.Caller.Addr().Is6() {
		first = layers.LayerTypeIPv6
	}
	decoded := gopacket.NewPacket(reply, first, gopacket.Default)
	require.Nil(t, decoded.ErrorLayer())
	for _, layer := range decoded.Layers() {
		if c, ok := layer.(interface {
			SetNetworkLayerForChecksum(gopacket.NetworkLayer) error
		}); ok {
			require.NoError(t, c.SetNetworkLayerForChecksum(decoded.NetworkLayer()))
		}
	}
	err, mismatches := decoded.VerifyChecksums()
	require.NoError(t, err)
	require.Empty(t, mismatches)
	if decoded.TransportLayer() == nil {
		require.Equal(t, k.Service.Addr().String(), decoded.NetworkLayer().NetworkFlow().Src().String())
		return
	}
	var p steer.Packet
	reads := func(flow.Key) bool { return k.Protocol == flow.UDP }
	require.Equal(t, packet.DefectNone, packet.NewDecoder(reads).Decode(reply, steer.FromEndpoint, &p))
	require.Equal(t, k, p.Key)
}

// TestLongestResponse checks that the longest token and Max-Age fit.
func TestLongestResponse(t *testing.T) {
	p := request(6, steer.CoAPConfirmable, 1)
	p.CoAP.Token = steer.Token{Bytes: [8]byte{1, 2, 3, 4, 5, 6, 7, 8}, Length: 8}
	reply, err := NewBuilder(0).Build(steer.ReplyNotRun, p, nil, math.MaxInt64)
	require.NoError(t, err)
	var got steer.Packet
	d := packet.NewDecoder(func(flow.Key) bool { return true })
	require.Equal(t, packet.DefectNone, d.Decode(reply, steer.FromEndpoint, &got))
	require.Equal(t, p.CoAP.Token, got.CoAP.Token)
	require.Equal(t, math.MaxUint32*time.Second, got.CoAP.MaxAge)
}

// TestQuoteLimit checks that ICMP errors keep to the size limits of their RFCs.
func TestQuoteLimit(t *testing.T) {
	b := NewBuilder(0)
	long := make([]byte, packet.MaxPacket)
	for version, want := range map[int]int{4: maxICMPv4Length, 6: maxICMPv6Length} {
		p := &steer.Packet{Direction: steer.FromCaller, Key: key(flow.UDP, version)}
		reply, err := b.Build(steer.ReplyUnreachable, p, long, 0)
		require.NoError(t, err)
		require.Len(t, reply, want)
	}
}

// TestRefusals checks that Build rejects a reset of a reset and replies that do not
// apply to the packet.
func TestRefusals(t *testing.T) {
	b := NewBuilder(0)
	reset := segment(4, steer.FromCaller, steer.TCP{Flags: steer.TCPReset | steer.TCPAck})
	_, err := b.Build(steer.ReplyReset, reset, nil, 0)
	require.ErrorIs(t, err, ErrMustNotReply)
	response := request(4, steer.CoAPNonConfirmable, 69)
	fromEndpoint := request(4, steer.CoAPConfirmable, 1)
	fromEndpoint.Direction = steer.FromEndpoint
	for _, c := range []goldenCase{
		{"reset for UDP", steer.ReplyReset, response, nil, 0},
		{"unreachable for TCP", steer.ReplyUnreachable, reset, nil, 0},
		{"not run for a response", steer.ReplyNotRun, response, nil, 0},
		{"not run to an endpoint's request", steer.ReplyNotRun, fromEndpoint, nil, 0},
		{"no reply", steer.ReplyNone, response, nil, 0},
		{"no flow", steer.ReplyReset, &steer.Packet{}, nil, 0},
	} {
		_, err := b.Build(c.kind, c.packet, c.original, c.retryAfter)
		require.ErrorIs(t, err, ErrNotApplicable, c.name)
	}
}
