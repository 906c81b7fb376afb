package baseline

import (
	"toucangap/internal/config"
	"toucangap/internal/flow"
	"toucangap/internal/steer"
	"toucangap/standin/lab"
)

// serviceKey identifies a service by its packets' protocol and destination.
type serviceKey struct {
	protocol flow.Protocol
	address  string
}

// sharedState is the state that all hosts of a run share instantly.
type sharedState struct {
	bundle  *config.Bundle
	drained map[steer.EndpointKey]bool
	// tables holds the endpoints that accept new flows, by service.
	tables map[serviceKey]*steer.Table
	// counts holds each host's number of flows at an endpoint, by host name.
	counts map[string]map[steer.EndpointKey]int
}

func newSharedState() *sharedState {
	return &sharedState{
		drained: make(map[steer.EndpointKey]bool),
		counts:  make(map[string]map[steer.EndpointKey]int),
	}
}

// setBundle installs a bundle if it is newer than the current one.
func (st *sharedState) setBundle(b *config.Bundle) {
	if st.bundle != nil && b.Version <= st.bundle.Version {
		return
	}
	st.bundle = b
	st.rebuild()
}

// mark drains or undrains an endpoint.
func (st *sharedState) mark(key steer.EndpointKey, draining bool) {
	st.drained[key] = draining
	st.rebuild()
}

// rebuild rebuilds the tables of endpoints that accept new flows.
func (st *sharedState) rebuild() {
	st.tables = make(map[serviceKey]*steer.Table)
	for i := range st.bundle.Services {
		s := &st.bundle.Services[i]
		st.tables[serviceKey{s.Protocol, s.Address.String()}] = st.buildTable(s)
	}
}

// buildTable builds the table of a service's endpoints that are neither drained
// nor of weight 0.
func (st *sharedState) buildTable(s *config.Service) *steer.Table {
	var endpoints []*steer.Endpoint
	live := *s
	live.Endpoints = nil
	for _, ec := range s.Endpoints {
		key := steer.EndpointKey{Service: s.ID, Endpoint: ec.ID}
		if st.drained[key] || ec.Weight == 0 {
			continue
		}
		live.Endpoints = append(live.Endpoints, ec)
		endpoints = append(endpoints, steer.NewEndpoint(s.ID, ec))
	}
	return steer.NewTable(&live, endpoints)
}

// lookup returns the table of the flow's service, or nil.
func (st *sharedState) lookup(key flow.Key) *steer.Table {
	return st.tables[serviceKey{key.Protocol, key.Service.String()}]
}

// fingerprint hashes a flow key with the bundle's seed.
func (st *sharedState) fingerprint(key flow.Key) flow.Fingerprint {
	return key.Fingerprint(st.bundle.HashSeed)
}

// owner returns a flow's owner by rendezvous hashing over the live hosts.
func owner(sim *lab.Simulation, fp flow.Fingerprint) *lab.Host {
	var best *lab.Host
	var bestScore uint64
	for _, h := range sim.Hosts() {
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

// flows returns the number of flows at an endpoint in the tables of all live
// hosts.
func (st *sharedState) flows(sim *lab.Simulation, key steer.EndpointKey) int {
	n := 0
	for _, h := range sim.Hosts() {
		if h.Alive() {
			n += st.counts[h.Name][key]
		}
	}
	return n
}
