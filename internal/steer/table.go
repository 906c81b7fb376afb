package steer

import (
	"toucangap/internal/config"
	"toucangap/internal/flow"
)

// Table holds the endpoints of one service under one bundle version.
type Table struct {
	Service   *config.Service
	Endpoints []*Endpoint
	// weights corresponds to Endpoints by index.
	weights []int
	// defaultsDigest is a digest of the endpoints' names and weights, on which
	// defaults depend.
	defaultsDigest uint64
}

// NewTable returns the table of a service; endpoints correspond to the service's
// own list by index.
func NewTable(service *config.Service, endpoints []*Endpoint) *Table {
	t := &Table{Service: service, Endpoints: endpoints}
	for i, e := range endpoints {
		weight := service.Endpoints[i].Weight
		t.weights = append(t.weights, weight)
		t.defaultsDigest ^= flow.Score(flow.Fingerprint(e.hash), flow.NodeHash(weight))
	}
	return t
}

// SameDefaults reports whether two tables give every flow the same default
// endpoint.
func (t *Table) SameDefaults(other *Table) bool {
	if t == nil || other == nil {
		return t == other
	}
	return t.defaultsDigest == other.defaultsDigest && len(t.Endpoints) == len(other.Endpoints)
}

// Default returns the flow's default endpoint: the highest score in weighted
// rendezvous hashing. It depends only on the bundle, so that all hosts compute
// the same. Nil means an empty table.
func (t *Table) Default(fp flow.Fingerprint) *Endpoint {
	var best *Endpoint
	var bestScore uint64
	for i, e := range t.Endpoints {
		score := flow.WeightedScore(fp, e.hash, t.weights[i])
		if best == nil || score > bestScore {
			best, bestScore = e, score
		}
	}
	return best
}

// Find returns the endpoint with the given ID, or nil.
func (t *Table) Find(id config.EndpointID) *Endpoint {
	for _, e := range t.Endpoints {
		if e.Key.Endpoint == id {
			return e
		}
	}
	return nil
}

// scoredEndpoint is an endpoint with its rendezvous score for one flow.
type scoredEndpoint struct {
	endpoint *Endpoint
	score    uint64
}

// byScoreDescending orders by descending score, then by endpoint ID.
func byScoreDescending(a, b scoredEndpoint) int {
	switch {
	case a.score > b.score:
		return -1
	case a.score < b.score:
		return 1
	}
	return int(a.endpoint.Key.Endpoint) - int(b.endpoint.Key.Endpoint)
}
