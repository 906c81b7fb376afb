package relayd

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"toucangap/internal/catalog"
	"toucangap/internal/follow"
	"toucangap/internal/settings"
	"toucangap/platform"
	"toucangap/platform/platformtest"
)

const (
	// monitorBound is the bound on changes of a monitored host: short, so that its state
	// is old soon.
	monitorBound = 1200 * time.Millisecond
	// monitorWait bounds the wait for what a monitored host should do.
	monitorWait = 30 * time.Second
)

// faultyStore answers reads, or does what fault does if it is not nil.
type faultyStore struct {
	fault atomic.Pointer[http.HandlerFunc]
}

func (s *faultyStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if fault := s.fault.Load(); fault != nil {
		(*fault)(w, r)
		return
	}
	platformtest.AnswerRead(w, "1", 9)
}

// logLines is an io.Writer that several goroutines may use.
type logLines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logLines) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

func (l *logLines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// monitoredHost is a host's syncer, control goroutine and monitor with a store.
type monitoredHost struct {
	store   faultyStore
	lines   logLines
	control *control
	syncer  *syncer
	monitor *stalenessMonitor
}

// startMonitoredHost starts the goroutines of a host and waits until its state is current.
func startMonitoredHost(t *testing.T, prepare func(h *monitoredHost)) *monitoredHost {
	h := &monitoredHost{}
	server := httptest.NewServer(&h.store)
	t.Cleanup(server.Close)
	logger := slog.New(slog.NewTextHandler(&h.lines, nil))
	registry := metrics.NewRegistry()
	h.control = newControl(newClock(), logger, registry, time.Minute, time.Minute)
	h.control.onPublish = func() {}
	store := platform.NewStore(netip.MustParseAddrPort(server.Listener.Addr().String()))
	h.syncer = &syncer{
		host: follow.Host{Name: "a", Domain: "d"}, clock: h.control.clock, control: h.control, store: store,
		timings: follow.NewTimings(monitorBound), logger: logger, retryAt: make(map[string]time.Duration),
		transfers: newHistogram(registry, "update_transfer_milliseconds"),
	}
	h.syncer.follower = &follow.Follower{
		Store: store, Timings: h.syncer.timings, Logger: logger, BootTime: h.control.clock.BootTime,
		OnBatch: func(b follow.Batch) { h.control.apply(t.Context(), b) },
	}
	h.monitor = newStalenessMonitor(h.syncer, monitorBound)
	if prepare != nil {
		prepare(h)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, run := range []func(context.Context){h.control.run, h.syncer.run, h.monitor.run} {
		running.Go(func() { run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	h.awaitCurrent(t)
	return h
}

// awaitCurrent waits until the host's state is current.
func (h *monitoredHost) awaitCurrent(t *testing.T) {
	require.Eventually(t, func() bool {
		return h.control.asOf.Load() > 0 && h.control.age() < monitorBound && h.monitor.reason() == ""
	},
		monitorWait, time.Millisecond)
}

// awaitReason waits until the host's state is old for the reason.
func (h *monitoredHost) awaitReason(t *testing.T, want staleReason) {
	require.Eventually(t, func() bool { return h.monitor.reason() == want }, monitorWait, time.Millisecond)
}

// serve lets the host know a route with an endpoint.
func (h *monitoredHost) serve(t *testing.T) {
	h.apply(t, platformtest.ConfigurationKey, platformtest.Configuration(3))
	h.apply(t, platformtest.EndpointKey("i-1"), platformtest.Entry("ready", 1, 1))
}

// apply changes a key to a value, at a position later than the store's.
func (h *monitoredHost) apply(t *testing.T, key, value string) {
	position := catalog.Position{Incarnation: 1, Revision: 10}
	h.control.apply(t.Context(), follow.Batch{Position: position, Changes: []platform.Change{{
		Item: platform.Item{Key: key, Value: []byte(value), Revision: position.Revision, Incarnation: position.Incarnation},
	}}})
}

func requireReady(t *testing.T, r *readiness) {
	ready, reason := r.ready()
	require.True(t, ready, reason)
}

// TestFaultsOfTheStoreAreNamed guards against a host that keeps an old state while a line
// says that the store is unreachable or no line says anything, and against routers that
// leave all hosts in an outage of the store.
func TestFaultsOfTheStoreAreNamed(t *testing.T) {
	for want, fault := range map[staleReason]http.HandlerFunc{
		reasonSourceSilent: func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		reasonUnreadable:   func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "<html>not the store</html>") },
		reasonRejected:     func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		reasonOutdated:     func(w http.ResponseWriter, _ *http.Request) { platformtest.AnswerRead(w, "0", 9) },
	} {
		t.Run(string(want), func(t *testing.T) {
			t.Parallel()
			h := startMonitoredHost(t, nil)
			h.serve(t)
			h.store.fault.Store(&fault)
			h.awaitReason(t, want)
			require.EqualValues(t, 1, h.monitor.old())
			requireReady(t, &readiness{control: h.control, stale: h.monitor.reason})
			h.store.fault.Store(nil)
			h.awaitCurrent(t)
			require.Zero(t, h.monitor.old())
			require.Positive(t, h.monitor.times.Load())
			require.Regexp(t, `level=WARN msg="state of the store is old" event=9028 reason=`+string(want)+` view_age=\S+ version=3 `+
				`incarnation=1 revision=10 source=store .*store_error=.* busy_for=`, h.lines.String())
			require.Regexp(t, `event=9029 reason=`+string(want)+` old_for=\S+ view_age=`, h.lines.String())
		})
	}
}

// TestBusyControlGoroutineIsNamed guards against a host that applies nothing any more while
// its calls to the store seem to be in order, and against a status that waits for it.
func TestBusyControlGoroutineIsNamed(t *testing.T) {
	h := startMonitoredHost(t, nil)
	h.serve(t)
	ready := &readiness{control: h.control, stale: h.monitor.reason}
	requireReady(t, ready)
	blocked := make(chan struct{})
	unblock := sync.OnceFunc(func() { close(blocked) })
	t.Cleanup(unblock)
	go h.control.do(t.Context(), "test", func() { <-blocked })
	h.awaitReason(t, reasonApplyingBusy)
	isReady, reason := ready.ready()
	require.False(t, isReady)
	require.Equal(t, "state is old", reason)
	require.Zero(t, h.monitor.interruptions.Load(), "the source is not at fault")
	require.Positive(t, h.control.busyFor())
	require.Regexp(t, `event=9028 reason=applying_busy .* busy_for=\S+ busy_with=test`, h.lines.String())
	q := &queries{daemon: &Daemon{
		settings: &settings.Relay{Name: "a"}, control: h.control, staleness: h.monitor, timings: h.syncer.timings,
		ready: ready,
	}}
	status, err := q.Status(t.Context())
	require.NoError(t, err)
	require.Equal(t, "applying_busy", status.Platform)
	unblock()
	h.awaitCurrent(t)
	require.Contains(t, h.lines.String(), "event=9029 reason=applying_busy")
	requireReady(t, ready)
}
