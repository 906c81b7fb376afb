package relay

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/internal/catalog"
	"toucangap/internal/segment"
)

func TestPacketsFollowTheToken(t *testing.T) {
	r := newHarness(t, 4)
	id := r.place(1)
	r.now += 6 * ms
	r.ack(1, id, 1, 10)
	r.ack(1, id, 500, 0)
	sent, events := r.drain()
	require.Equal(t, []string{id, id}, sent)
	require.Empty(t, events)
	for i := range 4 {
		require.Zero(t, r.relay.Endpoints(r.now)[i].Busy, "answered")
	}
	require.Equal(t, 1, r.relay.OpenFlows())
	r.packet(segment.Segment{Flow: flowOf(1), Token: catalog.TokenOf(id), Sequence: 1011, Acknowledgement: 500, Ack: true, Fin: true})
	_, events = r.drain()
	require.Equal(t, []string{"ended fin"}, events)
	require.Zero(t, r.relay.OpenFlows())
}

// TestAnyHostForwards: a host forwards packets of a flow it has never seen.
func TestAnyHostForwards(t *testing.T) {
	r := newHarness(t, 4)
	for _, id := range []string{"i-3", "i-1"} {
		r.ack(uint16(id[2]), id, 77, 10)
		sent, events := r.drain()
		require.Equal(t, []string{id}, sent)
		require.Equal(t, []string{"taken over"}, events)
	}
}

func TestDropsByReason(t *testing.T) {
	r := newHarness(t, 2)
	r.addEndpoint("i-9", "other")
	known := segment.Segment{Flow: theFlow, Token: catalog.TokenOf("i-1"), Ack: true, DataBytes: 5}
	cases := []struct {
		name   string
		change func(s *segment.Segment)
		sent   []string
		event  string
	}{
		{"already forwarded", func(s *segment.Segment) { s.Forwarded = true }, nil, "dropped looped"},
		{"no token", func(s *segment.Segment) { s.Token = 0 }, nil, "dropped no_token"},
		{"forged token", func(s *segment.Segment) { s.Token = 12345 }, nil, "dropped unknown_endpoint"},
		{"token of another service", func(s *segment.Segment) { s.Token = catalog.TokenOf("i-9") }, nil, "dropped foreign_service"},
		{"no route, data", func(s *segment.Segment) { s.Flow.Destination.Port = 1 }, []string{"reset"}, "rejected route_removed"},
		{"no route, no data", func(s *segment.Segment) { s.Flow.Destination.Port, s.DataBytes = 1, 0 }, nil, "dropped no_route"},
		{"a reset without a route", func(s *segment.Segment) { s.Flow.Destination.Port, s.Reset = 1, true }, nil, "dropped no_route"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := known
			c.change(&s)
			r.packet(s)
			sent, events := r.drain()
			require.Equal(t, c.sent, sent)
			require.Equal(t, []string{c.event}, events)
		})
	}
	blank := New(Options{Output: r, Observer: r, MaxFlows: 1}, 0)
	blank.Packet(0, known, nil)
	_, events := r.drain()
	require.Equal(t, []string{"dropped no_configuration"}, events)
}

// TestChangedRouteLeavesOpenFlows: known flows, and for one flow lifetime also
// unknown ones, stay at the former service.
func TestChangedRouteLeavesOpenFlows(t *testing.T) {
	r := newHarness(t, 3)
	r.addEndpoint("i-9", "other")
	id := r.place(1)
	r.ack(1, id, 1, 10)
	r.configure("other")
	r.ack(1, id, 400, 20)
	r.ack(2, "i-1", 400, 20)
	sent, _ := r.drain()
	require.Equal(t, []string{id, id, "i-1"}, sent)
	r.now += lifetime + 1
	r.ack(3, "i-1", 400, 20)
	_, events := r.drain()
	require.Equal(t, "dropped foreign_service", events[len(events)-1])
}

// TestRecentlyStartedHostTrustsTokens: a host that has just started can't know which
// services the routes had.
func TestRecentlyStartedHostTrustsTokens(t *testing.T) {
	r := newHarness(t, 1)
	r.addEndpoint("i-9", "other")
	r.now = lifetime - 1
	r.ack(1, "i-9", 1, 10)
	sent, _ := r.drain()
	require.Equal(t, []string{"i-9"}, sent)
}

