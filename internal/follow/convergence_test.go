package follow

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucangap/internal/catalog"
	"toucangap/platform"
	"toucangap/platform/platformtest"
)

// site is a store and the hosts that follow it, in virtual time.
type site struct {
	t     *rapid.T
	now   time.Duration
	store siteStore
	hosts []*siteHost
	// calm is set once there is no more trouble.
	calm bool
	// holed is set once a host was fed a state with a hole, which it may pass on.
	holed bool
}

// siteStore is a store with a history that can be compacted, and copies of its past states.
type siteStore struct {
	position catalog.Position
	items    map[string]platform.Change
	// changes is the history of the incarnation from the revision floor on.
	changes []platform.Change
	floor   uint64
	past    []pastState
}

// pastState is the store's state from a time on.
type pastState struct {
	at       time.Duration
	position catalog.Position
	items    map[string]platform.Change
}

// siteHost is a host with the replica and the follower of the product.
type siteHost struct {
	site     *site
	replica  *Replica
	follower *Follower
	// incarnation is the latest one that the host knows.
	incarnation uint64
	feed        *siteFeed
	progress    Progress
	asOf        time.Duration
	// withheld is set from an update that withholds the secret until the store or a whole
	// state says how it is: what the host states of its progress does not hold for the secret.
	withheld bool
}

func newSite(t *rapid.T) *site {
	s := &site{t: t}
	if rapid.Bool().Draw(t, "incarnations") {
		s.store.position.Incarnation = 1
	}
	s.store.position.Revision = 1
	s.store.record(s.now)
	for range rapid.IntRange(2, 6).Draw(t, "hosts") {
		h := &siteHost{site: s}
		h.start()
		s.hosts = append(s.hosts, h)
	}
	return s
}

func (s *siteStore) record(now time.Duration) {
	s.past = append(s.past, pastState{at: now, position: s.position, items: maps.Clone(s.items)})
}

// write writes or removes a key. It takes time, so that each state has a time of its own.
func (s *site) write(c platform.Change) {
	st := &s.store
	s.now += time.Microsecond
	st.position.Revision++
	c.Revision, c.Incarnation = st.position.Revision, st.position.Incarnation
	st.items = maps.Clone(st.items)
	if st.items == nil {
		st.items = make(map[string]platform.Change)
	}
	st.items[c.Key] = c
	if c.Removed {
		delete(st.items, c.Key)
	}
	st.changes = append(st.changes, c)
	st.record(s.now)
}

// writeSome writes a random key.
func (s *site) writeSome() {
	key := rapid.SampledFrom([]string{
		platformtest.ConfigurationKey, platformtest.EndpointKey("i-1"), platformtest.EndpointKey("i-2"),
		platformtest.EndpointKey("i-3"), platformtest.EvacuationKey("e"), platform.SecretKey, "unknown",
	}).Draw(s.t, "key")
	_, exists := s.store.items[key]
	large := strings.Repeat("x", maxUnusableValue+1)
	switch {
	case key == platform.SecretKey:
		if !exists {
			s.write(put(key, 0, "secret"))
		}
	case key == platformtest.ConfigurationKey:
		s.write(configurationAt(0, uint64(len(s.store.past))))
	case exists && rapid.Bool().Draw(s.t, "removed"):
		s.write(removal(key, 0))
	default:
		value := rapid.SampledFrom([]string{platformtest.EntryWithoutStart("ready", 1),
			platformtest.EntryWithoutStart("draining", 1), "?", large}).Draw(s.t, "value")
		s.write(put(key, 0, value))
	}
}

// restore goes back to an earlier state of the store.
func (s *site) restore() {
	st := &s.store
	s.now += time.Microsecond
	copied := st.past[rapid.IntRange(0, len(st.past)-1).Draw(s.t, "copy")]
	position := catalog.Position{Incarnation: st.position.Incarnation + 1, Revision: copied.position.Revision}
	st.items = make(map[string]platform.Change)
	for key, c := range copied.items {
		c.Incarnation = position.Incarnation
		st.items[key] = c
	}
	st.position, st.changes, st.floor = position, nil, position.Revision
	st.record(s.now)
}

// start starts a host's process.
func (h *siteHost) start() {
	h.replica, h.incarnation, h.feed = newTestReplica(), 0, nil
	h.progress, h.asOf, h.withheld = Progress{}, 0, false
	h.follower = &Follower{
		Store: h, Timings: NewTimings(3 * time.Second), Logger: slog.New(slog.DiscardHandler),
		BootTime: func() time.Duration { return h.site.now },
		OnBatch: func(b Batch) {
			h.withheld = h.withheld && b.Partial
			h.apply(b)
		},
	}
}

