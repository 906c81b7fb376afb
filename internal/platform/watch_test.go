package platform_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/internal/platform"
	"toucangap/internal/platform/gateway"
	standin "toucangap/standin/platform"
)

// await returns the next change other than ChangeDown and ChangeUp.
func await(t *testing.T, changes <-chan platform.Change) platform.Change {
	t.Helper()
	for {
		select {
		case change, open := <-changes:
			require.True(t, open)
			if change.Kind != platform.ChangeDown && change.Kind != platform.ChangeUp {
				return change
			}
		case <-time.After(time.Hour):
			t.Fatal("no change was reported")
		}
	}
}

func put(t *testing.T, ctx context.Context, h *harness, key, value string) int64 {
	t.Helper()
	entry, err := h.Get(ctx, key)
	if err != nil {
		require.ErrorIs(t, err, platform.ErrNotFound)
	}
	revision, err := h.CompareAndSwap(ctx, platform.Swap{Key: key, Value: []byte(value), ModRevision: entry.ModRevision})
	require.NoError(t, err)
	return revision
}

func TestWatchReportsRangesAndResumes(t *testing.T) {
	runInVirtualTime(t, nil, func(t *testing.T, ctx context.Context, h *harness) {
		put(t, ctx, h, "marks/1", "old")
		changes := h.Watch(ctx, platform.KeyRange("accepted"), platform.PrefixRange("marks/"))
		require.Empty(t, await(t, changes).Entries)
		reset := await(t, changes)
		require.Equal(t, platform.ChangeReset, reset.Kind)
		require.Len(t, reset.Entries, 1)

		put(t, ctx, h, "accepted", "1")
		change := await(t, changes)
		require.Equal(t, 0, change.Range)
		require.Equal(t, "1", string(change.Entry.Value))
		put(t, ctx, h, "other", "unseen")
		put(t, ctx, h, "marks/2", "new")
		change = await(t, changes)
		require.Equal(t, 1, change.Range)
		require.Equal(t, "marks/2", change.Entry.Key)

		h.inject(t, standin.Fault{Kind: standin.FaultOutage, ForMs: 120_000})
		time.Sleep(time.Minute)
		down := <-changes
		require.Equal(t, platform.ChangeDown, down.Kind)
		require.ErrorIs(t, down.Err, platform.ErrUnreachable)
		time.Sleep(time.Minute)
		put(t, ctx, h, "accepted", "2")
		put(t, ctx, h, "accepted", "3")
		require.Equal(t, "2", string(await(t, changes).Entry.Value), "no change is skipped")
		require.Equal(t, "3", string(await(t, changes).Entry.Value))
	})
}

func TestWatchRereadsAfterCompaction(t *testing.T) {
	runInVirtualTime(t, nil, func(t *testing.T, ctx context.Context, h *harness) {
		changes := h.Watch(ctx, platform.KeyRange("accepted"))
		require.Equal(t, platform.ChangeReset, await(t, changes).Kind)
		h.inject(t, standin.Fault{Kind: standin.FaultOutage, ForMs: 60_000})
		time.Sleep(time.Minute)
		put(t, ctx, h, "accepted", "1")
		put(t, ctx, h, "accepted", "2")
		h.inject(t, standin.Fault{Kind: standin.FaultCompact})
		change := await(t, changes)
		require.Equal(t, platform.ChangeReset, change.Kind)
		require.Equal(t, "2", string(change.Entries[0].Value))
	})
}

func TestIdleWatchIsReopened(t *testing.T) {
	runInVirtualTime(t, nil, func(t *testing.T, ctx context.Context, h *harness) {
		changes := h.Watch(ctx, platform.KeyRange("accepted"))
		require.Equal(t, platform.ChangeReset, await(t, changes).Kind)
		time.Sleep(time.Minute)
		opened := h.service.Calls()[gateway.PathWatch]
		require.GreaterOrEqual(t, opened, int64(20))
		require.LessOrEqual(t, opened, int64(41))
		require.Equal(t, int64(1), h.service.Calls()[gateway.PathRange], "a reopened watch does not read the range again")
	})
}

func TestWatchRereadsWhenRevisionGoesBack(t *testing.T) {
	runInVirtualTime(t, nil, func(t *testing.T, ctx context.Context, h *harness) {
		changes := h.Watch(ctx, platform.KeyRange("accepted"))
		await(t, changes)
		put(t, ctx, h, "accepted", "1")
		put(t, ctx, h, "accepted", "2")
		await(t, changes)
		require.Equal(t, "2", string(await(t, changes).Entry.Value))
		h.inject(t, standin.Fault{Kind: standin.FaultStaleReads, RevisionsBack: 1})
		change := await(t, changes)
		require.Equal(t, platform.ChangeReset, change.Kind)
		require.Equal(t, "1", string(change.Entries[0].Value))
		h.inject(t, standin.Fault{Kind: standin.FaultClear})
		require.Equal(t, "2", string(await(t, changes).Entry.Value))
	})
}
