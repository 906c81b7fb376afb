package relayd

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"toucangap/internal/feed"
	"toucangap/internal/follow"
	"toucangap/platform"
)

// listedStore is a store that holds the secret and counts listings.
type listedStore struct{ listings int }

func (s *listedStore) List(context.Context, string, string, time.Duration) (platform.Page, error) {
	s.listings++
	secret := platform.Item{Key: platform.SecretKey, Value: []byte("secret"), Revision: 3, Incarnation: 1}
	return platform.Page{Items: []platform.Item{secret}, Revision: 9, Incarnation: 1}, nil
}

func (s *listedStore) Watch(_ context.Context, _ string, since uint64, _, _ time.Duration) (platform.Changes, error) {
	return platform.Changes{Revision: since, Incarnation: 1}, nil
}

func (s *listedStore) Incarnation() uint64 { return 1 }

// TestHostFedWithoutTheSecretReadsIt: a host starts while the store does not answer, and other
// hosts feed it without the secret. If its next call to the store only asks for later changes,
// it never learns the secret, and refuses the hosts that it is to feed for as long as it runs.
func TestHostFedWithoutTheSecretReadsIt(t *testing.T) {
	logger := slog.New(slog.DiscardHandler)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	server := &feed.Server{Source: largeState{}, Logger: logger, SilenceTimeout: time.Minute, BootTime: newClock().BootTime}
	go func() { _ = server.Serve(t.Context(), listener) }()

	c := newControl(newClock(), logger, metrics.NewRegistry(), time.Minute, time.Minute)
	c.onPublish = func() {}
	go c.run(t.Context())
	store := &listedStore{}
	s := &syncer{
		host: follow.Host{Name: "starting", Domain: "d"}, clock: c.clock, control: c, timings: follow.NewTimings(5 * time.Second),
		logger: logger, store: platform.NewStore(netip.MustParseAddrPort("127.0.0.1:1")),
		transfers: newHistogram(metrics.NewRegistry(), "transfers"),
	}
	s.follower = &follow.Follower{
		Store: store, Timings: s.timings, Logger: logger, BootTime: c.clock.BootTime,
		OnBatch: func(b follow.Batch) { c.apply(t.Context(), b) },
	}
	limited, end := context.WithCancel(t.Context())
	fed := make(chan struct{})
	go func() {
		defer close(fed)
		s.follow(t.Context(), follow.Host{Name: "peer", Domain: "d", Feed: netip.MustParseAddrPort(listener.Addr().String())}, limited)
	}()
	require.Eventually(t, func() bool { return !c.progress(t.Context()).Position.IsZero() }, 10*time.Second, 10*time.Millisecond)
	end()
	<-fed
	require.Nil(t, c.Secret(t.Context()))
	s.follower.Poll(t.Context())
	require.Equal(t, 1, store.listings)
	require.Equal(t, "secret", string(c.Secret(t.Context())))
}
