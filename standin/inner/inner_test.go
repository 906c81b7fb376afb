package inner

import (
	"net/netip"
	"testing"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var (
	caller4  = netip.MustParseAddrPort("10.0.0.7:20000")
	service4 = netip.MustParseAddrPort("10.96.0.1:5683")
	caller6  = netip.MustParseAddrPort("[fd00::7]:20000")
	service6 = netip.MustParseAddrPort("[fd00:96::1]:5683")
)

func TestRoundTrip(t *testing.T) {
	packets := []Packet{
		{Kind: Datagram, Source: caller4, Destination: service4, Payload: []byte("hello")},
		{Kind: Datagram, Source: caller6, Destination: service6, Payload: []byte("hello")},
		{Kind: Segment, Source: caller4, Destination: service4, Flags: Syn, Sequence: 1},
		{Kind: Segment, Source: service6, Destination: caller6, Flags: Fin | Ack, Sequence: 7, Acknowledgment: 1 << 31},
		{Kind: Segment, Source: service4, Destination: caller4, Flags: Reset | Ack},
		{Kind: Segment, Source: caller4, Destination: service4, Flags: Ack, Sequence: 2, Acknowledgment: 3, Payload: []byte("data")},
	}
	for _, want := range packets {
		data, err := Encode(want)
		require.NoError(t, err)
		got, err := Decode(data)
		require.NoError(t, err)
		require.Equal(t, string(want.Payload), string(got.Payload))
		got.Payload = want.Payload
		require.Equal(t, want, got)
	}
}

func TestUnreachableReturnsQuotedFlow(t *testing.T) {
	for _, version := range []struct {
		caller, service netip.AddrPort
		icmp            []gopacket.SerializableLayer
	}{
		{caller4, service4, []gopacket.SerializableLayer{
			&layers.IPv4{Version: 4, TTL: 64, Protocol: layers.IPProtocolICMPv4, SrcIP: service4.Addr().AsSlice(), DstIP: caller4.Addr().AsSlice()},
			&layers.ICMPv4{TypeCode: layers.CreateICMPv4TypeCode(layers.ICMPv4TypeDestinationUnreachable, layers.ICMPv4CodePort)},
		}},
		{caller6, service6, []gopacket.SerializableLayer{
			&layers.IPv6{Version: 6, HopLimit: 64, NextHeader: layers.IPProtocolICMPv6, SrcIP: service6.Addr().AsSlice(), DstIP: caller6.Addr().AsSlice()},
			&layers.ICMPv6{TypeCode: layers.CreateICMPv6TypeCode(layers.ICMPv6TypeDestinationUnreachable, layers.ICMPv6CodePortUnreachable)},
			gopacket.Payload(make([]byte, 4)),
		}},
	} {
		quoted, err := Encode(Packet{Kind: Datagram, Source: version.caller, Destination: version.service, Payload: make([]byte, 100)})
		require.NoError(t, err)
		quoted = quoted[:len(quoted)-90]
		buffer := gopacket.NewSerializeBuffer()
		require.NoError(t, gopacket.SerializeLayers(buffer, gopacket.SerializeOptions{FixLengths: true},
			append(version.icmp, gopacket.Payload(quoted))...))
		got, err := Decode(buffer.Bytes())
		require.NoError(t, err)
		require.Equal(t, Packet{Kind: Unreachable, Source: version.service, Destination: version.caller}, got)
	}
}

func TestDecodeArbitraryBytes(t *testing.T) {
	valid, err := Encode(Packet{Kind: Segment, Source: caller6, Destination: service6, Flags: Ack, Payload: []byte("data")})
	require.NoError(t, err)
	rapid.Check(t, func(t *rapid.T) {
		data := rapid.SliceOfN(rapid.Byte(), 0, 100).Draw(t, "data")
		if rapid.Bool().Draw(t, "changed copy") {
			data = append([]byte{}, valid[:rapid.IntRange(1, len(valid)).Draw(t, "length")]...)
			data[rapid.IntRange(0, len(data)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		}
		if _, err := Decode(data); err != nil {
			require.ErrorIs(t, err, ErrMalformed)
		}
	})
}
