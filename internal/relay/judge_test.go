package relay

import (
	"testing"

	"github.com/stretchr/testify/require"

	"toucangap/internal/catalog"
	"toucangap/internal/segment"
	"toucangap/internal/sighting"
)

// request plays one request of a new flow with an answer of so many bytes, and
// returns its endpoint.
func (r *rig) request(port uint16, answer uint32) string {
	id := r.place(port)
	r.ack(port, id, 5001, 10)
	r.now += 20 * ms
	r.ack(port, id, 5001+answer, 0)
	r.packet(segment.Segment{
		Flow: flowOf(port), Token: catalog.TokenOf(id), Sequence: 1011, Acknowledgement: 5001 + answer, Ack: true, Fin: true,
	})
	r.take()
	return id
}

// TestSmallAnswersOfOneEndpoint: an endpoint that answers with errors gets no new
// flows, and the other hosts of the domain are told of it alone.
func TestSmallAnswersOfOneEndpoint(t *testing.T) {
	r := newRig(t, 4)
	port := uint16(1)
	for ; port < 40; port++ {
		r.request(port, 1000)
	}
	require.Empty(t, r.relay.Sightings(r.now))
	atBad := 0
	for ; port < 140; port++ {
		id := r.place(port)
		size := uint32(1000)
		if id == "i-2" {
			size = 150
			atBad++
		}
		r.ack(port, id, 5001, 10)
		r.now += 20 * ms
		r.packet(segment.Segment{
			Flow: flowOf(port), Token: catalog.TokenOf(id), Sequence: 1011, Acknowledgement: 5001 + size, Ack: true, Fin: true,
		})
		r.take()
	}
	require.Less(t, atBad, 4)
	told := r.relay.Sightings(r.now)
	require.Len(t, told, 1)
	require.Equal(t, catalog.TokenOf("i-2"), told[0].Endpoint)
	require.Equal(t, int64(atBad), r.relay.Stats().Failed)
}

// TestOverdueRequestCountsOnce: a request that is not answered counts as failed
// before its caller gives up, and not a second time when it does.
func TestOverdueRequestCountsOnce(t *testing.T) {
	r := newRig(t, 2)
	for port := uint16(1); port < 30; port++ {
		r.request(port, 1000)
	}
	id := r.place(100)
	r.ack(100, id, 5001, 10)
	r.wait(200 * ms)
	require.Equal(t, int64(1), r.relay.Stats().Failed)
	require.Zero(t, r.relay.Stats().Unanswered)
	r.wait(lifetime)
	require.Equal(t, int64(1), r.relay.Stats().Failed)
	require.Equal(t, int64(1), r.relay.Stats().Unanswered)
}

// TestLateAnswerStaysFailed: an answer that comes after the request was overdue
// is delivered, and is not judged by its size again.
func TestLateAnswerStaysFailed(t *testing.T) {
	r := newRig(t, 2)
	for port := uint16(1); port < 30; port++ {
		r.request(port, 1000)
	}
	id := r.place(100)
	r.ack(100, id, 5001, 10)
	r.wait(200 * ms)
	r.take()
	r.ack(100, id, 6001, 0)
	sent, _ := r.take()
	require.Equal(t, []string{id}, sent)
	require.Equal(t, int64(1), r.relay.Stats().Failed)
}

// TestKeptFlowIsJudgedByRequest: on a flow with several requests each answer
// counts by its own size.
func TestKeptFlowIsJudgedByRequest(t *testing.T) {
	r := newRig(t, 1)
	r.place(1)
	at, sequence := uint32(5001), uint32(1001)
	send := func(answer uint32) {
		r.packet(segment.Segment{
			Flow: flowOf(1), Token: catalog.TokenOf("i-1"), Sequence: sequence, Acknowledgement: at, Ack: true, DataBytes: 10,
		})
		sequence += 10
		at += answer
		r.now += 20 * ms
		r.packet(segment.Segment{Flow: flowOf(1), Token: catalog.TokenOf("i-1"), Sequence: sequence, Acknowledgement: at, Ack: true})
	}
	for range 30 {
		send(1000)
	}
	send(100)
	send(1000)
	require.Equal(t, int64(1), r.relay.Stats().Failed)
}

// TestAdoptedAnswerIsNotJudged: of a flow that another host placed the beginning
// of the answer may be missing here.
func TestAdoptedAnswerIsNotJudged(t *testing.T) {
	r := newRig(t, 2)
	for port := uint16(1); port < 30; port++ {
		r.request(port, 1000)
	}
	r.ack(200, "i-1", 5901, 0)
	r.packet(segment.Segment{
		Flow: flowOf(200), Token: catalog.TokenOf("i-1"), Sequence: 1001, Acknowledgement: 6001, Ack: true, Fin: true,
	})
	require.Zero(t, r.relay.Stats().Failed)
}

// TestHeardOfFailingEndpoint: what other hosts tell keeps new flows away from an
// endpoint, until it is not told any more.
func TestHeardOfFailingEndpoint(t *testing.T) {
	r := newRig(t, 2)
	for port := uint16(1); port < 30; port++ {
		r.request(port, 1000)
	}
	bad := catalog.TokenOf("i-1")
	r.relay.Hear(r.now, []sighting.Sighting{{Endpoint: bad, Answers: 20, Failed: 10}, {Endpoint: 99, Answers: 1, Failed: 1}})
	_, notes := r.take()
	require.Equal(t, []string{"failing true"}, notes)
	for port := uint16(300); port < 320; port++ {
		require.Equal(t, "i-2", r.request(port, 1000))
	}
	require.Empty(t, r.relay.Sightings(r.now), "what was heard is not told again as seen")
	r.relay.Hear(r.now, nil)
	seen := map[string]bool{}
	for port := uint16(400); port < 420; port++ {
		seen[r.request(port, 1000)] = true
	}
	require.True(t, seen["i-1"])
}