// TestRemovedRoute: answers in progress are completed, new data is rejected.
func TestRemovedRoute(t *testing.T) {
	r := newHarness(t, 2)
	id := r.place(1)
	r.ack(1, id, 1, 10)
	r.configure()
	r.ack(1, id, 900, 0)
	sent, _ := r.drain()
	require.Equal(t, []string{id, id}, sent)
	r.packet(segment.Segment{Flow: flowOf(1), Token: catalog.TokenOf(id), Sequence: 1011, Acknowledgement: 900, Ack: true, DataBytes: 10})
	sent, events := r.drain()
	require.Equal(t, []string{"reset"}, sent)
	require.Equal(t, []string{"rejected route_removed"}, events)
	r.ack(1, id, 900, 10)
	sent, _ = r.drain()
	require.Equal(t, []string{"reset"}, sent, "the reset may have been lost")
}

// TestFlowAtWorkingEndpointIsNotReset: however many handshake ACKs are lost, an
// open flow is not reset while its answers go on in between.
func TestFlowAtWorkingEndpointIsNotReset(t *testing.T) {
	for seed := range uint64(200) {
		r := newHarness(t, 3)
		rng := rand.New(rand.NewPCG(seed, 1))
		id := r.place(1)
		r.ack(1, id, 1, 10)
		acknowledged := uint32(1)
		for port := uint16(2); port < 60; port++ {
			r.advance(time.Duration(rng.IntN(30)) * ms)
			r.syn(port, 0)
			if rng.IntN(3) > 0 {
				r.ack(port, r.sent[len(r.sent)-1], 1, 10)
			}
			for range rng.IntN(2) + 1 {
				acknowledged += 100
				r.ack(1, id, acknowledged, 10)
			}
		}
		f := r.relay.flows[flowOf(1)]
		require.False(t, f.resetSent, "seed %d", seed)
		require.Equal(t, stateOpen, f.state, "seed %d", seed)
	}
}

// TestLateAcceptance: if an endpoint's acceptance follows that of another one,
// the caller returns its token, which shows that it is alive.
func TestLateAcceptance(t *testing.T) {
	r := newHarness(t, 2)
	late := r.place(1)
	r.advance(initialHandshakeTimeout)
	sent, _ := r.drain()
	holder := sent[0]
	r.ack(1, holder, 1, 10)
	require.Equal(t, 1, r.unanswered(late))
	r.ack(1, late, 1, 10)
	require.Zero(t, r.unanswered(late))
	sent, _ = r.drain()
	require.Equal(t, []string{holder, holder}, sent)
}

// TestReusedPortIsANewFlow: a caller opens a new flow from a port whose former flow
// this host still knows. A late second copy of a packet of the former flow must not
// join the new one, nor may the new flow go to the former one's endpoint.
func TestReusedPortIsANewFlow(t *testing.T) {
	r := newHarness(t, 1)
	r.place(1)
	r.finish(1)
	r.drain()
	r.addEndpoint("i-2", "s")
	r.directory.RemoveEndpoint(r.now, "i-1", catalog.Position{Revision: 99})
	r.publish()
	r.packet(segment.Segment{Flow: flowOf(1), Sequence: 7000, Syn: true})
	sent, events := r.drain()
	require.Equal(t, []string{"i-2"}, sent)
	require.Equal(t, []string{"placed"}, events)
	r.packet(segment.Segment{Flow: flowOf(1), Token: catalog.TokenOf("i-2"), Sequence: 7001, Acknowledgement: 9001, Ack: true, DataBytes: 10})
	r.drain()
	// The late copy names the former endpoint by its token, and is answered there if at
	// all; the flow stays where it is.
	r.packet(segment.Segment{Flow: flowOf(1), Token: catalog.TokenOf("i-1"), Sequence: 1011, Acknowledgement: 6001, Ack: true})
	state, _ := r.relay.Flow(r.now, flowOf(1))
	require.Equal(t, "i-2", state.Endpoint)
	require.Equal(t, "open", state.State)
}
