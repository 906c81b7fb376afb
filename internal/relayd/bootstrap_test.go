package relayd

import (
	"context"
	"crypto/rand"
	"log/slog"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"toucangap/internal/catalog"
	"toucangap/internal/feed"
	"toucangap/internal/follow"
	"toucangap/platform"
)

// writeDelay is how long a message of slowBytes or more takes on a slowListener's
// connections. Those of the handshake are smaller: with a delay of their own, and a busy
// machine, they took longer than seedInterval, after which the next seed is asked.
const (
	writeDelay = 100 * time.Millisecond
	slowBytes  = 1 << 10
)

// slowListener accepts connections on which each write takes writeDelay, and counts them.
type slowListener struct {
	net.Listener
	accepted atomic.Int64
}

func (l *slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.accepted.Add(1)
	return slowConn{c}, err
}

type slowConn struct{ net.Conn }

func (c slowConn) Write(b []byte) (int, error) {
	if len(b) >= slowBytes {
		time.Sleep(writeDelay)
	}
	return c.Conn.Write(b)
}

// largeState is the source of a host with a large value that can't be compressed.
type largeState struct{ value []byte }

func (s largeState) Secret(context.Context) []byte { return []byte("secret") }
func (s largeState) Changed() <-chan struct{}      { return nil }

func (s largeState) Since(_ context.Context, client follow.Progress) (follow.Batch, error) {
	b := follow.Batch{Complete: client.Position.IsZero(), Position: catalog.Position{Incarnation: 1, Revision: 7}}
	if b.Complete {
		b.Changes = []platform.Change{{Item: platform.Item{Key: "large", Value: s.value, Revision: 7, Incarnation: 1}}}
	}
	return b, nil
}

func TestStateOfASeedArrivesOverASlowLink(t *testing.T) {
	logger := slog.New(slog.DiscardHandler)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	slow := &slowListener{Listener: listener}
	// Longer than seedTimeout in all: a second for each ten parts.
	state := largeState{value: make([]byte, 200<<10)}
	_, _ = rand.Read(state.value)
	server := &feed.Server{Source: state, Logger: logger, SilenceTimeout: time.Minute, BootTime: newClock().BootTime}
	go func() { _ = server.Serve(t.Context(), slow) }()
	t.Cleanup(func() { listener.Close() })

	c := newControl(newClock(), logger, metrics.NewRegistry(), time.Minute, time.Minute)
	c.onPublish = func() {}
	go c.run(t.Context())
	s := &syncer{
		host:     follow.Host{Name: "starting", Domain: "d"},
		seeds:    []netip.AddrPort{netip.MustParseAddrPort(listener.Addr().String())},
		clock:    c.clock,
		control:  c,
		timings:  follow.NewTimings(5 * time.Second),
		logger:   logger,
		follower: &follow.Follower{},
	}
	go s.bootstrap(t.Context())
	require.Eventually(t, func() bool { return !c.progress(t.Context()).Position.IsZero() }, 12*time.Second, 50*time.Millisecond)
	require.EqualValues(t, 1, slow.accepted.Load(), "one transfer, not several beside each other")
}
