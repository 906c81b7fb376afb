package rollout

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/internal/config"
	"toucangap/internal/platform/gateway"
	standin "toucangap/standin/platform"
)

// fleet is a group of hosts that exchange bundles in memory. It holds what the
// hosts know of each other and which domains are partitioned.
type fleet struct {
	*harness
	mu          sync.Mutex
	hosts       []*testHost
	candidates  []Candidate
	partitioned map[string]bool
}

// testHost runs a Runner and a Follower as a control goroutine would.
type testHost struct {
	fleet    *fleet
	index    int
	name     string
	domain   string
	link     *standin.PipeServer
	runner   *Runner
	follower *Follower
	cancel   context.CancelFunc
	inbox    chan func(now time.Time)
	// applied holds the bundles put in force so far.
	applied []Ref
}

func newFleet(r *harness) *fleet {
	return &fleet{harness: r, partitioned: make(map[string]bool)}
}

// start adds a host to the domain.
func (f *fleet) start(t *testing.T, ctx context.Context, domain string) *testHost {
	t.Helper()
	client, link := f.client(t)
	ctx, cancel := context.WithCancel(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	h := &testHost{
		fleet: f, index: len(f.hosts), name: fmt.Sprintf("host-%d", len(f.hosts)), domain: domain, link: link,
		runner: NewRunner(client, slog.New(slog.DiscardHandler)), cancel: cancel,
		inbox: make(chan func(time.Time), 100),
	}
	h.follower = NewFollower(h.name, domain, verify)
	f.hosts = append(f.hosts, h)
	f.candidates = append(f.candidates, Candidate{Name: h.name, Domain: domain, State: config.HostLive})
	go h.runner.Run(ctx)
	go h.control(ctx)
	return h
}

// kill stops a host and marks it dead for its peers.
func (f *fleet) kill(h *testHost) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h.cancel()
	f.candidates[h.index].State = config.HostDead
}

// view returns a copy of the candidates, the same for every host.
func (f *fleet) view() []Candidate {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Candidate(nil), f.candidates...)
}

// peers returns the hosts that h reaches.
func (f *fleet) peers(h *testHost) []*testHost {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*testHost
	for i, p := range f.hosts {
		separated := p.domain != h.domain && (f.partitioned[p.domain] || f.partitioned[h.domain])
		if p != h && f.candidates[i].State == config.HostLive && !separated {
			out = append(out, p)
		}
	}
	return out
}

// control is the loop that owns the follower.
func (h *testHost) control(ctx context.Context) {
	ticker := time.NewTicker(200 * time.Millisecond)
	defer ticker.Stop()
	h.expectPeers()
	for ctx.Err() == nil {
		select {
		case update, open := <-h.runner.Updates():
			if open {
				h.recordReachability(update)
				_ = h.follower.Observe(time.Now(), update)
			}
		case message := <-h.inbox:
			message(time.Now())
		case <-ticker.C:
			h.sendOffers()
			h.dropUnreachable()
		case <-ctx.Done():
			return
		}
		h.runner.SetRole(Role{Watcher: IsWatcher(h.fleet.view(), h.name, h.domain), PeersReachable: len(h.fleet.peers(h)) > 0})
		h.execute(h.follower.Decide(time.Now()))
	}
}

// expectPeers makes the follower wait for the first offers of reachable peers.
func (h *testHost) expectPeers() {
	var sources []Source
	for _, p := range h.fleet.peers(h) {
		sources = append(sources, Source(p.name))
	}
	h.follower.Expect(time.Now(), sources)
}

// recordReachability shares the reachability of the platform with the peers.
func (h *testHost) recordReachability(update Update) {
	if update.Kind != UpdateReachable && update.Kind != UpdateUnreachable {
		return
	}
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	h.fleet.candidates[h.index].PlatformUnreachable = update.Kind == UpdateUnreachable
}

