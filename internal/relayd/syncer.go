package relayd

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"time"

	"toucangap/internal/event"
	"toucangap/internal/feed"
	"toucangap/internal/follow"
)

// feederRest is how long a host that could not feed this one is left alone.
const peerCooldown = 5 * time.Second

// source keeps the control state current: by the feed of another host of the
// failure domain if there is one that ranks higher, else by the store, and by
// any other host's feed while the store can't be reached.
type syncer struct {
	host     follow.Host
	seeds    []netip.AddrPort
	clock    *clock
	control  *control
	exchange *exchange
	follower *follow.Follower
	timings  follow.Timings
	logger   *slog.Logger
	// rested is until when a host is left alone, on the steady clock.
	retryAt map[string]time.Duration
}

// run follows until the context ends.
func (s *syncer) run(ctx context.Context) {
	event.Log(s.logger, event.FollowingStore)
	go s.bootstrap(ctx)
	for ctx.Err() == nil {
		if s.followPeers(ctx) {
			continue
		}
		wait := s.follower.Step(ctx)
		if s.follower.Lost() && s.control.age() > s.timings.MaxAge && s.followFallback(ctx) {
			continue
		}
		sleep(ctx, wait)
	}
}

const (
	// seedPatience is how long a host that starts waits for the store alone since
	// its last answer; a page takes some tens of milliseconds. seedStep is how
	// often that is looked at.
	seedDelay        = 200 * time.Millisecond
	seedPollInterval = 50 * time.Millisecond
	// seedTime bounds the news of a seed, seedInterval the rate of questions.
	seedTimeout  = time.Second
	seedInterval = 300 * time.Millisecond
)

// bootstrap asks seeds for what they know until there is something to go on:
// a host that starts behind a cut serves with the knowledge of its neighbours.
// They are asked one after the other and only while the store is silent: a whole
// state is large, and many hosts may start at once.
func (s *syncer) bootstrap(ctx context.Context) {
	order := rand.Perm(len(s.seeds))
	for i := 0; ctx.Err() == nil && len(order) > 0 && s.control.revision(ctx) == 0; {
		if s.clock.BootTime()-s.follower.LastAnswer() < seedDelay {
			sleep(ctx, seedPollInterval)
			continue
		}
		if seed := s.seeds[order[i%len(order)]]; seed != s.host.Feed {
			go s.askSeed(ctx, seed)
		}
		i++
		sleep(ctx, seedInterval)
	}
}

// askSeed takes the first news of a seed.
func (s *syncer) askSeed(ctx context.Context, address netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, seedTimeout)
	defer cancel()
	seed := follow.Host{Name: address.String(), Feed: address}
	client := feed.Client{
		Host:           s.host.Name,
		PingInterval:   s.timings.PingInterval,
		SilenceTimeout: s.timings.SilenceTimeout,
		MaxAge:         s.timings.MaxAge,
		BootTime:       s.clock.BootTime,
		OnConnected: func() {
			event.Log(s.logger, event.FeedConnected, slog.String("host", seed.Name), slog.Bool("seed", true))
		},
		OnBatch: func(b follow.Batch) {
			// The rest of a seed's news comes by the usual ways.
			defer cancel()
			if s.clock.BootTime()-b.AsOf > s.timings.MaxAge && s.storeAnswers() {
				// The store's own word is on its way: nothing is to be decided by an
				// old configuration until then.
				return
			}
			s.control.apply(ctx, b)
		},
	}
	err := client.Follow(ctx, seed)
	event.Log(s.logger, event.FeedLost, slog.String("host", seed.Name), slog.Bool("seed", true),
		slog.String("error", err.Error()), slog.Duration("view_age", s.control.age()))
}

// storeAnswers reports whether the store has answered lately.
func (s *syncer) storeAnswers() bool {
	lastAnswer := s.follower.LastAnswer()
	return lastAnswer > 0 && s.clock.BootTime()-lastAnswer < s.timings.CallTimeout
}

// followPeers is fed by the best host that may, for as long as it can. It
// reports whether there was one to try.
func (s *syncer) followPeers(ctx context.Context) bool {
	for _, peer := range follow.Upstreams(s.control.hosts(ctx), s.host.Name, s.host.Domain) {
		if s.avoided(peer.Name) {
			continue
		}
		event.Log(s.logger, event.FollowingPeer, slog.String("host", peer.Name))
		s.follow(ctx, peer, ctx)
		s.avoid(peer.Name)
		event.Log(s.logger, event.FollowingStore)
		// The next source takes time to reach: what was missed is fetched first.
		sleep(ctx, s.follower.Poll(ctx))
		return true
	}
	return false
}

// askHelper is fed by some host for as long as the store is worth no try. It
// reports whether one has helped.
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

// follow takes a peer's feed and reports whether it was of use.
func (s *syncer) follow(ctx context.Context, peer follow.Host, limited context.Context) (useful bool) {
	client := feed.Client{
		Host:           s.host.Name,
		Domain:         s.host.Domain,
		Secret:         s.control.Secret(ctx),
		Revision:       s.control.revision(ctx),
		PingInterval:   s.timings.PingInterval,
		SilenceTimeout: s.timings.SilenceTimeout,
		MaxAge:         s.timings.MaxAge,
		BootTime:       s.clock.BootTime,
		OnConnected: func() {
			event.Log(s.logger, event.FeedConnected, slog.String("host", peer.Name))
		},
		OnBatch: func(b follow.Batch) {
			useful = useful || s.clock.BootTime()-b.AsOf <= s.timings.MaxAge
			s.control.apply(ctx, b)
			s.follower.Resume(b.Revision)
		},
	}
	if peer.Domain == s.host.Domain && len(client.Secret) > 0 {
		client.Exchange = s.exchange
	}
	err := client.Follow(limited, peer)
	event.Log(s.logger, event.FeedLost, slog.String("host", peer.Name), slog.String("error", err.Error()),
		slog.Duration("view_age", s.control.age()))
	return useful
}

func (s *syncer) avoided(name string) bool { return s.clock.Monotonic() < s.retryAt[name] }

func (s *syncer) avoid(name string) { s.retryAt[name] = s.clock.Monotonic() + peerCooldown }

// sleep waits or until the context ends.
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
