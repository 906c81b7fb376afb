package relay

import (
	"testing"

	"github.com/stretchr/testify/require"

	"toucangap/internal/catalog"
	"toucangap/internal/segment"
)

// spilloverHarness returns a relay with spillover, an endpoint at home and one in the
// domain far, both with two slots; its window is closed, as after a start.
func spilloverHarness(t *testing.T) *harness {
	r := twoDomains(t)
	options := r.relay.options
	options.Spillover = true
	options.Hosts = func() int { return minSpilloverHosts }
	options.HomeHosts = func() int { return 1 }
	r.relay = New(options, r.now)
	r.publish()
	return r
}

// answer lets the endpoint accept the flow and answer it after the given time.
func (r *harness) answer(port uint16, id string) {
	r.ack(port, id, 5001, 10)
	r.ack(port, id, 6001, 0)
	r.packet(segment.Segment{Flow: flowOf(port), Token: catalog.TokenOf(id), Sequence: 1011, Acknowledgement: 6001, Ack: true, Fin: true})
}

// TestFullHomeUsesOtherDomain: flows were held and rejected at the hosts of a domain with
// many callers while other domains had free slots.
func TestFullHomeUsesOtherDomain(t *testing.T) {
	r := spilloverHarness(t)
	byEndpoint := map[string]int{}
	port := uint16(1)
	for ; r.relay.stats.Held == 0; port++ {
		require.Less(t, port, uint16(20))
		r.syn(port, 0)
		if sent, _ := r.drain(); len(sent) > 0 {
			byEndpoint[sent[0]]++
		}
	}
	require.Equal(t, 2, byEndpoint["i-far"], "the limit of another domain at first")
	require.GreaterOrEqual(t, byEndpoint["i-1"], 2)
	far := r.relay.services["s"].spill.overflow("far")
	require.Equal(t, 2, far.inFlight)
	for p := uint16(1); p < port; p++ {
		f := r.relay.flows[flowOf(p)]
		if f != nil && f.overflow != nil {
			r.answer(p, "i-far")
			break
		}
	}
	require.Equal(t, int64(1), r.relay.services["s"].spill.left[DepartNoRoom])
	require.Zero(t, r.relay.heldFlows, "the answer made room for the flow that was held")
	require.Equal(t, 2, far.inFlight)
}

// TestOverflowAvoidsSilentDomain: flows that home has no room for must not wait for
// handshakes with a domain that is cut off.
func TestOverflowAvoidsSilentDomain(t *testing.T) {
	r := spilloverHarness(t)
	for port := uint16(1); r.relay.services["s"].spill.overflow("far").inFlight < 2; port++ {
		require.Less(t, port, uint16(20))
		r.syn(port, 0)
	}
	for key, f := range r.relay.flows {
		if f.endpoint.Entry.ID == "i-1" {
			r.ack(key.Caller.Port, "i-1", 5001, 10)
		}
	}
	r.advance(150 * ms)
	r.drain()
	for port := uint16(30); port < 40; port++ {
		r.syn(port, 0)
	}
	sent, _ := r.drain()
	require.NotContains(t, sent, "i-far")
}

// TestWindowCountsHomeOnly: requests to other domains must not take the room at home.
func TestWindowCountsHomeOnly(t *testing.T) {
	r := spilloverHarness(t)
	for port := uint16(1); port < 20; port++ {
		r.syn(port, 0)
	}
	sv := r.relay.services["s"]
	require.Equal(t, 2, sv.spill.overflow("far").inFlight)
	home := 0
	for _, f := range r.relay.flows {
		if f.endpoint != nil && f.endpoint.Entry.ID == "i-1" {
			home++
		}
	}
	require.Equal(t, home, sv.inFlight)
	require.InDelta(t, 2, r.relay.slotShare(r.now, sv), 0.01, "the slots of the home domain")
}
