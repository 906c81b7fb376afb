package rendezvous

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestMix guards against a changed function: hosts of different releases would then choose
// different candidates. The first two values are the
// first outputs of SplitMix64 with seed 0.
func TestMix(t *testing.T) {
	require.Equal(t, uint64(0xe220a8397b1dcdaf), Mix(Increment))
	require.Equal(t, uint64(0x6e789e6aa1b965f4), Mix(0x3c6ef372fe94f82a))
	require.Equal(t, uint64(0x71bb54d8d101b5b9), Score(3, 5))
}
