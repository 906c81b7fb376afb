package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucangap/internal/balance"
	"toucangap/internal/catalog"
)

// explain explains a port's flow with all candidates.
func (r *harness) explain(port uint16) Explanation {
	return r.relay.Explain(r.now, flowOf(port), 1000)
}

// put registers an endpoint of service "s".
func (r *harness) put(e catalog.Endpoint) {
	r.revision++
	e.Recipient, e.Service = 1, "s"
	r.directory.PutEndpoint(r.now, &e, catalog.Position{Revision: r.revision})
	r.publish()
}

// remove removes an endpoint's entry.
func (r *harness) remove(id string) {
	r.revision++
	r.directory.RemoveEndpoint(r.now, id, catalog.Position{Revision: r.revision})
	r.publish()
}

func (r *harness) endEvacuation(domain string) {
	r.revision++
	r.directory.EndEvacuation(r.now, domain, catalog.Position{Revision: r.revision})
	r.publish()
}

// TestExplainAgreesWithThePlacement guards against an explanation that names another
// endpoint, reason or refusal than the SYN that follows gets, and against one that
// changes what happens then: a second relay sees the same events without the query.
func TestExplainAgreesWithThePlacement(t *testing.T) {
	outcomes := make(map[string]int)
	rapid.Check(t, func(rt *rapid.T) {
		features := drawFeatures(rt)
		asked, silent := newSite(t, features), newSite(t, features)
		for _, s := range []*site{asked, silent} {
			s.put(s.endpoint(0))
			s.put(s.endpoint(1))
			s.put(s.endpoint(2))
		}
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			e := drawStep(rt)
			if e.kind != "syn" {
				asked.apply(e)
				silent.apply(e)
				continue
			}
			for i := range 1 + 8*(e.n/5) {
				asked.second, silent.second = (i+e.n)%2 > 0, (i+e.n)%2 > 0
				outcomes[compareSYN(rt, asked, silent)]++
			}
		}
	})
	t.Log(outcomes)
}

// compareSYN explains the next port's flow at one site, sends its SYN to both, and
// returns the explained outcome.
func compareSYN(t require.TestingT, asked, silent *site) string {
	asked.ports, silent.ports = asked.ports+1, silent.ports+1
	before, state := asked.relay.Stats(), asked.state()
	x := asked.relay.Explain(asked.now, asked.flow(asked.ports), 1000)
	require.Equal(t, state, asked.state(), "the query has changed something")
	require.Equal(t, before, asked.relay.Stats())
	sent, events := asked.nextSYN()
	silentSent, silentEvents := silent.nextSYN()
	require.Equal(t, silentSent, sent, "the query has changed the decision")
	require.Equal(t, silentEvents, events)
	requireAgreement(t, asked, x, before, sent, events)
	return string(x.Outcome) + " " + x.Cause + asked.placedWhere(x.Endpoint)
}

// placedWhere returns what is special about an endpoint, for the log.
func (s *site) placedWhere(id string) string {
	e := s.relay.endpoints[catalog.TokenOf(id)]
	switch {
	case e == nil:
		return ""
	case s.relay.view.Evacuated(e.Entry.Domain):
		return " evacuated"
	case s.relay.coldState(s.now, s.relay.service("s"), e) != nil:
		return " cold"
	}
	return ""
}

// requireAgreement compares an explanation with what the SYN's flow got.
func requireAgreement(t require.TestingT, s *site, x Explanation, before Stats, sent, events []string) {
	after := s.relay.Stats()
	held := int(after.Held - before.Held)
	switch {
	case x.Outcome == OutcomePlaced:
		require.Equal(t, []string{x.Endpoint}, sent)
		require.Equal(t, []string{"placed"}, events)
		require.Zero(t, held)
		require.Equal(t, x.Endpoint, x.Candidates[0].ID, "the first candidate is the chosen one")
	case x.Outcome == OutcomeHeld:
		require.Equal(t, 1, held)
	case x.Outcome == OutcomeRefused && x.Held+x.InFlight > 0 && held == 1:
		// The flow itself was refused, not another one that waits.
		require.Equal(t, RejectOverload.String(), x.Cause)
		require.Nil(t, s.relay.flows[x.Flow])
		require.Contains(t, events, "rejected overload")
	case x.Outcome == OutcomeRefused:
		require.Equal(t, []string{"reset"}, sent)
		require.Equal(t, []string{"rejected " + x.Cause}, events)
	case x.Outcome == OutcomeDropped:
		require.Empty(t, sent)
		require.Equal(t, []string{"dropped " + x.Cause}, events)
	default:
		require.Fail(t, "unexpected outcome", "%+v", x)
	}
	for i, c := range x.Candidates {
		require.Equal(t, c.Cost, c.Costs.Expected+c.Costs.InProgress+c.Costs.OtherDomain+c.Costs.Failures)
		if c.Available {
			require.True(t, i == 0 || x.Candidates[i-1].Available, "those that take no new flows are last")
			continue
		}
		require.NotEmpty(t, c.Reasons, "%s is left out without a reason", c.ID)
		require.Subset(t, []Reason{
			ReasonRemoved, ReasonDraining, ReasonEvacuated, ReasonUnknownService, ReasonIsolated, ReasonColdLimit,
		}, c.Reasons[:1])
	}
}

