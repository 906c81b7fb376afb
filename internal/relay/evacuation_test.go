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
