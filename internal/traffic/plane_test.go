package traffic

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/stretchr/testify/require"

	"toucangap/internal/packet"
	"toucangap/internal/settings"
	"toucangap/internal/steer"
)

// deadline bounds the wait for an expected datagram.
const deadline = 20 * time.Second

// deciderFunc adapts a function to Decider.
type deciderFunc func(p *steer.Packet) steer.Verdict

func (d deciderFunc) Packet(_ time.Duration, p *steer.Packet) steer.Verdict { return d(p) }

// every returns a NewDecider function that gives all shards the same decider.
func every(d deciderFunc) func(int) Decider {
	return func(int) Decider { return d }
}

// loopback is a loopback address with any free port.
var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// socket opens a loopback socket that is closed at the end of the test.
func socket(t testing.TB) *net.UDPConn {
	t.Helper()
	conn, err := listen(loopback, false)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// open opens a plane on free ports. By default its view has no services.
func open(t testing.TB, workers int, fabric netip.AddrPort, newDecider func(int) Decider, view ...*steer.View) *Plane {
	t.Helper()
	view = append(view, &steer.View{})
	begin := time.Now()
	p, err := Open(Config{
		Listen:     settings.Listen{Callers: loopback, Endpoints: loopback, Packets: loopback},
		Fabric:     settings.Fabric{Return: fabric},
		Workers:    workers,
		Now:        func() time.Duration { return time.Since(begin) },
		Classifier: view[0],
		NewDecider: newDecider,
		Logger:     slog.New(slog.DiscardHandler),
	})
	require.NoError(t, err)
	return p
}

// start opens a plane and runs it until the test ends.
func start(t testing.TB, workers int, fabric netip.AddrPort, newDecider func(int) Decider, view ...*steer.View) *Plane {
	t.Helper()
	p := open(t, workers, fabric, newDecider, view...)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	return p
}

// udpPacket builds an inner UDP packet.
func udpPacket(t testing.TB, from, to string, data string) []byte {
	t.Helper()
	source, destination := netip.MustParseAddrPort(from), netip.MustParseAddrPort(to)
	ip := &layers.IPv4{
		Version: 4, TTL: 64, Protocol: layers.IPProtocolUDP,
		SrcIP: source.Addr().AsSlice(), DstIP: destination.Addr().AsSlice(),
	}
	udp := &layers.UDP{SrcPort: layers.UDPPort(source.Port()), DstPort: layers.UDPPort(destination.Port())}
	require.NoError(t, udp.SetNetworkLayerForChecksum(ip))
	buffer := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	require.NoError(t, gopacket.SerializeLayers(buffer, options, ip, udp, gopacket.Payload(data)))
	return buffer.Bytes()
}

// forwarded returns the packet as sent after passing the given number of hosts.
func forwarded(inner []byte, hosts int) []byte {
	out := append([]byte(nil), inner...)
	for range hosts {
		packet.DecrementHopLimit(out)
	}
	return out
}

func send(t testing.TB, from *net.UDPConn, to netip.AddrPort, data []byte) {
	t.Helper()
	_, err := from.WriteToUDPAddrPort(data, to)
	require.NoError(t, err)
}

// receive reads one datagram and returns it with its sender's address.
func receive(t testing.TB, conn *net.UDPConn) ([]byte, netip.AddrPort) {
	t.Helper()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(deadline)))
	buffer := make([]byte, datagramLength)
	n, from, err := conn.ReadFromUDPAddrPort(buffer)
	require.NoError(t, err)
	return buffer[:n], from
}

const (
	callerAddress  = "192.0.2.7:40000"
	serviceAddress = "198.51.100.1:5683"
)

// TestRoundTrip sends a request to an endpoint and its response back, and checks
// the packets and the sockets that they are sent from.
func TestRoundTrip(t *testing.T) {
	fabric, endpoint := socket(t), socket(t)
	p := start(t, 2, localAddr(fabric), every(func(p *steer.Packet) steer.Verdict {
		if p.Direction == steer.FromEndpoint {
			return steer.Verdict{Action: steer.ActionReturn}
		}
		return steer.Verdict{Action: steer.ActionForward, Endpoint: localAddr(endpoint)}
	}))

	request := udpPacket(t, callerAddress, serviceAddress, "request")
	send(t, fabric, p.Listen().Callers, request)
	got, from := receive(t, endpoint)
	require.Equal(t, forwarded(request, 1), got)
	require.Equal(t, p.Listen().Endpoints, from)

	response := udpPacket(t, serviceAddress, callerAddress, "response")
	send(t, endpoint, p.Listen().Endpoints, response)
	got, from = receive(t, fabric)
	require.Equal(t, forwarded(response, 1), got)
	require.Equal(t, p.Listen().Callers, from)
}