// TestExplainNamesEveryReason guards against an endpoint that is left out or avoided
// without a reason in the explanation.
func TestExplainNamesEveryReason(t *testing.T) {
	r := newHarness(t, 1)
	r.put(catalog.Endpoint{ID: "i-busy", Domain: "d", Slots: 1})
	r.put(catalog.Endpoint{ID: "i-cold", Domain: "d", Slots: 2, ColdFor: time.Minute})
	r.put(catalog.Endpoint{ID: "i-draining", Domain: "d", Slots: 2, Draining: true})
	r.put(catalog.Endpoint{ID: "i-evacuated", Domain: "gone", Slots: 2})
	r.put(catalog.Endpoint{ID: "i-failing", Domain: "d", Slots: 2})
	r.put(catalog.Endpoint{ID: "i-far", Domain: "far", Slots: 2})
	r.put(catalog.Endpoint{ID: "i-removed", Domain: "d", Slots: 2})
	r.put(catalog.Endpoint{ID: "i-suspect", Domain: "d", Slots: 2})
	r.put(catalog.Endpoint{ID: "i-trial", Domain: "d", Slots: 2})
	r.evacuate("gone")
	r.directory.RemoveEndpoint(r.now, "i-removed", catalog.Position{Revision: r.revision + 1})
	r.publish()
	endpoint := func(id string) *balance.Endpoint { return r.relay.endpoints[catalog.TokenOf(id)] }
	observed := &r.relay.service("s").observed
	endpoint("i-busy").Busy = 1
	endpoint("i-failing").SetReported(r.now, balance.Tally{Answers: 10, Failed: 10})
	endpoint("i-trial").RecordUnansweredSYN(r.now-time.Second, r.now-time.Second, observed)
	endpoint("i-suspect").RecordUnansweredSYN(r.now, r.now, observed)

	x := r.explain(1)
	got := make(map[string][]Reason)
	for _, c := range x.Candidates {
		got[c.ID] = c.Reasons
	}
	require.Equal(t, map[string][]Reason{
		"i-1":         nil,
		"i-busy":      {ReasonNoSlot},
		"i-cold":      {ReasonCold},
		"i-draining":  {ReasonDraining},
		"i-evacuated": {ReasonEvacuated, ReasonOtherDomain},
		"i-failing":   {ReasonFailing},
		"i-far":       {ReasonOtherDomain},
		"i-removed":   {ReasonRemoved},
		"i-suspect":   {ReasonSuspect},
		"i-trial":     {ReasonTrial},
	}, got)
	require.Equal(t, []string{"i-trial", "i-1"}, []string{x.Candidates[0].ID, x.Candidates[1].ID}, "in the order of preference")
	require.Equal(t, []string{"r", "s", "placed", CauseTrial, "i-trial"}, []string{x.Route, x.Service, string(x.Outcome), x.Cause, x.Endpoint})
	require.Equal(t, r.relay.view.Position, x.Position)
	require.Equal(t, r.directory.Configuration().Version, x.Version)

	limited := r.relay.Explain(r.now, flowOf(1), 2)
	require.Equal(t, x.Candidates[:2], limited.Candidates)
	require.Equal(t, 10, limited.CandidateCount)
	require.Empty(t, r.relay.Explain(r.now, flowOf(1), 0).Candidates)
}

// TestExplainNamesReasonsOfFeatures guards against an endpoint without a reason that is
// left out by the limit on cold endpoints, by spillover, or since the host is isolated.
func TestExplainNamesReasonsOfFeatures(t *testing.T) {
	reasons := func(r *harness, id string) []Reason {
		for _, c := range r.explain(1).Candidates {
			if c.ID == id {
				return c.Reasons
			}
		}
		return nil
	}
	r := limitedHarness(t, 1, "other")
	r.report("i-2", 1, coldFor)
	require.Equal(t, []Reason{ReasonColdLimit, ReasonCold}, reasons(r, "i-2"))

	r = newSpilloverHarness(t, 1, 1)
	require.Equal(t, []Reason{ReasonOtherDomain, ReasonSpillover}, reasons(r, "e-1"))
	require.Empty(t, reasons(r, "i-1"))

	r = twoDomains(t)
	r.relay.options.Isolated = func(bool) bool { return true }
	r.evacuate("d")
	r.syn(1, 0)
	r.advance(time.Second)
	require.Equal(t, ReasonIsolated, reasons(r, "i-far")[0])
	require.Equal(t, []Reason{ReasonEvacuated}, reasons(r, "i-1")[:1])
}

