package platform_test

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/internal/platform"
	standin "toucangap/standin/platform"
)

// TestOverLoopback checks over TCP that the client's own transports open two
// connections: one for all calls and one for the watch.
func TestOverLoopback(t *testing.T) {
	service := standin.New(1)
	defer service.Close()
	var opened atomic.Int64
	server := httptest.NewUnstartedServer(service)
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	client, err := platform.New(platform.Options{
		Addresses: []netip.AddrPort{netip.MustParseAddrPort(server.Listener.Addr().String())},
		Prefix:    "tg/",
		Timeout:   time.Minute,
		WatchIdle: time.Hour,
		Clock:     platform.SystemClock{},
		Rand:      rand.New(rand.NewPCG(1, 1)),
	})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	changes := client.Watch(ctx, platform.KeyRange("a"))
	require.Equal(t, platform.ChangeReset, (<-changes).Kind)
	var revision int64
	for range 5 {
		revision, err = client.CompareAndSwap(ctx, platform.Swap{Key: "a", Value: []byte("x"), ModRevision: revision})
		require.NoError(t, err)
		require.Equal(t, revision, (<-changes).Revision)
	}
	require.Equal(t, int64(2), opened.Load())
	cancel()
	for range changes {
	}
}
