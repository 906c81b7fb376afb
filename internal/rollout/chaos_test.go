package rollout

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/internal/config"
	standin "toucangap/standin/platform"
)

// chaos injects random faults into a fleet while versions are published.
type chaos struct {
	*fleet
	random *rand.Rand
	store  *Store
	// proposed is the highest version tried so far.
	proposed config.Version
}

// step performs one random action.
func (s *chaos) step(t *testing.T, ctx context.Context) {
	t.Helper()
	switch s.random.IntN(7) {
	case 0, 1:
		s.publish(ctx)
	case 2:
		kinds := []standin.FaultKind{standin.FaultOutage, standin.FaultSilent, standin.FaultSlow,
			standin.FaultLostResponse, standin.FaultErrors, standin.FaultStaleReads}
		s.inject(t, standin.Fault{
			Kind:          kinds[s.random.IntN(len(kinds))],
			ForMs:         1000 + s.random.Int64N(60_000),
			DelayMs:       s.random.Int64N(1000),
			RevisionsBack: s.random.Int64N(6),
		})
	case 3:
		s.inject(t, standin.Fault{Kind: standin.FaultCompact})
	case 4:
		s.hosts[s.random.IntN(len(s.hosts))].link.SetPartitioned(s.random.IntN(2) == 0)
	case 5:
		s.mu.Lock()
		s.partitioned[[]string{"gavle", "falun"}[s.random.IntN(2)]] = s.random.IntN(2) == 0
		s.mu.Unlock()
	case 6:
		victim := s.hosts[s.random.IntN(len(s.hosts))]
		s.kill(victim)
		s.start(t, ctx, victim.domain)
	}
}

// publish tries to put a new version in force for up to 20 s.
func (s *chaos) publish(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	current, err := s.store.Current(ctx)
	if err != nil {
		return
	}
	s.proposed = max(s.proposed, current.Version) + 1
	text := fmt.Sprint("change ", s.proposed)
	if _, err := s.store.Propose(ctx, sign(s.proposed, text), s.proposed); err != nil {
		return
	}
	_, _ = s.store.Accept(ctx, s.proposed, current.Version, OperationID(text))
}

// heal ends all faults and partitions.
func (s *chaos) heal(t *testing.T) {
	t.Helper()
	s.inject(t, standin.Fault{Kind: standin.FaultClear})
	s.mu.Lock()
	clear(s.partitioned)
	s.mu.Unlock()
	for _, h := range s.hosts {
		h.link.SetPartitioned(false)
	}
}

// check verifies the invariants: no host's version decreased, and all hosts had
// the same bundle under each version, one that was accepted.
func (s *chaos) check(t *testing.T, pointer Pointer) {
	t.Helper()
	accepted := map[Ref]bool{pointer.Ref: true}
	for _, a := range pointer.History {
		accepted[a.Ref] = true
	}
	oldest := pointer.Version
	if n := len(pointer.History); n > 0 {
		oldest = pointer.History[n-1].Version
	}
	digests := make(map[config.Version]Digest)
	for _, h := range s.hosts {
		var last config.Version
		for _, ref := range h.applied {
			require.Greater(t, ref.Version, last, "%s returned to a lower version", h.name)
			last = ref.Version
			if digest, seen := digests[ref.Version]; seen {
				require.Equal(t, digest, ref.Digest)
			}
			digests[ref.Version] = ref.Digest
			require.True(t, accepted[ref] || ref.Version < oldest, "version %d was never accepted", ref.Version)
		}
	}
}

// TestStorm runs seeded random faults over two domains of three hosts each.
func TestStorm(t *testing.T) {
	const storms, steps = 6, 40
	for seed := range uint64(storms) {
		inFleet(t, func(t *testing.T, ctx context.Context, f *fleet, store *Store) {
			s := &chaos{fleet: f, random: rand.New(rand.NewPCG(seed, 5)), store: store}
			for range steps {
				s.step(t, ctx)
				time.Sleep(time.Duration(s.random.IntN(5000)) * time.Millisecond)
			}
			s.heal(t)
			pointer, err := store.Current(ctx)
			require.NoError(t, err)
			f.requireAll(t, pointer.Version)
			s.publish(ctx)
			f.requireAll(t, s.proposed)
			pointer, err = store.Current(ctx)
			require.NoError(t, err)
			synctest.Wait()
			s.check(t, pointer)
			t.Logf("seed %d: version %d on %d hosts", seed, pointer.Version, len(f.hosts))
		})
	}
}
