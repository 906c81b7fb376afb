package relayd

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"toucangap/internal/event"
	"toucangap/internal/feed"
	"toucangap/internal/follow"
	"toucangap/platform"
)

// peerCooldown is how long a host is not tried again after its feed has ended or
// could not be reached.
const peerCooldown = 5 * time.Second

// syncer keeps the replica up to date: from the feed of a higher-ranked host if
// there is one, else from the store, and from any other host's feed while the
// store can't be reached.
type syncer struct {
	host     follow.Host
	seeds    []netip.AddrPort
	clock    *clock
	control  *control
	store    *platform.Store
	exchange *exchange
	follower *follow.Follower
	timings  follow.Timings
	logger   *slog.Logger
	// transfers samples how long updates of other hosts take to arrive, in
	// milliseconds.
	transfers metrics.Histogram
	// receiving is the number of seeds that are connected and send their state.
	receiving atomic.Int64
	source    sourceStatus
	// attempt is the one in progress, nil between attempts.
	attempt atomic.Pointer[attempt]
	// retryAt is when a host may be tried again, on the monotonic clock.
	retryAt map[string]time.Duration
}

// run receives updates until the context ends.
func (s *syncer) run(ctx context.Context) {
	event.Log(s.logger, event.FollowingStore)
	s.source.set(storeSource, s.clock.BootTime())
	go s.bootstrap(ctx)
	for ctx.Err() == nil {
		if s.followPeers(ctx) {
			continue
		}
		wait, interrupted := s.step(ctx, s.follower.Step)
		if (interrupted || s.follower.Lost()) && s.control.age() > s.timings.MaxAge && s.followFallback(ctx) {
			continue
		}
		sleep(ctx, wait)
	}
}

const (
	// seedDelay is how long a starting host waits for the store before it asks
	// seeds, counted from the start or the store's last answer; a page takes
	// some tens of milliseconds. seedPollInterval is how often this is checked.
	seedDelay        = 200 * time.Millisecond
	seedPollInterval = 50 * time.Millisecond
	// partialSeedDelay is the same for a host that serves by a part of the listing: at
	// the start of hundreds of hosts pages take long, and seeds are few.
	partialSeedDelay = 2 * time.Second
	// seedTimeout is the longest time without a message from a seed, seedLimit bounds
	// receiving its state, which takes seconds over a link that many hosts share.
	seedTimeout = time.Second
	seedLimit   = 10 * time.Second
	// seedInterval is how long a seed may take to answer before the next one is asked.
	seedInterval = 300 * time.Millisecond
)

// bootstrap asks seeds for their state until some state is known: a host that
// starts in a network partition serves with the state of its neighbors. Seeds
// are asked one after the other and only while the store does not answer and no other
// seed sends its state: a complete state is large, and many hosts may start at once.
func (s *syncer) bootstrap(ctx context.Context) {
	order := rand.Perm(len(s.seeds))
	for i := 0; ctx.Err() == nil && len(order) > 0 && s.control.progress(ctx).Position.IsZero(); {
		if s.receiving.Load() > 0 || s.clock.BootTime()-s.follower.LastResponse() < s.seedDelay() {
			sleep(ctx, seedPollInterval)
			continue
		}
		if seed := s.seeds[order[i%len(order)]]; seed != s.host.Feed {
			go s.askSeed(ctx, seed)
		}
		i++
		sleep(ctx, seedInterval)
	}
	s.confirmVersion(ctx)
}

func (s *syncer) seedDelay() time.Duration {
	if v := s.control.view.Load(); v != nil && v.Serves() {
		return partialSeedDelay
	}
	return seedDelay
}

// maxConfirmations is how many other hosts a starting host asks at most for a later
// configuration.
const maxConfirmations = 2

// confirmVersion asks other hosts once whether they know a later version of the
// configuration than this host has found at its start: a store that has just been
// restored from a copy may hold an older one. Hosts that are fed by others learn it
// from their feed.
func (s *syncer) confirmVersion(ctx context.Context) {
	hosts := s.control.hosts(ctx)
	if len(follow.Upstreams(hosts, s.host)) > 0 {
		return
	}
	others := follow.Fallbacks(hosts, s.host.Name, s.host.Domain)
	for _, other := range others[:min(len(others), maxConfirmations)] {
		s.askSeed(ctx, other.Feed)
	}
}

// askSeed connects to a seed's feed, receives its state and disconnects.
func (s *syncer) askSeed(ctx context.Context, address netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, seedLimit)
	defer cancel()
	connected := false
	defer func() {
		if connected {
			s.receiving.Add(-1)
		}
	}()
	seed := follow.Host{Name: address.String(), Feed: address}
	client := feed.Client{
		Host:           s.host.Name,
		Progress:       s.control.progress(ctx),
		PingInterval:   s.timings.PingInterval,
		SilenceTimeout: seedTimeout,
		MaxAge:         s.timings.MaxAge,
		BootTime:       s.clock.BootTime,
		OnConnected: func() {
			connected = true
			s.receiving.Add(1)
			event.Log(s.logger, event.FeedConnected, slog.String("host", seed.Name), slog.Bool("seed", true))
		},
		OnBatch: func(b follow.Batch) {
			if b.Partial {
				s.control.apply(ctx, b)
				return
			}
			// Later updates come from the regular sources.
			defer cancel()
			if s.clock.BootTime()-b.AsOf > s.timings.MaxAge && s.storeAnswers() {
				// The store's current state is about to arrive; until then the
				// host must not forward by an old configuration.
				return
			}
			s.control.apply(ctx, b)
		},
	}
	err := client.Follow(ctx, seed)
	event.Log(s.logger, event.FeedLost, slog.String("host", seed.Name), slog.Bool("seed", true),
		slog.String("error", err.Error()), slog.Duration("view_age", s.control.age()))
}

