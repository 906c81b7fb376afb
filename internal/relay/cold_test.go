package relay

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/internal/balance"
	"toucangap/internal/catalog"
	"toucangap/internal/coldstart"
)

// coldFor is how long endpoints of the limited service are cold.
const coldFor = 6 * time.Second

// limitedHarness returns a relay whose service allows 4 flows a second to a cold endpoint,
// 2 of them by this host. Its endpoints i-1 to i-n are warm. The host owns all of them if
// owner is "self", else none.
func limitedHarness(t testing.TB, n int, owner string) *harness {
	r := newHarness(t, n)
	var registry coldstart.Registry
	registry.Put(0, coldstart.Host{Name: owner, Domain: "d"})
	hosts := registry.Snapshot()
	r.relay.options.Cold = coldstart.Rules{
		Host: coldstart.Host{Name: "self", Domain: "d"}, Hosts: func() *coldstart.Hosts { return hosts },
		ViewAge: func() time.Duration { return 0 }, MaxViewAge: 2 * time.Second, Bounds: coldstart.Bounds{Factor: 1, Allowance: 1},
	}
	r.directory.Configuration().ColdStarts = map[string]catalog.ColdStart{"s": {For: coldFor, PerSecond: 3}}
	r.publish()
	return r
}

// report publishes an entry of an endpoint's process, cold for a span.
func (r *harness) report(id string, process int64, cold time.Duration) {
	r.revision++
	r.directory.PutEndpoint(r.now, &catalog.Endpoint{
		ID: id, Recipient: 1, Service: "s", Domain: "d", Slots: 2, StartedUnixMs: process, ColdFor: cold,
	}, catalog.Position{Revision: r.revision})
	r.publish()
}

// TestColdEndpointsAreLeftToTheirOwner guards against flows to cold endpoints from other
// hosts, and from the owner beyond its half of the limit; what can't go anywhere must be
// refused at once, also while flows would be held. Copies of SYNs count as new flows.
func TestColdEndpointsAreLeftToTheirOwner(t *testing.T) {
	for owner, want := range map[string]string{"self": "i-1 i-1 reset reset", "other": "reset reset reset reset"} {
		r := limitedHarness(t, 1, owner)
		r.report("i-1", 1, coldFor)
		for port := range uint16(4) {
			r.syn(port, 0)
		}
		sent, events := r.drain()
		require.Equal(t, want, strings.Join(sent, " "))
		require.Equal(t, "rejected cold", events[3])
		require.Equal(t, owner, r.relay.Endpoints(r.now)[0].ColdOwner)
		require.Zero(t, testing.AllocsPerRun(100, func() { r.relay.candidates(r.now, r.relay.services["s"]) }))
		r.now += coldFor
		require.Equal(t, "i-1", r.place(9), "it is warm")
		r.advance(200 * ms)
		r.report("i-1", 2, coldFor)
		r.drain()
		r.syn(9, 1)
		_, events = r.drain()
		require.Equal(t, owner == "other", slices.Contains(events, "dropped cold"), "a copy opens a flow at the new process")
	}
}

// TestOtherChoicesAvoidColdEndpoints guards against cold endpoints as targets of failover
// and of held flows.
func TestOtherChoicesAvoidColdEndpoints(t *testing.T) {
	r := limitedHarness(t, 2, "other")
	r.report("i-2", 1, coldFor)
	require.Equal(t, "i-1", r.place(1))
	r.advance(100 * ms)
	sent, _ := r.drain()
	require.Equal(t, []string{"i-1"}, sent, "no endpoint is left")

	r = limitedHarness(t, 1, "other")
	for port := uint16(1); r.relay.stats.Held == 0; port++ {
		r.syn(port, 0)
	}
	r.drain()
	r.report("i-1", 2, coldFor)
	r.syn(90, 0)
	_, events := r.drain()
	require.Equal(t, []string{"rejected cold", "rejected cold"}, events, "the held flow and a new one, both at once")
}

// silent returns a relay whose endpoint i-1 did not answer the SYN of flow 2 while that of
// flow 1 is open there; i-2 has accepted flow 2 if the caller waited.
func silent(t *testing.T, callerWaits bool) *harness {
	r := limitedHarness(t, 1, "other")
	r.report("i-1", 1, 0)
	r.syn(1, 0)
	r.ack(1, "i-1", 5001, 10)
	r.now += 10 * ms
	r.syn(2, 0)
	r.addEndpoint("i-2", "s")
	r.advance(30 * ms)
	if callerWaits {
		r.ack(2, "i-2", 5001, 10)
	}
	r.drain()
	return r
}

// TestSilentEndpointCountsAsCold guards against trials of an endpoint that may have
// restarted from all hosts at once, before its new entry arrives, and against the loss of
// one that has not restarted or has only refused a flow.
func TestSilentEndpointCountsAsCold(t *testing.T) {
	cold := func(r *harness) bool { return r.relay.Endpoints(r.now)[0].Cold }
	require.False(t, cold(silent(t, false)), "it may have refused the flow")
	r := silent(t, true)
	r.advance(100 * ms)
	r.drain()
	require.Equal(t, "i-2", r.place(3), "i-1 would get it as a trial")
	r.ack(1, "i-1", 6001, 0)
	require.False(t, cold(r), "a flow from before has gone on")

	r = silent(t, true)
	r.ack(9, "i-1", 1, 10)
	r.ack(9, "i-1", 500, 0)
	r.report("i-1", 1, 0)
	require.True(t, cold(r), "it responds again; the entry may be from before its restart")
	r.advance(reportDelay)
	r.publish()
	require.True(t, cold(r))
	r.report("i-1", 1, 0)
	require.False(t, cold(r), "the entry is from after the silence")

	r = silent(t, true)
	r.report("i-1", 2, time.Second)
	require.True(t, cold(r))
	r.advance(time.Second)
	require.False(t, cold(r), "the new process says when it is warm")
}

