package steer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucangap/internal/config"
)

// drainBucket takes tokens until none is left and returns their number.
func drainBucket(b *tokenBucket, now Time, perSecond int, class config.AdmissionClass) int {
	n := 0
	for n < 1_000_000 && b.take(now, perSecond, class) {
		n++
	}
	return n
}

// TestBucketReserve checks that a quarter of the rate is reserved for the
// urgent class.
func TestBucketReserve(t *testing.T) {
	cases := []struct {
		name                string
		shards, perSecond   int
		wait                Time
		normal, urgentAfter int
	}{
		{"a second's worth", 1, 100, time.Second, 75, 25},
		{"at most a second's worth", 1, 100, time.Hour, 75, 25},
		{"half a second's worth", 1, 100, time.Second / 2, 25, 25},
		{"the reserve alone", 1, 100, time.Second / 4, 0, 25},
		{"a share of the host's", 4, 100, time.Second, 18, 7},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := tokenBucket{shards: c.shards}
			require.Equal(t, c.normal, drainBucket(&b, c.wait, c.perSecond, config.ClassNormal))
			require.Equal(t, c.urgentAfter, drainBucket(&b, c.wait, c.perSecond, config.ClassUrgent))
		})
	}
	unlimited := tokenBucket{shards: 1}
	require.True(t, unlimited.take(0, 0, config.ClassNormal))
}

// TestBucketRate takes tokens at random intervals: over 60 s the number admitted
// reaches the shard's share of the host's limit and does not exceed it.
func TestBucketRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shards := rapid.IntRange(1, 8).Draw(t, "shards")
		perSecond := rapid.IntRange(1, 50).Draw(t, "rate")
		class := rapid.SampledFrom([]config.AdmissionClass{config.ClassUrgent, config.ClassNormal}).Draw(t, "class")
		step := Time(rapid.Int64Range(int64(time.Millisecond), int64(20*time.Millisecond)).Draw(t, "step"))
		b := tokenBucket{shards: shards}
		const seconds = 60
		admitted := 0
		for now := Time(0); now <= seconds*time.Second; now += step {
			admitted += drainBucket(&b, now, perSecond, class)
		}
		want := seconds * float64(perSecond) / float64(shards)
		require.LessOrEqual(t, float64(admitted), want+1)
		require.GreaterOrEqual(t, float64(admitted), want*0.95-2)
	})
}
