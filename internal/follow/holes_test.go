package follow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/platform"
	"toucangap/platform/platformtest"
)

// TestListingFillsAHole: a complete batch lacks an endpoint and the secret, which the store
// holds. A host that ignores them in its next listing never learns of them.
func TestListingFillsAHole(t *testing.T) {
	r := newTestReplica()
	r.Apply(0, Batch{Complete: true, Position: at(5), Changes: []platform.Change{configurationAt(2, 1)}})
	r.Apply(0, Batch{Complete: true, Position: at(9), Changes: []platform.Change{
		configurationAt(2, 1), put(platform.SecretKey, 3, "one"), entryAt("i-1", 4, "ready"),
	}})
	require.Equal(t, []string{"i-1"}, availableIDs(r.View(0)))
	secret, stored := r.Secret()
	require.Equal(t, "one", string(secret))
	require.True(t, stored)
}

// TestLateListingBringsNothingBack: a listing from before a removal arrives after the removal
// was discarded.
func TestLateListingBringsNothingBack(t *testing.T) {
	r := newTestReplica()
	late := Batch{Complete: true, Position: at(3), Changes: []platform.Change{configurationAt(2, 1), entryAt("i-1", 3, "ready")}}
	r.Apply(0, late)
	r.Apply(0, Batch{Position: at(4), Changes: []platform.Change{removal(platformtest.EndpointKey("i-1"), 4)}})
	for _, now := range []time.Duration{0, testHistory, 2 * testLifetime} {
		r.Expire(now)
		r.Apply(now, late)
		require.Empty(t, availableIDs(r.View(now)))
	}
}
