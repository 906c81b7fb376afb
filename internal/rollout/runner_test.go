package rollout

import (
	"context"
	"encoding/json"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/internal/platform"
	"toucangap/internal/platform/gateway"
)

func TestRunnerReportsThePointerAgainAfterAnOutage(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, ctx context.Context, r *harness) {
		client, _ := r.client(t)
		runner := NewRunner(client, slog.New(slog.DiscardHandler))
		var kinds []UpdateKind
		go func() {
			for update := range runner.Updates() {
				kinds = append(kinds, update.Kind)
			}
		}()
		value, err := json.Marshal(Pointer{Acceptance: Acceptance{Ref: refOf(1, "a")}})
		require.NoError(t, err)
		entry := platform.Entry{Key: keyAccepted, Value: value}
		runner.handleChange(ctx, platform.Change{Kind: platform.ChangePut, Entry: entry})
		runner.handleChange(ctx, platform.Change{Kind: platform.ChangePut, Entry: platform.Entry{Value: []byte("{}")}})
		runner.handleChange(ctx, platform.Change{Kind: platform.ChangeDown, Err: platform.ErrUnreachable})
		runner.handleChange(ctx, platform.Change{Kind: platform.ChangeDown, Err: platform.ErrUnreachable})
		runner.handleChange(ctx, platform.Change{Kind: platform.ChangeUp})
		close(runner.updates)
		synctest.Wait()
		require.Equal(t, []UpdateKind{UpdateReachable, UpdatePointer, UpdateUnreachable, UpdateReachable, UpdatePointer}, kinds)
	})
}

func TestRunnerPollsWithoutPeers(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, ctx context.Context, r *harness) {
		client, _ := r.client(t)
		runner := NewRunner(client, slog.New(slog.DiscardHandler))
		go runner.Run(ctx)
		go func() {
			for range runner.Updates() {
			}
		}()
		reads := func(role Role) int64 {
			before := r.server.Calls()[gateway.PathRange]
			for range 3000 {
				runner.SetRole(role)
				time.Sleep(200 * time.Millisecond)
			}
			return r.server.Calls()[gateway.PathRange] - before
		}
		alone := reads(Role{})
		require.GreaterOrEqual(t, alone, int64(20), "in ten minutes")
		require.LessOrEqual(t, alone, int64(41))
		require.Zero(t, reads(Role{PeersReachable: true}))
	})
}
