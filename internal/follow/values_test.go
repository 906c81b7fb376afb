package follow

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"toucangap/platform"
	"toucangap/platform/platformtest"
)

// TestUnusableValuesAreNotPassedOn: another writer stores values of 1 MB under keys of
// endpoints, hosts, evacuations and others. With them, a complete state does not fit into an
// update of the feed, and no new host can be fed.
func TestUnusableValuesAreNotPassedOn(t *testing.T) {
	large := strings.Repeat("x", 1<<20)
	r := newTestReplica()
	changes := []platform.Change{
		configurationAt(1, 1), entryAt("i-1", 2, "ready"), entryAt("i-2", 3, "ready"),
		put(platformtest.EndpointKey("i-3"), 4, large), put(platform.HostKey("h"), 5, large),
		put(platformtest.EvacuationKey("e"), 6, large), put("unknown", 7, large), put("small", 8, "x"),
	}
	r.Apply(0, Batch{Complete: true, Position: at(8), Changes: changes})
	r.Apply(0, Batch{Position: at(9), Changes: []platform.Change{put(platformtest.EndpointKey("i-2"), 9, large)}})
	b := r.Since(0, Progress{})
	bytes := 0
	values := make(map[string]string)
	for i := range b.Changes {
		bytes += len(b.Changes[i].Value)
		values[b.Changes[i].Key] = string(b.Changes[i].Value)
	}
	require.Less(t, bytes, maxUnusableValue)
	require.Len(t, values, len(changes), "keys and positions are passed on")
	require.Equal(t, "x", values["small"], "a later build may know its use")

	direct, fed := r, newTestReplica()
	fed.Apply(0, b)
	for name, peer := range map[string]*Replica{"direct": direct, "fed": fed} {
		require.Equal(t, []string{"i-1"}, availableIDs(peer.View(0)), name)
		require.Equal(t, []string{"e"}, peer.View(0).EvacuatedDomains(), name)
		require.Zero(t, peer.HostCount(), name)
		require.Equal(t, at(9), peer.items[platformtest.EndpointKey("i-2")].position, name)
	}
}

// TestLargeUsableValuesArePassedOn: a configuration that this build can't read and an entry of
// some kilobytes that it can are kept whole.
func TestLargeUsableValuesArePassedOn(t *testing.T) {
	r := newTestReplica()
	text := strings.Repeat("x", maxUnusableValue)
	entry := strings.Replace(platformtest.EntryWithoutStart("ready", 1), "{", `{"note":"`+text+`",`, 1)
	changes := []platform.Change{put(platformtest.ConfigurationKey, 1, text+"x"), put(platformtest.EndpointKey("i-1"), 2, entry)}
	r.Apply(0, Batch{Complete: true, Position: at(2), Changes: changes})
	require.ElementsMatch(t, changes, r.Since(0, Progress{}).Changes)
}
