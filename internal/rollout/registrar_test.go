package rollout

import (
	"context"
	"log/slog"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/internal/config"
	"toucangap/internal/platform"
	standin "toucangap/standin/platform"
)

func testHostEntry(incarnation uint64) config.Host {
	return config.Host{
		Name: "host-1", Domain: "gavle", Group: "all",
		Packets:     netip.MustParseAddrPort("127.0.0.1:7001"),
		Control:     netip.MustParseAddrPort("127.0.0.1:7002"),
		Probe:       netip.MustParseAddrPort("127.0.0.1:7003"),
		Incarnation: incarnation, State: config.HostLive,
	}
}

// register runs a registrar and returns it with the channel of Run's result.
func (r *harness) register(t *testing.T, ctx context.Context, host config.Host) (*Registrar, *standin.PipeServer, <-chan error) {
	t.Helper()
	client, link := r.client(t)
	registrar := NewRegistrar(client, slog.New(slog.DiscardHandler), host)
	done := make(chan error, 1)
	go func() { done <- registrar.Run(ctx) }()
	time.Sleep(time.Second)
	synctest.Wait()
	return registrar, link, done
}

func TestRegistrationIsKeptAliveAndFencesAPausedHost(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, ctx context.Context, r *harness) {
		registrar, link, _ := r.register(t, ctx, testHostEntry(1))
		client, _ := r.client(t)
		time.Sleep(time.Hour)
		hosts, err := Hosts(ctx, client)
		require.NoError(t, err)
		require.Equal(t, []config.Host{testHostEntry(1)}, hosts)
		guard, alive := registrar.Guard()
		require.True(t, alive)
		_, err = client.CompareAndSwap(ctx, platform.Swap{Key: "work", Guards: []platform.Guard{guard}})
		require.NoError(t, err)

		// The lease expires while the holder can't notice, as in a pause.
		link.SetPartitioned(true)
		r.inject(t, standin.Fault{Kind: standin.FaultExpireLeases})
		_, alive = registrar.Guard()
		require.True(t, alive)
		_, err = client.CompareAndSwap(ctx, platform.Swap{Key: "more", Guards: []platform.Guard{guard}})
		require.ErrorIs(t, err, platform.ErrFenced)
		time.Sleep(2 * RegistrationTTL)
		_, alive = registrar.Guard()
		require.False(t, alive, "the lease has expired by its own clock")

		link.SetPartitioned(false)
		time.Sleep(2 * time.Minute)
		fresh, alive := registrar.Guard()
		require.True(t, alive)
		require.Greater(t, fresh.ModRevision, guard.ModRevision)
	})
}

func TestRegistrationEndsForANewerIncarnation(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, ctx context.Context, r *harness) {
		r.inject(t, standin.Fault{Kind: standin.FaultLostResponse, Count: 2})
		old, _, ended := r.register(t, ctx, testHostEntry(1))
		outdated, _ := old.Guard()
		newer, _, _ := r.register(t, ctx, testHostEntry(2))
		guard, alive := newer.Guard()
		require.True(t, alive)
		client, _ := r.client(t)
		_, err := client.CompareAndSwap(ctx, platform.Swap{Key: "work", Guards: []platform.Guard{outdated}})
		require.ErrorIs(t, err, platform.ErrFenced)
		_, err = client.CompareAndSwap(ctx, platform.Swap{Key: "work", Guards: []platform.Guard{guard}})
		require.NoError(t, err)
		require.ErrorIs(t, <-ended, ErrSuperseded)
		require.NoError(t, old.Withdraw(ctx))
		hosts, err := Hosts(ctx, client)
		require.NoError(t, err)
		require.Equal(t, []config.Host{testHostEntry(2)}, hosts, "revoking the old lease keeps the new entry")
		require.NoError(t, newer.Withdraw(ctx))
		hosts, err = Hosts(ctx, client)
		require.NoError(t, err)
		require.Empty(t, hosts)
	})
}