// sendOffers tells the peers which bundle is in force.
func (h *testHost) sendOffers() {
	ref, _ := h.follower.InForce()
	for _, p := range h.fleet.peers(h) {
		p.post(func(time.Time) { p.follower.RecordOffer(Source(h.name), h.domain, ref) })
	}
}

// dropUnreachable drops the offers of unreachable hosts.
func (h *testHost) dropUnreachable() {
	reachable := h.fleet.peers(h)
	for _, c := range h.fleet.view() {
		if !slices.ContainsFunc(reachable, func(p *testHost) bool { return p.name == c.Name }) {
			h.follower.RemoveSource(Source(c.Name))
		}
	}
}

// post sends a message unless the inbox is full.
func (h *testHost) post(message func(time.Time)) {
	select {
	case h.inbox <- message:
	default:
	}
}

func (h *testHost) execute(decision Decision) {
	switch decision.Action {
	case ActionFetchPlatform:
		h.runner.Fetch(decision.Ref)
	case ActionFetchPeer:
		for _, p := range h.fleet.peers(h) {
			if Source(p.name) == decision.Peer {
				p.post(func(time.Time) { p.sendBundle(h) })
			}
		}
	case ActionPutInForce:
		h.applied = append(h.applied, decision.Ref)
		h.sendOffers()
	}
}

// sendBundle sends the bundle in force to a peer.
func (h *testHost) sendBundle(to *testHost) {
	_, signed := h.follower.InForce()
	to.post(func(now time.Time) { _ = to.follower.HandleBundle(now, Source(h.name), signed) })
}

// versions returns the version in force on each live host.
func (f *fleet) versions() map[string]config.Version {
	out := make(map[string]config.Version)
	for i, h := range f.hosts {
		if f.view()[i].State != config.HostLive {
			continue
		}
		done := make(chan struct{})
		h.inbox <- func(time.Time) {
			ref, _ := h.follower.InForce()
			out[h.name] = ref.Version
			close(done)
		}
		<-done
	}
	return out
}

// convergenceTime is the time within which a version is in force everywhere.
const convergenceTime = 5 * time.Second

// requireAll checks that the version is in force on every live host.
func (f *fleet) requireAll(t *testing.T, version config.Version) {
	t.Helper()
	time.Sleep(convergenceTime)
	synctest.Wait()
	for name, got := range f.versions() {
		require.Equal(t, version, got, "version in force on %s", name)
	}
}

// inFleet runs a test with three hosts in each of two domains, which have version 1
// in force, and an operator's store.
func inFleet(t *testing.T, test func(t *testing.T, ctx context.Context, f *fleet, store *Store)) {
	t.Helper()
	inBubble(t, 1, func(t *testing.T, ctx context.Context, r *harness) {
		client, _ := r.client(t)
		store := NewStore(client, verify)
		f := newFleet(r)
		for i := range 6 {
			f.start(t, ctx, []string{"gavle", "falun"}[i%2])
		}
		publish(t, ctx, store, 1, "one")
		f.requireAll(t, 1)
		test(t, ctx, f, store)
	})
}

// watchers returns the elected hosts of a domain.
func (f *fleet) watchers(domain string) []*testHost {
	var out []*testHost
	for _, name := range ElectWatchers(f.view(), domain) {
		for _, h := range f.hosts {
			if h.name == name {
				out = append(out, h)
			}
		}
	}
	return out
}

func TestRolloutReachesHostsPartitionedFromThePlatform(t *testing.T) {
	inFleet(t, func(t *testing.T, ctx context.Context, f *fleet, store *Store) {
		f.watchers("gavle")[0].link.SetPartitioned(true)
		f.watchers("falun")[1].link.SetPartitioned(true)
		f.requireAll(t, 1)
		publish(t, ctx, store, 2, "two")
		f.requireAll(t, 2)
	})
}

