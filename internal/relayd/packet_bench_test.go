package relayd

import (
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"toucangap/internal/catalog"
	"toucangap/internal/relay"
	"toucangap/internal/segment"
	"toucangap/platform"
)

// inFlight is the number of packets that forwardPackets keeps in flight.
const inFlight = 32

// loopback returns a socket on a loopback address.
func loopback(b *testing.B) *net.UDPConn {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(b, err)
	b.Cleanup(func() { conn.Close() })
	return conn
}

func addressOf(conn *net.UDPConn) netip.AddrPort {
	return conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// BenchmarkPacket forwards packets of an open flow over sockets: through the
// traffic goroutine, and through a bare loop that reads a packet, writes its
// recipient and token and sends it. The difference is the cost of the
// decisions.
func BenchmarkPacket(b *testing.B) {
	b.Run("bare", func(b *testing.B) {
		host, endpoint := loopback(b), loopback(b)
		entry := entryAt(endpoint)
		go func() {
			frame := make([]byte, platform.RecipientBytes+platform.MaxPacket)
			for {
				n, _, err := host.ReadFromUDPAddrPort(frame[platform.RecipientBytes:])
				if err != nil {
					return
				}
				frame := frame[:platform.RecipientBytes+n]
				platform.AddressFrame(frame, entry.Recipient, entry.Token())
				if _, err := host.WriteToUDPAddrPort(frame, entry.Address.AddrPort()); err != nil {
					return
				}
			}
		}()
		forwardPackets(b, host, endpoint)
	})
	b.Run("relay", func(b *testing.B) {
		host, endpoint := loopback(b), loopback(b)
		t := trafficOn(host, entryAt(endpoint))
		done := make(chan error, 1)
		go func() { done <- t.run() }()
		forwardPackets(b, host, endpoint)
		t.stop()
		require.NoError(b, <-done)
	})
}

var benchFlow = catalog.Flow{
	Caller:      catalog.Address{IP: 0x7f000001, Port: 40001},
	Destination: catalog.Address{IP: 0xc6120001, Port: 443},
}

func entryAt(endpoint *net.UDPConn) *catalog.Endpoint {
	address, _ := catalog.AddressFrom(addressOf(endpoint))
	return &catalog.Endpoint{ID: "i-1", Recipient: 1, Service: "s", Domain: "d", Slots: 2, Address: address}
}

// trafficOn returns a traffic goroutine's state with one endpoint in its view.
func trafficOn(conn *net.UDPConn, e *catalog.Endpoint) *traffic {
	logger := slog.New(slog.DiscardHandler)
	c := newClock()
	t := &traffic{
		clock: c, conn: conn, control: newControl(c, logger, metrics.NewRegistry(), time.Minute, time.Minute), logger: logger,
		observer: newObserver(logger, func() time.Duration { return 0 }, metrics.NewRegistry()),
	}
	t.relay = relay.New(relay.Options{Domain: "d", MaxFlows: 1000, FlowLifetime: time.Hour, Output: t, Observer: t.observer}, 0)
	directory := catalog.NewDirectory(0, time.Hour)
	directory.SetConfiguration(&catalog.Configuration{
		Version: 1, Services: map[string]int{"s": 1}, IdleTimeout: time.Hour,
		Routes: []catalog.Route{{
			Name: "r", Address: benchFlow.Destination, Timeout: time.Hour, Shares: []catalog.Share{{Service: "s", Weight: 1}},
		}},
	})
	directory.PutEndpoint(0, e, catalog.Position{Revision: 2})
	t.control.view.Store(directory.View(0))
	return t
}

// forwardPackets sends b.N packets of an open flow to the host and receives
// them at the endpoint.
func forwardPackets(b *testing.B, host, endpoint *net.UDPConn) {
	caller, err := net.DialUDP("udp4", nil, host.LocalAddr().(*net.UDPAddr))
	require.NoError(b, err)
	defer caller.Close()
	packet := platform.Append(nil, segment.Segment{
		Flow: benchFlow, Token: catalog.TokenOf("i-1"), Sequence: 1, Acknowledgement: 1, Ack: true,
	}, nil)
	buffer := make([]byte, platform.RecipientBytes+platform.MaxPacket)
	b.ReportAllocs()
	b.ResetTimer()
	sent, taken := 0, 0
	for taken < b.N {
		for sent < b.N && sent < taken+inFlight {
			_, err := caller.Write(packet)
			require.NoError(b, err)
			sent++
		}
		require.NoError(b, endpoint.SetReadDeadline(time.Now().Add(10*time.Second)))
		_, err := endpoint.Read(buffer)
		require.NoError(b, err)
		taken++
	}
	b.StopTimer()
}
