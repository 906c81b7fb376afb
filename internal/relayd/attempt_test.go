package relayd

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protodelim"

	"toucangap/internal/catalog"
	"toucangap/internal/feed"
	"toucangap/internal/feed/feedpb"
	"toucangap/internal/follow"
	"toucangap/platform"
)

// hangingStore is a store whose watches ignore their time-out while hangs is set.
type hangingStore struct {
	follow.Store
	hangs atomic.Bool
	// cause is why the first of them ended.
	cause atomic.Pointer[error]
}

func (s *hangingStore) Watch(ctx context.Context, prefix string, since uint64, wait, stall time.Duration) (platform.Changes, error) {
	if !s.hangs.Load() {
		return s.Store.Watch(ctx, prefix, since, wait, stall)
	}
	<-ctx.Done()
	cause := context.Cause(ctx)
	s.cause.CompareAndSwap(nil, &cause)
	return platform.Changes{}, cause
}

// peerState is the state of a host with the position of the tests' store, as of asOf or, if
// that is nil, of the present.
type peerState struct {
	clock *clock
	asOf  atomic.Pointer[time.Duration]
}

func (p *peerState) Secret(context.Context) []byte { return []byte("secret") }
func (p *peerState) Changed() <-chan struct{}      { return nil }

func (p *peerState) Since(context.Context, follow.Progress) (follow.Batch, error) {
	b := follow.Batch{Position: catalog.Position{Incarnation: 1, Revision: 10}, AsOf: p.clock.BootTime()}
	if asOf := p.asOf.Load(); asOf != nil {
		b.AsOf = *asOf
	}
	return b, nil
}

// mutedListener accepts connections that swallow what is written to them while silent.
type mutedListener struct {
	net.Listener
	silent atomic.Bool
}

func (l *mutedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &mutedConn{Conn: c, silent: &l.silent}, err
}

type mutedConn struct {
	net.Conn
	silent *atomic.Bool
}

