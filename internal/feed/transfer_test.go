package feed

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/internal/catalog"
	"toucangap/internal/feed/feedpb"
	"toucangap/internal/follow"
	"toucangap/platform"
)

const (
	// configurationBytes is the size of a configuration of some 4,400 routes.
	configurationBytes = 750_000
	// smallLink is the link of a small host in bits a second.
	smallLink = 10_000_000
	// hostClients is how many hosts one host feeds at most while all are up: eight of its
	// domain, and the first one of each of four others.
	hostClients = 12
	// changeBound is the time within which a change must be in force everywhere.
	changeBound = 5 * time.Second
	// feedBound is what the feeds may take of it: a third, since the store may take two;
	// see follow.Timings.
	feedBound = changeBound / 3
	// feedDepth is the number of feeds between the store and the last of 1,000 hosts of a
	// domain.
	feedDepth = 4
)

// logSource is a source with all changes of a store that were added.
type logSource struct {
	mu       sync.Mutex
	bootTime func() time.Duration
	changes  []platform.Change
	changed  chan struct{}
}

func newLogSource(bootTime func() time.Duration) *logSource {
	return &logSource{bootTime: bootTime, changed: make(chan struct{})}
}

// add adds the next changes.
func (s *logSource) add(changes ...platform.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range changes {
		c.Revision, c.Incarnation = uint64(len(s.changes)+1), 1
		s.changes = append(s.changes, c)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *logSource) Secret(context.Context) []byte { return []byte("secret") }

func (s *logSource) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

func (s *logSource) Since(_ context.Context, client follow.Progress) (follow.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return follow.Batch{
		Position: catalog.Position{Incarnation: 1, Revision: uint64(len(s.changes))},
		Changes:  append([]platform.Change(nil), s.changes[client.Position.Revision:]...),
		AsOf:     s.bootTime(),
	}, nil
}

// receiver is a host that follows a server's feed and connects again whenever that
// ends, as far as it has come.
type receiver struct {
	t        *testing.T
	progress follow.Progress
	// arrivals is when each key came, counted from the start; ended counts the feeds that
	// ended.
	arrivals map[string]time.Duration
	ended    int
	// next passes batches on; it may be nil.
	next *relayedReplica
}

// follow follows the server over the link until the context ends.
func (r *receiver) follow(ctx context.Context, server *Server, link *testLink) {
	bootTime := clockAt(0)
	timings := follow.NewTimings(changeBound)
	for ctx.Err() == nil {
		near, far := link.connect()
		go server.serve(ctx, near)
		client := Client{
			Host: "client", Secret: []byte("secret"), Progress: r.progress, BootTime: bootTime,
			PingInterval: timings.PingInterval, SilenceTimeout: timings.SilenceTimeout, MaxAge: timings.MaxAge,
			OnConnected: func() {},
			OnBatch:     func(b follow.Batch) { r.receive(bootTime(), b) },
		}
		err := client.run(ctx, far, "server")
		if ctx.Err() == nil {
			r.t.Logf("feed ended at %s: %v", bootTime(), err)
			r.ended++
		}
	}
}

// receive records a batch and checks that it is complete up to its position.
func (r *receiver) receive(now time.Duration, b follow.Batch) {
	if r.next != nil {
		defer r.next.apply(b)
	}
	for _, c := range b.Changes {
		if _, known := r.arrivals[c.Key]; !known {
			r.arrivals[c.Key] = now
		}
	}
	for revision := r.progress.Position.Revision + 1; revision <= b.Position.Revision; revision++ {
		require.Contains(r.t, r.arrivals, keyOf(revision), "complete up to %s", b.Position)
	}
	r.progress.Position = r.progress.Position.Max(b.Position)
}

// requireArrived checks that the change that was added at the given time arrived within
// the bound.
func (r *receiver) requireArrived(revision uint64, added, bound time.Duration) {
	require.Contains(r.t, r.arrivals, keyOf(revision))
	require.Less(r.t, r.arrivals[keyOf(revision)]-added, bound, keyOf(revision))
}

func keyOf(revision uint64) string { return fmt.Sprintf("key-%d", revision) }

// changeOf returns the change of the n-th key.
func changeOf(revision uint64, value []byte) platform.Change {
	return platform.Change{Item: platform.Item{Key: keyOf(revision), Value: value}}
}

// followAll lets hostClients hosts follow a server on a small link while play adds
// changes, and returns them once a minute has passed.
func followAll(t *testing.T, play func(*logSource)) (receivers []*receiver) {
	source := newLogSource(clockAt(0))
	source.add(changeOf(1, []byte("first")))
	server := &Server{
		Source: source, Logger: slog.New(slog.DiscardHandler),
		SilenceTimeout: follow.NewTimings(changeBound).SilenceTimeout, BootTime: clockAt(0),
	}
	ctx, cancel := context.WithCancel(t.Context())
	link := newTestLink(smallLink)
	var following sync.WaitGroup
	for range hostClients {
		r := &receiver{t: t, arrivals: make(map[string]time.Duration)}
		receivers = append(receivers, r)
		following.Go(func() { r.follow(ctx, server, link) })
	}
	play(source)
	time.Sleep(time.Minute)
	cancel()
	following.Wait()
	// What is still on the link arrives or fails.
	time.Sleep(time.Minute)
	return receivers
}

// randomBytes returns bytes that can't be compressed.
func randomBytes(n int) []byte {
	b := make([]byte, n)
	random := rand.NewChaCha8([32]byte{})
	_, _ = random.Read(b)
	return b
}

func TestSmallChangesDoNotWaitForALargeOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const together, meanwhile = 10 * time.Second, 10500 * time.Millisecond
		receivers := followAll(t, func(s *logSource) {
			time.Sleep(together)
			s.add(changeOf(2, []byte("drains")), changeOf(3, randomBytes(configurationBytes)))
			time.Sleep(meanwhile - together)
			s.add(changeOf(4, []byte("drains")))
		})
		for _, r := range receivers {
			r.requireArrived(2, together, feedBound/feedDepth)
			r.requireArrived(4, meanwhile, feedBound/feedDepth)
			require.Contains(t, r.arrivals, keyOf(3))
			require.Zero(t, r.ended, "feeds last")
		}
	})
}

