package follow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/internal/catalog"
	"toucangap/platform"
	"toucangap/platform/platformtest"
)

// evacuated returns a replica with an endpoint of the evacuated domain d.
func evacuated(value string) *Replica {
	r := newTestReplica()
	r.Apply(0, Batch{Complete: true, Position: at(4), Changes: []platform.Change{
		configurationAt(2, 1), entryAt("i-1", 3, "ready"), put(platformtest.EvacuationKey("d"), 4, value),
	}})
	return r
}

// TestEvacuationWithAnyValue: the request is the key; a value that can't be read must not
// leave the domain in use.
func TestEvacuationWithAnyValue(t *testing.T) {
	for _, value := range []string{"{}", "", "\xff\x00", `{"domain":"other"}`} {
		r := evacuated(value)
		require.Empty(t, availableIDs(r.View(0)), value)
		require.Equal(t, []string{"d"}, r.View(0).EvacuatedDomains())
	}
}

// TestEvacuationReachesPeers: a host that starts or reconnects while the store is away
// learns of requests, and of their removal, from its peers.
func TestEvacuationReachesPeers(t *testing.T) {
	source, peer := evacuated("{}"), newTestReplica()
	peer.Apply(0, source.Since(0, peer.Progress()))
	require.Empty(t, availableIDs(peer.View(0)))

	source.Apply(time.Second, Batch{Position: at(5), Changes: []platform.Change{removal(platformtest.EvacuationKey("d"), 5)}})
	peer.Apply(time.Second, source.Since(time.Second, peer.Progress()))
	require.Equal(t, []string{"i-1"}, availableIDs(peer.View(time.Second)))
}

// TestEvacuationOfUnknownDomain: a request for a domain without endpoints changes nothing
// for the others.
func TestEvacuationOfUnknownDomain(t *testing.T) {
	r := newTestReplica()
	r.Apply(0, Batch{Complete: true, Position: at(4), Changes: []platform.Change{
		configurationAt(2, 1), entryAt("i-1", 3, "ready"), put(platformtest.EvacuationKey("nowhere"), 4, "{}"), put(platformtest.EvacuationKey(""), 4, "{}"),
	}})
	require.Equal(t, []string{"i-1"}, availableIDs(r.View(0)))
}

// TestEvacuationSurvivesRestore: the first listing of a restored store lacks a request
// that operators write again within the recovery grace period.
func TestEvacuationSurvivesRestore(t *testing.T) {
	r := evacuated("{}")
	copied := []platform.Change{configurationAt(2, 1), entryAt("i-1", 3, "ready")}
	for i := range copied {
		copied[i].Incarnation = 2
	}
	r.Apply(time.Second, Batch{
		Complete: true, Position: catalog.Position{Incarnation: 2, Revision: 3}, Changes: copied,
	})
	require.Equal(t, []string{"d"}, r.View(time.Second).EvacuatedDomains())
	end := time.Second + recoveryGracePeriod
	_, changed := r.Expire(end)
	require.True(t, changed)
	require.Empty(t, r.View(end).EvacuatedDomains(), "not written again")
}

// TestEvacuationLiftedWhileHostWasCutOff: a host that was cut off with a request finds by
// the next listing that it is gone.
func TestEvacuationLiftedWhileHostWasCutOff(t *testing.T) {
	r := evacuated("{}")
	r.Apply(time.Minute, Batch{Complete: true, Position: at(90), Changes: []platform.Change{
		configurationAt(2, 1), entryAt("i-1", 3, "ready"),
	}})
	require.Equal(t, []string{"i-1"}, availableIDs(r.View(time.Minute)))
}
