package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/internal/catalog"
	"toucangap/internal/segment"
)

// sharesHarness returns a relay with one endpoint of two slots and two routes of its
// service, which holds new flows; with shares or one queue for both routes.
func sharesHarness(t *testing.T, shares bool) *harness {
	r := newHarness(t, 1)
	r.relay.options.RouteShares = shares
	clear(r.relay.services)
	r.configure("s", "s")
	routes := r.directory.Configuration().Routes
	routes[0].Name, routes[1].Name = "steady", "burst"
	routes[1].Address.Port++
	r.publish()
	for port := uint16(1); r.relay.heldFlows == 0; port++ {
		require.Less(t, port, uint16(10))
		r.routeSYN(1, port)
	}
	r.drain()
	return r
}

// routeSYN sends the first SYN of a flow of the n-th route.
func (r *harness) routeSYN(n int, port uint16) {
	f := flowOf(port)
	f.Destination = r.directory.Configuration().Routes[n].Address
	r.packet(segment.Segment{Flow: f, Sequence: 1000, Syn: true})
}

func (r *harness) counts(route string) RouteCounts { return *r.relay.countsOf(route) }

// TestBurstDoesNotRejectTheOtherRoute: a burst fills the queue. In one queue for both
// routes the oldest flow is rejected, which is of the steady route.
func TestBurstDoesNotRejectTheOtherRoute(t *testing.T) {
	for _, shares := range []bool{true, false} {
		r := sharesHarness(t, shares)
		for port := uint16(100); port < 110; port++ {
			r.routeSYN(0, port)
		}
		for port := uint16(200); port < 500; port++ {
			r.advance(ms / 10)
			r.routeSYN(1, port)
		}
		require.Positive(t, r.counts("burst").Rejected)
		require.Equal(t, shares, r.counts("steady").Rejected == 0, "shares %t", shares)
	}
}

// TestBurstDoesNotDelayTheOtherRoute: a new flow beside a held burst takes the next room
// or the one after it. In one queue, newer flows of the burst go first.
func TestBurstDoesNotDelayTheOtherRoute(t *testing.T) {
	r := sharesHarness(t, true)
	r.routeSYN(0, 100)
	for port := uint16(200); port < 250; port++ {
		r.advance(ms / 10)
		r.routeSYN(1, port)
	}
	released := r.counts("burst").Released
	sv := r.relay.service("s")
	for r.counts("steady").Released == 0 {
		before := r.relay.heldFlows
		next, _ := r.relay.next(r.now, sv)
		r.relay.release(r.now, sv.held[next])
		require.Equal(t, before-1, r.relay.heldFlows)
	}
	require.LessOrEqual(t, r.counts("burst").Released-released, int64(1))
}

// TestSharesMatchTheHeldFlows: held flows are released, rejected, moved to another host,
// evicted, or removed with their route. A count that is left over in the shares would give
// room to a route without flows, and Next would name it forever.
func TestSharesMatchTheHeldFlows(t *testing.T) {
	r := sharesHarness(t, true)
	r.relay.options.MaxFlows = 120
	for i := range 4000 {
		port := uint16(1 + (i*7919)%180)
		switch (i * 31 % 17) % 6 {
		case 0, 1:
			r.routeSYN(i%2, port)
		case 2:
			r.finish(port)
		case 3:
			r.ack(port, "i-1", 5001, 10)
		case 4:
			r.advance(time.Duration(i%40) * ms)
		case 5:
			if i%50 == 0 {
				r.relay.ResumeAfterPause(r.now, 2*time.Second)
			}
		}
		sv := r.relay.service("s")
		require.Len(t, sv.held, r.relay.heldFlows)
		_, waiting := sv.shares.Next()
		require.Equal(t, len(sv.held) > 0, waiting, "step %d", i)
	}
	for _, c := range r.relay.RouteCounts() {
		require.LessOrEqual(t, c.Released+c.Rejected, c.Held)
		require.Positive(t, c.Released)
	}
}

// TestCountedRoutesAreBounded: each configuration may bring new names, and each name is
// three metrics.
func TestCountedRoutesAreBounded(t *testing.T) {
	r := sharesHarness(t, false)
	for i := range 3 * maxCountedRoutes {
		name := fmt.Sprint(i)
		f := &flow{service: r.relay.service("s")}
		r.relay.addToShares(f, &catalog.Route{Name: name})
	}
	require.Len(t, r.relay.RouteCounts(), maxCountedRoutes+1)
}

// TestRejectedFlowsAreNotCharged: the held flows of a burst are all rejected when their
// endpoints become cold. Charged as released, the route would get no room for as many
// releases of the other one.
func TestRejectedFlowsAreNotCharged(t *testing.T) {
	r := sharesHarness(t, true)
	r.limitCold()
	for port := uint16(200); port < 250; port++ {
		r.routeSYN(1, port)
	}
	r.report("i-1", 1, coldFor)
	require.Zero(t, r.relay.heldFlows)
	require.Greater(t, r.counts("burst").Rejected, int64(40))
	r.report("i-1", 2, 0)
	for port := uint16(300); port < 320; port++ {
		r.routeSYN(0, port)
		r.routeSYN(1, port)
	}
	sv := r.relay.service("s")
	for range 10 {
		next, _ := r.relay.next(r.now, sv)
		r.relay.release(r.now, sv.held[next])
	}
	require.Greater(t, r.counts("burst").Released, int64(3))
	require.Greater(t, r.counts("steady").Released, int64(3))
}
