package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/internal/catalog"
	"toucangap/internal/segment"
)

// TestBehindHostBlamesNobody: while a host can't keep up, neither missing
// reactions nor long times count against endpoints, and nothing is rejected for
// them.
func TestBehindHostBlamesNobody(t *testing.T) {
	r := newRig(t, 2)
	for port := uint16(1); port < 30; port++ {
		r.request(port, 1000)
	}
	usual := r.relay.service("s").seen.Usual()
	r.relay.Behind(r.now, true)
	for port := uint16(100); port < 200; port++ {
		id := r.place(port)
		r.ack(port, id, 5001, 10)
		r.now += 900 * ms
		r.ack(port, id, 6001, 0)
		r.take()
	}
	require.Equal(t, usual, r.relay.service("s").seen.Usual())
	require.Zero(t, r.relay.Stats().Failed)
	r.relay.Behind(r.now, false)
	for _, e := range r.relay.Endpoints(r.now) {
		require.False(t, e.Suspect)
	}
}

// TestSlowAnswersCountOtherwise: the same load at a host that keeps up is the
// endpoints' slowness.
func TestSlowAnswersCountOtherwise(t *testing.T) {
	r := newRig(t, 2)
	for port := uint16(1); port < 30; port++ {
		r.request(port, 1000)
	}
	usual := r.relay.service("s").seen.Usual()
	for port := uint16(100); port < 110; port++ {
		r.syn(port, 0)
		id := r.sent[len(r.sent)-1]
		r.ack(port, id, 5001, 10)
		r.now += 900 * ms
		r.ack(port, id, 6001, 0)
		r.take()
	}
	require.Greater(t, r.relay.service("s").seen.Usual(), usual)
}

// TestLongTimesDoNotLockCallersOut: after a time in which answers took longer
// than callers wait, free endpoints get new flows, and the usual time falls again.
func TestLongTimesDoNotLockCallersOut(t *testing.T) {
	r := newRig(t, 2)
	for port := uint16(1); port < 60; port++ {
		id := r.place(port)
		r.ack(port, id, 5001, 10)
		r.now += 5000 * ms
		r.ack(port, id, 6001, 0)
		r.packet(segment.Segment{
			Flow: flowOf(port), Token: catalog.TokenOf(id), Sequence: 1011, Acknowledgement: 6001, Ack: true, Fin: true,
		})
		r.take()
	}
	require.Greater(t, r.relay.service("s").seen.Usual(), time.Second, "longer than the route's timeout")
	for port := uint16(100); port < 500; port++ {
		r.request(port, 1000)
	}
	require.Less(t, r.relay.service("s").seen.Usual(), 100*ms)
	require.Zero(t, r.relay.Stats().Rejections[RejectOverload])
}

// TestCaughtUpHostStartsAnew: flows that were placed while the host was behind do
// not count as load when it has caught up; their callers have gone.
func TestCaughtUpHostStartsAnew(t *testing.T) {
	r := newRig(t, 2)
	for port := uint16(1); port < 30; port++ {
		r.request(port, 1000)
	}
	r.relay.Behind(r.now, true)
	for port := uint16(100); port < 200; port++ {
		r.ack(port, r.place(port), 5001, 10)
		r.take()
	}
	r.relay.Behind(r.now, false)
	for _, e := range r.relay.Endpoints(r.now) {
		require.Zero(t, e.Busy)
	}
	r.request(300, 1000)
	require.Zero(t, r.relay.Stats().Rejections[RejectOverload])
	r.wait(2 * lifetime)
	for _, e := range r.relay.Endpoints(r.now) {
		require.Zero(t, e.Open)
		require.Zero(t, e.Busy)
	}
}
