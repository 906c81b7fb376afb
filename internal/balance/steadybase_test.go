package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// answers records an answer each 5 ms, whose time goes from one value to another.
func answers(w *Window, now, span, from, to time.Duration) time.Duration {
	for passed := time.Duration(0); passed < span; passed += 5 * time.Millisecond {
		took := from + time.Duration(float64(to-from)*float64(passed)/float64(span))
		w.RecordAnswer(now+passed, took, 300*time.Millisecond, 100, 10)
	}
	return now + span
}

// TestGradualQueueIsCongestion: at a load slightly above the capacity, the endpoints' queues
// build up over a second. The uncongested time follows the answers without SteadyBase, so
// that they do not count as congested and nothing is held.
func TestGradualQueueIsCongestion(t *testing.T) {
	for _, steady := range []bool{true, false} {
		w := Window{SteadyBase: steady}
		now := answers(&w, 0, time.Second, 45*time.Millisecond, 45*time.Millisecond)
		require.False(t, w.Full(now, 100, 10))
		now = answers(&w, now, time.Second, 45*time.Millisecond, 200*time.Millisecond)
		require.Equal(t, steady, w.Full(now, 100, 10), "steady base %t", steady)
	}
}

// TestSteadyBaseLearnsSlowerWork: after a change of the requests' work the window must not
// stay closed for good.
func TestSteadyBaseLearnsSlowerWork(t *testing.T) {
	w := Window{SteadyBase: true}
	now := answers(&w, 0, time.Second, 45*time.Millisecond, 45*time.Millisecond)
	now = answers(&w, now, 2*baseRiseTime, 130*time.Millisecond, 130*time.Millisecond)
	require.False(t, w.Full(now, 100, 10))
	require.InDelta(t, 130, w.base/1e6, 10)
}
