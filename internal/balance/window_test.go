package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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

// TestLimitsOfHostsBecomeEqual guards against hosts that came back first and keep the room
// that they found: a host that came back later holds its requests at its share meanwhile.
func TestLimitsOfHostsBecomeEqual(t *testing.T) {
	hosts := []Window{NewWindow(0), NewWindow(0)}
	now := time.Duration(0)
	for i := range hosts {
		for range firstAnswers {
			hosts[i].RecordAnswer(now, uncongested, windowGoal, 1, 10)
		}
	}
	hosts[0].limit, hosts[1].limit = 40, 10
	for range 20 {
		now += 100 * time.Millisecond
		sum := hosts[0].Limit(10) + hosts[1].Limit(10)
		for i := range hosts {
			// All endpoints queue while the two have more than 30 requests there.
			took := uncongested
			if sum > 30 {
				took = congested
			}
			for range int(hosts[i].Limit(10)) {
				limit := int(hosts[i].Limit(10))
				hosts[i].Full(now, limit+1, 10)
				hosts[i].RecordAnswer(now, took, windowGoal, limit, 10)
			}
		}
	}
	require.InDelta(t, hosts[0].Limit(10), hosts[1].Limit(10), 6)
}
