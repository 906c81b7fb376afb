package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/internal/catalog"
	"toucangap/internal/segment"
)

// heldHarness returns a relay with one endpoint of two slots that holds new flows:
// the flows 1 to placed are at the endpoint, the next ones wait.
func heldHarness(t *testing.T) (r *harness, placed uint16) {
	r = newHarness(t, 1)
	for port := uint16(1); r.relay.stats.Held == 0; port++ {
		require.Less(t, port, uint16(10))
		r.syn(port, 0)
		placed = port - 1
	}
	sent, _ := r.drain()
	require.Len(t, sent, int(placed))
	return r, placed
}

// finish completes a flow's handshake and lets the endpoint answer it.
func (r *harness) finish(port uint16) {
	r.ack(port, "i-1", 5001, 10)
	r.ack(port, "i-1", 6001, 0)
	r.packet(segment.Segment{Flow: flowOf(port), Token: catalog.TokenOf("i-1"), Sequence: 1011, Acknowledgement: 6001, Ack: true, Fin: true})
}

// TestHeldFlowsWaitForRoom: after a start the host knows of no queue, so it lets no
// more requests wait at the endpoints than they have slots for; each answer lets the
// next flow in.
func TestHeldFlowsWaitForRoom(t *testing.T) {
	r, placed := heldHarness(t)
	r.syn(90, 0)
	sent, events := r.drain()
	require.Empty(t, sent)
	require.Empty(t, events)
	state, ok := r.relay.Flow(r.now, flowOf(90))
	require.True(t, ok)
	require.Equal(t, "held", state.State)
	r.finish(1)
	sent, _ = r.drain()
	require.Len(t, sent, 4, "the packets of flow 1 and one SYN")
	require.Equal(t, int64(placed)+1, r.relay.Stats().Placed)
	require.NotContains(t, r.relay.Flows(r.now, 1000), FlowState{}, "held flows are in the dump")
}

// TestHeldCopiesAreOneFlow: copies of a held SYN are not forwarded; a packet that
// carries a token shows that another host has forwarded a copy.
func TestHeldCopiesAreOneFlow(t *testing.T) {
	r, placed := heldHarness(t)
	held := placed + 1
	r.syn(held, 1)
	r.syn(held, 2)
	sent, _ := r.drain()
	require.Empty(t, sent)
	r.ack(held, "i-1", 5001, 10)
	sent, events := r.drain()
	require.Equal(t, []string{"i-1"}, sent)
	require.Equal(t, []string{"taken over"}, events)
	require.Zero(t, r.relay.heldFlows)
}

// TestHeldFlowIsRejectedBeforeItsAttemptEnds: a held flow for which there is no room
// is reset before the caller gives up its attempt, once, and was never forwarded, so
// that "not run" is true.
func TestHeldFlowIsRejectedBeforeItsAttemptEnds(t *testing.T) {
	r, placed := heldHarness(t)
	held := placed + 1
	for port := uint16(1); port <= placed; port++ {
		r.ack(port, "i-1", 5001, 10)
	}
	r.drain()
	rejected := time.Duration(0)
	for elapsed := ms; rejected == 0; elapsed += ms {
		r.advance(ms)
		switch elapsed {
		case 200 * ms:
			r.syn(held, 1)
		case 600 * ms:
			r.syn(held, 2)
		}
		sent, events := r.drain()
		for i := range events {
			if events[i] == "rejected overload" {
				rejected = r.now - 2*lifetime
			}
		}
		require.NotContains(t, sent, "i-1")
		require.Less(t, r.now, 3*lifetime)
	}
	require.Less(t, rejected, openTimeout)
	require.Zero(t, r.relay.heldFlows)
	_, known := r.relay.Flow(r.now, flowOf(held))
	require.False(t, known)
}

// TestWhatCannotBeServedIsRejectedAtOnce: more flows arrive than can be forwarded
// before their callers' attempts end.
func TestWhatCannotBeServedIsRejectedAtOnce(t *testing.T) {
	r, _ := heldHarness(t)
	for port := uint16(100); port < 400; port++ {
		r.syn(port, 0)
	}
	_, events := r.drain()
	require.Contains(t, events, "rejected overload")
	require.InDelta(t, 100, r.relay.heldFlows, 10, "2 slots of 20 ms answer 100 requests a second")
}

// TestHeldFlowsFollowTheConfiguration: the route of a held flow is removed, or moved
// to another service, before there is room.
func TestHeldFlowsFollowTheConfiguration(t *testing.T) {
	r, placed := heldHarness(t)
	r.configure()
	r.finish(1)
	sent, events := r.drain()
	require.Contains(t, events, "rejected no_route")
	require.Contains(t, sent, "reset")
	require.NotContains(t, r.relay.flows, flowOf(placed+1))

	r, placed = heldHarness(t)
	r.addEndpoint("i-2", "other")
	r.configure("other")
	r.finish(1)
	sent, _ = r.drain()
	require.Contains(t, sent, "i-2")
	state, _ := r.relay.Flow(r.now, flowOf(placed+1))
	require.Equal(t, "other", state.Service)
}

