package rollout

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/internal/config"
	"toucangap/internal/platform"
	standin "toucangap/standin/platform"
)

func TestProposeIsCreateOnly(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, ctx context.Context, r *harness) {
		client, _ := r.client(t)
		store := NewStore(client, verify)
		_, err := store.Current(ctx)
		require.ErrorIs(t, err, ErrNoBundle)
		_, err = store.Propose(ctx, []byte("unsigned"), 1)
		require.Error(t, err)
		_, err = store.Propose(ctx, sign(1, "a"), 2)
		require.ErrorIs(t, err, ErrWrongBundle)
		_, err = store.Propose(ctx, make([]byte, MaxBundleBytes+1), 1)
		require.ErrorIs(t, err, ErrTooLarge)

		r.inject(t, standin.Fault{Kind: standin.FaultLostResponse, Count: 1})
		result, err := store.Propose(ctx, sign(1, "a"), 1)
		require.NoError(t, err, "the digest resolves a lost response")
		require.Equal(t, refOf(1, "a"), result.Ref)
		_, err = store.Propose(ctx, sign(1, "b"), 1)
		var taken *VersionTakenError
		require.ErrorAs(t, err, &taken)
		require.ErrorIs(t, err, ErrVersionTaken)
		require.Equal(t, sign(1, "a"), taken.Signed)
	})
}

func TestAcceptNeedsAHigherVersionAndTheCurrentBase(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, ctx context.Context, r *harness) {
		client, _ := r.client(t)
		store := NewStore(client, verify)
		_, err := store.Accept(ctx, 1, 0, "early")
		require.ErrorIs(t, err, ErrNotProposed)
		publish(t, ctx, store, 1, "a")
		publish(t, ctx, store, 2, "b")
		_, err = store.Accept(ctx, 1, 2, "back")
		require.ErrorIs(t, err, ErrNotHigher)
		_, err = store.Propose(ctx, sign(3, "c"), 3)
		require.NoError(t, err)
		_, err = store.Accept(ctx, 3, 1, "late")
		var conflict *ConflictError
		require.ErrorAs(t, err, &conflict)
		require.ErrorIs(t, err, ErrConflict)
		require.Equal(t, refOf(2, "b"), conflict.Winner.Ref)
		require.Equal(t, sign(2, "b"), conflict.Signed)
		_, err = store.Accept(ctx, 3, 2, "b")
		require.ErrorIs(t, err, ErrOperationReused)
	})
}

// TestLostAcceptIsSettledByItsOperation checks that an accept whose response was
// lost finds its result by its operation ID, also after another acceptance.
func TestLostAcceptIsSettledByItsOperation(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, ctx context.Context, r *harness) {
		client, _ := r.client(t)
		store := NewStore(client, verify)
		publish(t, ctx, store, 1, "a")
		_, err := store.Propose(ctx, sign(2, "b"), 2)
		require.NoError(t, err)

		r.inject(t, standin.Fault{Kind: standin.FaultLostResponse, Count: 1})
		result, err := store.Accept(ctx, 2, 1, "mine")
		require.NoError(t, err)
		require.Equal(t, OperationID("mine"), result.Acceptance.Operation)

		// The response is lost until the operator's deadline; other operations
		// follow.
		_, err = store.Propose(ctx, sign(3, "c"), 3)
		require.NoError(t, err)
		r.inject(t, standin.Fault{Kind: standin.FaultLostResponse, Count: 1})
		short, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
		_, err = store.Accept(short, 3, 2, "third")
		cancel()
		require.ErrorIs(t, err, platform.ErrOutcomeUnknown)
		publish(t, ctx, store, 4, "d")
		result, err = store.Accept(ctx, 3, 2, "third")
		require.NoError(t, err)
		require.Equal(t, config.Version(4), result.Superseded)
	})
}

