package baseline

import (
	"toucangap/internal/config"
	"toucangap/internal/flow"
	"toucangap/internal/steer"
	"toucangap/standin/lab"
)

// serviceKey is how packets name a service.
type serviceKey struct {
	protocol flow.Protocol
	address  string
}

// agreed is what all hosts of a run know alike.
type agreed struct {
	bundle  *config.Bundle
	drained map[steer.EndpointKey]bool
	// live holds the endpoints that take new flows, by service.
	live map[serviceKey]*steer.Table
	// counts holds the flows that each host has at an endpoint, by host name.
	counts map[string]map[steer.EndpointKey]int
}

func newAgreed() *agreed {
	return &agreed{
		drained: make(map[steer.EndpointKey]bool),
		counts:  make(map[string]map[steer.EndpointKey]int),
	}
}

// offer takes over a newer bundle.
func (a *agreed) offer(b *config.Bundle) {
	if a.bundle != nil && b.Version <= a.bundle.Version {
		return
	}
	a.bundle = b
	a.rebuild()
}

// mark drains or undrains an endpoint.
func (a *agreed) mark(key steer.EndpointKey, draining bool) {
	a.drained[key] = draining
	a.rebuild()
}

// rebuild computes the tables of the endpoints that take new flows.
func (a *agreed) rebuild() {
	a.live = make(map[serviceKey]*steer.Table)
	for i := range a.bundle.Services {
		s := &a.bundle.Services[i]
		a.live[serviceKey{s.Protocol, s.Address.String()}] = a.table(s)
	}
}

// table returns the live endpoints of a service.
func (a *agreed) table(s *config.Service) *steer.Table {
	var endpoints []*steer.Endpoint
	live := *s
	live.Endpoints = nil
	for _, ec := range s.Endpoints {
		key := steer.EndpointKey{Service: s.ID, Endpoint: ec.ID}
		if a.drained[key] || ec.Weight == 0 {
			continue
		}
		live.Endpoints = append(live.Endpoints, ec)
		endpoints = append(endpoints, steer.NewEndpoint(s.ID, ec))
	}
	return steer.NewTable(&live, endpoints)
}

// lookup returns the live endpoints of the flow's service.
func (a *agreed) lookup(key flow.Key) *steer.Table {
	return a.live[serviceKey{key.Protocol, key.Service.String()}]
}

// fingerprint hashes a flow's key.
func (a *agreed) fingerprint(key flow.Key) flow.Fingerprint {
	return key.Fingerprint(a.bundle.HashSeed)
}

// owner returns the live host that decides for a flow.
func owner(w *lab.World, fp flow.Fingerprint) *lab.Host {
	var best *lab.Host
	var bestScore uint64
	for _, h := range w.Hosts() {
		if !h.Alive() {
			continue
		}
		score := flow.Score(fp, flow.HashName(h.Name))
		if best == nil || score > bestScore {
			best, bestScore = h, score
		}
	}
	return best
}

// flows sums the flows that the live hosts have at an endpoint.
func (a *agreed) flows(w *lab.World, key steer.EndpointKey) int {
	n := 0
	for _, h := range w.Hosts() {
		if h.Alive() {
			n += a.counts[h.Name][key]
		}
	}
	return n
}
