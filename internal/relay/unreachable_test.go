package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/internal/catalog"
	"toucangap/internal/segment"
)

// lossHarness is a host of domain "d", whose endpoint is i-1, with a number of endpoints
// p-1 to p-n of domain "p" that are not reachable. Requests may be repeated unless
// configure was called again.
type lossHarness struct {
	*harness
	states []DomainState
	// next is the port of the next flow of domain "d".
	next uint16
}

func newLossHarness(t testing.TB, n int) *lossHarness {
	r := &lossHarness{harness: newHarness(t, 1), next: 10_000}
	r.relay.options.DomainChanged = func(_ time.Duration, s DomainState) { r.states = append(r.states, s) }
	for i := range n {
		r.put(i+1, 0)
	}
	r.directory.Configuration().Routes[0].Idempotent = true
	r.publish()
	return r
}

// put publishes an entry of a process of endpoint p-i.
func (r *lossHarness) put(i int, process int64) {
	r.revision++
	r.directory.PutEndpoint(r.now, &catalog.Endpoint{
		ID: fmt.Sprint("p-", i), Recipient: 1, Service: "s", Domain: "p", Slots: 2, StartedUnixMs: process,
	}, catalog.Position{Revision: r.revision})
	r.publish()
}

// answerElsewhere completes a request at the endpoint of domain "d".
func (r *lossHarness) answerElsewhere() {
	r.next++
	r.syn(r.next, 0)
	r.ack(r.next, "i-1", 5001, 10)
	r.ack(r.next, "i-1", 6001, 0)
	r.drain()
}

// send sends the data of a request of flow i, at endpoint p-i. The flow was placed by
// another host.
func (r *lossHarness) send(i int) { r.ack(uint16(i), fmt.Sprint("p-", i), 5001, 10) }

// copies lets the callers of flows 1 to n send the data of their requests as often as
// stated; in between, the function is called.
func (r *lossHarness) copies(n, copies int, between func()) {
	gap := 200 * ms
	for c := range copies {
		for i := range n {
			r.send(i + 1)
			r.advance(20 * ms)
		}
		if c+1 < copies {
			between()
			r.advance(gap - time.Duration(n)*20*ms)
			gap *= 2
		}
	}
}

func (r *lossHarness) resets() int64 {
	return r.relay.Stats().Rejections[RejectUnreachableDomain]
}

// TestWaitingRequestsOfLostDomainAreReset guards against requests that wait until their
// deadline at a domain without power: at two hosts that have taken the flows over, too few
// packets reach each of 40 endpoints to consider it dead.
func TestWaitingRequestsOfLostDomainAreReset(t *testing.T) {
	for range 2 {
		r := newLossHarness(t, 40)
		for i := 7; i <= 40; i++ {
			r.send(i)
		}
		r.copies(6, 3, r.answerElsewhere)
		require.GreaterOrEqual(t, r.resets(), int64(38), "those first seen before the last evidence")
		require.Len(t, r.states, 1)
		require.True(t, r.states[0].Unreachable)
		r.drain()
		r.packet(segment.Segment{Flow: flowOf(1), Token: catalog.TokenOf("p-1"), Sequence: 1011, Acknowledgement: 5001, Ack: true, DataBytes: 10})
		sent, _ := r.drain()
		require.Equal(t, []string{"reset"}, sent)
	}
}

// TestLaterRequestsOfLostDomainAreReset guards against requests that callers send on flows
// with an idle time behind them, after the domain was lost.
func TestLaterRequestsOfLostDomainAreReset(t *testing.T) {
	r := newLossHarness(t, 8)
	r.ack(8, "p-8", 5001, 0)
	r.copies(4, 3, r.answerElsewhere)
	r.drain()
	r.send(8)
	sent, _ := r.drain()
	require.Equal(t, []string{"reset"}, sent)
}

// TestReachableDomainsAreNotReset guards against resets of flows whose endpoints are alive,
// and of requests that must not run twice.
func TestReachableDomainsAreNotReset(t *testing.T) {
	nothing := func(*lossHarness) {}
	for name, c := range map[string]struct {
		endpoints, copies int
		prepare, between  func(*lossHarness)
		detected          bool
	}{
		"a domain of three endpoints": {endpoints: 3, copies: 4, between: (*lossHarness).answerElsewhere},
		"an endpoint was alive": {endpoints: 8, copies: 3, between: func(r *lossHarness) {
			r.answerElsewhere()
			r.advance(20 * ms)
			r.ack(1, "p-1", uint32(r.now/ms), 0)
		}},
		"an endpoint has restarted": {endpoints: 8, copies: 3, between: func(r *lossHarness) {
			r.answerElsewhere()
			r.put(8, int64(r.now))
		}},
		"answers take long":         {endpoints: 8, copies: 2, between: (*lossHarness).answerElsewhere},
		"the host is cut off":       {endpoints: 8, copies: 5, between: nothing},
		"the host is lagging":       {endpoints: 8, copies: 3, prepare: func(r *lossHarness) { r.relay.SetLagging(r.now, true) }, between: (*lossHarness).answerElsewhere},
		"the host lagged until now": {endpoints: 8, copies: 3, prepare: func(r *lossHarness) { r.relay.SetLagging(r.now, false) }, between: (*lossHarness).answerElsewhere},
		"requests must not be repeated": {endpoints: 8, copies: 3, detected: true, prepare: func(r *lossHarness) {
			r.directory.Configuration().Routes[0].Idempotent = false
			r.publish()
		}, between: (*lossHarness).answerElsewhere},
	} {
		t.Run(name, func(t *testing.T) {
			r := newLossHarness(t, c.endpoints)
			if c.prepare != nil {
				c.prepare(r)
			}
			r.copies(min(c.endpoints, 6), c.copies, func() { c.between(r) })
			require.Zero(t, r.resets())
			require.Equal(t, c.detected, r.relay.UnreachableDomains() > 0)
		})
	}
}

