package packet_test

import (
	"encoding/binary"
	"flag"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucangap/internal/flow"
	"toucangap/internal/packet"
	"toucangap/internal/steer"
)

// TestMain fixes the seed of the randomized tests; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var (
	key4 = flow.Key{
		Protocol: flow.UDP,
		Caller:   netip.MustParseAddrPort("192.0.2.7:40000"),
		Service:  netip.MustParseAddrPort("198.51.100.1:5683"),
	}
	key6 = flow.Key{
		Protocol: flow.UDP,
		Caller:   netip.MustParseAddrPort("[2001:db8::7]:40000"),
		Service:  netip.MustParseAddrPort("[2001:db8:1::1]:5683"),
	}
	// get is a CoAP GET with a deadline of 250 ms.
	get = []byte{0x41, 1, 0x12, 0x34, 7, 0xe1, 0xfc, 0xef, 250}
)

// tcpKey returns the key with TCP as its protocol.
func tcpKey(k flow.Key) flow.Key {
	k.Protocol = flow.TCP
	return k
}

// build encodes a packet from the caller to the service. For TCP, a nil segment
// means a plain ACK.
func build(t testing.TB, k flow.Key, segment *layers.TCP, data []byte) []byte {
	t.Helper()
	var ip interface {
		gopacket.NetworkLayer
		gopacket.SerializableLayer
	}
	source, destination := k.Caller.Addr().AsSlice(), k.Service.Addr().AsSlice()
	protocol := layers.IPProtocol(k.Protocol)
	ip = &layers.IPv4{Version: 4, TTL: 64, Protocol: protocol, SrcIP: source, DstIP: destination}
	if k.Caller.Addr().Is6() {
		ip = &layers.IPv6{Version: 6, HopLimit: 64, NextHeader: protocol, SrcIP: source, DstIP: destination}
	}
	buffer := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if k.Protocol == flow.UDP {
		udp := &layers.UDP{SrcPort: layers.UDPPort(k.Caller.Port()), DstPort: layers.UDPPort(k.Service.Port())}
		require.NoError(t, udp.SetNetworkLayerForChecksum(ip))
		require.NoError(t, gopacket.SerializeLayers(buffer, options, ip, udp, gopacket.Payload(data)))
		return buffer.Bytes()
	}
	if segment == nil {
		segment = &layers.TCP{ACK: true, Seq: 5, Ack: 6}
	}
	segment.SrcPort, segment.DstPort = layers.TCPPort(k.Caller.Port()), layers.TCPPort(k.Service.Port())
	require.NoError(t, segment.SetNetworkLayerForChecksum(ip))
	require.NoError(t, gopacket.SerializeLayers(buffer, options, ip, segment, gopacket.Payload(data)))
	return buffer.Bytes()
}

// reads returns a RequestReader that always returns the given answer.
func reads(answer bool) packet.RequestReader {
	return func(flow.Key) bool { return answer }
}

// TestDecode checks all fields of both transports, versions and directions.
func TestDecode(t *testing.T) {
	for _, k := range []flow.Key{key4, key6, tcpKey(key4), tcpKey(key6)} {
		data := build(t, k, nil, get)
		want := steer.Packet{Direction: steer.FromCaller, Key: k, Length: len(data)}
		if k.Protocol == flow.TCP {
			want.TCP = steer.TCP{Flags: steer.TCPAck, Sequence: 5, Acknowledgment: 6, Payload: len(get)}
		} else {
			want.HasCoAP = true
			want.CoAP = steer.CoAP{
				Code: 1, MessageID: 0x1234, Token: steer.Token{Bytes: [8]byte{7}, Length: 1},
				Deadline: 250 * time.Millisecond,
			}
		}
		d := packet.NewDecoder(reads(true))
		var p steer.Packet
		require.Equal(t, packet.DefectNone, d.Decode(data, steer.FromCaller, &p))
		require.Equal(t, want, p)

		require.Equal(t, packet.DefectNone, d.Decode(data, steer.FromEndpoint, &p))
		want.Direction = steer.FromEndpoint
		want.Key.Caller, want.Key.Service = k.Service, k.Caller
		require.Equal(t, want, p)
	}
}

