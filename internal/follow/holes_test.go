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

// TestWithheldSecretIsNotRemoved: a host asks another one for a later configuration without a
// proof, and gets a complete state without the secret. The secret that it has read from the
// store counts as removed, and hosts that it feeds never get it.
func TestWithheldSecretIsNotRemoved(t *testing.T) {
	r := newTestReplica()
	r.Apply(0, Batch{Complete: true, Position: at(5), Changes: []platform.Change{configurationAt(2, 1), put(platform.SecretKey, 3, "one")}})
	r.Apply(0, Batch{Complete: true, Position: at(9), Changes: []platform.Change{configurationAt(2, 1)}, Withheld: []string{platform.SecretKey}})
	_, stored := r.Secret()
	require.True(t, stored)
	require.Contains(t, changedKeys(r.Since(0, Progress{})), platform.SecretKey)
}

// TestWithheldSecretIsLearnedFromAWatch: a state without the secret came between two watches,
// the second of which holds the secret with a revision from before that state.
func TestWithheldSecretIsLearnedFromAWatch(t *testing.T) {
	r := newTestReplica()
	r.Apply(0, Batch{Complete: true, Position: at(5), Changes: []platform.Change{configurationAt(2, 1)}})
	r.Apply(0, Batch{Complete: true, Position: at(9), Changes: []platform.Change{configurationAt(2, 1)}, Withheld: []string{platform.SecretKey}})
	r.Apply(0, Batch{Position: at(10), Changes: []platform.Change{put(platform.SecretKey, 7, "one")}})
	secret, stored := r.Secret()
	require.Equal(t, "one", string(secret))
	require.True(t, stored)
	r.Apply(0, Batch{Position: at(10), Changes: []platform.Change{put(platform.SecretKey, 4, "outdated")}})
	secret, _ = r.Secret()
	require.Equal(t, "one", string(secret))
}

func changedKeys(b Batch) (keys []string) {
	for i := range b.Changes {
		keys = append(keys, b.Changes[i].Key)
	}
	return keys
}

// TestRemovalsAheadOfTheStateAreKept: a starting host reads a long listing, or a feed sends a
// large update, for longer than removals are kept; a removal went ahead of it. The rest must
// bring neither the removed endpoint back, nor be ignored where it is older than the removal.
func TestRemovalsAheadOfTheStateAreKept(t *testing.T) {
	r := newTestReplica()
	r.Apply(0, Batch{Complete: true, Position: at(2), Changes: []platform.Change{configurationAt(1, 1)}})
	r.Apply(0, Batch{Partial: true, Position: at(0), Changes: []platform.Change{removal(platformtest.EndpointKey("i-1"), 9)}})
	r.Expire(testHistory)
	later := Batch{Position: at(8), Changes: []platform.Change{entryAt("i-1", 3, "ready"), entryAt("i-2", 4, "ready")}}
	r.Apply(testHistory, later)
	require.Equal(t, []string{"i-2"}, availableIDs(r.View(testHistory)))
	r.Apply(testHistory, Batch{Position: at(9)})
	r.Expire(testHistory)
	require.NotContains(t, r.items, platformtest.EndpointKey("i-1"), "it is not kept for longer")
}

// TestListingUndoesAWrongRemoval: another host's complete state lacks an endpoint and an
// evacuation that exist, and so they count as removed. The store's listing holds them
// unchanged, by revisions from before that state.
func TestListingUndoesAWrongRemoval(t *testing.T) {
	whole := []platform.Change{
		configurationAt(1, 1), entryAt("i-1", 3, "ready"), entryAt("i-2", 4, "ready"),
		put(platformtest.EvacuationKey("e"), 5, ""), put(platform.SecretKey, 2, "one"),
	}
	for _, after := range []time.Duration{0, testHistory} {
		r := newTestReplica()
		r.Apply(0, Batch{Complete: true, Position: at(5), Changes: whole})
		r.Apply(0, Batch{Complete: true, Position: at(7), Changes: whole[:2]})
		require.Equal(t, []string{"i-1"}, availableIDs(r.View(0)))
		r.Expire(after)
		require.True(t, r.Apply(after, Batch{Complete: true, Position: at(9), Changes: whole}))
		require.Equal(t, []string{"i-1", "i-2"}, availableIDs(r.View(after)), "%s later", after)
		require.Equal(t, []string{"e"}, r.View(after).EvacuatedDomains(), "%s later", after)
		_, stored := r.Secret()
		require.True(t, stored)
	}
}

// TestReportedRemovalsStay: the store has reported a removal. A complete state of another host
// that has missed it brings the endpoint back.
func TestReportedRemovalsStay(t *testing.T) {
	r := newTestReplica()
	whole := []platform.Change{configurationAt(1, 1), entryAt("i-1", 3, "ready")}
	r.Apply(0, Batch{Complete: true, Position: at(5), Changes: whole})
	r.Apply(0, Batch{Position: at(6), Changes: []platform.Change{removal(platformtest.EndpointKey("i-1"), 6)}})
	r.Apply(0, Batch{Complete: true, Position: at(7), Changes: whole[:1]})
	r.Apply(0, Batch{Complete: true, Position: at(9), Changes: whole})
	require.Empty(t, availableIDs(r.View(0)))
}

// TestLateChangeOfARemovedKeyIsIgnored: a key is removed, written and removed again. The host
// has seen the first removal, and a listing from after the second one; an update of another
// host with the write between them arrives late. Nothing would ever remove the key again.
func TestLateChangeOfARemovedKeyIsIgnored(t *testing.T) {
	for name, late := range map[string]Batch{
		"partial": {Partial: true, Position: at(0)}, "complete": {Complete: true, Position: at(7)}, "changes": {Position: at(7)},
	} {
		r := newTestReplica()
		configuration, key := configurationAt(1, 1), platformtest.EndpointKey("i-1")
		r.Apply(0, Batch{Complete: true, Position: at(3), Changes: []platform.Change{configuration, entryAt("i-1", 3, "ready")}})
		r.Apply(0, Batch{Position: at(4), Changes: []platform.Change{removal(key, 4)}})
		r.Apply(0, Batch{Complete: true, Position: at(9), Changes: []platform.Change{configuration}})
		late.Changes = []platform.Change{configuration, entryAt("i-1", 6, "ready")}
		r.Apply(0, late)
		require.Empty(t, availableIDs(r.View(0)), name)
	}
}

// TestPartOfAListingIsNoState: a host has started after a restore of the store and has read a
// part of the listing. A host that it feeds must not take that for the whole state, and all
// other endpoints for removed.
func TestPartOfAListingIsNoState(t *testing.T) {
	started := newTestReplica()
	started.Apply(0, Batch{Partial: true, Position: inSecond(0), Changes: []platform.Change{restored(entryAt("i-1", 5, "ready"))}})
	known := newTestReplica()
	known.Apply(0, Batch{Complete: true, Position: at(9), Changes: []platform.Change{configurationAt(1, 1), entryAt("i-2", 4, "ready")}})
	for range 2 {
		known.Apply(0, started.Since(0, known.Progress()))
		require.Equal(t, []string{"i-2"}, availableIDs(known.View(recoveryGracePeriod)))
		require.Equal(t, at(9), known.Progress().Position)
	}
	require.Empty(t, started.Since(0, Progress{}).Changes)
}