// routesText returns a configuration's text of about configurationBytes.
func routesText() []byte {
	var b strings.Builder
	random := rand.New(rand.NewPCG(1, 1))
	for b.Len() < configurationBytes {
		fmt.Fprintf(&b, `{"name":"route-%07x","address":"198.18.%d.%d","port":%d,"idempotent":true,"timeout_ms":4000,`+
			`"target_latency_ms":800,"priority":2,"service":"service-%d"},`,
			random.IntN(1<<28), random.IntN(256), random.IntN(256), random.IntN(1<<16), random.IntN(2))
	}
	return []byte(b.String())
}

func TestLargeConfigurationReachesAllHostsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const added = 10 * time.Second
		receivers := followAll(t, func(s *logSource) {
			time.Sleep(added)
			s.add(changeOf(2, routesText()))
		})
		for _, r := range receivers {
			r.requireArrived(2, added, feedBound)
		}
	})
}

// relayedReplica is a host that follows one feed and serves another.
type relayedReplica struct {
	mu      sync.Mutex
	replica *follow.Replica
	changed chan struct{}
}

func (r *relayedReplica) Secret(context.Context) []byte { return []byte("secret") }

func (r *relayedReplica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

func (r *relayedReplica) Since(_ context.Context, client follow.Progress) (follow.Batch, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.replica.Since(0, client), nil
}

func (r *relayedReplica) apply(b follow.Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replica.Apply(0, b)
	close(r.changed)
	r.changed = make(chan struct{})
}

func TestRelayedUpdatesInPartsLoseNoChange(t *testing.T) {
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 0))
			logger := slog.New(slog.DiscardHandler)
			source := newLogSource(clockAt(0))
			source.add(changeOf(1, []byte("first")))
			relayed := &relayedReplica{replica: follow.NewReplica(logger, time.Minute, time.Hour), changed: make(chan struct{})}
			first := &Server{Source: source, Logger: logger, SilenceTimeout: time.Minute, BootTime: clockAt(0)}
			second := &Server{Source: relayed, Logger: logger, SilenceTimeout: time.Minute, BootTime: clockAt(0)}
			ctx, cancel := context.WithCancel(t.Context())
			middle := &receiver{t: t, arrivals: make(map[string]time.Duration), next: relayed}
			last := &receiver{t: t, arrivals: make(map[string]time.Duration)}
			var following sync.WaitGroup
			following.Go(func() { middle.follow(ctx, first, newTestLink(smallLink)) })
			time.Sleep(time.Second)
			following.Go(func() { last.follow(ctx, second, newTestLink(smallLink/2)) })
			count := uint64(1)
			for range 40 {
				time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
				var changes []platform.Change
				for range 1 + random.IntN(3) {
					count++
					sizes := [...]int{0, 100, smallValueBytes, smallValueBytes + 1, partBytes, 100_000}
					changes = append(changes, changeOf(count, randomBytes(sizes[random.IntN(len(sizes))])))
				}
				source.add(changes...)
			}
			time.Sleep(time.Minute)
			cancel()
			following.Wait()
			time.Sleep(time.Minute)
			for revision := range count {
				require.Contains(t, last.arrivals, keyOf(revision+1), "seed %d", seed)
			}
			require.Equal(t, count, last.progress.Position.Revision, "seed %d", seed)
		})
	}
}

