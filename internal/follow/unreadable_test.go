package follow

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/internal/event"
	"toucangap/platform"
	"toucangap/platform/platformtest"
)

// storeBound is the time within which a change must be known.
const storeBound = 3 * time.Second

// storeReader is a host's follower and replica before a store, over connections in memory
// and in virtual time.
type storeReader struct {
	t        *testing.T
	store    *platformtest.Store
	follower *Follower
	begun    time.Time
	// bound is the time within which a change must be known.
	bound time.Duration

	mu      sync.Mutex
	replica *Replica
	// lost is whether the follower's last call had failed.
	lost bool
	// lines is the number of log lines on answers that can't be used.
	lines atomic.Int64
}

// Enabled implements slog.Handler.
func (r *storeReader) Enabled(context.Context, slog.Level) bool { return true }

// WithAttrs implements slog.Handler.
func (r *storeReader) WithAttrs([]slog.Attr) slog.Handler { return r }

// WithGroup implements slog.Handler.
func (r *storeReader) WithGroup(string) slog.Handler { return r }

// Handle implements slog.Handler.
func (r *storeReader) Handle(_ context.Context, record slog.Record) error {
	record.Attrs(func(a slog.Attr) bool {
		id, ok := a.Value.Any().(int64)
		if ok && a.Key == "event" && id >= int64(event.StoreItemUnreadable) && id <= int64(event.StoreWatchUnanswered) {
			r.lines.Add(1)
		}
		return true
	})
	return nil
}

