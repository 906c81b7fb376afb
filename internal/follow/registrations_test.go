package follow

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/internal/coldstart"
	"toucangap/platform"
	"toucangap/platform/platformtest"
)

// TestRegistrationsForColdEndpoints guards against owners of cold endpoints that are chosen
// by an old list of hosts, and against lists that are made though no service needs them.
func TestRegistrationsForColdEndpoints(t *testing.T) {
	host := func(name, domain string, revision uint64) platform.Change {
		return put(platform.HostKey(name), revision, fmt.Sprintf(`{"name":%q,"domain":%q,"feed":"10.0.0.1:7000"}`, name, domain))
	}
	r := newTestReplica()
	apply := func(changes ...platform.Change) (owner string) {
		r.Apply(0, Batch{Changes: changes, Position: changes[len(changes)-1].Position()})
		hosts := r.Registrations()
		if hosts == nil {
			return "unchanged"
		}
		rules := coldstart.Rules{Hosts: func() *coldstart.Hosts { return hosts }}
		return new(coldstart.Gate).Owner(time.Minute, &rules, "i", "d").Name
	}
	require.Equal(t, "unchanged", apply(configurationAt(1, 1), host("a", "d", 2)), "no limit")
	limited := put(platformtest.ConfigurationKey, 3, platformtest.LimitedConfiguration(2, 2, 4))
	require.Equal(t, "a", apply(limited))
	require.Equal(t, "unchanged", apply(entryAt("i", 4, "ready")))
	require.Equal(t, "a", apply(host("b", "far", 5)))
	require.Equal(t, "b", apply(host("b", "d", 6), host("a", "far", 7)), "both have moved")
	require.Equal(t, "a", apply(removal(platform.HostKey("b"), 8)))
	require.Equal(t, "", apply(put(platform.HostKey("a"), 9, "{")), "its entry can't be read")
}
