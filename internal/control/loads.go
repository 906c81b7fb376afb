package control

import (
	"slices"

	"toucangap/internal/config"
	"toucangap/internal/peerpb"
	"toucangap/internal/steer"
)

// reportedLoad is the number of open flows and requests of a peer at an endpoint.
type reportedLoad struct {
	flows    int32
	requests int32
}

// loadsMessage returns the message with this host's own open flows and requests.
func (c *Control) loadsMessage() *peerpb.Loads {
	byService := make(map[config.ServiceID]*peerpb.ServiceLoads)
	m := &peerpb.Loads{}
	for _, e := range c.sortedEndpoints() {
		flows, requests := e.Load.Flows.Load(), e.Load.Requests.Load()
		if flows == 0 && requests == 0 {
			continue
		}
		s := byService[e.Key.Service]
		if s == nil {
			s = &peerpb.ServiceLoads{Service: uint32(e.Key.Service)}
			byService[e.Key.Service] = s
			m.Services = append(m.Services, s)
		}
		s.Endpoints = append(s.Endpoints, uint32(e.Key.Endpoint))
		s.Flows = append(s.Flows, uint32(max(0, flows)))
		s.Requests = append(s.Requests, uint32(max(0, requests)))
	}
	return m
}

// sortedEndpoints returns the registered endpoints by service and endpoint ID.
func (c *Control) sortedEndpoints() []*steer.Endpoint {
	out := c.shared.Endpoints()
	slices.SortFunc(out, func(a, b *steer.Endpoint) int {
		if d := int(a.Key.Service) - int(b.Key.Service); d != 0 {
			return d
		}
		return int(a.Key.Endpoint) - int(b.Key.Endpoint)
	})
	return out
}

// onLoads replaces a peer's reported loads.
func (c *Control) onLoads(p *peer, m *peerpb.Loads) {
	clear(p.loads)
	for _, s := range m.Services {
		if len(s.Flows) != len(s.Endpoints) || len(s.Requests) != len(s.Endpoints) {
			continue
		}
		for i, id := range s.Endpoints {
			key := steer.EndpointKey{Service: config.ServiceID(s.Service), Endpoint: config.EndpointID(id)}
			p.loads[key] = reportedLoad{int32(s.Flows[i]), int32(s.Requests[i])}
		}
	}
	c.sumLoads()
}

// sumLoads stores the sum of the peers' loads in each endpoint, where the shards
// read it.
func (c *Control) sumLoads() {
	for _, e := range c.shared.Endpoints() {
		var sum reportedLoad
		for _, p := range c.peers {
			l := p.loads[e.Key]
			sum.flows += l.flows
			sum.requests += l.requests
		}
		e.Load.PeerFlows.Store(sum.flows)
		e.Load.PeerRequests.Store(sum.requests)
	}
}
