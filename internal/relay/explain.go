package relay

import (
	"slices"
	"time"

	"toucangap/internal/balance"
	"toucangap/internal/catalog"
)

// Outcome is what a host would do with a flow.
type Outcome string

// The outcomes of an explanation.
const (
	// OutcomePlaced: the SYN would be forwarded to an endpoint.
	OutcomePlaced Outcome = "placed"
	// OutcomeHeld: the SYN would wait at the host for room at the endpoints.
	OutcomeHeld Outcome = "held"
	// OutcomeRefused: the caller would get a reset.
	OutcomeRefused Outcome = "refused"
	// OutcomeDropped: the SYN would be dropped without an answer.
	OutcomeDropped Outcome = "dropped"
	// OutcomeExisting: the host has the flow, and its packets follow it.
	OutcomeExisting Outcome = "existing"
)

// The causes of an outcome that is neither refused, whose cause is a Rejection, nor
// dropped, whose cause is a Drop.
const (
	// CauseLowestCost: the endpoint has the lowest cost.
	CauseLowestCost = "lowest_cost"
	// CauseTrial: the endpoint's suspicion has expired, and the flow tests it.
	CauseTrial = "trial"
	// CauseSpillover: the flow belongs to the share that leaves the host's domain, and the
	// endpoint has the lowest cost of those that it may go to.
	CauseSpillover = "spillover"
	// CauseNoRoom: the flow would have to wait in the host's domain, and another domain has
	// room; the endpoint has the lowest cost there.
	CauseNoRoom = "no_room"
	// CauseSuspect: the endpoint is suspect, but there is no other, or all others cost
	// much more.
	CauseSuspect = "suspect"
	// CauseWindow: the endpoints are congested, and the window is full.
	CauseWindow = "window_full"
	// CauseQueue: other flows of the service wait.
	CauseQueue = "others_wait"
	// CauseFlow: the host has the flow.
	CauseFlow = "flow"
)

// Explanation is what a host would do with a flow now, and why.
type Explanation struct {
	Flow    catalog.Flow
	Route   string
	Service string
	// Version is that of the configuration, Position that of the view.
	Version  uint64
	Position catalog.Position
	// Existing is the flow's state if the host has the flow, or nil.
	Existing *FlowState
	Outcome  Outcome
	// Cause is the reason for the outcome, Endpoint the id of the endpoint that gets
	// the flow's packets, if there is one.
	Cause    string
	Endpoint string
	// InFlight counts the service's requests that wait for answers, Held the flows that
	// wait at the host. Limit bounds InFlight; 0 means that there is no limit.
	InFlight int
	Held     int
	Limit    float64
	// Candidates are endpoints of the service in the order of preference, then those that
	// spillover leaves out for this flow, then those that take none. CandidateCount counts all of them.
	Candidates     []Candidate
	CandidateCount int
}

// Candidate is an endpoint in an Explanation.
type Candidate struct {
	ID     string
	Domain string
	// Available is set if the endpoint takes new flows.
	Available bool
	// Reasons are why it does not, or why it is not preferred.
	Reasons []Reason
	// Cost is the sum of Costs.
	Cost  time.Duration
	Costs balance.Costs
	// Open counts the flows at the endpoint, Busy those that wait for an answer.
	Open int
	Busy int
}

// Explain returns what the host would do with the first SYN of a flow now, with at most
// limit candidates. It changes nothing. If the host has the flow, the candidates are
// those of another flow with the same addresses. The decision is the one of Packet,
// except that a flow is taken as held also if there has been room for some of those that
// wait since the last packet, and that a full flow table is not considered: a new flow
// then replaces another one, whose request no longer counts. Options.Choose is not used.
func (r *Relay) Explain(now time.Duration, key catalog.Flow, limit int) Explanation {
	x := Explanation{Flow: key}
	if r.view == nil || r.view.Configuration == nil {
		x.decide(OutcomeDropped, DropNoConfiguration.String())
		return x
	}
	x.Version, x.Position = r.view.Configuration.Version, r.view.Position
	f := r.flows[key]
	if f != nil {
		state := f.snapshot(now)
		x.Existing = &state
	}
	route := r.view.Route(key.Destination)
	if route == nil {
		x.decide(OutcomeRefused, RejectNoRoute.String())
		return x
	}
	sv := r.knownService(route, key.Hash())
	if sv == nil {
		sv = &service{name: route.Service(key.Hash())}
	}
	x.Route, x.Service = route.Name, sv.name
	x.InFlight, x.Held = sv.inFlight, len(sv.held)
	if sv.window.Closed() && !r.holdsNothing() {
		x.Limit = sv.window.Limit(r.fairLimit(now, sv))
	}
	// The decision is made on a copy of the service, with its window, and on a flow that
	// is not in the table, so that what it records is discarded.
	trial := *sv
	trial.preview = true
	trial.spill = sv.spill.clone()
	added := &flow{
		key: key, service: &trial, startedAt: now,
		route: route.Name, timeout: route.Timeout, target: route.TargetLatency,
	}
	r.explainCandidates(now, &x, added, limit)
	if f != nil && f.state != stateEnded {
		x.decide(OutcomeExisting, CauseFlow)
		x.Endpoint = x.Existing.Endpoint
		return x
	}
	r.explainDecision(now, &x, added, route)
	return x
}