func TestAcceptOutcomeIsUnknownBeyondTheHistory(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, ctx context.Context, r *harness) {
		client, _ := r.client(t)
		store := NewStore(client, verify)
		for version := config.Version(1); version <= historyLength+2; version++ {
			publish(t, ctx, store, version, fmt.Sprint("change ", version))
			time.Sleep(time.Minute)
		}
		result, err := store.Accept(ctx, 2, 1, "change 2")
		require.NoError(t, err)
		require.Equal(t, config.Version(historyLength+2), result.Superseded)
		_, err = store.Accept(ctx, 2, 1, "another's")
		require.ErrorIs(t, err, ErrConflict)
		_, err = store.Accept(ctx, 1, 0, "change 1")
		require.ErrorIs(t, err, platform.ErrOutcomeUnknown)
	})
}

// TestAcceptIsNotFooledByThePast checks acceptances while the platform's reads
// are stale: a proposal that they do not return yet is not accepted, and the
// pointer is read and swapped at its latest revision.
func TestAcceptIsNotFooledByThePast(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, ctx context.Context, r *harness) {
		client, _ := r.client(t)
		store := NewStore(client, verify)
		publish(t, ctx, store, 1, "a")
		_, err := store.Propose(ctx, sign(3, "c"), 3)
		require.NoError(t, err)
		r.inject(t, standin.Fault{Kind: standin.FaultStaleReads})
		publish2 := func() error {
			_, err := store.Propose(ctx, sign(2, "b"), 2)
			require.NoError(t, err)
			_, err = store.Accept(ctx, 2, 1, "b")
			return err
		}
		require.ErrorIs(t, publish2(), ErrNotProposed, "a stale read does not return the proposal yet")
		_, err = store.Accept(ctx, 3, 1, "c")
		require.NoError(t, err)
		_, err = store.Accept(ctx, 3, 2, "other")
		require.NoError(t, err, "the same bundle is in force already")
		current, err := store.Current(ctx)
		require.NoError(t, err)
		require.Equal(t, config.Version(3), current.Version)
	})
}

// outcome is the result of one call of Accept.
type outcome struct {
	operation OperationID
	ref       Ref
	err       error
}

// operate makes one operator's attempts to put a change in force. It returns the
// outcomes of those that called Accept.
func operate(ctx context.Context, store *Store, name string, attempts int) []outcome {
	var out []outcome
	for i := range attempts {
		current, err := store.Current(ctx)
		if err != nil && !errors.Is(err, ErrNoBundle) {
			continue
		}
		operation := OperationID(fmt.Sprintf("%s-%d", name, i))
		version := current.Version + 1
		proposed, err := store.Propose(ctx, sign(version, string(operation)), version)
		if errors.Is(err, ErrVersionTaken) {
			version += config.Version(1 + len(name) + i)
			proposed, err = store.Propose(ctx, sign(version, string(operation)), version)
		}
		if err != nil {
			continue
		}
		// Every third attempt has a short deadline and may end with a lost
		// response.
		timeout := time.Minute
		if i%3 == 2 {
			timeout = 100 * time.Millisecond
		}
		short, cancel := context.WithTimeout(ctx, timeout)
		_, err = store.Accept(short, version, current.Version, operation)
		cancel()
		out = append(out, outcome{operation, proposed.Ref, err})
	}
	return out
}