// withBytes returns a copy of a packet with bytes replaced from index at on.
func withBytes(data []byte, at int, with ...byte) []byte {
	out := append([]byte(nil), data...)
	copy(out[at:], with)
	return out
}

// fixIPv4Checksum corrects the header checksum of an IPv4 packet in place.
func fixIPv4Checksum(data []byte) []byte {
	binary.BigEndian.PutUint16(data[10:], 0)
	binary.BigEndian.PutUint16(data[10:], gopacket.FoldChecksum(gopacket.ComputeChecksum(data[:20], 0)))
	return data
}

// udpBetween returns a UDP packet between the given addresses.
func udpBetween(t *testing.T, caller, service string) []byte {
	k := flow.Key{Protocol: flow.UDP, Caller: netip.MustParseAddrPort(caller), Service: netip.MustParseAddrPort(service)}
	return build(t, k, nil, get)
}

// TestDefects checks each rule in the package documentation, and that malformed
// packets cause no allocation.
func TestDefects(t *testing.T) {
	udp4, udp6 := build(t, key4, nil, get), build(t, key6, nil, get)
	tcp4, tcp6 := build(t, tcpKey(key4), nil, get), build(t, tcpKey(key6), nil, get)
	flags := func(s layers.TCP) []byte { return build(t, tcpKey(key4), &s, nil) }
	for _, c := range []struct {
		name string
		data []byte
		want packet.Defect
	}{
		{"nothing", nil, packet.DefectEmpty},
		{"too long", build(t, key4, nil, make([]byte, packet.MaxPacket)), packet.DefectTooLong},
		{"version 5", withBytes(udp4, 0, 0x55), packet.DefectVersion},
		{"IPv4 header truncated", udp4[:19], packet.DefectTruncated},
		{"IPv6 header truncated", udp6[:39], packet.DefectTruncated},
		{"IPv4 truncated", udp4[:len(udp4)-1], packet.DefectLength},
		{"IPv6 truncated", udp6[:len(udp6)-1], packet.DefectLength},
		{"IPv4 padded", append(withBytes(udp4, 0), 0), packet.DefectLength},
		{"IPv6 padded", append(withBytes(udp6, 0), 0), packet.DefectLength},
		{"IPv4 length 0", fixIPv4Checksum(withBytes(udp4, 2, 0, 0)), packet.DefectLength},
		{"IPv4 header length 16", withBytes(udp4, 0, 0x44), packet.DefectLength},
		{"IPv4 header checksum", withBytes(udp4, 8, 1), packet.DefectHeaderChecksum},
		{"TTL 1", fixIPv4Checksum(withBytes(udp4, 8, 1)), packet.DefectHopLimit},
		{"hop limit 0", withBytes(udp6, 7, 0), packet.DefectHopLimit},
		{"IPv4 options", withBytes(udp4, 0, 0x46), packet.DefectOptions},
		{"first fragment", fixIPv4Checksum(withBytes(udp4, 6, 0x20, 0)), packet.DefectFragment},
		{"later fragment", fixIPv4Checksum(withBytes(udp4, 6, 0, 1)), packet.DefectFragment},
		{"IPv6 fragment", withBytes(udp6, 6, 44), packet.DefectFragment},
		{"IPv6 hop-by-hop options", withBytes(udp6, 6, 0), packet.DefectExtension},
		{"IPv6 routing header", withBytes(udp6, 6, 43), packet.DefectExtension},
		{"IPv6 nothing next", withBytes(udp6, 6, 59), packet.DefectExtension},
		{"ICMP", fixIPv4Checksum(withBytes(udp4, 9, 1)), packet.DefectICMP},
		{"ICMPv6", withBytes(udp6, 6, 58), packet.DefectICMP},
		{"IP in IP", fixIPv4Checksum(withBytes(udp4, 9, 4)), packet.DefectProtocol},
		{"IPv6 in IPv6", withBytes(udp6, 6, 41), packet.DefectProtocol},
		{"SCTP", fixIPv4Checksum(withBytes(udp4, 9, 132)), packet.DefectProtocol},
		{"UDP header truncated", fixIPv4Checksum(withBytes(udp4, 2, 0, 27))[:27], packet.DefectTruncated},
		{"TCP header truncated", fixIPv4Checksum(withBytes(tcp4, 2, 0, 39))[:39], packet.DefectTruncated},
		{"UDP length short", withBytes(udp4, 24, 0, 9), packet.DefectLength},
		{"UDP length long", withBytes(udp4, 24, 0, 200), packet.DefectLength},
		{"UDP length 0", withBytes(udp6, 44, 0, 0), packet.DefectLength},
		{"UDP length 7", withBytes(udp6, 44, 0, 7), packet.DefectLength},
		{"TCP offset 4", withBytes(tcp4, 32, 0x40), packet.DefectTCPHeader},
		{"TCP offset beyond the end", withBytes(tcp6, 52, 0xf0), packet.DefectTCPHeader},
		{"unspecified caller", udpBetween(t, "0.0.0.0:1", "198.51.100.1:2"), packet.DefectAddress},
		{"multicast service", udpBetween(t, "[2001:db8::7]:1", "[ff02::1]:2"), packet.DefectAddress},
		{"broadcast", udpBetween(t, "192.0.2.7:1", "255.255.255.255:2"), packet.DefectAddress},
		{"source equal to destination", udpBetween(t, "192.0.2.7:1", "192.0.2.7:1"), packet.DefectAddress},
		{"mapped address", udpBetween(t, "[::ffff:192.0.2.7]:1", "[2001:db8::7]:2"), packet.DefectAddress},
		{"caller's port 0", udpBetween(t, "192.0.2.7:0", "198.51.100.1:2"), packet.DefectPort},
		{"service's port 0", udpBetween(t, "192.0.2.7:1", "198.51.100.1:0"), packet.DefectPort},
		{"no TCP flags", flags(layers.TCP{}), packet.DefectTCPFlags},
		{"SYN and FIN", flags(layers.TCP{SYN: true, FIN: true}), packet.DefectTCPFlags},
		{"SYN and RST", flags(layers.TCP{SYN: true, RST: true, ACK: true}), packet.DefectTCPFlags},
		{"UDP checksum", withBytes(udp4, 28, 0x42), packet.DefectUDPChecksum},
		{"IPv6 without UDP checksum", withBytes(udp6, 46, 0, 0), packet.DefectUDPChecksum},
		{"no CoAP", build(t, key4, nil, []byte("GET /")), packet.DefectCoAP},
		{"no payload", build(t, key6, nil, nil), packet.DefectCoAP},
		{"IPv4 without UDP checksum", withBytes(udp4, 26, 0, 0), packet.DefectNone},
	} {
		var p steer.Packet
		d := packet.NewDecoder(reads(true))
		got := d.Decode(c.data, steer.FromCaller, &p)
		require.Equal(t, c.want.String(), got.String(), c.name)
		allocs := testing.AllocsPerRun(10, func() { d.Decode(c.data, steer.FromCaller, &p) })
		require.Zero(t, allocs, c.name)
	}
}

