package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/internal/catalog"
)

func TestRejectsWithoutEndpointOrRoute(t *testing.T) {
	r := newHarness(t, 0)
	r.syn(1, 0)
	sent, events := r.drain()
	require.Equal(t, []string{"reset"}, sent)
	require.Equal(t, []string{"rejected no_endpoint"}, events)
	r.configure()
	r.syn(2, 0)
	sent, events = r.drain()
	require.Equal(t, []string{"reset"}, sent)
	require.Equal(t, []string{"rejected no_route"}, events)
	require.Zero(t, r.relay.Stats().Flows)
}

// TestOverload: requests that would be answered too late are rejected.
func TestOverload(t *testing.T) {
	r := newHarness(t, 1)
	port := uint16(1)
	for r.relay.Stats().Rejections[RejectOverload] == 0 {
		require.Less(t, port, uint16(200))
		r.syn(port, 0)
		port++
	}
	// With an answer time of 20 ms, 2 slots answer 100 requests within the route's
	// timeout of 1 s.
	require.InDelta(t, 100, int(port), 5)
}

// TestFailover: without a handshake ACK the SYN goes to other endpoints, once
// to each; a retransmitted SYN then goes to the last of them.
func TestFailover(t *testing.T) {
	r := newHarness(t, 5)
	first := r.place(1)
	r.advance(4 * initialHandshakeTimeout)
	sent, _ := r.drain()
	require.Len(t, sent, maxTries-1)
	seen := map[string]bool{first: true}
	for _, id := range sent {
		require.False(t, seen[id], "%s twice", id)
		seen[id] = true
	}
	r.advance(100 * ms)
	r.syn(1, 1)
	again, _ := r.drain()
	require.Equal(t, sent[len(sent)-1:], again)
}

// TestTwoAcceptances: two endpoints accept one flow, in either order. The one
// that the handshake ACK names holds the flow, whichever later packets name.
func TestTwoAcceptances(t *testing.T) {
	for _, firstWins := range []bool{true, false} {
		r := newHarness(t, 5)
		first := r.place(1)
		r.advance(initialHandshakeTimeout)
		sent, _ := r.drain()
		require.Len(t, sent, 1)
		holder, other := first, sent[0]
		if !firstWins {
			holder, other = other, holder
		}
		r.ack(1, holder, 1, 10)
		r.ack(1, other, 1, 0)
		r.ack(1, other, 300, 0)
		sent, events := r.drain()
		require.Equal(t, []string{holder, holder, holder}, sent)
		require.Contains(t, events, "contested")
	}
}

// TestAcceptanceThroughAnotherHost: this host forwarded the SYN to one endpoint,
// another host forwarded a copy to a second one, which was accepted first.
func TestAcceptanceThroughAnotherHost(t *testing.T) {
	r := newHarness(t, 5)
	first := r.place(1)
	other := "i-1"
	if first == other {
		other = "i-2"
	}
	r.ack(1, other, 1, 10)
	sent, _ := r.drain()
	require.Equal(t, []string{other}, sent)
	open := 0
	for _, e := range r.relay.Endpoints(r.now) {
		open += e.Open
		if e.ID == other {
			require.Equal(t, 1, e.Busy)
		}
	}
	require.Equal(t, 1, open)
}

// TestRetransmittedSYN: a copy of the SYN follows the first one, both a duplicate
// made by the network and one that arrives once the flow is open.
func TestRetransmittedSYN(t *testing.T) {
	r := newHarness(t, 5)
	id := r.place(1)
	r.now += ms
	r.syn(1, 0)
	sent, _ := r.drain()
	require.Equal(t, []string{id}, sent)
	r.ack(1, id, 1, 10)
	r.now += 300 * ms
	r.syn(1, 1)
	sent, _ = r.drain()
	require.Equal(t, []string{id, id}, sent)
}

// TestRetransmittedSYNFollowsNewConfiguration: after a change of the route, a
// retransmitted SYN is placed under the new configuration.
func TestRetransmittedSYNFollowsNewConfiguration(t *testing.T) {
	r := newHarness(t, 3)
	r.addEndpoint("i-9", "other")
	r.place(1)
	r.configure("other")
	r.now += 10 * ms
	r.syn(1, 1)
	sent, _ := r.drain()
	require.Equal(t, []string{"i-9"}, sent)
	r.configure()
	r.now += 100 * ms
	r.syn(1, 2)
	sent, events := r.drain()
	require.Equal(t, []string{"reset"}, sent)
	require.Equal(t, "rejected no_route", events[len(events)-1])
}

// TestResume: handshake ACKs missed during a pause of the host do not count
// against endpoints.
func TestResume(t *testing.T) {
	r := newHarness(t, 3)
	r.place(1)
	r.now += 5 * time.Second
	r.relay.Resume(r.now)
	r.relay.Tick(r.now)
	sent, events := r.drain()
	require.Empty(t, sent)
	require.Empty(t, events)
}

// TestNewIncarnation: an endpoint that has restarted under its id is no longer
// suspect.
func TestNewIncarnation(t *testing.T) {
	r := newHarness(t, 1)
	r.place(1)
	r.advance(initialHandshakeTimeout)
	require.True(t, r.relay.Endpoints(r.now)[0].Suspect)
	r.revision++
	r.directory.PutEndpoint(r.now, &catalog.Endpoint{ID: "i-1", Recipient: 1, Service: "s", Domain: "d", Slots: 2, StartedUnixMs: 5}, catalog.Position{Revision: r.revision})
	r.publish()
	require.False(t, r.relay.Endpoints(r.now)[0].Suspect)
}

// TestDepartedCallersAreNotLoad: flows whose callers had gone before the SYN
// arrived do not make endpoints look busy for long.
func TestDepartedCallersAreNotLoad(t *testing.T) {
	r := newHarness(t, 3)
	r.relay.options.Disabled.Holding = true
	for port := uint16(1); port < 60; port++ {
		r.syn(port, 0)
	}
	r.drain()
	r.advance(maxTries*initialHandshakeTimeout + 10*ms)
	for _, e := range r.relay.Endpoints(r.now) {
		require.Zero(t, e.Busy)
	}
	// A caller that was only late is served and counts as load.
	sent, _ := r.drain()
	require.NotEmpty(t, sent)
	r.ack(1, "i-1", 5001, 10)
	require.Equal(t, 1, r.relay.Endpoints(r.now)[0].Busy)
	r.ack(1, "i-1", 6001, 0)
	require.Zero(t, r.relay.Endpoints(r.now)[0].Busy)
}
