package relayd

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLimiterBoundsLines checks that only the burst and the rate pass, and that
// the rest is counted.
func TestLimiterBoundsLines(t *testing.T) {
	l := newLimiter(100, 50)
	passed := 0
	for i := range 10_000 {
		if l.allow(time.Duration(i) * time.Millisecond) {
			passed++
		}
	}
	require.InDelta(t, 50+100*10, passed, 2)
	require.Equal(t, int64(10_000-passed), l.takeSuppressed())
	require.Zero(t, l.takeSuppressed())
}

// TestClocksNeverGoBack checks that both clocks start at 0 or later and never go
// back.
func TestClocksNeverGoBack(t *testing.T) {
	c := newClock()
	monotonic, bootTime := c.Monotonic(), c.BootTime()
	require.GreaterOrEqual(t, bootTime, time.Duration(0))
	for range 1000 {
		m, b := c.Monotonic(), c.BootTime()
		require.GreaterOrEqual(t, m, monotonic)
		require.GreaterOrEqual(t, b, bootTime)
		monotonic, bootTime = m, b
	}
}