// TestUnreadPayload checks that a payload that is not parsed is not validated.
func TestUnreadPayload(t *testing.T) {
	var p steer.Packet
	data := withBytes(build(t, key4, nil, get), 28, 0xff, 0xff)
	require.Equal(t, packet.DefectNone, packet.NewDecoder(reads(false)).Decode(data, steer.FromCaller, &p))
	require.False(t, p.HasCoAP)
}

// TestDecrementHopLimit checks that a packet stays valid until its hop limit is
// too low.
func TestDecrementHopLimit(t *testing.T) {
	d := packet.NewDecoder(reads(true))
	var p steer.Packet
	for _, data := range [][]byte{build(t, key4, nil, get), build(t, key6, nil, get)} {
		for range 62 {
			packet.DecrementHopLimit(data)
			require.Equal(t, packet.DefectNone, d.Decode(data, steer.FromCaller, &p))
		}
		packet.DecrementHopLimit(data)
		require.Equal(t, packet.DefectHopLimit, d.Decode(data, steer.FromCaller, &p))
	}
}

// TestHopRoundTrip checks that any valid hop header is decoded as it was encoded.
func TestHopRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := packet.HopHeader{
			Hop:       rapid.SampledFrom([]steer.Hop{steer.HopToOwner, steer.HopToFormer}).Draw(t, "hop"),
			Direction: rapid.SampledFrom([]steer.Direction{steer.FromCaller, steer.FromEndpoint}).Draw(t, "direction"),
		}
		if h.Direction == steer.FromEndpoint {
			size := rapid.SampledFrom([]int{4, 16}).Draw(t, "size")
			addr, _ := netip.AddrFromSlice(rapid.SliceOfN(rapid.Byte(), size, size).Draw(t, "address"))
			h.Endpoint = netip.AddrPortFrom(addr, rapid.Uint16().Draw(t, "port"))
		}
		inner := rapid.SliceOfN(rapid.Byte(), 0, 8).Draw(t, "inner")
		encoded := packet.AppendHop(nil, h)
		require.Len(t, encoded, h.Length())
		require.LessOrEqual(t, len(encoded), packet.MaxHopLength)
		got, rest, defect := packet.ParseHop(append(encoded, inner...))
		require.Equal(t, packet.DefectNone, defect)
		require.Equal(t, h, got)
		require.Equal(t, inner, append([]byte{}, rest...))
	})
}