func (x *Explanation) decide(o Outcome, cause string) { x.Outcome, x.Cause = o, cause }

// explainDecision sets the outcome for a new flow; see Relay.place.
func (r *Relay) explainDecision(now time.Duration, x *Explanation, f *flow, route *catalog.Route) {
	sv := f.service
	candidates := len(r.candidates(now, sv))
	switch {
	case candidates == 0 && r.lagging:
		x.decide(OutcomeDropped, DropLagging.String())
	case candidates == 0:
		x.decide(OutcomeRefused, sv.noCandidate().String())
	case r.mustWait(now, sv):
		if f.overflow = r.overflowWithRoom(now, sv); f.overflow != nil && x.Held == 0 {
			r.explainOpen(now, x, f, route)
			return
		}
		f.overflow = nil
		r.explainHold(now, x, f, route)
	default:
		r.explainOpen(now, x, f, route)
	}
}

// explainHold sets the outcome for a flow that has to wait; see Relay.hold.
func (r *Relay) explainHold(now time.Duration, x *Explanation, f *flow, route *catalog.Route) {
	cause := CauseWindow
	if x.Held > 0 {
		cause = CauseQueue
	}
	f.waiter = f.newWaiter(now, route)
	f.service.shares = f.service.shares.Clone()
	f.joinShares(route)
	// Clipped, so that the append does not write to the relay's list.
	f.service.held = append(slices.Clip(f.service.held), f)
	if r.surplus(now, f.service) == f {
		x.decide(OutcomeRefused, RejectOverload.String())
		return
	}
	x.decide(OutcomeHeld, cause)
}

// explainOpen sets the outcome for a flow that is placed at once; see Relay.open.
func (r *Relay) explainOpen(now time.Duration, x *Explanation, f *flow, route *catalog.Route) {
	left, noRoom := f.service.departed(DepartSpillover), f.service.departed(DepartNoRoom)
	c, _ := r.choose(now, f, r.candidates(now, f.service), balance.Preview)
	if !r.admits(route, c) {
		x.decide(OutcomeRefused, RejectOverload.String())
		return
	}
	x.Endpoint = c.Endpoint.Entry.ID
	switch {
	case c.Trial:
		x.decide(OutcomePlaced, CauseTrial)
	case f.service.departed(DepartSpillover) > left:
		x.decide(OutcomePlaced, CauseSpillover)
	case f.service.departed(DepartNoRoom) > noRoom:
		x.decide(OutcomePlaced, CauseNoRoom)
	case c.Endpoint.UnansweredSYNs() > 0, c.Endpoint.Domain.Unreachable():
		x.decide(OutcomePlaced, CauseSuspect)
	default:
		x.decide(OutcomePlaced, CauseLowestCost)
	}
}

// explainCandidates adds the endpoints of the flow's service: those that it would be placed
// among, then those that spillover leaves out for this flow, then those that take none.
func (r *Relay) explainCandidates(now time.Duration, x *Explanation, f *flow, limit int) {
	sv := f.service
	candidates := r.candidates(now, sv)
	available := setOf(candidates)
	_, from := r.choose(now, f, candidates, balance.Preview)
	preferred := setOf(from)
	var leftOut, others []*balance.Endpoint
	for _, e := range r.endpoints {
		switch {
		case preferred[e]:
		case available[e]:
			leftOut = append(leftOut, e)
		case e.Entry.Service == sv.name:
			others = append(others, e)
		}
	}
	request := r.request(now, f)
	ranks := balance.Ranking(request, &sv.observed, from)
	ranks = append(ranks, balance.Ranking(request, &sv.observed, leftOut)...)
	ranks = append(ranks, balance.Ranking(request, &sv.observed, others)...)
	x.CandidateCount = len(ranks)
	for i := range ranks[:min(limit, len(ranks))] {
		k := &ranks[i]
		reasons := r.reasons(now, sv, k)
		if available[k.Endpoint] && !preferred[k.Endpoint] {
			reasons = append(reasons, ReasonSpillover)
		}
		x.Candidates = append(x.Candidates, Candidate{
			ID:        k.Endpoint.Entry.ID,
			Domain:    k.Endpoint.Entry.Domain,
			Available: available[k.Endpoint],
			Reasons:   reasons,
			Cost:      k.Cost,
			Costs:     k.Costs,
			Open:      k.Endpoint.Open,
			Busy:      k.Endpoint.Busy,
		})
	}
}

func setOf(list []*balance.Endpoint) map[*balance.Endpoint]bool {
	set := make(map[*balance.Endpoint]bool, len(list))
	for _, e := range list {
		set[e] = true
	}
	return set
}