// List implements Store, with pages that are no snapshot.
func (h *siteHost) List(_ context.Context, _, after string, _ time.Duration) (platform.Page, error) {
	s := h.site
	if !s.calm {
		s.now += rapid.SampledFrom([]time.Duration{0, time.Second, 30 * time.Second}).Draw(s.t, "page takes")
		for range rapid.IntRange(0, 2).Draw(s.t, "writes before the page") {
			s.writeSome()
		}
		if rapid.IntRange(0, 5).Draw(s.t, "page fails") == 0 {
			return platform.Page{}, platform.ErrBusy
		}
	}
	page := platform.Page{Revision: s.store.position.Revision, Incarnation: s.store.position.Incarnation}
	for _, key := range slices.Sorted(maps.Keys(s.store.items)) {
		if key <= after {
			continue
		}
		if page.More = len(page.Items) == 3; page.More {
			break
		}
		page.Items = append(page.Items, s.store.items[key].Item)
	}
	h.incarnation = max(h.incarnation, page.Incarnation)
	return page, nil
}

// Watch implements Store. It does not wait.
func (h *siteHost) Watch(_ context.Context, _ string, since uint64, _, _ time.Duration) (platform.Changes, error) {
	st := &h.site.store
	h.incarnation = max(h.incarnation, st.position.Incarnation)
	if since < st.floor {
		return platform.Changes{}, platform.ErrCompacted
	}
	changes := platform.Changes{Revision: st.position.Revision, Incarnation: st.position.Incarnation}
	for _, c := range st.changes {
		if c.Revision > since {
			changes.Changes = append(changes.Changes, c)
		}
	}
	return changes, nil
}

// Incarnation implements Store.
func (h *siteHost) Incarnation() uint64 { return h.incarnation }

// apply applies a batch and checks what the host knows.
func (h *siteHost) apply(b Batch) {
	h.replica.Apply(h.site.now, b)
	h.check()
}

// check checks that the host's state has not gone back, and is true as of the time that it
// states.
func (h *siteHost) check() {
	t, progress := h.site.t, h.replica.Progress()
	require.False(t, h.progress.Position.After(progress.Position), "position went back from %s to %s", h.progress.Position, progress.Position)
	require.GreaterOrEqual(t, progress.Version, h.progress.Version)
	require.GreaterOrEqual(t, h.replica.AsOf(), h.asOf)
	h.progress, h.asOf = progress, h.replica.AsOf()
	if h.asOf == 0 || h.site.holed {
		return
	}
	past := h.site.store.past
	n, _ := slices.BinarySearchFunc(past, h.asOf+1, func(p pastState, at time.Duration) int { return int(p.at - at) })
	state := past[n-1]
	require.GreaterOrEqual(t, progress.Position.Incarnation, state.position.Incarnation)
	if progress.Position.Incarnation == state.position.Incarnation {
		h.requireTrue(state)
	}
}

// requireTrue checks that the host has what the store held in the state, unless that has
// changed since.
func (h *siteHost) requireTrue(state pastState) {
	for key, c := range state.items {
		item := h.replica.items[key]
		if key == platform.SecretKey && h.withheld || item.position == c.Position() && !item.removed {
			continue
		}
		require.NotEqual(h.site.t, c.Position(), h.site.positionOf(key), "%s at %s is missing, state of %s", key, c.Position(), state.position)
		require.False(h.site.t, !item.removed && c.Position().After(item.position) && !item.position.IsZero(),
			"%s is of %s, and was of %s at %s", key, item.position, c.Position(), state.position)
	}
	for key, item := range h.replica.items {
		if key == platformtest.ConfigurationKey && item.position.Incarnation < state.position.Incarnation {
			// Hosts keep a configuration that a restored store has lost, and tell others.
			continue
		}
		if key == platform.SecretKey && h.withheld {
			continue
		}
		if _, exists := state.items[key]; !exists && !item.removed {
			require.True(h.site.t, item.position.After(state.position), "%s of %s was gone at %s", key, item.position, state.position)
		}
	}
}

// positionOf returns the position of the key's last change, zero if it does not exist.
func (s *site) positionOf(key string) catalog.Position {
	c, exists := s.store.items[key]
	if !exists {
		return catalog.Position{}
	}
	return c.Position()
}

