package relayd

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"toucangap/internal/follow"
	"toucangap/platform"
)

// TestIsolationIsProbedOnRequest: a host that took a refusal of the store for a lost path
// would send flows into an evacuated domain; one that probed without need would load the
// store.
func TestIsolationIsProbedOnRequest(t *testing.T) {
	c := newClock()
	control := newControl(c, slog.New(slog.DiscardHandler), metrics.NewRegistry(), time.Minute, time.Minute)
	var result error
	probes := 0
	i := &isolation{control: control, clock: c, maxAge: time.Hour, probe: func(context.Context) error {
		probes++
		return result
	}}
	i.isolated(false)
	i.check(t.Context())
	require.Zero(t, probes, "nobody asked")
	for _, p := range []struct {
		err  error
		want bool
	}{
		{nil, false},
		{merry.Prepend(platform.ErrStalled, "call the store"), true},
		{syscall.ECONNREFUSED, false},
		{merry.Prepend(os.ErrDeadlineExceeded, "dial"), true},
		{syscall.ECONNRESET, false},
	} {
		result = p.err
		i.isolated(true)
		i.check(t.Context())
		require.Equal(t, p.want, i.isolated(true), p.err)
	}
	i.silent.Store(true)
	i.askedAt.Store(0)
	i.check(t.Context())
	require.False(t, i.silent.Load(), "an old result does not count")
	i.maxAge = -time.Hour
	require.True(t, i.isolated(true), "the state is too old")
}

// TestProbeOfSilentStore: the error of a call that a silent store never answers must count
// as a time-out.
func TestProbeOfSilentStore(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	c := newClock()
	control := newControl(c, slog.New(slog.DiscardHandler), metrics.NewRegistry(), time.Minute, time.Minute)
	store := platform.NewStore(netip.MustParseAddrPort(listener.Addr().String()))
	i := newIsolation(control, c, store, follow.NewTimings(time.Second))
	require.True(t, timedOut(i.probe(t.Context())))
}
