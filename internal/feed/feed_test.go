package feed

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/internal/catalog"
	"toucangap/internal/feed/feedpb"
	"toucangap/internal/follow"
	"toucangap/platform"
	"toucangap/platform/platformtest"
)

// fakeSource is a server's source with a fixed batch.
type fakeSource struct {
	mu      sync.Mutex
	secret  []byte
	batch   follow.Batch
	changed chan struct{}
	asked   []follow.Progress
}

func newSource(asOf time.Duration) *fakeSource {
	return &fakeSource{
		secret:  []byte("the hosts' secret"),
		changed: make(chan struct{}),
		batch: follow.Batch{Complete: true, Position: catalog.Position{Incarnation: 1, Revision: 7}, AsOf: asOf, Changes: []platform.Change{
			{Item: platform.Item{Key: platform.SecretKey, Value: []byte("the hosts' secret"), Revision: 2, Incarnation: 1}},
			{Item: platform.Item{Key: platformtest.EndpointKey("i-1"), Value: []byte("v"), Revision: 3, Incarnation: 1}},
			{Item: platform.Item{Key: platformtest.EndpointKey("i-2"), Revision: 4, Incarnation: 1}, Removed: true},
		}},
	}
}

func (s *fakeSource) Secret(context.Context) []byte { return s.secret }

func (s *fakeSource) Since(_ context.Context, client follow.Progress) (follow.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked = append(s.asked, client)
	return s.batch, nil
}

func (s *fakeSource) Changed() <-chan struct{} { return s.changed }

// clockAt returns a clock that starts at the given reading.
func clockAt(reading time.Duration) func() time.Duration {
	begun := time.Now()
	return func() time.Duration { return reading + time.Since(begun) }
}

// serveOn serves the source on a loopback address.
func serveOn(t *testing.T, source Source, bootTime func() time.Duration) follow.Host {
	return serveWith(t, &Server{Source: source, BootTime: bootTime})
}

// serveWith starts the server on a loopback address.
func serveWith(t *testing.T, server *Server) follow.Host {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	server.Logger, server.SilenceTimeout = slog.New(slog.DiscardHandler), 5*time.Second
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		listener.Close()
		require.NoError(t, <-done)
	})
	return follow.Host{Name: "peer", Feed: netip.MustParseAddrPort(listener.Addr().String())}
}

// firstBatch follows the peer until the first batch.
func firstBatch(t *testing.T, peer follow.Host, c Client) (batch follow.Batch, err error) {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	c.Host, c.PingInterval, c.SilenceTimeout = "me", time.Second, 5*time.Second
	c.OnConnected = func() {}
	c.OnBatch = func(b follow.Batch) {
		batch = b
		cancel()
	}
	return batch, c.Follow(ctx, peer)
}

func TestUpdateArrivesWhole(t *testing.T) {
	source := newSource(40 * time.Second)
	peer := serveOn(t, source, clockAt(42*time.Second))
	progress := follow.Progress{Position: catalog.Position{Incarnation: 1, Revision: 5}, Version: 3}
	batch, _ := firstBatch(t, peer, Client{Secret: source.secret, Progress: progress, MaxAge: time.Minute, BootTime: clockAt(1000 * time.Second)})
	require.Equal(t, source.batch.Changes, batch.Changes)
	require.Equal(t, source.batch.Position, batch.Position)
	require.True(t, batch.Complete)
	require.Equal(t, []follow.Progress{progress}, source.asked[:1])
	// Two seconds old on the server's clock, at least as old on the client's.
	require.LessOrEqual(t, batch.AsOf, 998*time.Second)
	require.Greater(t, batch.AsOf, 990*time.Second)
}

// TestUnauthenticatedClientGetsNoSecret checks that a host that starts without
// the secret gets everything else, and knows that the secret is left out.
func TestUnauthenticatedClientGetsNoSecret(t *testing.T) {
	source := newSource(0)
	peer := serveOn(t, source, clockAt(0))
	batch, _ := firstBatch(t, peer, Client{MaxAge: time.Minute, BootTime: clockAt(0)})
	require.Equal(t, source.batch.Changes[1:], batch.Changes)
	require.Equal(t, []string{platform.SecretKey}, batch.Withheld)
	batch, _ = firstBatch(t, peer, Client{Secret: source.secret, MaxAge: time.Minute, BootTime: clockAt(0)})
	require.Empty(t, batch.Withheld)
}