// feedHole feeds a host the store's state without one key, as a host of a build that loses
// entries may.
func (h *siteHost) feedHole() {
	st := &h.site.store
	h.site.holed = true
	b := Batch{Complete: true, Position: st.position, AsOf: h.site.now}
	for _, key := range slices.Sorted(maps.Keys(st.items)) {
		b.Changes = append(b.Changes, st.items[key])
	}
	if len(b.Changes) > 0 {
		lost := rapid.IntRange(0, len(b.Changes)-1).Draw(h.site.t, "lost")
		b.Changes = slices.Delete(b.Changes, lost, lost+1)
	}
	h.deliver(b)
}

// trouble plays one random step.
func (s *site) trouble(holes bool) {
	s.now += rapid.SampledFrom([]time.Duration{time.Millisecond, 300 * time.Millisecond, 3 * time.Second, testHistory}).Draw(s.t, "pause")
	h := s.anyHost("host")
	switch rapid.SampledFrom([]string{
		"write", "write", "write", "step", "step", "connect", "receive", "receive", "receive", "leave", "restart",
		"compact", "restore", "expire", "hole",
	}).Draw(s.t, "step") {
	case "write":
		s.writeSome()
	case "step":
		h.follower.Poll(s.t.Context())
	case "connect":
		h.connect(s.anyHost("from"))
	case "receive":
		if h.feed != nil {
			h.receive()
		}
	case "leave":
		h.feed = nil
	case "restart":
		s.restart(h)
	case "compact":
		s.store.floor = s.store.position.Revision
	case "restore":
		if s.store.position.Incarnation > 0 && rapid.IntRange(0, 2).Draw(s.t, "restored") == 0 {
			s.restore()
		}
	case "expire":
		h.replica.Expire(s.now)
		h.check()
	case "hole":
		if holes {
			h.feedHole()
		}
	}
}

func (s *site) anyHost(label string) *siteHost {
	return s.hosts[rapid.IntRange(0, len(s.hosts)-1).Draw(s.t, label)]
}

// restart ends a host's process, with the feeds that it sends, and starts it again.
func (s *site) restart(h *siteHost) {
	for _, other := range s.hosts {
		if other.feed != nil && other.feed.from == h {
			other.feed = nil
		}
	}
	h.start()
}

// requireCurrent checks that a host's state equals the store's, key by key.
func (h *siteHost) requireCurrent(name string) {
	t, st := h.site.t, &h.site.store
	require.Equal(t, st.position, h.replica.Progress().Position, name)
	for key, item := range h.replica.items {
		if !item.removed {
			require.Contains(t, st.items, key, "%s has a key that is gone", name)
		}
	}
	for key, c := range st.items {
		item, known := h.replica.items[key]
		require.True(t, known && !item.removed, "%s lacks %s of %s", name, key, c.Position())
		require.Equal(t, c.Position(), item.position, "%s: %s", name, key)
	}
	require.Equal(t, h.site.available(), availableIDs(h.replica.View(h.site.now)), name)
}

// available returns the endpoints that take new flows by the store's state.
func (s *site) available() (ids []string) {
	if _, configured := s.store.items[platformtest.ConfigurationKey]; !configured {
		return nil
	}
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		c := s.store.items[platformtest.EndpointKey(id)]
		if string(c.Value) == platformtest.EntryWithoutStart("ready", 1) {
			ids = append(ids, id)
		}
	}
	return ids
}

// TestHostsConvergeOnTheStore plays writes, listings in pages, watches, feeds in parts and
// without a proof, restarts, compactions and restores. A host whose state has a hole, or goes
// back, or is older than it states, forwards by an old state without knowing.
func TestHostsConvergeOnTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSite(t)
		holes := rapid.IntRange(0, 3).Draw(t, "holes") == 0
		for range rapid.IntRange(5, 80).Draw(t, "steps") {
			s.trouble(holes)
		}
		s.calm = true
		if _, configured := s.store.items[platformtest.ConfigurationKey]; !configured {
			s.write(configurationAt(0, uint64(len(s.store.past))))
		}
		if holes {
			// What a state lacks is found by the next listing.
			s.store.floor = s.store.position.Revision
			s.write(configurationAt(0, uint64(len(s.store.past))))
			s.store.floor++
		}
		for i, h := range s.hosts {
			for range 4 {
				s.now += time.Second
				h.follower.Poll(t.Context())
			}
			h.feed = nil
			s.now += restoredHold + recoveryGracePeriod
			h.replica.Expire(s.now)
			h.requireCurrent(fmt.Sprint("host ", i))
		}
	})
}