// storeAnswers reports whether the store has answered recently.
func (s *syncer) storeAnswers() bool {
	lastResponse := s.follower.LastResponse()
	return lastResponse > 0 && s.clock.BootTime()-lastResponse < s.timings.CallTimeout
}

// followPeers follows the first host of follow.Upstreams that may be tried, for as
// long as its feed lasts. It reports whether there was one to try.
func (s *syncer) followPeers(ctx context.Context) bool {
	for _, peer := range follow.Upstreams(s.control.hosts(ctx), s.host) {
		if s.avoided(peer.Name) {
			continue
		}
		event.Log(s.logger, event.FollowingPeer, slog.String("host", peer.Name))
		s.follow(ctx, peer, ctx)
		s.avoid(peer.Name)
		event.Log(s.logger, event.FollowingStore)
		// Reaching the next source takes time, so changes missed meanwhile are
		// fetched from the store first.
		wait, _ := s.step(ctx, s.follower.Poll)
		sleep(ctx, wait)
		return true
	}
	return false
}

// followFallback follows the first host of follow.Fallbacks that may be tried, for
// at most the maximum age of the state, after which the store is tried again. It
// reports whether that host delivered current updates.
func (s *syncer) followFallback(ctx context.Context) bool {
	for _, peer := range follow.Fallbacks(s.control.hosts(ctx), s.host.Name, s.host.Domain) {
		if s.avoided(peer.Name) {
			continue
		}
		limited, cancel := context.WithTimeout(ctx, s.timings.MaxAge)
		followed := s.follow(ctx, peer, limited)
		cancel()
		if followed {
			return true
		}
		s.avoid(peer.Name)
		return false
	}
	return false
}

// follow receives a peer's feed until it fails or limited ends, which is ctx or
// derived from it. It reports whether the feed delivered any current update.
func (s *syncer) follow(ctx context.Context, peer follow.Host, limited context.Context) (useful bool) {
	s.source.set(peer.Name, s.clock.BootTime())
	defer func() { s.source.set(storeSource, s.clock.BootTime()) }()
	client := feed.Client{
		Host:           s.host.Name,
		Domain:         s.host.Domain,
		Secret:         s.control.Secret(ctx),
		Progress:       s.control.progress(ctx),
		PingInterval:   s.timings.PingInterval,
		SilenceTimeout: s.timings.SilenceTimeout,
		MaxAge:         s.timings.MaxAge,
		BootTime:       s.clock.BootTime,
		OnConnected: func() {
			event.Log(s.logger, event.FeedConnected, slog.String("host", peer.Name))
		},
		OnMessage:  func() { s.source.update(s.clock.BootTime()) },
		OnTransfer: func(bytes int, took time.Duration) { s.recordTransfer(peer.Name, bytes, took) },
		OnBatch: func(b follow.Batch) {
			useful = useful || !b.Partial && s.clock.BootTime()-b.AsOf <= s.timings.MaxAge
			s.store.Observe(b.Position.Incarnation)
			s.control.apply(ctx, b)
			s.follower.Fed(b.AsOf)
			if len(b.Withheld) == 0 {
				// Else the follower reads from the store what the peer left out.
				s.follower.Resume(b.Position)
			}
		},
	}
	if peer.Domain == s.host.Domain && len(client.Secret) > 0 {
		client.Exchange = s.exchange
	}
	var err error
	if s.try(limited, func(ctx context.Context) { err = client.Follow(ctx, peer) }) {
		s.avoid(peer.Name)
	}
	event.Log(s.logger, event.FeedLost, slog.String("host", peer.Name), slog.String("error", err.Error()),
		slog.Duration("view_age", s.control.age()))
	return useful
}

// slowTransfer is the time for receiving an update from which it is logged. Small
// changes take milliseconds.
const slowTransfer = 250 * time.Millisecond

// recordTransfer records how long an update of a peer took to arrive.
func (s *syncer) recordTransfer(peer string, bytes int, took time.Duration) {
	s.transfers.Update(took.Milliseconds())
	if took >= slowTransfer {
		event.Log(s.logger, event.UpdateSlow, slog.String("host", peer), slog.Int("bytes", bytes),
			slog.Duration("took", took), slog.Duration("view_age", s.control.age()))
	}
}

// avoided reports whether the host must not be tried yet.
func (s *syncer) avoided(name string) bool { return s.clock.Monotonic() < s.retryAt[name] }

func (s *syncer) avoid(name string) { s.retryAt[name] = s.clock.Monotonic() + peerCooldown }

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
