package catalog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newTwoDomains returns a directory with one endpoint in each of two domains, whose
// endpoints are cold for two seconds after their start.
func newTwoDomains() *Directory {
	d := NewDirectory(recoveryGrace, removedRetention)
	c := configuration(1, "s")
	c.ColdStarts = map[string]ColdStart{"s": {For: 2 * time.Second}}
	d.SetConfiguration(c)
	for i, domain := range []string{"a", "b"} {
		e := endpoint("i-"+domain, "s")
		e.Domain = domain
		d.PutEndpoint(0, e, at(uint64(i+2)))
	}
	return d
}

// TestEvacuatedDomainTakesNoFlows: new flows go on into a domain that operators have
// emptied; open flows there must still be forwarded.
func TestEvacuatedDomainTakesNoFlows(t *testing.T) {
	d := newTwoDomains()
	require.True(t, d.Evacuate("a", at(10)))
	require.False(t, d.Evacuate("a", at(11)), "already evacuated")
	v := d.View(0)
	require.Equal(t, []string{"i-b"}, ids(v.Available("s")))
	require.Equal(t, []string{"a"}, v.EvacuatedDomains())
	require.True(t, v.ByToken(TokenOf("i-a")).Listed)
	added := endpoint("i-new", "s")
	added.Domain = "a"
	d.PutEndpoint(0, added, at(12))
	require.Equal(t, []string{"i-b"}, ids(d.View(0).Available("s")), "endpoint that starts during the evacuation")

	require.True(t, d.EndEvacuation(time.Second, "a", at(13)))
	v = d.View(time.Second)
	require.Len(t, v.Available("s"), 3)
	require.Equal(t, 3*time.Second, v.ByToken(TokenOf("i-a")).WarmAt, "cold after an evacuation")
	require.Zero(t, v.ByToken(TokenOf("i-b")).WarmAt)
}

// TestAllDomainsEvacuated: a host with nowhere to send flows must not be in rotation.
func TestAllDomainsEvacuated(t *testing.T) {
	d := newTwoDomains()
	d.Evacuate("a", at(10))
	d.Evacuate("b", at(11))
	require.False(t, d.View(0).Serves())
}

// TestOlderEvacuationIsIgnored: feeds and listings may bring a request after its removal.
func TestOlderEvacuationIsIgnored(t *testing.T) {
	d := newTwoDomains()
	d.Evacuate("a", at(10))
	d.EndEvacuation(0, "a", at(12))
	require.False(t, d.Evacuate("a", at(10)))
	require.Empty(t, d.View(0).EvacuatedDomains())
	d.Evacuate("a", at(14))
	require.False(t, d.EndEvacuation(0, "a", at(13)))
	require.Equal(t, []string{"a"}, d.View(0).EvacuatedDomains())
}

// TestRestoredStoreKeepsEvacuation: a store restored from an older copy lacks a request
// until operators write it again; flows must not return to the domain meanwhile.
func TestRestoredStoreKeepsEvacuation(t *testing.T) {
	d := newTwoDomains()
	d.Evacuate("a", at(10))
	back := 10 * time.Second
	d.StartRecoveryGrace(back)
	later := Position{Incarnation: 2, Revision: 5}
	require.False(t, d.EndEvacuation(back, "a", later))
	require.Equal(t, []string{"a"}, d.View(back).EvacuatedDomains())
	next, _ := d.Expire(back)
	require.Equal(t, back+recoveryGrace, next)

	require.False(t, d.Evacuate("a", Position{Incarnation: 2, Revision: 8}), "written again")
	_, changed := d.Expire(back + recoveryGrace)
	require.False(t, changed)
	require.Equal(t, []string{"a"}, d.View(back+recoveryGrace).EvacuatedDomains())

	d.StartRecoveryGrace(back)
	d.EndEvacuation(back, "a", Position{Incarnation: 2, Revision: 9})
	_, changed = d.Expire(back + recoveryGrace)
	require.True(t, changed)
	require.Empty(t, d.View(back+recoveryGrace).EvacuatedDomains())
}

// TestEntryDoesNotEndColdAfterEvacuation: the first heartbeat after an evacuation must not
// let the domain's endpoints count as warm if flows to cold ones are limited.
func TestEntryDoesNotEndColdAfterEvacuation(t *testing.T) {
	for perSecond, want := range map[float64]time.Duration{0: time.Second, 3: 3 * time.Second} {
		d := newTwoDomains()
		d.Configuration().ColdStarts["s"] = ColdStart{For: 2 * time.Second, PerSecond: perSecond}
		d.Evacuate("a", at(10))
		d.EndEvacuation(time.Second, "a", at(11))
		renewed := endpoint("i-a", "s")
		renewed.Domain = "a"
		d.PutEndpoint(time.Second, renewed, at(12))
		require.Equal(t, want, d.View(time.Second).ByToken(TokenOf("i-a")).WarmAt)
	}
}
