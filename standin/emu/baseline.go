package emu

import "toucangap/internal/balance"

// LeastOpen picks the endpoint with the fewest open flows of this host and
// ignores domains, slots, speed and suspicion.
func LeastOpen(r balance.Request, _ *balance.Service, all []*balance.Endpoint) (best balance.Choice) {
	for i := range all {
		e := all[(i+int(r.Hash%uint64(len(all))))%len(all)]
		if len(r.Tried) > 0 && r.Tried[len(r.Tried)-1] == e {
			continue
		}
		if best.Endpoint == nil || e.Open < best.Endpoint.Open {
			best.Endpoint = e
		}
	}
	return best
}

// Random picks an endpoint by the flow's hash alone.
func Random(r balance.Request, _ *balance.Service, all []*balance.Endpoint) (c balance.Choice) {
	c.Endpoint = all[(r.Hash+uint64(len(r.Tried)))%uint64(len(all))]
	return c
}

// WithoutFailures is the default policy (balance.Choose) without the cost of failed
// requests.
func WithoutFailures(r balance.Request, s *balance.Service, candidates []*balance.Endpoint) balance.Choice {
	r.FailureCost = 0
	return balance.Choose(r, s, candidates)
}