// TestHopDefects checks that invalid hop headers are rejected.
func TestHopDefects(t *testing.T) {
	for name, b := range map[string][]byte{
		"nothing":                    {},
		"truncated":                  {1, 1, 1},
		"version 2":                  {2, 1, 1, 0},
		"hop 0":                      {1, 0, 1, 0},
		"hop 3":                      {1, 3, 1, 0},
		"direction 0":                {1, 1, 0, 0},
		"direction 3":                {1, 1, 3, 0},
		"caller with an endpoint":    {1, 1, 1, 4, 1, 2, 3, 4, 0, 1},
		"response without endpoint":  {1, 1, 2, 0},
		"address of 5 bytes":         {1, 1, 2, 5, 1, 2, 3, 4, 5, 0, 1},
		"truncated endpoint address": {1, 1, 2, 4, 1, 2, 3, 4, 0},
	} {
		_, _, defect := packet.ParseHop(b)
		require.Equal(t, packet.DefectHopHeader, defect, name)
	}
}

// TestDecodeAllocatesNothing checks both protocols under both IP versions.
func TestDecodeAllocatesNothing(t *testing.T) {
	timestamps := layers.TCPOption{OptionType: layers.TCPOptionKindTimestamps, OptionLength: 10, OptionData: make([]byte, 8)}
	segment := &layers.TCP{ACK: true, PSH: true, Options: []layers.TCPOption{{OptionType: 1}, {OptionType: 1}, timestamps}}
	for _, data := range [][]byte{
		build(t, key4, nil, get), build(t, key6, nil, get),
		build(t, tcpKey(key4), segment, get), build(t, tcpKey(key6), segment, get),
	} {
		d := packet.NewDecoder(reads(true))
		var p steer.Packet
		require.Zero(t, testing.AllocsPerRun(100, func() { d.Decode(data, steer.FromCaller, &p) }))
	}
}

// BenchmarkDecode measures decoding a packet with a CoAP request.
func BenchmarkDecode(b *testing.B) {
	data := build(b, key4, nil, get)
	d := packet.NewDecoder(reads(true))
	var p steer.Packet
	b.ReportAllocs()
	for b.Loop() {
		d.Decode(data, steer.FromCaller, &p)
	}
}
