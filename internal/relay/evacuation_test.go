package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/internal/catalog"
)

// twoDomains returns a harness whose endpoint i-1 is in the host's domain and i-far in
// another one.
func twoDomains(t *testing.T) *harness {
	r := newHarness(t, 1)
	r.revision++
	r.directory.PutEndpoint(r.now, &catalog.Endpoint{ID: "i-far", Recipient: 1, Service: "s", Domain: "far", Slots: 2},
		catalog.Position{Revision: r.revision})
	r.publish()
	return r
}

func (r *harness) evacuate(domain string) {
	r.revision++
	r.directory.Evacuate(domain, catalog.Position{Revision: r.revision})
	r.publish()
}

// TestNewFlowsLeaveEvacuatedDomain: also the hosts of an evacuated domain send new flows
// to other domains; what can't go anywhere is reset at once.
func TestNewFlowsLeaveEvacuatedDomain(t *testing.T) {
	r := twoDomains(t)
	r.evacuate("d")
	r.syn(1, 0)
	sent, _ := r.drain()
	require.Equal(t, []string{"i-far"}, sent)
	require.Equal(t, int64(1), r.relay.Stats().Diverted)
	r.evacuate("far")
	r.syn(2, 0)
	sent, _ = r.drain()
	require.Equal(t, []string{"reset"}, sent)
}

// TestOpenFlowsStayInEvacuatedDomain: an evacuation must not break flows that are open.
func TestOpenFlowsStayInEvacuatedDomain(t *testing.T) {
	r := twoDomains(t)
	r.syn(1, 0)
	r.drain()
	r.evacuate("d")
	r.ack(1, "i-1", 5001, 10)
	sent, _ := r.drain()
	require.Equal(t, []string{"i-1"}, sent)
}

// TestSYNCopyLeavesEvacuatedDomain: copies of a SYN whose first one went to a domain that
// was evacuated meanwhile, and SYNs that fail over, must not open a flow there.
func TestSYNCopyLeavesEvacuatedDomain(t *testing.T) {
	r := twoDomains(t)
	r.syn(1, 0)
	r.drain()
	r.evacuate("d")
	r.now += 10 * ms
	r.syn(1, 1)
	sent, _ := r.drain()
	require.Equal(t, []string{"i-far"}, sent)

	r = twoDomains(t)
	r.syn(1, 0)
	r.evacuate("far")
	r.evacuate("d")
	r.drain()
	r.now += time.Second
	r.relay.Tick(r.now)
	sent, _ = r.drain()
	require.Empty(t, sent, "the flow may have opened, so that it is neither reset nor sent again")
}

// TestHeldFlowsLeaveEvacuatedDomain: flows that wait at the host are placed by the view of
// the time when they are released.
func TestHeldFlowsLeaveEvacuatedDomain(t *testing.T) {
	r, _ := heldHarness(t)
	r.revision++
	r.directory.PutEndpoint(r.now, &catalog.Endpoint{ID: "i-far", Recipient: 1, Service: "s", Domain: "far", Slots: 2},
		catalog.Position{Revision: r.revision})
	r.evacuate("d")
	r.finish(1)
	sent, _ := r.drain()
	require.Equal(t, []string{"i-1", "i-1", "i-far", "i-1"}, sent, "the packets of flow 1, and a held SYN once it was answered")
}

// TestIsolatedDomainServesItself: an evacuated domain that is cut off from the store and
// from the other domains refused all its callers, although its endpoints were alive.
func TestIsolatedDomainServesItself(t *testing.T) {
	isolated := false
	r := twoDomains(t)
	r.relay.options.Isolated = func(bool) bool { return isolated }
	r.evacuate("d")
	unanswered := func(port uint16) {
		r.syn(port, 0)
		r.now += 300 * ms
		r.relay.Tick(r.now)
	}
	unanswered(1)
	r.now += isolationSilence
	for _, c := range []struct {
		name     string
		isolated bool
		want     string
	}{
		{"in contact with the store", false, "i-far"},
		{"isolated", true, "i-1"},
		{"in contact again", false, "i-far"},
	} {
		r.drain()
		isolated = c.isolated
		r.syn(uint16(len(c.name)), 0)
		sent, _ := r.drain()
		require.Equal(t, []string{c.want}, sent, c.name)
	}
	isolated = true
	r.ack(uint16(len("in contact again")), "i-far", 5001, 10)
	r.drain()
	r.syn(9, 0)
	sent, _ := r.drain()
	require.Equal(t, []string{"i-far"}, sent, "the other domain answers")
}

// TestCopiesStayInAnIsolatedDomain guards against copies of SYNs that count as new flows,
// and may open a second one, while an isolated host uses its evacuated domain.
func TestCopiesStayInAnIsolatedDomain(t *testing.T) {
	r := twoDomains(t)
	r.addEndpoint("i-2", "s")
	r.relay.options.Isolated = func(bool) bool { return true }
	r.evacuate("d")
	r.syn(1, 0)
	r.advance(2 * time.Second)
	placed := r.relay.Stats().Placed
	r.drain()
	r.syn(2, 0)
	r.syn(2, 0)
	sent, _ := r.drain()
	require.Len(t, sent, 2)
	require.Equal(t, sent[0], sent[1], "a network duplicate")
	r.advance(100 * ms)
	r.syn(2, 1)
	sent, events := r.drain()
	require.NotContains(t, sent, "i-far")
	require.NotContains(t, events, "dropped evacuated", "a copy is sent again if no endpoint is left")
	require.NotEmpty(t, sent)
	require.Equal(t, placed+1, r.relay.Stats().Placed)
}

// TestSYNCopyIsNotResetAfterEvacuation guards against a reset of a flow that may have
// opened: its first SYN went to a domain that was evacuated since, and the copy has no
// endpoint to go to.
func TestSYNCopyIsNotResetAfterEvacuation(t *testing.T) {
	r := twoDomains(t)
	r.syn(1, 0)
	r.evacuate("far")
	r.evacuate("d")
	r.drain()
	r.now += 10 * ms
	r.syn(1, 1)
	sent, events := r.drain()
	require.Empty(t, sent)
	require.Equal(t, []string{"dropped evacuated"}, events)
	r.ack(1, "i-1", 5001, 10)
	sent, _ = r.drain()
	require.Equal(t, []string{"i-1"}, sent, "it had opened")
}
