package rotation

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/internal/adminapi"
)

func TestLeavingHostIsTakenOutAndPutBack(t *testing.T) {
	var leaving atomic.Bool
	var checks atomic.Int32
	admin := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		checks.Add(1)
		state := "live"
		if leaving.Load() {
			state = "leaving"
		}
		_ = json.NewEncoder(w).Encode(adminapi.Status{State: state})
	}))
	defer admin.Close()
	watched := netip.MustParseAddrPort("127.0.0.1:1")
	other := netip.MustParseAddrPort("127.0.0.1:2")
	r := New([]Member{
		{Traffic: watched, Admin: netip.MustParseAddrPort(admin.Listener.Addr().String())},
		{Traffic: other},
	})
	r.Watch(t.Context())

	const timeout, picks = 30 * time.Second, 100
	random := rand.New(rand.NewPCG(1, 1))
	picked := func() bool {
		for range picks {
			if r.Pick(random) == watched {
				return true
			}
		}
		return false
	}
	require.True(t, picked())
	require.Eventually(t, func() bool { return checks.Load() > maxConsecutiveFailures+1 }, timeout, checkInterval)
	require.True(t, picked(), "live all the time")
	leaving.Store(true)
	require.Eventually(t, func() bool { return !picked() }, timeout, checkInterval)
	leaving.Store(false)
	require.Eventually(t, picked, timeout, checkInterval)
}

func TestPickWithAllMembersDown(t *testing.T) {
	only := netip.MustParseAddrPort("127.0.0.1:1")
	r := New([]Member{{Traffic: only}})
	r.up[0].Store(false)
	require.Equal(t, only, r.Pick(rand.New(rand.NewPCG(1, 1))))
}
