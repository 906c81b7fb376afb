package fabric

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/standin/exchange"
	"toucangap/standin/rotation"
)

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

func newFabric(t *testing.T, i Impairment) *Fabric {
	hosts := rotation.New([]rotation.Member{{Traffic: anyPort}})
	f, err := Listen(anyPort, hosts, i, 1)
	require.NoError(t, err)
	t.Cleanup(func() { f.connection.Close() })
	return f
}

// impairedDelays impairs n packets from a fixed seed. It returns the delays of
// the copies of each packet, and the fabric's counters.
func impairedDelays(t *testing.T, i Impairment, n int) ([][]time.Duration, Counts) {
	f := newFabric(t, i)
	random := exchange.Random(7, "fates")
	out := make([][]time.Duration, 0, n)
	for range n {
		out = append(out, f.impair(random))
	}
	return out, f.Counts()
}

func TestImpairmentFollowsSeedAndShares(t *testing.T) {
	const packets = 10_000
	i := Impairment{
		Delay: time.Millisecond, Jitter: time.Millisecond, Loss: 0.1,
		Duplication: 0.2, Reordering: 0.3, ReorderDelay: 10 * time.Millisecond,
	}
	first, counts := impairedDelays(t, i, packets)
	second, _ := impairedDelays(t, i, packets)
	require.Equal(t, first, second)
	require.InDelta(t, 0.1*packets, counts.Lost, 150)
	require.InDelta(t, 0.9*0.2*packets, counts.Duplicated, 200)
	require.InDelta(t, 0.9*0.3*packets, counts.Reordered, 200)
	for _, delays := range first {
		for _, d := range delays {
			require.GreaterOrEqual(t, d, i.Delay)
		}
	}
	plain, _ := impairedDelays(t, Impairment{}, 1)
	require.Equal(t, [][]time.Duration{{0}}, plain)
}

func TestAddressOpensOnce(t *testing.T) {
	f := newFabric(t, Impairment{})
	caller := netip.MustParseAddrPort("10.0.0.1:20000")
	port, err := f.Open(caller)
	require.NoError(t, err)
	_, err = f.Open(caller)
	require.ErrorIs(t, err, ErrAddressInUse)
	port.Close()
	_, err = f.Open(caller)
	require.NoError(t, err)
}
