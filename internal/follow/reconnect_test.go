package follow

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/platform"
)

// failingStore answers watches unless it is down.
type failingStore struct{ down bool }

func (s *failingStore) List(context.Context, string, string, time.Duration) (platform.Page, error) {
	return platform.Page{Revision: 5, Incarnation: 1}, nil
}

func (s *failingStore) Watch(_ context.Context, _ string, since uint64, _, _ time.Duration) (platform.Changes, error) {
	if s.down {
		return platform.Changes{}, platform.ErrBusy
	}
	return platform.Changes{Revision: since, Incarnation: 1}, nil
}

func (s *failingStore) Incarnation() uint64 { return 1 }

// TestNoRecoveryGraceWithoutAnOutage: a call to the store fails, and another host feeds this one
// for an hour. With a recovery grace period at the next own call, entries that are removed then
// take flows for longer although the store was never away.
func TestNoRecoveryGraceWithoutAnOutage(t *testing.T) {
	const hour = time.Hour
	for name, c := range map[string]struct {
		fedFor time.Duration
		want   bool
	}{"not fed": {0, true}, "fed until the outage": {time.Second, true}, "fed all the time": {hour, false}} {
		t.Run(name, func(t *testing.T) {
			var now time.Duration
			var last Batch
			store := &failingStore{}
			f := &Follower{
				Store: store, Timings: NewTimings(3 * time.Second), Logger: slog.New(slog.DiscardHandler),
				BootTime: func() time.Duration { return now }, OnBatch: func(b Batch) { last = b },
			}
			f.Poll(t.Context())
			store.down, now = true, time.Minute
			f.Poll(t.Context())
			require.True(t, f.Lost())
			for fed := time.Second; fed <= c.fedFor; fed += time.Second {
				f.Fed(time.Minute + fed)
			}
			store.down, now = false, time.Minute+hour+time.Second
			f.Poll(t.Context())
			require.False(t, f.Lost())
			require.Equal(t, c.want, last.Reconnected)
		})
	}
}
