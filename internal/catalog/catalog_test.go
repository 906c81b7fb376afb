package catalog

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	recoveryGrace    = 2500 * time.Millisecond
	removedRetention = time.Minute
)

func endpoint(id, service string) *Endpoint {
	return &Endpoint{ID: id, Recipient: 1, Service: service, Domain: "d", Slots: 2}
}

func configuration(version uint64, services ...string) *Configuration {
	c := &Configuration{Version: version, Services: make(map[string]int)}
	for i, s := range services {
		c.Services[s] = 100
		c.Routes = append(c.Routes, Route{Address: Address{IP: 1, Port: uint16(i + 1)}, Shares: []Share{{s, 1}}})
	}
	return c
}

func ids(entries []*Entry) []string {
	var out []string
	for _, e := range entries {
		out = append(out, e.ID)
	}
	return out
}

// at returns a position in the store's first incarnation.
func at(revision uint64) Position { return Position{Incarnation: 1, Revision: revision} }

func newDirectory() *Directory {
	d := NewDirectory(recoveryGrace, removedRetention)
	d.SetConfiguration(configuration(1, "s"))
	return d
}

func TestOlderConfigurationsAreIgnored(t *testing.T) {
	d := newDirectory()
	require.True(t, d.SetConfiguration(configuration(5, "s")))
	require.False(t, d.SetConfiguration(configuration(4, "s")), "lower version")
	require.False(t, d.SetConfiguration(configuration(5, "s")), "same version")
	require.Equal(t, uint64(5), d.Configuration().Version)
}

func TestOlderEntriesAreIgnored(t *testing.T) {
	d := newDirectory()
	draining := endpoint("i-1", "s")
	draining.Draining = true
	require.True(t, d.PutEndpoint(0, draining, at(20)))
	require.False(t, d.PutEndpoint(0, endpoint("i-1", "s"), at(10)))
	require.False(t, d.RemoveEndpoint(0, "i-1", at(19)))
	require.Empty(t, d.View(0).Available("s"))
	require.NotNil(t, d.View(0).ByToken(TokenOf("i-1")))
}

func TestUnknownServicesTakeNoFlows(t *testing.T) {
	d := newDirectory()
	d.PutEndpoint(0, endpoint("i-1", "other"), at(2))
	require.Empty(t, d.View(0).Available("other"))
	d.SetConfiguration(configuration(2, "other"))
	require.Equal(t, []string{"i-1"}, ids(d.View(0).Available("other")))
}

func TestRemovedEndpointsKeepTheirFlowsOnly(t *testing.T) {
	d := newDirectory()
	d.PutEndpoint(0, endpoint("i-1", "s"), at(2))
	require.True(t, d.RemoveEndpoint(time.Second, "i-1", at(3)))
	v := d.View(time.Second)
	require.Empty(t, v.Available("s"))
	require.False(t, v.Serves())
	require.False(t, v.ByToken(TokenOf("i-1")).Listed)
	next, changed := d.Expire(time.Second)
	require.Equal(t, time.Second+removedRetention, next)
	require.False(t, changed)
	_, changed = d.Expire(next)
	require.True(t, changed)
	require.Nil(t, d.View(next).ByToken(TokenOf("i-1")))
}

// TestMissingEntriesAreUsedDuringGracePeriod: entries that are missing right after
// the store's return are used until the recovery grace period ends.
func TestMissingEntriesAreUsedDuringGracePeriod(t *testing.T) {
	d := newDirectory()
	d.PutEndpoint(0, endpoint("i-1", "s"), at(2))
	d.PutEndpoint(0, endpoint("i-2", "s"), at(3))
	back := 10 * time.Second
	d.StartRecoveryGrace(back)
	require.True(t, d.RemoveEndpoint(back, "i-1", at(9)))
	require.True(t, d.RemoveEndpoint(back, "i-2", at(9)))
	require.Equal(t, []string{"i-1", "i-2"}, ids(d.View(back).Available("s")))
	next, _ := d.Expire(back)
	require.Equal(t, back+recoveryGrace, next)

	require.True(t, d.PutEndpoint(back+time.Second, endpoint("i-2", "s"), at(11)))
	_, changed := d.Expire(back + recoveryGrace)
	require.True(t, changed)
	require.Equal(t, []string{"i-2"}, ids(d.View(back+recoveryGrace).Available("s")))
}

// TestRemovalTakesEffectOutsideGracePeriod: once the recovery grace period is over,
// removals take effect at once.
func TestRemovalTakesEffectOutsideGracePeriod(t *testing.T) {
	d := newDirectory()
	d.StartRecoveryGrace(0)
	d.PutEndpoint(0, endpoint("i-1", "s"), at(2))
	d.RemoveEndpoint(recoveryGrace, "i-1", at(3))
	require.Empty(t, d.View(recoveryGrace).Available("s"))
}

// TestListingDoesNotRemoveNewerEntries: a listing's pages are not a snapshot, so an
// entry that is newer than the listing's revision may be missing from them.
func TestListingDoesNotRemoveNewerEntries(t *testing.T) {
	d := newDirectory()
	d.PutEndpoint(0, endpoint("i-1", "s"), at(20))
	require.False(t, d.RemoveEndpoint(0, "i-1", at(10)))
	require.Equal(t, []string{"i-1"}, ids(d.View(0).Available("s")))
}

// TestTokenCollision: of two ids with the same token only the smaller takes
// flows, in whichever order they are added.
func TestTokenCollision(t *testing.T) {
	seen := make(map[Token]string)
	var a, b string
	for i := 0; b == ""; i++ {
		id := fmt.Sprintf("i-%x", i)
		if other, ok := seen[TokenOf(id)]; ok {
			a, b = other, id
		}
		seen[TokenOf(id)] = id
	}
	for _, order := range [][]string{{a, b}, {b, a}} {
		d := newDirectory()
		for i, id := range order {
			d.PutEndpoint(0, endpoint(id, "s"), at(uint64(i+2)))
		}
		for range 10 {
			require.Equal(t, []string{min(a, b)}, ids(d.View(0).Available("s")))
		}
	}
}

func TestSharesOfServices(t *testing.T) {
	r := Route{Shares: []Share{{"a", 90}, {"b", 10}, {"c", 0}}}
	counts := make(map[string]int)
	for i := range 10_000 {
		f := Flow{Caller: Address{IP: uint32(i), Port: uint16(i)}, Destination: Address{IP: 9, Port: 443}}
		counts[r.Service(f.Hash())]++
	}
	require.InDelta(t, 9000, counts["a"], 150)
	require.InDelta(t, 1000, counts["b"], 150)
	require.Zero(t, counts["c"])
	require.False(t, r.Allows("c"))
	require.Empty(t, (&Route{}).Service(1))
}
