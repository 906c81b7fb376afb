package udp

import (
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"toucangap/internal/config"
	"toucangap/internal/membership"
	"toucangap/internal/peerpb"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

func listen(t *testing.T, key string) *Conn {
	t.Helper()
	c, err := Listen(Options{Address: loopback, Key: []byte(key), Logger: slog.New(slog.DiscardHandler)})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, c.Close()) })
	return c
}

func newView(name string, c *Conn, seeds ...netip.AddrPort) *membership.Members {
	self := config.Host{Name: name, Incarnation: 1, State: config.HostLive, Probe: c.Address()}
	return membership.New(self, membership.Options{Seeds: seeds}, rand.New(rand.NewPCG(1, 1)))
}

// TestHostsDiscoverEachOther lets two views find each other through real
// sockets, driven by a simulated clock.
func TestHostsDiscoverEachOther(t *testing.T) {
	a, b := listen(t, "shared"), listen(t, "shared")
	x, y := newView("x", a), newView("y", b, a.Address())
	now := time.Duration(0)
	for len(x.Hosts()) < 2 || len(y.Hosts()) < 2 {
		select {
		case p := <-a.Packets():
			a.Send(x.Receive(now, p.From, p.Probe))
		case p := <-b.Packets():
			b.Send(y.Receive(now, p.From, p.Probe))
		case <-time.After(time.Millisecond):
			now += membership.TickInterval
			a.Send(x.Tick(now))
			b.Send(y.Tick(now))
		}
	}
	require.Equal(t, x.Hosts(), y.Hosts())
	require.Positive(t, a.sentBytes.Count())
	require.Positive(t, b.received.Count())
}

// TestForeignKey checks that datagrams without the right tag are rejected.
func TestForeignKey(t *testing.T) {
	sent := &peerpb.Probe{From: "x"}
	for _, key := range []string{"", "other"} {
		b, err := codec{key: []byte(key)}.encode(sent)
		require.NoError(t, err)
		_, ok := codec{key: []byte("shared")}.decode(b)
		require.False(t, ok)
		got, ok := codec{key: []byte(key)}.decode(b)
		require.True(t, ok)
		require.True(t, proto.Equal(sent, got))
	}
}

// TestMalformedDatagrams checks that malformed and oversized datagrams are
// counted and dropped.
func TestMalformedDatagrams(t *testing.T) {
	a := listen(t, "")
	conn, err := net.Dial("udp", a.Address().String())
	require.NoError(t, err)
	defer conn.Close()
	for _, b := range [][]byte{{0xff}, make([]byte, membership.MaxProbeBytes+1), nil} {
		_, err = conn.Write(b)
		require.NoError(t, err)
	}
	p := <-a.Packets()
	require.Empty(t, p.Probe.GetFrom())
	require.EqualValues(t, 2, a.rejected.Count())
}
