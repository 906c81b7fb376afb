package rollout

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucangap/internal/peerpb"
	standin "toucangap/standin/platform"
)

func TestMarkMergeIgnoresOrderAndDuplicates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		marks := rapid.SliceOf(rapid.Custom(func(t *rapid.T) Mark {
			return Mark{
				MarkKey:  MarkKey{Service: 1, Endpoint: 2},
				Draining: rapid.Bool().Draw(t, "draining"),
				Revision: rapid.Uint64Range(0, 4).Draw(t, "revision"),
			}
		})).Draw(t, "marks")
		var forward, shuffled MarkTable
		for _, m := range marks {
			before := forward.Get(m.MarkKey)
			forward.Merge(m)
			require.GreaterOrEqual(t, forward.Get(m.MarkKey).Revision, before.Revision)
		}
		for _, m := range rapid.Permutation(append(marks, marks...)).Draw(t, "order") {
			shuffled.Merge(m)
		}
		require.Equal(t, forward.All(), shuffled.All())
	})
}

func TestMarkFromPeer(t *testing.T) {
	mark := Mark{MarkKey: MarkKey{Service: 3, Endpoint: 65535}, Draining: true, Revision: 9}
	back, err := MarkFromPeer(mark.ToPeer())
	require.NoError(t, err)
	require.Equal(t, mark, back)
	_, err = MarkFromPeer(&peerpb.Mark{Endpoint: 65536})
	require.Error(t, err)
}

func TestMarksAreOrderedAmongOperators(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, ctx context.Context, r *harness) {
		key := MarkKey{Service: 1, Endpoint: 7}
		r.inject(t, standin.Fault{Kind: standin.FaultLostResponse, Share: 0.3})
		const operators, each = 4, 5
		var wg sync.WaitGroup
		for i := range operators {
			client, _ := r.client(t)
			wg.Go(func() {
				for j := range each {
					_, err := NewMarkStore(client).Set(ctx, key, j%2 == 0, 0, OperationID(fmt.Sprint(i, j)))
					if err != nil {
						t.Error(err)
					}
					time.Sleep(5 * time.Second)
				}
			})
		}
		wg.Wait()
		r.inject(t, standin.Fault{Kind: standin.FaultClear})
		client, _ := r.client(t)
		marks, err := NewMarkStore(client).List(ctx)
		require.NoError(t, err)
		require.Len(t, marks, 1)
		require.Equal(t, uint64(operators*each), marks[0].Revision, "each operation took effect exactly once")
		mark, err := NewMarkStore(client).Set(ctx, key, true, 100, "above")
		require.NoError(t, err)
		require.Equal(t, Mark{MarkKey: key, Draining: true, Revision: 101}, mark)
	})
}

func TestRunnerReportsMarksAndHosts(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, ctx context.Context, r *harness) {
		client, _ := r.client(t)
		marks := NewMarkStore(client)
		want, err := marks.Set(ctx, MarkKey{Service: 1, Endpoint: 2}, true, 0, "first")
		require.NoError(t, err)
		runner := NewRunner(client, slog.New(slog.DiscardHandler))
		runner.SetRole(Role{Watcher: true})
		go runner.Run(ctx)
		next := func(kind UpdateKind) Update {
			for update := range runner.Updates() {
				if update.Kind == kind {
					return update
				}
			}
			t.Fatal("updates ended")
			return Update{}
		}
		require.Equal(t, want, next(UpdateMark).Mark)
		require.Empty(t, next(UpdateHosts).Hosts)
		other, _ := r.client(t)
		want, err = NewMarkStore(other).Set(ctx, want.MarkKey, false, 0, "second")
		require.NoError(t, err)
		require.Equal(t, want, next(UpdateMark).Mark)
		registered, end := context.WithCancel(ctx)
		registrar := NewRegistrar(other, slog.New(slog.DiscardHandler), testHostEntry(1))
		go func() { _ = registrar.Run(registered) }()
		require.Equal(t, testHostEntry(1), next(UpdateHost).Hosts[0])
		end()
		r.inject(t, standin.Fault{Kind: standin.FaultExpireLeases})
		require.Equal(t, "host-1", next(UpdateHostRemoved).Name)
	})
}