// TestWithoutLimitDecidesAsBefore guards against any effect on services without a limit, or
// on hosts without a list of hosts, whose endpoints are cold or did not answer SYNs.
func TestWithoutLimitDecidesAsBefore(t *testing.T) {
	run := func(change func(r *harness)) []string {
		r := limitedHarness(t, 4, "other")
		change(r)
		r.publish()
		for port := range uint16(200) {
			if port%50 == 10 {
				r.report("i-2", int64(port), coldFor)
			}
			r.syn(port, 0)
			if port%3 > 0 {
				r.advance(40 * ms)
				r.ack(port, "i-1", 5001, 10)
			}
			r.advance(5 * ms)
		}
		return append(r.sent, r.events...)
	}
	before := run(func(r *harness) { r.relay.options.Cold = coldstart.Rules{} })
	unlimited := catalog.ColdStart{For: coldFor}
	require.Equal(t, before, run(func(r *harness) { r.directory.Configuration().ColdStarts["s"] = unlimited }))
	require.NotEqual(t, before, run(func(*harness) {}), "the limit matters in this run")
}

// TestIsolatedDomainKeepsTheColdLimit guards against unlimited flows to cold endpoints of
// the host's own evacuated domain, which a host that is isolated with them uses.
func TestIsolatedDomainKeepsTheColdLimit(t *testing.T) {
	r := limitedHarness(t, 1, "self")
	r.put(catalog.Endpoint{ID: "i-far", Domain: "far", Slots: 2})
	r.relay.options.Isolated = func(bool) bool { return true }
	r.evacuate("d")
	r.report("i-1", 2, coldFor)
	r.syn(1, 0)
	r.advance(300 * ms)
	// The SYN has failed over to i-1, which counts for a second.
	r.now += 1200 * ms
	r.drain()
	for port := range uint16(5) {
		r.syn(10+port, 0)
	}
	sent, _ := r.drain()
	require.Equal(t, []string{"i-1", "i-1", "i-far", "i-far", "i-far"}, sent)
	r.now += coldFor
	require.Equal(t, "i-1", r.place(20), "it is warm")
}

// TestWindowCountsNoSlotsOfColdEndpoints guards against a window that lets flows for the
// slots of all endpoints wait at the few warm ones, as after an evacuation of a domain, and
// against a limit that is no number if all endpoints are cold.
func TestWindowCountsNoSlotsOfColdEndpoints(t *testing.T) {
	limit := func(warm, cold int) float64 {
		r := limitedHarness(t, warm, "other")
		for i := range cold {
			r.report(fmt.Sprintf("c-%d", i), 1, coldFor)
		}
		return r.relay.Explain(r.now, theFlow, 0).Limit
	}
	require.InDelta(t, limit(4, 0), limit(4, 8), 0.01)
	require.Greater(t, limit(4, 0), limit(2, 0))

	r := limitedHarness(t, 0, "self")
	r.report("c-1", 1, coldFor)
	r.relay.options.Cold.Bounds.Allowance = 500
	r.publish()
	for port := range uint16(150) {
		r.syn(port, 0)
	}
	_, events := r.drain()
	require.Contains(t, events, "rejected overload", "flows that can't be served are refused at once")
}

// TestSilentDomainCountsAsCold: endpoints of a domain restart together; those that this
// host had not tried got all its flows before their entries told of the restart.
func TestSilentDomainCountsAsCold(t *testing.T) {
	for name, alive := range map[string]bool{"another endpoint of the domain is alive": true, "the domain is silent": false} {
		r := limitedHarness(t, 3, "other")
		r.revision++
		r.directory.PutEndpoint(r.now, &catalog.Endpoint{ID: "i-far", Recipient: 1, Service: "s", Domain: "far", Slots: 2},
			catalog.Position{Revision: r.revision})
		r.publish()
		r.relay.options.Choose = func(q balance.Request, s *balance.Service, list []*balance.Endpoint) balance.Choice {
			want := []string{"i-1", "i-far"}[min(len(q.Tried), 1)]
			i := slices.IndexFunc(list, func(e *balance.Endpoint) bool { return e.Entry.ID == want })
			return balance.Choice{Endpoint: list[max(i, 0)]}
		}
		r.syn(1, 0)
		if alive {
			r.ack(2, "i-3", 1, 10)
			r.ack(2, "i-3", 500, 0)
			r.relay.endpoints[catalog.TokenOf("i-3")].RecordAlive(r.now + ms)
		}
		r.advance(150 * ms)
		r.ack(1, "i-far", 5001, 10)
		var cold []string
		for _, e := range r.relay.Endpoints(r.now) {
			if e.Cold {
				cold = append(cold, e.ID)
			}
		}
		want := []string{"i-1", "i-2", "i-3"}
		if alive {
			want = want[:1]
		}
		require.Equal(t, want, cold, name)
	}
}
