package relayd

import (
	"context"
	"net/netip"

	"github.com/ansel1/merry/v2"

	"toucangap/internal/admin"
	"toucangap/internal/adminapi"
	"toucangap/internal/catalog"
	"toucangap/internal/relay"
)

// Explain implements admin.Queries. The service may be a route's name or an address, to
// which there need not be a route.
func (q *queries) Explain(_ context.Context, query admin.ExplainQuery) (adminapi.ExplainResponse, error) {
	caller, ok := catalog.AddressFrom(query.Caller)
	if !ok {
		return adminapi.ExplainResponse{}, merry.Wrap(errCaller)
	}
	destination, ok := findDestination(q.daemon.control.view.Load(), query.Service)
	if !ok {
		return adminapi.ExplainResponse{}, merry.Wrap(errNoRoute)
	}
	key := catalog.Flow{Caller: caller, Destination: destination}
	var x relay.Explanation
	t := q.daemon.traffic
	t.do(func() { x = t.relay.Explain(t.clock.Monotonic(), key, query.Limit) })
	return explainResponse(q.daemon.settings.Name, &x), nil
}

// findDestination returns the address that is given as text or as the name of a route.
func findDestination(v *catalog.View, name string) (catalog.Address, bool) {
	if parsed, err := netip.ParseAddrPort(name); err == nil {
		return catalog.AddressFrom(parsed)
	}
	if route := findRoute(v, name); route != nil {
		return route.Address, true
	}
	return catalog.Address{}, false
}

func explainResponse(host string, x *relay.Explanation) adminapi.ExplainResponse {
	answer := adminapi.ExplainResponse{
		Host:           host,
		Flow:           x.Flow.String(),
		Route:          x.Route,
		Service:        x.Service,
		Version:        x.Version,
		Position:       x.Position.String(),
		Outcome:        string(x.Outcome),
		Cause:          x.Cause,
		Endpoint:       x.Endpoint,
		InFlight:       x.InFlight,
		Held:           x.Held,
		Limit:          x.Limit,
		Candidates:     make([]adminapi.ExplainCandidate, 0, len(x.Candidates)),
		CandidateCount: x.CandidateCount,
	}
	if f := x.Existing; f != nil {
		answer.Existing = &adminapi.ExistingFlow{State: f.State, Endpoint: f.Endpoint, IdleMs: f.Idle.Milliseconds()}
	}
	for i := range x.Candidates {
		answer.Candidates = append(answer.Candidates, explainCandidate(&x.Candidates[i]))
	}
	return answer
}

func explainCandidate(c *relay.Candidate) adminapi.ExplainCandidate {
	reasons := make([]string, 0, len(c.Reasons))
	for _, r := range c.Reasons {
		reasons = append(reasons, string(r))
	}
	return adminapi.ExplainCandidate{
		Name:        c.ID,
		Domain:      c.Domain,
		Available:   c.Available,
		Reasons:     reasons,
		Cost:        c.Cost.Microseconds(),
		Expected:    c.Costs.Expected.Microseconds(),
		InProgress:  c.Costs.InProgress.Microseconds(),
		OtherDomain: c.Costs.OtherDomain.Microseconds(),
		Failures:    c.Costs.Failures.Microseconds(),
		Flows:       c.Open,
		Requests:    c.Busy,
	}
}
