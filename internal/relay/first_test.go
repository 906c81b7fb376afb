package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/internal/catalog"
)

func TestRejectsAtOnce(t *testing.T) {
	r := newRig(t, 0)
	r.syn(1, 0)
	sent, notes := r.take()
	require.Equal(t, []string{"reset"}, sent)
	require.Equal(t, []string{"rejected no_endpoint"}, notes)
	r.configure()
	r.syn(2, 0)
	sent, notes = r.take()
	require.Equal(t, []string{"reset"}, sent)
	require.Equal(t, []string{"rejected no_route"}, notes)
	require.Zero(t, r.relay.Stats().Flows)
}

// TestOverload: what would be answered after the caller's timeout is rejected.
func TestOverload(t *testing.T) {
	r := newRig(t, 1)
	port := uint16(1)
	for r.relay.Stats().Rejections[RejectOverload] == 0 {
		require.Less(t, port, uint16(200))
		r.syn(port, 0)
		port++
	}
	// Two slots, 20 ms of usual work, one second.
	require.InDelta(t, 100, int(port), 5)
}

// TestSentOn: without a reaction the first packet goes to other endpoints, each
// once, and then to the last one when the caller repeats it.
func TestSentOn(t *testing.T) {
	r := newRig(t, 5)
	first := r.place(1)
	r.wait(4 * firstPatience)
	sent, _ := r.take()
	require.Len(t, sent, maxTries-1)
	seen := map[string]bool{first: true}
	for _, id := range sent {
		require.False(t, seen[id], "%s twice", id)
		seen[id] = true
	}
	r.wait(100 * ms)
	r.syn(1, 1)
	again, _ := r.take()
	require.Equal(t, sent[len(sent)-1:], again)
}

// TestTwoAcceptances plays both orders in which two endpoints accept one flow:
// the one that the caller's first packet names holds it, whatever it names
// later.
func TestTwoAcceptances(t *testing.T) {
	for _, firstWins := range []bool{true, false} {
		r := newRig(t, 5)
		first := r.place(1)
		r.wait(firstPatience)
		sent, _ := r.take()
		require.Len(t, sent, 1)
		holder, other := first, sent[0]
		if !firstWins {
			holder, other = other, holder
		}
		r.ack(1, holder, 1, 10)
		r.ack(1, other, 1, 0)
		r.ack(1, other, 300, 0)
		sent, notes := r.take()
		require.Equal(t, []string{holder, holder, holder}, sent)
		require.Contains(t, notes, "contested")
	}
}

// TestAcceptanceThroughAnotherHost: this host sent the first packet to one
// endpoint, another host a copy to a second one that won.
func TestAcceptanceThroughAnotherHost(t *testing.T) {
	r := newRig(t, 5)
	first := r.place(1)
	other := "i-1"
	if first == other {
		other = "i-2"
	}
	r.ack(1, other, 1, 10)
	sent, _ := r.take()
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

// TestCopies: a network's duplicate follows the first packet, also after the
// flow is open; a caller's repetition goes elsewhere if nothing was heard.
func TestCopies(t *testing.T) {
	r := newRig(t, 5)
	id := r.place(1)
	r.now += ms
	r.syn(1, 0)
	sent, _ := r.take()
	require.Equal(t, []string{id}, sent)
	r.ack(1, id, 1, 10)
	r.now += 300 * ms
	r.syn(1, 1)
	sent, _ = r.take()
	require.Equal(t, []string{id, id}, sent)
}

// TestCopiesFollowTheConfiguration: a repetition after a change of the route
// goes where the new version says.
func TestCopiesFollowTheConfiguration(t *testing.T) {
	r := newRig(t, 3)
	r.list("i-9", "other")
	r.place(1)
	r.configure("other")
	r.now += 10 * ms
	r.syn(1, 1)
	sent, _ := r.take()
	require.Equal(t, []string{"i-9"}, sent)
	r.configure()
	r.now += 100 * ms
	r.syn(1, 2)
	sent, notes := r.take()
	require.Equal(t, []string{"reset"}, sent)
	require.Equal(t, "rejected no_route", notes[len(notes)-1])
}

// TestResume: what did not react while the host stood still is not to blame.
func TestResume(t *testing.T) {
	r := newRig(t, 3)
	r.place(1)
	r.now += 5 * time.Second
	r.relay.Resume(r.now)
	r.relay.Tick(r.now)
	sent, notes := r.take()
	require.Empty(t, sent)
	require.Empty(t, notes)
}

// TestNewIncarnation: an endpoint that has started again under its id is not
// held for silent.
func TestNewIncarnation(t *testing.T) {
	r := newRig(t, 1)
	r.place(1)
	r.wait(firstPatience)
	require.True(t, r.relay.Endpoints(r.now)[0].Suspect)
	r.revision++
	r.directory.PutEndpoint(r.now, &catalog.Endpoint{ID: "i-1", Number: 1, Service: "s", Domain: "d", Slots: 2, StartedUnixMs: 5}, r.revision)
	r.publish()
	require.False(t, r.relay.Endpoints(r.now)[0].Suspect)
}

// TestGoneCallersAreNoLoad: flows whose callers have gone before their first
// packet arrived do not make endpoints look busy for long.
func TestGoneCallersAreNoLoad(t *testing.T) {
	r := newRig(t, 3)
	for port := uint16(1); port < 60; port++ {
		r.syn(port, 0)
	}
	r.take()
	r.wait(maxTries*firstPatience + 10*ms)
	for _, e := range r.relay.Endpoints(r.now) {
		require.Zero(t, e.Busy)
	}
	// A caller that was late after all is served, and counts.
	sent, _ := r.take()
	require.NotEmpty(t, sent)
	r.ack(1, "i-1", 5001, 10)
	require.Equal(t, 1, r.relay.Endpoints(r.now)[0].Busy)
	r.ack(1, "i-1", 6001, 0)
	require.Zero(t, r.relay.Endpoints(r.now)[0].Busy)
}
