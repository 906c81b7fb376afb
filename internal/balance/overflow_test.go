package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestOverflowFollowsRoom: a host that sent what it has to spare regardless of the other
// domain's load would make that domain's own callers wait; one that did not notice free
// slots would reject requests.
func TestOverflowFollowsRoom(t *testing.T) {
	var o Overflow
	require.True(t, o.Room(0, 1))
	require.False(t, o.Room(0, 2))
	now := time.Duration(0)
	for range 20 {
		now += 10 * ms
		o.RecordAnswer(now, false, int(o.Limit(now)))
	}
	require.InDelta(t, overflowStart+20*overflowGrowth, o.Limit(now), 0.01)
	for range 40 {
		now += 10 * ms
		o.RecordAnswer(now, true, int(o.Limit(now)))
	}
	require.InDelta(t, overflowLowest, o.Limit(now), 0.01)
	o.RecordAnswer(now, false, 0)
	require.InDelta(t, overflowLowest+overflowGrowth, o.Limit(now), 0.01)
	o.RecordAnswer(now, false, 0)
	require.InDelta(t, overflowLowest+overflowGrowth, o.Limit(now), 0.01, "the limit was not used")
}

// TestOverflowPausesForCutDomains: SYNs into a domain that is cut off cost callers their
// time.
func TestOverflowPausesForCutDomains(t *testing.T) {
	var o Overflow
	o.RecordUnanswered(time.Second)
	require.False(t, o.Room(time.Second, 0))
	require.True(t, o.Room(time.Second+overflowPause, 0))
	require.False(t, o.Room(time.Second+overflowPause, 1), "one request tests the domain")
	require.True(t, o.Room(2*time.Second+overflowMemory, 1), "what was learnt is old")
}

// TestOverflowStaysWithinBounds: whatever the order of answers, one request may test the
// domain, and the limit grows only by answers in time.
func TestOverflowStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var o Overflow
		now, inTime := time.Duration(0), 0
		for range rapid.IntRange(1, 100).Draw(t, "answers") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "gap")) * ms
			congested := rapid.Bool().Draw(t, "congested")
			if !congested {
				inTime++
			}
			o.RecordAnswer(now, congested, rapid.IntRange(0, 100).Draw(t, "waiting"))
			require.GreaterOrEqual(t, o.Limit(now), overflowLowest)
			require.LessOrEqual(t, o.Limit(now), overflowStart+overflowGrowth*float64(inTime))
			require.True(t, o.Room(now, 0))
		}
	})
}