func TestCompressedValuesKeepTheirBytes(t *testing.T) {
	for name, value := range map[string][]byte{"routes": routesText(), "not compressible": randomBytes(configurationBytes), "small": []byte("v")} {
		t.Run(name, func(t *testing.T) {
			source := newSource(0)
			source.batch.Changes = []platform.Change{changeOf(1, value)}
			peer := serveOn(t, source, clockAt(0))
			batch, _ := firstBatch(t, peer, Client{Secret: source.secret, MaxAge: time.Minute, BootTime: clockAt(0)})
			require.Len(t, batch.Changes, 1)
			require.True(t, bytes.Equal(value, batch.Changes[0].Value))
		})
	}
}

func TestOversizedValuesAreRefused(t *testing.T) {
	compressed, err := deflate(make([]byte, maxMessageBytes+1))
	require.NoError(t, err)
	_, err = inflate(compressed)
	require.ErrorIs(t, err, errTooLarge)
	_, err = inflate(compressed[:len(compressed)/2])
	require.Error(t, err, "a value that was cut off")
}

func TestFeedThatFallsSilentEndsBeforeItsStateIsTooOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timings := follow.NewTimings(changeBound)
		near, far := net.Pipe()
		defer far.Close()
		go func() {
			server := newConnection(far)
			_ = server.receive(&feedpb.Hello{}, time.Minute)
			_ = server.send(&feedpb.Challenge{Nonce: newNonce()}, time.Minute)
			_ = server.receive(&feedpb.Subscribe{}, time.Minute)
			var p feedpb.Ping
			_ = server.receive(&p, time.Minute)
			// The state is about as old as one may be, and nothing follows.
			age := timings.MaxAge - 10*time.Millisecond
			_ = server.send(&feedpb.News{StampUs: p.StampUs, AgeUs: age.Microseconds()}, time.Minute)
			_, _ = io.Copy(io.Discard, far)
		}()
		client := Client{
			Host: "client", BootTime: clockAt(time.Minute), OnConnected: func() {}, OnBatch: func(follow.Batch) {},
			PingInterval: timings.PingInterval, SilenceTimeout: timings.SilenceTimeout, MaxAge: timings.MaxAge,
		}
		begun := time.Now()
		require.ErrorIs(t, client.run(t.Context(), near, "server"), ErrStale)
		require.Less(t, time.Since(begun), 20*time.Millisecond)
		// sendPings notices the end.
		time.Sleep(timings.SilenceTimeout)
	})
}

// TestLargeCompleteStateArrives: the entries of 20,000 endpoints exceed the size of a message.
// A host that can't reach the store gets no state if a complete one may not be larger.
func TestLargeCompleteStateArrives(t *testing.T) {
	source := newSource(0)
	source.batch.Changes = nil
	value := randomBytes(250)
	for n := range uint64(20_000) {
		source.batch.Changes = append(source.batch.Changes, changeOf(n, value))
	}
	batch, err := firstBatch(t, serveOn(t, source, clockAt(0)), Client{Secret: source.secret, MaxAge: time.Minute, BootTime: clockAt(0)})
	require.Len(t, batch.Changes, 20_000, "%v", err)
}