// TestOperatorsRace lets 2 to 8 operators propose and accept concurrently while
// responses are lost, calls fail and calls are slow. It checks the order of the
// accepted versions against the result that each operator got.
func TestOperatorsRace(t *testing.T) {
	var won, lost, unknown, other int
	count := func(err error) {
		switch {
		case err == nil:
			won++
		case errors.Is(err, ErrConflict):
			lost++
		case errors.Is(err, platform.ErrOutcomeUnknown):
			unknown++
		default:
			other++
		}
	}
	for seed := range uint64(35) {
		operators := 2 + int(seed%7)
		inBubble(t, seed, func(t *testing.T, ctx context.Context, r *harness) {
			observer, _ := r.client(t)
			changes := observer.Watch(ctx, platform.PrefixRange(keyAccepted))
			var order []Acceptance
			go func() {
				for change := range changes {
					for _, entry := range changedEntries(change) {
						pointer, _ := decodePointer(&entry)
						order = append(order, pointer.Acceptance)
					}
				}
			}()
			time.Sleep(time.Second)
			random := rand.New(rand.NewPCG(seed, 3))
			r.inject(t, standin.Fault{Kind: standin.FaultLostResponse, Share: 0.3 * random.Float64()})
			r.inject(t, standin.Fault{Kind: standin.FaultErrors, Share: 0.2 * random.Float64()})
			r.inject(t, standin.Fault{Kind: standin.FaultSlow, DelayMs: 20, Share: 0.5})
			var (
				wg      sync.WaitGroup
				mu      sync.Mutex
				results []outcome
			)
			for i := range operators {
				client, _ := r.client(t)
				wg.Go(func() {
					out := operate(ctx, NewStore(client, verify), fmt.Sprintf("op%d", i), 4)
					mu.Lock()
					defer mu.Unlock()
					results = append(results, out...)
				})
			}
			wg.Wait()
			r.inject(t, standin.Fault{Kind: standin.FaultClear})
			time.Sleep(10 * time.Second)
			synctest.Wait()
			checkOrder(t, order, results)
			for _, key := range r.server.Dump().Keys {
				if strings.Contains(key.Key, prefixBundles) {
					require.Equal(t, key.CreateRevision, key.ModRevision, "a bundle is never overwritten")
				}
			}
			for _, o := range results {
				count(o.err)
			}
		})
	}
	t.Logf("outcomes: %d won, %d lost, %d unknown, %d other", won, lost, unknown, other)
	require.Positive(t, won)
	require.Positive(t, lost)
}

// checkOrder checks that versions only grow, and that an operation was accepted
// if its operator got success, and was not if its operator got a conflict.
func checkOrder(t *testing.T, order []Acceptance, results []outcome) {
	t.Helper()
	require.NotEmpty(t, order)
	accepted := make(map[OperationID]Ref)
	var last config.Version
	for _, a := range order {
		require.Greater(t, a.Version, last)
		last = a.Version
		accepted[a.Operation] = a.Ref
	}
	require.NotEmpty(t, results)
	for _, o := range results {
		ref, found := accepted[o.operation]
		switch {
		case o.err == nil:
			require.True(t, found, "%s got success", o.operation)
			require.Equal(t, o.ref, ref)
		case errors.Is(o.err, ErrConflict):
			require.False(t, found, "%s got a conflict", o.operation)
		}
	}
}

func TestPruneKeepsTheLatestVersions(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, ctx context.Context, r *harness) {
		client, _ := r.client(t)
		store := NewStore(client, verify)
		for version := range config.Version(6) {
			publish(t, ctx, store, version+1, fmt.Sprint(version+1))
		}
		_, err := store.Propose(ctx, sign(7, "next"), 7)
		require.NoError(t, err)
		r.inject(t, standin.Fault{Kind: standin.FaultLostResponse, Count: 1})
		pruned, err := store.Prune(ctx, 2)
		require.NoError(t, err)
		require.Equal(t, 3, pruned)
		time.Sleep(time.Minute) // The call budget refills.
		for version, kept := range []bool{1: false, 2: false, 3: false, 4: true, 5: true, 6: true, 7: true} {
			_, _, err := store.Bundle(ctx, config.Version(version))
			require.Equal(t, kept, err == nil, "version %d", version)
		}
		_, err = store.Propose(ctx, sign(2, "again"), 2)
		require.NoError(t, err)
		_, err = store.Accept(ctx, 2, 1, "again")
		require.ErrorIs(t, err, ErrConflict, "a deleted version never comes back")
	})
}
