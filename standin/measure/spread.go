package measure

import (
	"time"

	"toucangap/internal/config"
)

// Spread describes the load distribution of one service over the windows of a
// run, without leaving and degraded endpoints. A ratio is the load of the most
// loaded endpoint divided by the mean.
type Spread struct {
	Service string
	// FlowRatios and RequestRatios hold one ratio per window; At holds the ends
	// of the windows in seconds.
	At            []float64
	FlowRatios    []float64
	RequestRatios []float64
	// FlowsOver and RequestsOver count the windows that exceed the bound of the
	// site's balance policy.
	FlowsOver, RequestsOver int
	// HonestOver counts the windows in which the ratio of open requests at the
	// endpoints that are not degraded exceeded maxHonestRatio, HonestBeyond those
	// in which the load was also further above the mean than the balance policy
	// allows.
	HonestOver, HonestBeyond int
}

// bound limits the load of the most loaded endpoint: by a ratio to the mean or
// by an absolute distance above it, whichever allows more.
type bound struct {
	ratio, above float64
}

// The bounds on imbalance.
var (
	evenBound   = bound{1.10, 1}
	steadyBound = bound{1.20, 2}
)

// maxHonestRatio is the largest allowed ratio of open requests at the honest
// endpoints, which are those that neither are slow nor misreport their load.
const maxHonestRatio = 1.25

// boundFor returns the bound for a balance policy.
func boundFor(d config.BalancePolicy) bound {
	if d == config.BalanceEven {
		return evenBound
	}
	return steadyBound
}

// exceeded reports whether the largest load exceeds the bound.
func (b bound) exceeded(largest, mean float64) bool {
	return largest > max(mean*b.ratio, mean+b.above)
}

// spread computes a service's load distribution over the windows since the
// scenario's action.
func (s *ScenarioRun) spread(id serviceID) Spread {
	out := Spread{Service: serviceName(id)}
	limit := boundFor(s.Size.Site.Dial)
	for _, w := range s.sampler.windows[id] {
		if w.from < s.ActionStart {
			continue
		}
		flows := s.summarizeLoads(w, func(l endpointLoad) float64 { return l.flows })
		requests := s.summarizeLoads(w, func(l endpointLoad) float64 { return l.requests })
		out.At = append(out.At, float64(w.to)/float64(time.Second))
		out.FlowRatios = append(out.FlowRatios, flows.ratio())
		out.RequestRatios = append(out.RequestRatios, requests.ratio())
		out.FlowsOver += boolToInt(limit.exceeded(flows.largest, flows.mean))
		out.RequestsOver += boolToInt(limit.exceeded(requests.largest, requests.mean))
		out.HonestOver += boolToInt(requests.ratio() > maxHonestRatio)
		honest := bound{maxHonestRatio, limit.above}
		out.HonestBeyond += boolToInt(honest.exceeded(requests.largest, requests.mean))
	}
	return out
}

// loadSummary is the mean and the largest load of a window's endpoints.
type loadSummary struct {
	mean, largest float64
}

func (s loadSummary) ratio() float64 {
	if s.mean == 0 {
		return 1
	}
	return s.largest / s.mean
}

// summarizeLoads summarizes the endpoints that are neither degraded nor leaving.
func (s *ScenarioRun) summarizeLoads(w window, value func(endpointLoad) float64) loadSummary {
	var out loadSummary
	n := 0
	for _, l := range w.loads {
		if s.degraded[l.endpoint] || s.isLeaving(l.endpoint) {
			continue
		}
		n++
		out.mean += value(l)
		out.largest = max(out.largest, value(l))
	}
	if n > 0 {
		out.mean /= float64(n)
	}
	return out
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
