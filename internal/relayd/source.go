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
const feederRest = 5 * time.Second

// source keeps the control state current: by the feed of another host of the
// failure domain if there is one that ranks higher, else by the store, and by
// any other host's feed while the store can't be reached.
type source struct {
	host     follow.Host
	seeds    []netip.AddrPort
	clock    *clock
	control  *control
	exchange *exchange
	follower *follow.Follower
	pace     follow.Pace
	logger   *slog.Logger
	// rested is until when a host is left alone, on the steady clock.
	rested map[string]time.Duration
}

// run follows until the context ends.
func (s *source) run(ctx context.Context) {
	event.Log(s.logger, event.FollowingStore)
	go s.bootstrap(ctx)
	for ctx.Err() == nil {
		if s.followPeers(ctx) {
			continue
		}
		wait := s.follower.Step(ctx)
		if s.follower.Lost() && s.control.age() > s.pace.MaxAge && s.askHelper(ctx) {
			continue
		}
		sleep(ctx, wait)
	}
}

const (
	// seedPatience is how long a host that starts waits for the store alone since
	// its last answer; a page takes some tens of milliseconds. seedStep is how
	// often that is looked at.
	seedPatience = 200 * time.Millisecond
	seedStep     = 50 * time.Millisecond
	// seedTime bounds the news of a seed, seedInterval the rate of questions.
	seedTime     = time.Second
	seedInterval = 300 * time.Millisecond
)

// bootstrap asks seeds for what they know until there is something to go on:
// a host that starts behind a cut serves with the knowledge of its neighbours.
// They are asked one after the other and only while the store is silent: a whole
// state is large, and many hosts may start at once.
func (s *source) bootstrap(ctx context.Context) {
	order := rand.Perm(len(s.seeds))
	for i := 0; ctx.Err() == nil && len(order) > 0 && s.control.revision(ctx) == 0; {
		if s.clock.Awake()-s.follower.Answered() < seedPatience {
			sleep(ctx, seedStep)
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
func (s *source) askSeed(ctx context.Context, address netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, seedTime)
	defer cancel()
	seed := follow.Host{Name: address.String(), Feed: address}
	client := feed.Client{
		Host:     s.host.Name,
		Interval: s.pace.Ping,
		Silence:  s.pace.Silence,
		MaxAge:   s.pace.MaxAge,
		Awake:    s.clock.Awake,
		Connected: func() {
			event.Log(s.logger, event.FeedConnected, slog.String("host", seed.Name), slog.Bool("seed", true))
		},
		Take: func(b follow.Batch) {
			// The rest of a seed's news comes by the usual ways.
			defer cancel()
			if s.clock.Awake()-b.Proven > s.pace.MaxAge && s.storeAnswers() {
				// The store's own word is on its way: nothing is to be decided by an
				// old configuration until then.
				return
			}
			s.control.take(ctx, b)
		},
	}
	err := client.Follow(ctx, seed)
	event.Log(s.logger, event.FeedLost, slog.String("host", seed.Name), slog.Bool("seed", true),
		slog.String("error", err.Error()), slog.Duration("view_age", s.control.age()))
}

// storeAnswers reports whether the store has answered lately.
func (s *source) storeAnswers() bool {
	answered := s.follower.Answered()
	return answered > 0 && s.clock.Awake()-answered < s.pace.Call
}

// followPeers is fed by the best host that may, for as long as it can. It
// reports whether there was one to try.
func (s *source) followPeers(ctx context.Context) bool {
	for _, peer := range follow.Feeders(s.control.hosts(ctx), s.host.Name, s.host.Domain) {
		if s.resting(peer.Name) {
			continue
		}
		event.Log(s.logger, event.FollowingPeer, slog.String("host", peer.Name))
		s.follow(ctx, peer, ctx)
		s.rest(peer.Name)
		event.Log(s.logger, event.FollowingStore)
		// The next source takes time to reach: what was missed is fetched first.
		sleep(ctx, s.follower.Check(ctx))
		return true
	}
	return false
}

// askHelper is fed by some host for as long as the store is worth no try. It
// reports whether one has helped.
func (s *source) askHelper(ctx context.Context) bool {
	for _, peer := range follow.Helpers(s.control.hosts(ctx), s.host.Name, s.host.Domain) {
		if s.resting(peer.Name) {
			continue
		}
		limited, cancel := context.WithTimeout(ctx, s.pace.MaxAge)
		helped := s.follow(ctx, peer, limited)
		cancel()
		if helped {
			return true
		}
		s.rest(peer.Name)
		return false
	}
	return false
}

// follow takes a peer's feed and reports whether it was of use.
func (s *source) follow(ctx context.Context, peer follow.Host, limited context.Context) (useful bool) {
	client := feed.Client{
		Host:     s.host.Name,
		Domain:   s.host.Domain,
		Secret:   s.control.Secret(ctx),
		Revision: s.control.revision(ctx),
		Interval: s.pace.Ping,
		Silence:  s.pace.Silence,
		MaxAge:   s.pace.MaxAge,
		Awake:    s.clock.Awake,
		Connected: func() {
			event.Log(s.logger, event.FeedConnected, slog.String("host", peer.Name))
		},
		Take: func(b follow.Batch) {
			useful = useful || s.clock.Awake()-b.Proven <= s.pace.MaxAge
			s.control.take(ctx, b)
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

func (s *source) resting(name string) bool { return s.clock.Steady() < s.rested[name] }

func (s *source) rest(name string) { s.rested[name] = s.clock.Steady() + feederRest }

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
