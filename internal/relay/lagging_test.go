package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/internal/catalog"
	"toucangap/internal/segment"
)

// TestLaggingHostRecordsNoFailures: while a host is lagging, neither missing
// handshake ACKs nor long answer times count against endpoints, and no flow is
// rejected because of them.
func TestLaggingHostRecordsNoFailures(t *testing.T) {
	r := newHarness(t, 2)
	for port := uint16(1); port < 30; port++ {
		r.request(port, 1000)
	}
	usual := r.relay.service("s").observed.UsualAnswerTime()
	r.relay.SetLagging(r.now, true)
	for port := uint16(100); port < 200; port++ {
		id := r.place(port)
		r.ack(port, id, 5001, 10)
		r.now += 900 * ms
		r.ack(port, id, 6001, 0)
		r.drain()
	}
	require.Equal(t, usual, r.relay.service("s").observed.UsualAnswerTime())
	require.Zero(t, r.relay.Stats().Failed)
	r.relay.SetLagging(r.now, false)
	for _, e := range r.relay.Endpoints(r.now) {
		require.False(t, e.Suspect)
	}
}

// TestSlowAnswersCountWithoutLag: at a host that keeps up, the same answer times
// count as slowness of the endpoints.
func TestSlowAnswersCountWithoutLag(t *testing.T) {
	r := newHarness(t, 2)
	for port := uint16(1); port < 30; port++ {
		r.request(port, 1000)
	}
	usual := r.relay.service("s").observed.UsualAnswerTime()
	for port := uint16(100); port < 110; port++ {
		r.syn(port, 0)
		id := r.sent[len(r.sent)-1]
		r.ack(port, id, 5001, 10)
		r.now += 900 * ms
		r.ack(port, id, 6001, 0)
		r.drain()
	}
	require.Greater(t, r.relay.service("s").observed.UsualAnswerTime(), usual)
}

// TestSlowPeriodDoesNotCauseLastingRejection: after answers took longer than
// callers wait, free endpoints get new flows, and the usual time falls again.
func TestSlowPeriodDoesNotCauseLastingRejection(t *testing.T) {
	r := newHarness(t, 2)
	for port := uint16(1); port < 60; port++ {
		id := r.place(port)
		r.ack(port, id, 5001, 10)
		r.now += 5000 * ms
		r.ack(port, id, 6001, 0)
		r.packet(segment.Segment{
			Flow: flowOf(port), Token: catalog.TokenOf(id), Sequence: 1011, Acknowledgement: 6001, Ack: true, Fin: true,
		})
		r.drain()
	}
	require.Greater(t, r.relay.service("s").observed.UsualAnswerTime(), time.Second, "longer than the route's timeout")
	for port := uint16(100); port < 500; port++ {
		r.request(port, 1000)
	}
	require.Less(t, r.relay.service("s").observed.UsualAnswerTime(), 100*ms)
	require.Zero(t, r.relay.Stats().Rejections[RejectOverload])
}

// TestLoadIsResetAfterLagging: flows that were placed while the host was lagging
// do not count as load once it has caught up; their callers have gone.
func TestLoadIsResetAfterLagging(t *testing.T) {
	r := newHarness(t, 2)
	for port := uint16(1); port < 30; port++ {
		r.request(port, 1000)
	}
	r.relay.SetLagging(r.now, true)
	for port := uint16(100); port < 200; port++ {
		r.ack(port, r.place(port), 5001, 10)
		r.drain()
	}
	r.relay.SetLagging(r.now, false)
	for _, e := range r.relay.Endpoints(r.now) {
		require.Zero(t, e.Busy)
	}
	r.request(300, 1000)
	require.Zero(t, r.relay.Stats().Rejections[RejectOverload])
	r.advance(2 * lifetime)
	for _, e := range r.relay.Endpoints(r.now) {
		require.Zero(t, e.Open)
		require.Zero(t, e.Busy)
	}
}

// TestLaggingHostDoesNotResetWaitingSYNs: a host that was stalled applies the removal of
// all entries, which lapsed meanwhile, and then reads SYNs that waited in its socket. The
// entries are about to come back, and another host may have forwarded copies of these
// SYNs, so that a reset would end an open flow (soak seed 14006).
func TestLaggingHostDoesNotResetWaitingSYNs(t *testing.T) {
	r := newHarness(t, 0)
	r.relay.SetLagging(r.now, true)
	r.syn(1, 0)
	sent, events := r.drain()
	require.Empty(t, sent)
	require.Equal(t, []string{"dropped lagging"}, events)
	r.relay.SetLagging(r.now, false)
	r.syn(2, 0)
	sent, _ = r.drain()
	require.Equal(t, []string{"reset"}, sent)
}
