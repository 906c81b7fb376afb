package platform_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"toucangap/internal/platform"
	"toucangap/internal/platform/gateway"
	standin "toucangap/standin/platform"
)

// harness is a client with a simulated store, run in virtual time.
type harness struct {
	*platform.Client
	service    *standin.Server
	pipeServer *standin.PipeServer
}

// runInVirtualTime runs the test in virtual time (testing/synctest).
func runInVirtualTime(t *testing.T, change func(*platform.Options), test func(t *testing.T, ctx context.Context, h *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		service := standin.New(1)
		pipeServer := standin.NewPipeServer(service)
		calls, watches := pipeServer.Transport(), pipeServer.Transport()
		options := platform.Options{
			Addresses:      []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")},
			Prefix:         "tg/",
			Clock:          platform.SystemClock{},
			Rand:           rand.New(rand.NewPCG(7, 7)),
			Transport:      calls,
			WatchTransport: watches,
		}
		if change != nil {
			change(&options)
		}
		client, err := platform.New(options)
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			calls.CloseIdleConnections()
			watches.CloseIdleConnections()
			service.Close()
			_ = pipeServer.Close()
		}()
		test(t, ctx, &harness{Client: client, service: service, pipeServer: pipeServer})
	})
}

func (h *harness) inject(t *testing.T, f standin.Fault) {
	t.Helper()
	require.NoError(t, h.service.Inject(f))
}

func TestCompareAndSwap(t *testing.T) {
	runInVirtualTime(t, nil, func(t *testing.T, ctx context.Context, h *harness) {
		_, err := h.Get(ctx, "a")
		require.ErrorIs(t, err, platform.ErrNotFound)
		first, err := h.CompareAndSwap(ctx, platform.Swap{Key: "a", Value: []byte("1")})
		require.NoError(t, err)
		_, err = h.CompareAndSwap(ctx, platform.Swap{Key: "a", Value: []byte("2")})
		var conflict *platform.ConflictError
		require.ErrorAs(t, err, &conflict)
		require.ErrorIs(t, err, platform.ErrConflict)
		require.Equal(t, "1", string(conflict.Current.Value))
		_, err = h.CompareAndSwap(ctx, platform.Swap{Key: "a", Value: []byte("2"), ModRevision: first})
		require.NoError(t, err)
		entry, err := h.Get(ctx, "a")
		require.NoError(t, err)
		require.Equal(t, "2", string(entry.Value))
		require.Equal(t, first, entry.CreateRevision)
		listing, err := h.List(ctx, "")
		require.NoError(t, err)
		require.Len(t, listing.Entries, 1)
	})
}

func TestListReadsEveryPage(t *testing.T) {
	runInVirtualTime(t, func(o *platform.Options) { o.CallBurst = 1e6 }, func(t *testing.T, ctx context.Context, h *harness) {
		const keys = 2500
		for i := range keys {
			put(t, ctx, h, fmt.Sprintf("k/%04d", i), "x")
		}
		listing, err := h.List(ctx, "k/")
		require.NoError(t, err)
		require.Len(t, listing.Entries, keys)
		require.Equal(t, "k/2499", listing.Entries[keys-1].Key)
	})
}

func TestLostResponseIsReportedAndSafeToRetry(t *testing.T) {
	runInVirtualTime(t, nil, func(t *testing.T, ctx context.Context, h *harness) {
		h.inject(t, standin.Fault{Kind: standin.FaultLostResponse, Count: 1})
		swap := platform.Swap{Key: "a", Value: []byte("mine")}
		_, err := h.CompareAndSwap(ctx, swap)
		require.ErrorIs(t, err, platform.ErrOutcomeUnknown)
		require.Equal(t, int64(1), h.service.Calls()[gateway.PathTxn], "a write is not retried by the client")
		_, err = h.CompareAndSwap(ctx, swap)
		var conflict *platform.ConflictError
		require.ErrorAs(t, err, &conflict)
		require.Equal(t, "mine", string(conflict.Current.Value))
	})
}

func TestUnreachableMeansNothingWritten(t *testing.T) {
	runInVirtualTime(t, nil, func(t *testing.T, ctx context.Context, h *harness) {
		h.pipeServer.SetPartitioned(true)
		_, err := h.CompareAndSwap(ctx, platform.Swap{Key: "a"})
		require.ErrorIs(t, err, platform.ErrUnreachable)
		require.NotErrorIs(t, err, platform.ErrOutcomeUnknown)
	})
}

func TestReadsAreRetriedWithinTheRetryBudget(t *testing.T) {
	runInVirtualTime(t, func(o *platform.Options) { o.CallsPerSecond, o.CallBurst = 1e6, 1e6 },
		func(t *testing.T, ctx context.Context, h *harness) {
			h.inject(t, standin.Fault{Kind: standin.FaultErrors, Count: 2})
			_, err := h.List(ctx, "")
			require.NoError(t, err)
			h.inject(t, standin.Fault{Kind: standin.FaultOutage})
			const calls = 200
			for range calls {
				_, err = h.List(ctx, "")
				require.ErrorIs(t, err, platform.ErrUnreachable)
			}
			stats := h.Stats()
			require.LessOrEqual(t, stats.Retries, int64(11), "at most the retry budget")
			require.LessOrEqual(t, stats.Calls, int64(calls+12))
		})
}

