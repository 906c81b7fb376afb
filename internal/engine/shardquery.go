package engine

import (
	"context"
	"time"

	"toucangap/internal/traffic"
)

// shardQuery runs a function on a shard's goroutine.
type shardQuery[T any] struct {
	run    func(now time.Duration) T
	result chan T
}

func newShardQuery[T any](run func(now time.Duration) T) *shardQuery[T] {
	return &shardQuery[T]{run, make(chan T, 1)}
}

// Run implements traffic.Task.
func (q *shardQuery[T]) Run(now time.Duration) {
	q.result <- q.run(now)
}

// runShardQuery runs a query on the shard and waits for its result. It fails with
// traffic.ErrStopped, ErrStopping or the context's error.
func runShardQuery[T any](ctx context.Context, s *traffic.Shard, q *shardQuery[T]) (T, error) {
	var zero T
	if err := s.Do(ctx, q); err != nil {
		return zero, err
	}
	select {
	case r := <-q.result:
		return r, nil
	case <-s.Stopped():
		return zero, ErrStopping
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}
