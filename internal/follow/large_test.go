//go:build !race

package follow

import "testing"

// TestVeryLargeAnswersDelayNoDrain: an answer of 150 MB. The race detector would take it
// half a minute.
func TestVeryLargeAnswersDelayNoDrain(t *testing.T) { drainAmongLargeEntries(t, 110) }