func TestCallBudgetRejectsCalls(t *testing.T) {
	runInVirtualTime(t, func(o *platform.Options) { o.CallsPerSecond, o.CallBurst = 1, 3 },
		func(t *testing.T, ctx context.Context, h *harness) {
			for range 3 {
				_, err := h.List(ctx, "")
				require.NoError(t, err)
			}
			registry := metrics.NewRegistry()
			require.NoError(t, h.Publish(registry))
			_, err := h.List(ctx, "")
			require.ErrorIs(t, err, platform.ErrBudgetExhausted)
			require.Equal(t, int64(3), registry.Get("platform.calls").(metrics.Gauge).Value())
			require.Equal(t, int64(1), registry.Get("platform.refused").(metrics.Gauge).Value())
			require.Equal(t, int64(3), h.service.Calls()[gateway.PathRange])
			time.Sleep(time.Second)
			_, err = h.List(ctx, "")
			require.NoError(t, err)
		})
}

func TestSlowResponseTimesOut(t *testing.T) {
	runInVirtualTime(t, nil, func(t *testing.T, ctx context.Context, h *harness) {
		h.inject(t, standin.Fault{Kind: standin.FaultSlow, DelayMs: 60_000})
		start := time.Now()
		_, err := h.CompareAndSwap(ctx, platform.Swap{Key: "a"})
		require.ErrorIs(t, err, platform.ErrOutcomeUnknown)
		require.Equal(t, platform.DefaultTimeout, time.Since(start))
	})
}

func TestLeaseExpiresWhilePaused(t *testing.T) {
	runInVirtualTime(t, nil, func(t *testing.T, ctx context.Context, h *harness) {
		lease, err := h.Grant(ctx, 10*time.Second)
		require.NoError(t, err)
		token, err := h.CompareAndSwap(ctx, platform.Swap{Key: "holder", Lease: lease.ID})
		require.NoError(t, err)
		guarded := platform.Swap{Key: "work", Guards: []platform.Guard{{Key: "holder", ModRevision: token}}}
		revision, err := h.CompareAndSwap(ctx, guarded)
		require.NoError(t, err)
		time.Sleep(8 * time.Second)
		_, err = h.KeepAlive(ctx, lease.ID)
		require.NoError(t, err)

		time.Sleep(11 * time.Second)
		_, err = h.KeepAlive(ctx, lease.ID)
		require.ErrorIs(t, err, platform.ErrNotFound)
		guarded.ModRevision = revision
		_, err = h.CompareAndSwap(ctx, guarded)
		require.ErrorIs(t, err, platform.ErrFenced)
		require.NoError(t, h.Revoke(ctx, lease.ID))
	})
}

// recorder is a transport that returns a fixed body and records requests.
type recorder struct {
	response string
	sent     []string
}

func (h *recorder) RoundTrip(request *http.Request) (*http.Response, error) {
	body, _ := io.ReadAll(request.Body)
	h.sent = append(h.sent, request.URL.String()+" "+string(body))
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(h.response))}, nil
}

// TestWireFormat checks requests and responses against the documented JSON of
// etcd's gateway, independently of the message types.
func TestWireFormat(t *testing.T) {
	wire := &recorder{response: `{"header":{"cluster_id":"14","member_id":"10","revision":"9","raft_term":"2"},` +
		`"responses":[{"response_range":{"header":{"revision":"9"},"count":"1","kvs":[` +
		`{"key":"dGcvYQ==","create_revision":"3","mod_revision":"8","version":"2","value":"djE="}]}}]}`}
	client, err := platform.New(platform.Options{
		Addresses: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")},
		Prefix:    "tg/", Clock: platform.SystemClock{}, Rand: rand.New(rand.NewPCG(1, 1)), Transport: wire,
	})
	require.NoError(t, err)
	swap := platform.Swap{Key: "a", Value: []byte("v2"), ModRevision: 7, Lease: 5}
	_, err = client.CompareAndSwap(context.Background(), swap)
	var conflict *platform.ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, &platform.Entry{Key: "a", Value: []byte("v1"), CreateRevision: 3, ModRevision: 8}, conflict.Current)
	require.Len(t, wire.sent, 1)
	url, body, _ := strings.Cut(wire.sent[0], " ")
	require.Equal(t, "http://127.0.0.1:1/v3/kv/txn", url)
	require.True(t, json.Valid([]byte(body)))
	require.JSONEq(t, `{"compare":[{"result":"EQUAL","target":"MOD","key":"dGcvYQ==","mod_revision":"7"}],`+
		`"success":[{"request_put":{"key":"dGcvYQ==","value":"djI=","lease":"5"}}],`+
		`"failure":[{"request_range":{"key":"dGcvYQ=="}}]}`, body)
}