// TestSlowDomainWithLossesIsNotReset guards against taking lost copies in a domain whose
// answers take long for its loss: most callers do not repeat their data a second time,
// since it was acknowledged.
func TestSlowDomainWithLossesIsNotReset(t *testing.T) {
	r := newLossHarness(t, 40)
	r.relay.options.MaxFlows = 10_000
	for i := range 40 {
		r.send(i + 1)
	}
	r.advance(200 * ms)
	for i := range 40 {
		r.send(i + 1)
		r.advance(2 * ms)
	}
	r.answerElsewhere()
	r.advance(400 * ms)
	for i := range 5 {
		r.send(8*i + 1)
		r.advance(16 * ms)
	}
	require.Zero(t, r.resets())
	require.Empty(t, r.states)
}

// TestLostDomainIsAvoidedAndReturns guards against new flows that wait at a lost domain, and
// against a domain that gets no flows after its return.
func TestLostDomainIsAvoidedAndReturns(t *testing.T) {
	for _, spillover := range []bool{false, true} {
		// One of 8 flows tests the domain while trials fail, at most one each 200 ms.
		t.Run(fmt.Sprint("spillover ", spillover), func(t *testing.T) { testLostDomain(t, spillover, 10*ms, 11) })
		t.Run(fmt.Sprint("few flows, spillover ", spillover), func(t *testing.T) { testLostDomain(t, spillover, 100*ms, 6) })
	}
}

func testLostDomain(t *testing.T, spillover bool, gap time.Duration, most int) {
	r := newLossHarness(t, 8)
	r.relay.options.Domain = "p"
	if spillover {
		r.relay.options.Spillover = true
		r.relay.services["s"].spill = r.relay.newSpill()
		r.publish()
	}
	r.copies(4, 3, r.answerElsewhere)
	require.EqualValues(t, 1, r.relay.UnreachableDomains())
	trials := 0
	for end := r.now + 2*time.Second; r.now < end; r.advance(gap) {
		r.next++
		r.syn(r.next, 0)
		sent, _ := r.drain()
		if sent[0] != "i-1" {
			trials++
			r.advance(30 * ms)
		}
		r.ack(r.next, "i-1", 5001, 10)
		r.ack(r.next, "i-1", 6001, 0)
		r.drain()
	}
	require.LessOrEqual(t, trials, most)
	require.Greater(t, trials, 3)
	x := r.relay.Explain(r.now, flowOf(9), 20)
	require.Contains(t, x.Candidates[8].Reasons, ReasonUnreachable)
	require.Equal(t, "i-1", x.Candidates[0].ID)

	r.ack(5, "p-5", 5001, 0)
	r.ack(5, "p-5", 5002, 0)
	require.Len(t, r.states, 2)
	require.False(t, r.states[1].Unreachable)
	r.drain()
	r.send(6)
	sent, _ := r.drain()
	require.Equal(t, []string{"p-6"}, sent)
}

// TestAvoidedEndpointsCountAsColdWhenTheyReturn guards against flows to cold endpoints: new
// flows avoid a lost domain, so that no unanswered SYN shows which endpoints have restarted.
func TestAvoidedEndpointsCountAsColdWhenTheyReturn(t *testing.T) {
	r := &lossHarness{harness: limitedHarness(t, 1, "other"), next: 10_000}
	for i := range 8 {
		r.put(i+1, 0)
	}
	r.copies(4, 3, r.answerElsewhere)
	require.EqualValues(t, 1, r.relay.UnreachableDomains())
	r.ack(5, "p-5", 5001, 0)
	r.ack(5, "p-5", 5002, 0)
	require.Zero(t, r.relay.UnreachableDomains())
	cold, _ := r.relay.ColdEndpoints(r.now)
	require.EqualValues(t, 8, cold)
	r.advance(coldFor)
	cold, _ = r.relay.ColdEndpoints(r.now)
	require.Zero(t, cold)
}

// TestFailoversShowThatDomainIsLost guards against hosts that wait for repeated data, which
// takes 600 ms, although other endpoints accept the SYNs that the domain left unanswered.
func TestFailoversShowThatDomainIsLost(t *testing.T) {
	r := newLossHarness(t, 8)
	r.relay.options.Domain = "p"
	r.send(8)
	for port := range uint16(5) {
		r.advance(15 * ms)
		r.syn(100+port, 0)
		r.advance(30 * ms)
		r.ack(100+port, "i-1", 5001, 10)
		r.ack(100+port, "i-1", 6001, 0)
	}
	require.EqualValues(t, 1, r.resets())
	require.EqualValues(t, 1, r.relay.UnreachableDomains())
}

// TestRepeatedDataAllocatesNothing guards the smallest hosts against garbage while all callers
// of a lost domain repeat their data.
func TestRepeatedDataAllocatesNothing(t *testing.T) {
	r := newLossHarness(t, 8)
	r.relay.options.Output, r.relay.options.Observer = discard{r.harness}, discard{r.harness}
	r.directory.Configuration().Routes[0].Idempotent = false
	r.publish()
	r.copies(6, 3, r.answerElsewhere)
	require.EqualValues(t, 1, r.relay.UnreachableDomains())
	frame := make([]byte, 64)
	require.Zero(t, testing.AllocsPerRun(100, func() {
		r.now += 300 * ms
		s := segment.Segment{Flow: flowOf(1), Token: catalog.TokenOf("p-1"), Sequence: 1001, Acknowledgement: 5001, Ack: true, DataBytes: 10}
		r.relay.Packet(r.now, s, frame)
	}))
}