// TestExplainOfAnExistingFlow guards against an explanation that promises a new endpoint
// to a flow whose packets follow the one that it has.
func TestExplainOfAnExistingFlow(t *testing.T) {
	r, placed := heldHarness(t)
	x := r.explain(1)
	require.Equal(t, OutcomeExisting, x.Outcome)
	require.Equal(t, "i-1", x.Endpoint)
	require.Equal(t, "opening", x.Existing.State)
	x = r.explain(placed + 1)
	require.Equal(t, OutcomeExisting, x.Outcome)
	require.Equal(t, "held", x.Existing.State)
	require.Empty(t, x.Endpoint)
	x = r.explain(placed + 2)
	require.Nil(t, x.Existing)
	require.Equal(t, OutcomeHeld, x.Outcome)
	require.Equal(t, []int{int(placed), 1}, []int{x.InFlight, x.Held})
	require.Positive(t, x.Limit)

	r.finish(1)
	x = r.explain(1)
	require.Equal(t, "ended", x.Existing.State)
	require.Equal(t, OutcomeHeld, x.Outcome, "a new SYN from the port is a new flow")
}

// TestExplainCreatesNothing guards against queries that add services, or that fail on a
// host without a view.
func TestExplainCreatesNothing(t *testing.T) {
	empty := New(Options{Domain: "d", FlowLifetime: lifetime}, 0)
	require.Equal(t, OutcomeDropped, empty.Explain(0, theFlow, 10).Outcome)

	r := newHarness(t, 1)
	r.configure("unknown")
	services := len(r.relay.services)
	x := r.explain(1)
	require.Equal(t, OutcomeRefused, x.Outcome)
	require.Equal(t, RejectNoEndpoint.String(), x.Cause)
	require.Equal(t, "unknown", x.Service)
	require.Len(t, r.relay.services, services)
}

// TestExplainOfAnOverloadedService guards against an explanation that says that a flow
// would be placed or held while it is refused, either by the queue's length or, at a host
// that holds nothing, by the expected time to answer.
func TestExplainOfAnOverloadedService(t *testing.T) {
	for _, exiting := range []bool{false, true} {
		asked, silent := newSite(t, siteFeatures{}), newSite(t, siteFeatures{})
		for _, s := range []*site{asked, silent} {
			s.put(s.endpoint(0))
			if exiting {
				s.relay.StopHolding(s.now)
			}
		}
		outcomes := make(map[string]int)
		for i := range 200 {
			if i == 150 {
				// Less urgent flows come last in the queue.
				for _, s := range []*site{asked, silent} {
					s.configure("s")
					s.directory.Configuration().Routes[0].Priority = 3
				}
			}
			outcomes[compareSYN(t, asked, silent)]++
		}
		require.Positive(t, outcomes["refused overload"], "%v", outcomes)
		require.Equal(t, exiting, outcomes["held window_full"] == 0, "%v", outcomes)
	}
}

// TestExplainOfAnOverloadedServiceWithShares guards against an explanation that judges a
// queue with route shares without the flow: by its route's share it is refused, or another
// route's flow is.
func TestExplainOfAnOverloadedServiceWithShares(t *testing.T) {
	asked, silent := newSite(t, siteFeatures{shares: true}), newSite(t, siteFeatures{shares: true})
	for _, s := range []*site{asked, silent} {
		s.put(s.endpoint(0))
	}
	outcomes := make(map[string]int)
	for i := range 200 {
		// The queue fills with flows of one route before those of the other one come.
		asked.second, silent.second = i/50%2 > 0, i/50%2 > 0
		if i == 120 {
			// Flows come last within their route from now on.
			for _, s := range []*site{asked, silent} {
				s.configure("s")
				s.directory.Configuration().Routes[0].Priority = 4
				s.directory.Configuration().Routes[1].Priority = 6
			}
		}
		outcomes[compareSYN(t, asked, silent)]++
	}
	require.Positive(t, outcomes["refused overload"], "%v", outcomes)
	require.Greater(t, outcomes["held others_wait"], 20, "%v", outcomes)
}