func TestRolloutWithinADomainThatLostItsWatchers(t *testing.T) {
	inFleet(t, func(t *testing.T, ctx context.Context, f *fleet, store *Store) {
		f.mu.Lock()
		f.partitioned["falun"] = true
		f.mu.Unlock()
		for _, h := range f.watchers("falun") {
			f.kill(h)
		}
		f.requireAll(t, 1)
		publish(t, ctx, store, 2, "two")
		f.requireAll(t, 2)
	})
}

func TestRolloutDuringAnOutageOfMinutes(t *testing.T) {
	inFleet(t, func(t *testing.T, ctx context.Context, f *fleet, store *Store) {
		// Hosts in falun can't learn of version 2 before the outage begins.
		f.mu.Lock()
		f.partitioned["falun"] = true
		f.mu.Unlock()
		for _, h := range f.hosts {
			h.link.SetPartitioned(h.domain == "falun")
		}
		time.Sleep(10 * time.Second)
		publish(t, ctx, store, 2, "two")
		time.Sleep(convergenceTime)
		f.inject(t, standin.Fault{Kind: standin.FaultOutage, ForMs: 300_000})
		require.Contains(t, f.versions(), "host-1")
		require.Equal(t, config.Version(1), f.versions()["host-1"])
		require.Equal(t, config.Version(2), f.versions()["host-0"])
		for _, h := range f.hosts {
			h.link.SetPartitioned(false)
		}
		time.Sleep(time.Minute)
		f.mu.Lock()
		f.partitioned["falun"] = false
		f.mu.Unlock()
		f.requireAll(t, 2)
		newcomer := f.start(t, ctx, "falun")
		f.requireAll(t, 2)
		require.Equal(t, config.Version(2), f.versions()[newcomer.name], "a host that starts during the outage")

		time.Sleep(5 * time.Minute)
		publish(t, ctx, store, 3, "three")
		f.requireAll(t, 3)
	})
}

// TestEveryHostReplacedNextToThePast replaces all hosts while the platform's
// reads and watches are stale, and checks that no new host puts an older version
// in force than that of its peers.
func TestEveryHostReplacedNextToThePast(t *testing.T) {
	inFleet(t, func(t *testing.T, ctx context.Context, f *fleet, store *Store) {
		publish(t, ctx, store, 2, "two")
		f.requireAll(t, 2)
		f.inject(t, standin.Fault{Kind: standin.FaultStaleReads, RevisionsBack: 2})
		for _, h := range append([]*testHost(nil), f.hosts...) {
			f.start(t, ctx, h.domain)
			time.Sleep(5 * time.Second)
			f.kill(h)
		}
		f.requireAll(t, 2)
		for _, h := range f.hosts[6:] {
			require.Equal(t, []Ref{refOf(2, "two")}, h.applied, "%s never had an older version in force", h.name)
		}
		f.inject(t, standin.Fault{Kind: standin.FaultClear})
		publish(t, ctx, store, 3, "three")
		f.requireAll(t, 3)
	})
}

// TestPlatformCallsGrowWithDomains checks that the calls of a domain over two
// minutes without changes do not depend on its number of hosts.
func TestPlatformCallsGrowWithDomains(t *testing.T) {
	calls := func(hosts int) (out int64) {
		inBubble(t, 1, func(t *testing.T, ctx context.Context, r *harness) {
			f := newFleet(r)
			for range hosts {
				f.start(t, ctx, "gavle")
			}
			time.Sleep(10 * time.Second)
			before := r.server.Calls()
			time.Sleep(2 * time.Minute)
			after := r.server.Calls()
			require.Equal(t, before[gateway.PathRange], after[gateway.PathRange], "no host polls")
			out = after[gateway.PathWatch] - before[gateway.PathWatch]
		})
		return out
	}
	small, large := calls(3), calls(9)
	t.Logf("watches opened in two minutes: %d by 3 hosts, %d by 9 hosts", small, large)
	require.InEpsilon(t, small, large, 0.1)
}
