package relay

import (
	"testing"

	"github.com/stretchr/testify/require"

	"toucangap/internal/catalog"
	"toucangap/internal/outlier"
	"toucangap/internal/segment"
)

// request runs one request on a new flow with an answer of the given size in
// bytes, and returns its endpoint.
func (r *harness) request(port uint16, answer uint32) string {
	id := r.place(port)
	r.ack(port, id, 5001, 10)
	r.now += 20 * ms
	r.ack(port, id, 5001+answer, 0)
	r.packet(segment.Segment{
		Flow: flowOf(port), Token: catalog.TokenOf(id), Sequence: 1011, Acknowledgement: 5001 + answer, Ack: true, Fin: true,
	})
	r.drain()
	return id
}

// TestUndersizedAnswersOfOneEndpoint: an endpoint that answers with errors gets
// no new flows, and the failure reports name it alone.
func TestUndersizedAnswersOfOneEndpoint(t *testing.T) {
	r := newHarness(t, 4)
	port := uint16(1)
	for ; port < 40; port++ {
		r.request(port, 1000)
	}
	require.Empty(t, r.relay.FailureReports(r.now))
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
		r.drain()
	}
	require.Less(t, atBad, 4)
	reports := r.relay.FailureReports(r.now)
	require.Len(t, reports, 1)
	require.Equal(t, catalog.TokenOf("i-2"), reports[0].Endpoint)
	require.Equal(t, int64(atBad), r.relay.Stats().Failed)
}

// TestOverdueRequestCountsOnce: a request counts as failed once it is overdue, and
// not a second time when it is abandoned.
func TestOverdueRequestCountsOnce(t *testing.T) {
	r := newHarness(t, 2)
	for port := uint16(1); port < 30; port++ {
		r.request(port, 1000)
	}
	id := r.place(100)
	r.ack(100, id, 5001, 10)
	r.advance(200 * ms)
	require.Equal(t, int64(1), r.relay.Stats().Failed)
	require.Zero(t, r.relay.Stats().AbandonedRequests)
	r.advance(lifetime)
	require.Equal(t, int64(1), r.relay.Stats().Failed)
	require.Equal(t, int64(1), r.relay.Stats().AbandonedRequests)
}

// TestLateAnswerStaysFailed: an answer to an overdue request is delivered, and
// the request is not counted again by the answer's size.
func TestLateAnswerStaysFailed(t *testing.T) {
	r := newHarness(t, 2)
	for port := uint16(1); port < 30; port++ {
		r.request(port, 1000)
	}
	id := r.place(100)
	r.ack(100, id, 5001, 10)
	r.advance(200 * ms)
	r.drain()
	r.ack(100, id, 6001, 0)
	sent, _ := r.drain()
	require.Equal(t, []string{id}, sent)
	require.Equal(t, int64(1), r.relay.Stats().Failed)
}

// TestAnswerSizeIsCheckedPerRequest: on a flow with several requests, the size of
// each answer is checked on its own.
func TestAnswerSizeIsCheckedPerRequest(t *testing.T) {
	r := newHarness(t, 1)
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

// TestAnswerOfTakenOverFlowIsNotChecked: of a flow that another host placed, this
// host may have missed the beginning of the answer.
func TestAnswerOfTakenOverFlowIsNotChecked(t *testing.T) {
	r := newHarness(t, 2)
	for port := uint16(1); port < 30; port++ {
		r.request(port, 1000)
	}
	r.ack(200, "i-1", 5901, 0)
	r.packet(segment.Segment{
		Flow: flowOf(200), Token: catalog.TokenOf("i-1"), Sequence: 1001, Acknowledgement: 6001, Ack: true, Fin: true,
	})
	require.Zero(t, r.relay.Stats().Failed)
}

// TestFailureReportsAvoidEndpoint: other hosts' failure reports keep new flows
// away from an endpoint until the reports cease.
func TestFailureReportsAvoidEndpoint(t *testing.T) {
	r := newHarness(t, 2)
	for port := uint16(1); port < 30; port++ {
		r.request(port, 1000)
	}
	bad := catalog.TokenOf("i-1")
	r.relay.SetFailureReports(r.now, []outlier.Report{{Endpoint: bad, Answers: 20, Failed: 10}, {Endpoint: 99, Answers: 1, Failed: 1}})
	_, events := r.drain()
	require.Equal(t, []string{"failing true"}, events)
	for port := uint16(300); port < 320; port++ {
		require.Equal(t, "i-2", r.request(port, 1000))
	}
	require.Empty(t, r.relay.FailureReports(r.now), "other hosts' reports are not repeated as this host's")
	r.relay.SetFailureReports(r.now, nil)
	seen := map[string]bool{}
	for port := uint16(400); port < 420; port++ {
		seen[r.request(port, 1000)] = true
	}
	require.True(t, seen["i-1"])
}