func (c *mutedConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func listenAsPeer(t *testing.T) *mutedListener {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	return &mutedListener{Listener: listener}
}

// register lets the host know another one, "b", of a capacity by which it may be this
// host's upstream or not.
func (h *monitoredHost) register(t *testing.T, listener net.Listener, capacity int) {
	b := follow.Host{Name: "b", Domain: "d", Feed: netip.MustParseAddrPort(listener.Addr().String()), Capacity: capacity}
	value, err := b.Encode()
	require.NoError(t, err)
	h.apply(t, platform.HostKey("b"), string(value))
}

// servePeer sends the feed of a host with the state.
func servePeer(t *testing.T, listener net.Listener, state *peerState) {
	server := &feed.Server{
		Source: state, Logger: slog.New(slog.DiscardHandler), SilenceTimeout: time.Minute, BootTime: state.clock.BootTime,
	}
	go func() { _ = server.Serve(t.Context(), listener) }()
}

// awaitNewerThan waits until the host's state is current as of a later time than that.
func (h *monitoredHost) awaitNewerThan(t *testing.T, asOf time.Duration) {
	require.Eventually(t, func() bool { return time.Duration(h.control.asOf.Load()) > asOf }, monitorWait, time.Millisecond)
}

// awaitLine waits for a line of the host's log with the text.
func (h *monitoredHost) awaitLine(t *testing.T, text string) {
	require.Eventually(t, func() bool { return strings.Contains(h.lines.String(), text) }, monitorWait, time.Millisecond)
}

// TestStoreCallThatIgnoresItsTimeout guards against a host that waits for a call to the
// store while another host knows the present state.
func TestStoreCallThatIgnoresItsTimeout(t *testing.T) {
	listener := listenAsPeer(t)
	var store *hangingStore
	h := startMonitoredHost(t, func(h *monitoredHost) {
		store = &hangingStore{Store: h.syncer.store}
		h.syncer.follower.Store, h.syncer.host.Capacity = store, 2
		servePeer(t, listener, &peerState{clock: h.control.clock})
	})
	h.register(t, listener, 1)
	store.hangs.Store(true)
	h.awaitLine(t, "event=9030 reason=source_silent")
	h.awaitLine(t, "event=9010 host=b")
	h.awaitNewerThan(t, h.control.clock.BootTime())
	require.ErrorIs(t, *store.cause.Load(), errInterrupted)
	require.Positive(t, h.monitor.interruptions.Load())
}

// TestFeedThatFallsSilent guards against a host that waits for a feed whose connection
// stays open.
func TestFeedThatFallsSilent(t *testing.T) {
	listener := listenAsPeer(t)
	h := startMonitoredHost(t, func(h *monitoredHost) { servePeer(t, listener, &peerState{clock: h.control.clock}) })
	h.register(t, listener, 9)
	h.awaitLine(t, "event=9010 host=b")
	listener.silent.Store(true)
	h.awaitNewerThan(t, h.control.clock.BootTime()+h.syncer.timings.SilenceTimeout)
}

// TestFeedOfAFrozenHost guards against a host that follows another one whose state no
// longer becomes more current, as that host states.
func TestFeedOfAFrozenHost(t *testing.T) {
	listener := listenAsPeer(t)
	var state *peerState
	h := startMonitoredHost(t, func(h *monitoredHost) {
		state = &peerState{clock: h.control.clock}
		servePeer(t, listener, state)
	})
	h.register(t, listener, 9)
	h.awaitLine(t, "event=9010 host=b")
	frozen := h.control.clock.BootTime()
	state.asOf.Store(&frozen)
	h.awaitNewerThan(t, frozen+monitorBound)
}

// TestFeedThatStatesNoAge guards against a host that follows a feed for ever whose messages
// keep coming, but never with a state of a known age.
func TestFeedThatStatesNoAge(t *testing.T) {
	listener := listenAsPeer(t)
	go serveParts(listener)
	h := startMonitoredHost(t, func(h *monitoredHost) { h.monitor.detector.transferLimit = monitorBound })
	h.register(t, listener, 9)
	h.awaitLine(t, "event=9010 host=b")
	connected := h.control.clock.BootTime()
	h.awaitLine(t, "event=9030 reason=source_old")
	h.awaitNewerThan(t, connected+monitorBound)
}

// serveParts accepts clients of a feed and sends them partial updates only.
func serveParts(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			reader := bufio.NewReader(conn)
			if protodelim.UnmarshalFrom(reader, new(feedpb.Hello)) != nil {
				return
			}
			go func() { _, _ = io.Copy(io.Discard, reader) }()
			if _, err := protodelim.MarshalTo(conn, &feedpb.Challenge{Nonce: []byte("n")}); err != nil {
				return
			}
			for {
				if _, err := protodelim.MarshalTo(conn, &feedpb.News{Partial: true, Incarnation: 1, Revision: 10}); err != nil {
					return
				}
				time.Sleep(10 * time.Millisecond)
			}
		}()
	}
}

// TestReceivedBytesCountForTheirAttempt guards against an answer that counts for another
// attempt than the one that waits for it, such as one of a registration.
func TestReceivedBytesCountForTheirAttempt(t *testing.T) {
	s := &syncer{clock: newClock()}
	s.received(t.Context())
	interrupted := s.try(t.Context(), func(ctx context.Context) {
		a := s.attempt.Load()
		a.receivedAt.Store(-1)
		s.received(t.Context())
		require.EqualValues(t, -1, a.receivedAt.Load())
		s.received(ctx)
		require.GreaterOrEqual(t, time.Duration(a.receivedAt.Load()), a.begunAt)
		s.interrupt()
		require.ErrorIs(t, context.Cause(ctx), errInterrupted)
	})
	require.True(t, interrupted)
	require.False(t, s.try(t.Context(), func(context.Context) {}))
	require.Nil(t, s.attempt.Load())
	s.interrupt()
}
