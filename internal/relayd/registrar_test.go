package relayd

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"toucangap/internal/catalog"
	"toucangap/internal/event"
	"toucangap/internal/follow"
	"toucangap/platform"
	"toucangap/platform/platformtest"
)

// registrarStore responds to a registrar's calls, reports them, and states the
// incarnation.
type registrarStore struct {
	incarnation string
	calls       chan string
}

func (s *registrarStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	platformtest.Accept(w, s.incarnation, 9)
	s.calls <- fmt.Sprintf("%s %s", r.URL.Path, body)
}

// announced is an io.Writer of log lines that reports each registration.
type announced chan struct{}

func (a announced) Write(line []byte) (int, error) {
	if strings.Contains(string(line), fmt.Sprintf("event=%d ", event.HostAnnounced)) {
		a <- struct{}{}
	}
	return len(line), nil
}

// startRegistrar starts the registrar of host a, with the replica's state given, and
// waits until it is registered. It returns the calls that this took.
func startRegistrar(t *testing.T, s *registrarStore, state follow.Batch) (r *registrar, c *control, calls string) {
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	registered := make(announced, 1)
	logger := slog.New(slog.NewTextHandler(registered, nil))
	c = newControl(newClock(), logger, metrics.NewRegistry(), time.Minute, time.Minute)
	c.onPublish = func() {}
	go c.run(t.Context())
	c.apply(t.Context(), state)
	r = newRegistrar(
		follow.Host{Name: "a", Domain: "d", Feed: netip.MustParseAddrPort("127.0.0.1:1")},
		platform.NewStore(netip.MustParseAddrPort(server.Listener.Addr().String())), c, logger, time.Second)
	r.start(t.Context())
	<-registered
	for len(s.calls) > 0 {
		calls += <-s.calls + "\n"
	}
	return r, c, calls
}

// TestStoppingHostDoesNotRegisterAgain: a host that is shutting down sees that its
// registration is gone from the store, and must not take that for a lapsed lease. It
// removes the key only as it wrote it, and never by the lease's ID.
func TestStoppingHostDoesNotRegisterAgain(t *testing.T) {
	s := &registrarStore{incarnation: "1", calls: make(chan string, 10)}
	secret := platform.Change{Item: platform.Item{Key: platform.SecretKey, Value: []byte("s"), Revision: 4, Incarnation: 1}}
	r, _, calls := startRegistrar(t, s, follow.Batch{
		Complete: true, Position: catalog.Position{Incarnation: 1, Revision: 5}, Changes: []platform.Change{secret},
	})
	require.Contains(t, calls, platformtest.Registration("a"))
	r.deregister(t.Context())
	removal := <-s.calls
	condition, removed := platformtest.Removal("a", 9)
	require.Contains(t, removal, condition)
	require.Contains(t, removal, removed)
	select {
	case <-r.ended:
	default:
		t.Fatal("the registrar still runs")
	}
}

// TestLostSecretIsWrittenAgain: a restored store has lost the hosts' secret. A host
// that registers writes the one that the hosts use, not a new one.
func TestLostSecretIsWrittenAgain(t *testing.T) {
	s := &registrarStore{incarnation: "2", calls: make(chan string, 10)}
	secret := platform.Change{Item: platform.Item{Key: platform.SecretKey, Value: []byte("known"), Revision: 4, Incarnation: 1}}
	r, c, _ := startRegistrar(t, s, follow.Batch{
		Complete: true, Position: catalog.Position{Incarnation: 1, Revision: 5}, Changes: []platform.Change{secret},
	})
	r.deregister(t.Context())
	<-s.calls
	c.apply(t.Context(), follow.Batch{Complete: true, Position: catalog.Position{Incarnation: 2, Revision: 3}})
	again := newRegistrar(r.host, r.store, c, r.logger, time.Second)
	again.start(t.Context())
	written := <-s.calls
	condition, value := platformtest.SecretCreation("known")
	require.Contains(t, written, value)
	require.Contains(t, written, condition)
}

// TestShutdownDuringTheStart: SIGTERM arrives before the host has begun to register. It
// must neither fail nor register.
func TestShutdownDuringTheStart(t *testing.T) {
	c := newControl(newClock(), slog.New(slog.DiscardHandler), metrics.NewRegistry(), time.Minute, time.Minute)
	store := platform.NewStore(netip.MustParseAddrPort("127.0.0.1:1"))
	r := newRegistrar(follow.Host{Name: "a"}, store, c, slog.New(slog.DiscardHandler), time.Second)
	done := make(chan struct{})
	go func() {
		r.deregister(t.Context())
		close(done)
	}()
	<-r.stopping
	r.start(t.Context())
	<-done
	<-r.ended
	require.Zero(t, store.Calls())
}