func TestBothEndsAuthenticate(t *testing.T) {
	source := newSource(0)
	peer := serveOn(t, source, clockAt(0))
	_, err := firstBatch(t, peer, Client{Secret: []byte("another"), MaxAge: time.Minute, BootTime: clockAt(0)})
	require.ErrorIs(t, err, ErrProof, "the client checks the server")

	conn, err := net.Dial("tcp4", peer.Feed.String())
	require.NoError(t, err)
	defer conn.Close()
	c := newConnection(conn)
	require.NoError(t, c.send(&feedpb.Hello{Host: "x", Nonce: newNonce()}, time.Second))
	var challenge feedpb.Challenge
	require.NoError(t, c.receive(&challenge, 5*time.Second))
	require.NoError(t, c.send(&feedpb.Subscribe{Proof: challenge.Proof}, time.Second), "the server's own proof, reflected")
	var update feedpb.News
	require.Error(t, c.receive(&update, 5*time.Second))
}

func TestStalePeerEndsAFeed(t *testing.T) {
	source := newSource(10 * time.Second)
	peer := serveOn(t, source, clockAt(100*time.Second))
	var taken bool
	c := Client{
		Host: "me", Secret: source.secret, PingInterval: time.Second, SilenceTimeout: 5 * time.Second, MaxAge: 2 * time.Second,
		BootTime: clockAt(0), OnConnected: func() {}, OnBatch: func(follow.Batch) { taken = true },
	}
	require.ErrorIs(t, c.Follow(t.Context(), peer), ErrStale)
	require.True(t, taken, "a stale update is still delivered")
}

// TestDelayedUpdateLooksOld checks that a message that was delayed by a network
// partition does not count as current when it arrives.
func TestDelayedUpdateLooksOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bootTime := clockAt(50 * time.Second)
		update := &feedpb.News{StampUs: bootTime().Microseconds(), AgeUs: 1_000_000, HeldUs: 200_000}
		want := 49200 * time.Millisecond
		require.Equal(t, want, currentAsOf(update))
		time.Sleep(time.Hour)
		require.Equal(t, want, currentAsOf(update))
	})
}

// TestFeedsAcrossARestore: one of the two hosts has not seen a restore of the store
// yet. A server that is behind sends nothing; a client that is behind receives the
// whole state of the later incarnation.
func TestFeedsAcrossARestore(t *testing.T) {
	source := newSource(0)
	peer := serveOn(t, source, clockAt(0))
	ahead := follow.Progress{Position: catalog.Position{Incarnation: 2, Revision: 3}}
	batch, err := firstBatch(t, peer, Client{Secret: source.secret, Progress: ahead, MaxAge: time.Minute, BootTime: clockAt(0)})
	require.Error(t, err)
	require.Zero(t, batch)

	source = newSource(0)
	source.batch.Position = catalog.Position{Incarnation: 3, Revision: 2}
	source.batch.Changes[1].Incarnation = 3
	batch, _ = firstBatch(t, serveOn(t, source, clockAt(0)), Client{Secret: source.secret, Progress: ahead, MaxAge: time.Minute, BootTime: clockAt(0)})
	require.Equal(t, source.batch.Position, batch.Position)
	require.EqualValues(t, 3, batch.Changes[1].Incarnation)
}

// TestClientLeavesAServerThatFellBehind: updates of an earlier incarnation are not
// delivered, whatever they contain.
func TestClientLeavesAServerThatFellBehind(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	server := newConnection(far)
	delivered := false
	c := Client{
		Progress:       follow.Progress{Position: catalog.Position{Incarnation: 2, Revision: 3}},
		SilenceTimeout: 5 * time.Second, BootTime: clockAt(0), OnBatch: func(follow.Batch) { delivered = true },
	}
	go func() { _ = server.send(&feedpb.News{Complete: true, Revision: 90, Incarnation: 1}, time.Second) }()
	require.ErrorIs(t, c.receiveUpdate(newConnection(near), "peer"), ErrBehind)
	require.False(t, delivered)
}