// pipeListener accepts connections in memory.
type pipeListener struct {
	accept chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.accept <- server:
		return client, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

const testEndpoints = 9

// unreadableConfiguration is the trouble in which the configuration can't be read.
const unreadableConfiguration = "configuration that is no base64"

func endpointID(i int) string { return "i-" + strconv.Itoa(i) }

// followStore runs the test with a host that follows the store. Before, prepare sets up
// the store, which holds a configuration and endpoints.
func followStore(t *testing.T, prepare func(*platformtest.Store), test func(*storeReader)) {
	synctest.Test(t, func(t *testing.T) {
		r := &storeReader{t: t, store: platformtest.NewStore(), begun: time.Now(), bound: storeBound, replica: newTestReplica()}
		r.store.Put(platformtest.ConfigurationKey, []byte(platformtest.Configuration(1)))
		for i := range testEndpoints {
			r.put(i+1, "ready", 1)
		}
		if prepare != nil {
			prepare(r.store)
		}
		listener := &pipeListener{accept: make(chan net.Conn), closed: make(chan struct{})}
		server := &http.Server{Handler: r.store, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
		go func() { _ = server.Serve(listener) }()
		r.follower = &Follower{
			Store:    platform.NewStoreOver(netip.MustParseAddrPort("127.0.0.1:1"), listener.dial),
			Timings:  NewTimings(storeBound),
			Logger:   slog.New(r),
			BootTime: func() time.Duration { return time.Since(r.begun) + time.Hour },
			OnBatch:  r.apply,
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			for ctx.Err() == nil {
				wait := r.follower.Step(ctx)
				r.mu.Lock()
				r.lost = r.follower.Lost()
				r.mu.Unlock()
				select {
				case <-time.After(wait):
				case <-ctx.Done():
				}
			}
		}()
		defer func() {
			cancel()
			<-done
			_ = server.Close()
		}()
		test(r)
	})
}

func (r *storeReader) put(i int, state string, report int) {
	r.store.Put(platformtest.EndpointKey(endpointID(i)), []byte(platformtest.Entry(state, report, 5)))
}

func (r *storeReader) apply(b Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replica.Apply(r.now(), b)
	require.LessOrEqual(r.t, r.replica.AsOf(), r.follower.BootTime())
}

func (r *storeReader) now() time.Duration { return time.Since(r.begun) }

func (r *storeReader) uses(i int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Contains(availableIDs(r.replica.View(r.now())), endpointID(i))
}

func (r *storeReader) version() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.replica.View(r.now()).Configuration; c != nil {
		return c.Version
	}
	return 0
}

// known waits until the change is known, and checks that this takes no longer than the
// bound and that the state does not count as current before.
func (r *storeReader) known(change string, isKnown func() bool) {
	written := r.follower.BootTime()
	for !isKnown() {
		r.withinBound(change, written)
		r.mu.Lock()
		asOf := r.replica.AsOf()
		r.mu.Unlock()
		if asOf > written {
			require.True(r.t, isKnown(), "%s is not known, though the state is as of %s later", change, asOf-written)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// removed waits until the removal of an endpoint is known. It may be held back for the
// recovery grace period.
func (r *storeReader) removed(i int) {
	r.store.Remove(platformtest.EndpointKey(endpointID(i)))
	for written := r.follower.BootTime(); r.uses(i); time.Sleep(5 * time.Millisecond) {
		r.withinBound("removal", written)
	}
}

func (r *storeReader) withinBound(change string, written time.Duration) {
	require.Less(r.t, r.follower.BootTime()-written, r.bound, "%s is not known", change)
}

// drains has endpoints drain at various times after one another.
func (r *storeReader) drains(endpoints ...int) {
	for _, i := range endpoints {
		time.Sleep(time.Duration(i) * 370 * time.Millisecond)
		r.put(i, "draining", 2)
		r.known("drain of "+endpointID(i), func() bool { return !r.uses(i) })
	}
}

// TestUnreadableAnswersDelayNoDrain: an answer that can't be read is read again for ever,
// though another call would bring the state.
func TestUnreadableAnswersDelayNoDrain(t *testing.T) {
	for name, trouble := range platformtest.Troubles() {
		t.Run(name, func(t *testing.T) {
			followStore(t, nil, func(r *storeReader) {
				time.Sleep(time.Second)
				require.True(t, r.uses(1))
				r.store.SetTrouble(trouble)
				r.drains(1, 2, 3, 4)
				r.removed(7)
				r.store.Put(platformtest.ConfigurationKey, []byte(platformtest.Configuration(2)))
				if name != unreadableConfiguration {
					r.known("configuration", func() bool { return r.version() == 2 })
				}
				r.drains(8, 9)
				r.store.SetTrouble(nil)
				r.drains(5)
				r.removed(6)
				r.mu.Lock()
				defer r.mu.Unlock()
				require.False(t, r.lost)
				require.Less(t, r.lines.Load(), int64(2*time.Since(r.begun)/time.Second), "log lines")
			})
		})
	}
}

// TestStartAmongUnreadableAnswers: a host that starts while answers can't be read has not
// read the store before.
func TestStartAmongUnreadableAnswers(t *testing.T) {
	troubles := platformtest.Troubles()
	// Without any configuration a host serves nothing.
	delete(troubles, unreadableConfiguration)
	for name, trouble := range troubles {
		t.Run(name, func(t *testing.T) {
			followStore(t, func(s *platformtest.Store) { s.SetTrouble(trouble) }, func(r *storeReader) {
				r.known("first endpoint", func() bool { return r.uses(1) })
				r.drains(1, 2, 3)
				r.store.SetTrouble(nil)
				r.drains(4)
				r.known("last endpoint", func() bool { return r.uses(testEndpoints) })
			})
		})
	}
}

// TestFailingListingGivesWayToTheWatch: a listing in place of a watch is asked for again for
// ever, though it gets no answer and the watch would.
func TestFailingListingGivesWayToTheWatch(t *testing.T) {
	followStore(t, nil, func(r *storeReader) {
		time.Sleep(time.Second)
		r.store.SetTrouble(platformtest.OneCutWatchWithoutListings())
		r.drains(1, 2, 3)
	})
}

// TestPlacedChangesDoNotCountAsCurrent: the order of two changes of a key is not known if the
// revision of one can't be read, so that the state must not count as complete with them.
func TestPlacedChangesDoNotCountAsCurrent(t *testing.T) {
	for name, item := range map[string]platform.Item{
		"unreadable": {Key: "a", Unplaced: true}, "too high": {Key: "a", Revision: 1 << 60},
	} {
		t.Run(name, func(t *testing.T) {
			changes := []platform.Change{{Item: platform.Item{Key: "a", Revision: 6}}, {Item: item}}
			batches, _, _ := runScript(t, listOf(5, "a"),
				step{want: watch0, watch: platform.Changes{Revision: 9, Incarnation: 1, Changes: changes}}, listOf(9, "a"))
			require.True(t, batches[1].Partial)
			require.Zero(t, batches[1].AsOf)
			require.EqualValues(t, 7, batches[1].Changes[1].Revision)
			require.True(t, batches[2].Complete)
		})
	}
}

// TestRandomTroublesHideNoChange: answers of various forms after one another leave the
// follower in a state in which it misses a change, or counts as current without it.
func TestRandomTroublesHideNoChange(t *testing.T) {
	troubles := platformtest.Troubles()
	delete(troubles, "item of 5 MB")
	troubles["503"] = platformtest.Status(http.StatusServiceUnavailable)
	troubles["no answer"] = platformtest.NoAnswer()
	names := slices.Sorted(maps.Keys(troubles))
	for seed := range uint64(20) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			var mu sync.Mutex
			random := rand.New(rand.NewPCG(seed, 0))
			trouble := func(a *platformtest.Answer, w http.ResponseWriter, r *http.Request) bool {
				mu.Lock()
				name := names[random.IntN(len(names))]
				calm := random.IntN(2) == 0
				mu.Unlock()
				return !calm && troubles[name](a, w, r)
			}
			followStore(t, nil, func(r *storeReader) {
				time.Sleep(time.Second)
				r.store.SetTrouble(trouble)
				// Several calls in a row may fail.
				r.bound = time.Minute
				r.drains(1, 2, 3, 4)
				r.removed(7)
				r.drains(5, 6)
				r.store.SetTrouble(nil)
				r.bound = storeBound
				r.drains(8)
			})
		})
	}
}

// TestLargeUnreadableEntriesDelayNoDrain: another writer stores entries that together are
// larger than any answer that is kept in memory.
func TestLargeUnreadableEntriesDelayNoDrain(t *testing.T) {
	for _, n := range []int{4, 30} {
		t.Run(strconv.Itoa(n), func(t *testing.T) { drainAmongLargeEntries(t, n) })
	}
}

func drainAmongLargeEntries(t *testing.T, entries int) {
	followStore(t, nil, func(r *storeReader) {
		time.Sleep(time.Second)
		listings := r.store.Listings()
		r.store.PutUnreadable(entries)
		r.drains(1, 2)
		require.True(t, r.uses(3))
		require.Equal(t, listings, r.store.Listings())
	})
	followStore(t, func(s *platformtest.Store) { s.PutUnreadable(entries) }, func(r *storeReader) {
		r.known("endpoint", func() bool { return r.uses(1) })
		r.drains(1, 2)
	})
}

// TestUnreadableEntryEndsUse: an endpoint's entry is overwritten with one that can't be
// read, in the answer or in itself. It names no endpoint to use.
func TestUnreadableEntryEndsUse(t *testing.T) {
	for name, write := range map[string]func(s *platformtest.Store, key string){
		"no base64":    func(s *platformtest.Store, key string) { s.PutText(key, `"?"`) },
		"another type": func(s *platformtest.Store, key string) { s.PutText(key, `7`) },
		"no value":     func(s *platformtest.Store, key string) { s.PutText(key, `null`) },
		"large":        func(s *platformtest.Store, key string) { s.Put(key, make([]byte, 1<<20)) },
		"no JSON":      func(s *platformtest.Store, key string) { s.Put(key, []byte{0xff}) },
	} {
		t.Run(name, func(t *testing.T) {
			followStore(t, nil, func(r *storeReader) {
				time.Sleep(time.Second)
				write(r.store, platformtest.EndpointKey(endpointID(1)))
				r.known("unreadable entry", func() bool { return !r.uses(1) })
				require.True(t, r.uses(2))
				r.put(1, "ready", 2)
				r.known("readable entry", func() bool { return r.uses(1) })
			})
		})
	}
}

// TestOutagesCauseNoListings: hundreds of hosts that list in an outage, or once the store
// is back, take all its capacity.
func TestOutagesCauseNoListings(t *testing.T) {
	for name, trouble := range map[string]platformtest.Trouble{
		"503":       platformtest.Status(http.StatusServiceUnavailable),
		"429":       platformtest.Status(http.StatusTooManyRequests),
		"no answer": platformtest.NoAnswer(),
		"resets":    platformtest.Reset(),
	} {
		t.Run(name, func(t *testing.T) {
			followStore(t, nil, func(r *storeReader) {
				time.Sleep(time.Second)
				before := r.store.Listings()
				for range 5 {
					r.store.SetTrouble(trouble)
					time.Sleep(7 * time.Second)
					r.store.SetTrouble(nil)
					time.Sleep(2 * time.Second)
				}
				require.Equal(t, before, r.store.Listings())
				r.drains(1)
			})
		})
	}
}