// TestExitingHostHoldsNothing: a graceful shutdown must not cut off flows that were
// accepted and not forwarded yet.
func TestExitingHostHoldsNothing(t *testing.T) {
	r, _ := heldHarness(t)
	r.syn(90, 0)
	r.relay.StopHolding(r.now)
	sent, _ := r.drain()
	require.Len(t, sent, 2)
	r.syn(91, 0)
	sent, _ = r.drain()
	require.Len(t, sent, 1)
}

// TestMovedFlowsDoNotFillTheWindow: routers have moved the flows of a host that was
// out of the rotation for a moment to another host, so this one never sees their
// answers. It must not wait for them.
func TestMovedFlowsDoNotFillTheWindow(t *testing.T) {
	r := newHarness(t, 1)
	r.configureTarget(100 * ms)
	for port := uint16(1); r.relay.stats.Held == 0; port++ {
		r.syn(port, 0)
		r.ack(port, "i-1", 5001, 10)
	}
	r.drain()
	r.advance(99 * ms)
	sent, _ := r.drain()
	require.Empty(t, sent)
	r.syn(90, 0)
	r.advance(2 * ms)
	sent, _ = r.drain()
	require.Equal(t, []string{"i-1"}, sent)
}

// TestUnansweredSYNsDoNotFillTheWindow: endpoints behind a network partition answer no
// SYN. These take no slot, so they must not keep new flows from the other endpoints.
func TestUnansweredSYNsDoNotFillTheWindow(t *testing.T) {
	r, _ := heldHarness(t)
	r.advance(initialHandshakeTimeout + ms)
	require.Zero(t, r.relay.heldFlows)
}

// TestInFlightMatchesTheFlows: the count that the window goes by is that of the flows,
// whatever happens to them.
func TestInFlightMatchesTheFlows(t *testing.T) {
	r := newHarness(t, 3)
	for i := range 3000 {
		port := uint16(1 + (i*7919)%60)
		switch (i * 31 % 17) % 6 {
		case 0:
			r.syn(port, uint32(i%3))
		case 1:
			r.ack(port, "i-1", 5001, 10)
		case 2:
			r.ack(port, "i-2", uint32(6001+i), 0)
		case 3:
			r.packet(segment.Segment{Flow: flowOf(port), Token: catalog.TokenOf("i-1"), Sequence: 1011, Acknowledgement: 6001, Ack: true, Fin: true})
		case 4:
			r.packet(segment.Segment{Flow: flowOf(port), Token: catalog.TokenOf("i-2"), Sequence: 1011, Reset: true})
		case 5:
			r.advance(time.Duration(i%90) * ms)
		}
		counted, held := 0, 0
		for _, f := range r.relay.flows {
			if f.counted {
				counted++
			}
			if f.state == stateHeld {
				held++
			}
		}
		require.Equal(t, counted, r.relay.service("s").inFlight)
		require.Equal(t, held, r.relay.heldFlows)
	}
}

// TestPausedHostContinuesNoAttemptThatEnded: a host that was paused for longer than
// callers wait for an acceptance wakes up with held SYNs and SYNs without a handshake
// ACK. Their callers have given up; it must not forward them, to any endpoint.
func TestPausedHostContinuesNoAttemptThatEnded(t *testing.T) {
	for name, wake := range map[string]func(r *harness){
		"paused":    func(r *harness) { r.now += 3 * time.Second; r.relay.ResumeAfterPause(r.now, 3*time.Second) },
		"suspended": func(r *harness) { r.relay.ResumeAfterPause(r.now, 3*time.Second) },
		"late timers": func(r *harness) {
			r.now += 3 * time.Second
			r.finish(1)
		},
	} {
		t.Run(name, func(t *testing.T) {
			r, placed := heldHarness(t)
			r.addEndpoint("i-2", "s")
			wake(r)
			sent, _ := r.drain()
			require.NotContains(t, sent, "i-2")
			r.advance(time.Second)
			sent, _ = r.drain()
			require.NotContains(t, sent, "i-2", "no failover")
			if name != "late timers" {
				require.NotContains(t, r.relay.flows, flowOf(placed))
			}
			require.NotContains(t, r.relay.flows, flowOf(placed+1))
		})
	}
}

// TestHeldFlowThatMovedIsLeftAlone: routers move a flow whose SYN is held here to another
// host, which opens it with the next copy. This host sees nothing of that. It must not
// reset the flow when its time is over, nor forward the old SYN to a second endpoint.
func TestHeldFlowThatMovedIsLeftAlone(t *testing.T) {
	for name, end := range map[string]func(r *harness){
		"time over": func(r *harness) { r.advance(2 * time.Second) },
		"room": func(r *harness) {
			r.advance(300 * ms)
			r.finish(1)
		},
		"exit": func(r *harness) {
			r.advance(300 * ms)
			r.relay.StopHolding(r.now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			r, placed := heldHarness(t)
			for port := uint16(1); port <= placed; port++ {
				r.ack(port, "i-1", 5001, 10)
			}
			r.drain()
			end(r)
			sent, events := r.drain()
			require.NotContains(t, sent, "reset")
			require.NotContains(t, events, "placed")
			require.Contains(t, events, "dropped moved")
			require.Zero(t, r.relay.heldFlows)
		})
	}
}
