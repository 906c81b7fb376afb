package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	uncongested = 60 * time.Millisecond
	congested   = 200 * time.Millisecond
	windowGoal  = 250 * time.Millisecond
)

// openWindow returns a window that knows the uncongested answer time and is open.
func openWindow(t *testing.T) (*Window, time.Duration) {
	w := NewWindow(0)
	now := time.Duration(0)
	for range 100 {
		now += 20 * time.Millisecond
		w.RecordAnswer(now, uncongested, windowGoal, 1, 10)
	}
	require.False(t, w.Full(now, 1000, 10), "nothing is held outside congestion")
	return &w, now
}

// TestWindowIsClosedAfterAStart: a host that has just started knows of no other
// host's requests, so that its share of the slots is the limit until answers came.
func TestWindowIsClosedAfterAStart(t *testing.T) {
	w := NewWindow(0)
	require.False(t, w.Full(0, 9, 10))
	require.True(t, w.Full(0, 10, 10))
	require.True(t, w.Full(0, minLimit, 0), "a host with hardly a share still gets answers")
	require.False(t, w.Full(0, minLimit-1, 0))
}

// TestWindowClosesWithCongestedAnswers: most answers take as long again as they take
// without a queue. The limit falls to the share of the slots and not below.
func TestWindowClosesWithCongestedAnswers(t *testing.T) {
	w, now := openWindow(t)
	for range 3 {
		w.RecordAnswer(now, congested, windowGoal, 40, 10)
	}
	require.False(t, w.Full(now, 40, 10), "a few slow answers do not close it")
	for range 50 {
		w.RecordAnswer(now, congested, windowGoal, 40, 10)
	}
	require.True(t, w.Full(now, 10, 10))
	require.False(t, w.Full(now, 9, 10))
}

// TestWindowGrowsOnlyWhileItIsNeeded: answers without congestion raise the limit
// while it holds requests back, and once it has not for a while the window opens.
func TestWindowGrowsOnlyWhileItIsNeeded(t *testing.T) {
	w, now := openWindow(t)
	for range 100 {
		w.RecordAnswer(now, congested, windowGoal, 40, 10)
	}
	lowest := w.Limit(10)
	for range 10 {
		w.RecordAnswer(now, uncongested, windowGoal, 2, 10)
	}
	require.Equal(t, lowest, w.Limit(10), "not needed")
	for range 10 {
		w.RecordAnswer(now, uncongested, windowGoal, 10, 10)
	}
	require.Greater(t, w.Limit(10), lowest)
	require.True(t, w.Full(now, 1000, 10))
	w.RecordAnswer(now+openAfter+1, uncongested, windowGoal, 2, 10)
	require.False(t, w.Full(now+openAfter+1, 1000, 10))
}

// TestWindowAdaptsToSlowerEndpoints: all endpoints take three times as long for good.
// The host's own requests are not the cause, so the limit rises again.
func TestWindowAdaptsToSlowerEndpoints(t *testing.T) {
	w, now := openWindow(t)
	for range 60 {
		w.RecordAnswer(now, 3*uncongested, time.Second, 40, 10)
	}
	require.True(t, w.Full(now, 10, 10))
	for range 400 {
		w.Full(now, 1000, 10)
		w.RecordAnswer(now, 3*uncongested, time.Second, int(w.Limit(10)), 10)
	}
	require.Greater(t, w.Limit(10), 20.0)
}

// TestOrderOfWaiters: among requests that can still be in time the urgent ones first,
// then the newest; late ones by the time that their callers still wait.
func TestOrderOfWaiters(t *testing.T) {
	const now, takes = 10 * time.Second, 60 * time.Millisecond
	since := func(ago time.Duration, priority int, until time.Duration) *Waiter {
		return &Waiter{Since: now - ago, Target: windowGoal, Until: now + until, Priority: priority}
	}
	order := []*Waiter{
		since(100*time.Millisecond, 1, time.Second), since(150*time.Millisecond, 1, time.Second),
		since(0, 2, time.Second), since(190*time.Millisecond, 2, time.Second),
		since(600*time.Millisecond, 2, 300*time.Millisecond), since(200*time.Millisecond, 1, 900*time.Millisecond),
	}
	for i, w := range order {
		for j, other := range order {
			require.Equal(t, i < j, w.Before(other, now, takes), "%d before %d", i, j)
		}
	}
}

// TestOrderIsStrict: the order of any waiters has no cycles and no ties both ways.
func TestOrderIsStrict(t *testing.T) {
	draw := rapid.Custom(func(t *rapid.T) *Waiter {
		d := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(0, 5).Draw(t, name)) * 100 * time.Millisecond
		}
		return &Waiter{Since: d("since"), Target: d("target"), Until: d("until"), Priority: rapid.IntRange(0, 2).Draw(t, "priority")}
	})
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := draw.Draw(t, "a"), draw.Draw(t, "b"), draw.Draw(t, "c")
		const now, takes = 500 * time.Millisecond, 60 * time.Millisecond
		require.False(t, a.Before(a, now, takes))
		require.False(t, a.Before(b, now, takes) && b.Before(a, now, takes))
		if a.Before(b, now, takes) && b.Before(c, now, takes) {
			require.True(t, a.Before(c, now, takes))
		}
	})
}