// TestPass sends a response through two hosts and checks that the second receives
// the endpoint and the hop.
func TestPass(t *testing.T) {
	fabric, endpoint := socket(t), socket(t)
	seen := make(chan steer.Packet, 1)
	second := start(t, 1, localAddr(fabric), every(func(p *steer.Packet) steer.Verdict {
		seen <- *p
		return steer.Verdict{Action: steer.ActionReturn}
	}))
	first := start(t, 1, localAddr(fabric), every(func(*steer.Packet) steer.Verdict {
		return steer.Verdict{Action: steer.ActionPass, Peer: second.Listen().Packets, Hop: steer.HopToOwner}
	}))
	second.SetPeers([]netip.AddrPort{first.Listen().Packets})

	response := udpPacket(t, serviceAddress, callerAddress, "response")
	send(t, endpoint, first.Listen().Endpoints, response)
	got, _ := receive(t, fabric)
	require.Equal(t, forwarded(response, 2), got)
	p := <-seen
	require.Equal(t, steer.HopToOwner, p.Hop)
	require.Equal(t, steer.FromEndpoint, p.Direction)
	require.Equal(t, localAddr(endpoint), p.Endpoint)
	require.Equal(t, netip.MustParseAddrPort(callerAddress), p.Key.Caller)
}

// TestUnknownPeer checks that packets with a hop header are accepted only from
// known peers.
func TestUnknownPeer(t *testing.T) {
	stranger, peer := socket(t), socket(t)
	p := start(t, 1, localAddr(peer), every(func(*steer.Packet) steer.Verdict {
		return steer.Verdict{Action: steer.ActionReturn}
	}))
	p.SetPeers([]netip.AddrPort{localAddr(peer)})
	header := packet.HopHeader{Hop: steer.HopToOwner, Direction: steer.FromCaller}
	datagram := append(packet.AppendHop(nil, header), udpPacket(t, callerAddress, serviceAddress, "x")...)
	send(t, stranger, p.Listen().Packets, datagram)
	send(t, peer, p.Listen().Packets, datagram)
	receive(t, peer)
	require.EqualValues(t, 1, p.Counters().Defects[packet.DefectPeer])
	require.EqualValues(t, 1, p.Counters().Returned)
}

// TestReplyAndDrop checks that a reply verdict is sent and both verdicts counted.
func TestReplyAndDrop(t *testing.T) {
	fabric := socket(t)
	p := start(t, 1, localAddr(fabric), every(func(p *steer.Packet) steer.Verdict {
		if p.Key.Service.Port() == 9 {
			return steer.Verdict{Reason: steer.ReasonNoService}
		}
		return steer.Verdict{Action: steer.ActionReply, Reply: steer.ReplyUnreachable, Reason: steer.ReasonNoEndpoint}
	}))
	send(t, fabric, p.Listen().Callers, udpPacket(t, callerAddress, "198.51.100.1:9", "x"))
	send(t, fabric, p.Listen().Callers, udpPacket(t, callerAddress, serviceAddress, "x"))
	got, _ := receive(t, fabric)
	require.EqualValues(t, layers.IPProtocolICMPv4, got[9])
	c := p.Counters()
	require.EqualValues(t, 1, c.Drops[steer.ReasonNoService])
	require.EqualValues(t, 1, c.Replies[steer.ReasonNoEndpoint])
}

// taskFunc adapts a function to Task.
type taskFunc func(now time.Duration)

func (f taskFunc) Run(now time.Duration) { f(now) }

// TestTask checks that tasks run on the shard and can send packets.
func TestTask(t *testing.T) {
	fabric := socket(t)
	p := start(t, 1, localAddr(fabric), every(func(*steer.Packet) steer.Verdict {
		return steer.Verdict{}
	}))
	inner := udpPacket(t, serviceAddress, callerAddress, "late")
	shard := p.Shards()[0]
	require.NoError(t, shard.Do(context.Background(), taskFunc(func(time.Duration) { shard.Return(inner) })))
	got, _ := receive(t, fabric)
	require.Equal(t, inner, got)
}

// TestExclusiveAddress checks that addresses in use cannot be bound again, as by
// a second process.
func TestExclusiveAddress(t *testing.T) {
	conns, err := listenAll(loopback, 2)
	require.NoError(t, err)
	defer closeAll(conns)
	_, err = listenAll(localAddr(conns[0]), 2)
	require.ErrorIs(t, err, ErrListen)
}
