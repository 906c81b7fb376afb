package steer

import (
	"slices"

	"toucangap/internal/config"
	"toucangap/internal/flow"
)

// maxCandidates bounds how many endpoints are considered for a new flow, in
// rendezvous order.
const maxCandidates = 32

// weightsValidity is how long computed effective weights stay valid.
const weightsValidity = 100 * 1e6 // 100 ms in nanoseconds

// chooser chooses endpoints for new flows: consistent hashing with bounded
// loads. The default endpoint is chosen while its load is within the service's
// tolerance of the mean; otherwise the next one in the flow's rendezvous order
// that is within the tolerance.
type chooser struct {
	// candidates and times are buffers that are reused to avoid allocations.
	candidates       []scoredEndpoint
	times            []Time
	effectiveWeights map[config.ServiceID]*effectiveWeights
}

// effectiveWeights holds the configured weights of a table's endpoints, in the
// table's order, times their effectiveFactor; those of draining, gone and dead
// endpoints are 0.
type effectiveWeights struct {
	table   *Table
	at      Time
	weights []float64
	total   float64
}

func newChooser() chooser {
	return chooser{effectiveWeights: make(map[config.ServiceID]*effectiveWeights)}
}

// choice is the endpoint chosen for a new flow.
type choice struct {
	endpoint *Endpoint
	// contested reports whether a host on the other side of a network partition
	// might choose another endpoint.
	contested bool
}

// choose chooses the endpoint of a new flow. A dead default endpoint gets the
// flow if a probe of it is due. A usable one is left only if mayLeaveDefault is
// set. A nil endpoint means that no candidate takes flows.
func (c *chooser) choose(now Time, t *Table, fp flow.Fingerprint, mayLeaveDefault bool) choice {
	c.candidates = t.top(fp, maxCandidates, c.candidates)
	if len(c.candidates) == 0 {
		return choice{}
	}
	defaultEndpoint := c.candidates[0].endpoint
	if defaultEndpoint.Life() == LifeActive && !defaultEndpoint.full() && defaultEndpoint.dead(now) && defaultEndpoint.startProbe(now) {
		return choice{endpoint: defaultEndpoint}
	}
	usable := takesFlows(defaultEndpoint, now)
	if usable && !mayLeaveDefault {
		return choice{endpoint: defaultEndpoint}
	}
	limit := c.limits(now, t)
	for _, s := range c.candidates {
		if takesFlows(s.endpoint, now) && limit.admits(s.endpoint) {
			return choice{endpoint: s.endpoint}
		}
	}
	if usable {
		return choice{endpoint: defaultEndpoint}
	}
	return choice{endpoint: c.leastLoaded(now)}
}

// chooseByConfiguration chooses the first endpoint of the flow's rendezvous
// order that operators have left active, whatever its load or health. The other
// side of a network partition chooses the same unless an operator's change to
// the chosen endpoint, or to one that was skipped, may not have reached it.
func (c *chooser) chooseByConfiguration(t *Table, fp flow.Fingerprint, partitionSince Time) choice {
	c.candidates = t.top(fp, maxCandidates, c.candidates)
	contested := false
	for _, s := range c.candidates {
		contested = contested || !s.endpoint.stateKnownBefore(partitionSince)
		if s.endpoint.Life() == LifeActive {
			return choice{endpoint: s.endpoint, contested: contested}
		}
	}
	return choice{}
}

// leastLoaded returns the candidate with the fewest flows, or nil.
func (c *chooser) leastLoaded(now Time) *Endpoint {
	var best *Endpoint
	for _, s := range c.candidates {
		if !takesFlows(s.endpoint, now) {
			continue
		}
		if best == nil || s.endpoint.flows() < best.flows() {
			best = s.endpoint
		}
	}
	return best
}

// takesFlows reports whether an endpoint accepts a new flow.
func takesFlows(e *Endpoint, now Time) bool {
	return e.Life() == LifeActive && !e.full() && !e.dead(now)
}

// loadLimit bounds the flows of each endpoint in one decision.
type loadLimit struct {
	table   *Table
	weights []float64
	// perWeight is the mean number of flows for an effective weight of 1,
	// counting the new flow.
	perWeight float64
	policy    config.BalancePolicy
}

// limits computes the bound of every endpoint from the currently known loads.
func (c *chooser) limits(now Time, t *Table) loadLimit {
	s := c.refresh(now, t)
	var flows float64 = 1
	for _, e := range t.Endpoints {
		flows += float64(e.flows())
	}
	perWeight := flows
	if s.total > 0 {
		perWeight = flows / s.total
	}
	return loadLimit{table: t, weights: s.weights, perWeight: perWeight, policy: t.Service.Balance}
}

// admits reports whether one more flow keeps the endpoint within its bound.
func (l loadLimit) admits(e *Endpoint) bool {
	i := slices.Index(l.table.Endpoints, e)
	mean := l.perWeight * l.weights[i]
	bound := max(mean*(1+tolerance(l.policy)), mean+flowSlack(l.policy)*min(1, l.weights[i]))
	return float64(e.flows()+1) <= bound
}

// refresh returns the effective weights of the table's endpoints and recomputes
// them once they are older than weightsValidity.
func (c *chooser) refresh(now Time, t *Table) *effectiveWeights {
	s := c.effectiveWeights[t.Service.ID]
	if s != nil && s.table == t && now-s.at < weightsValidity {
		return s
	}
	if s == nil {
		s = &effectiveWeights{}
		c.effectiveWeights[t.Service.ID] = s
	}
	c.compute(now, t, s)
	return s
}

// compute fills in the effective weights.
func (c *chooser) compute(now Time, t *Table, s *effectiveWeights) {
	s.table, s.at, s.total = t, now, 0
	s.weights = s.weights[:0]
	median := c.medianServiceTime(t)
	for i, e := range t.Endpoints {
		w := 0.0
		if e.Life() == LifeActive && !e.dead(now) {
			w = float64(t.weights[i]) * effectiveFactor(e, now, median)
		}
		s.weights = append(s.weights, w)
		s.total += w
	}
}

// medianServiceTime returns the median over the endpoints with a measured
// service time.
func (c *chooser) medianServiceTime(t *Table) Time {
	c.times = c.times[:0]
	for _, e := range t.Endpoints {
		if st := e.ServiceTime(); st > 0 {
			c.times = append(c.times, st)
		}
	}
	if len(c.times) == 0 {
		return 0
	}
	slices.Sort(c.times)
	return c.times[len(c.times)/2]
}

// effectiveFactor returns the factor on an endpoint's weight, from its ramp, its
// speed, its load shedding and its own load report.
func effectiveFactor(e *Endpoint, now Time, median Time) float64 {
	share := rampFactor(e, now) * speedFactor(e, median)
	if e.shedding(now) {
		share *= overloadFactor
	}
	return share * reportFactor(e, now)
}

// rampFactor grows from rampInitialFactor to 1 over rampTime after a cold start.
func rampFactor(e *Endpoint, now Time) float64 {
	since := Time(e.activeSince.Load())
	if since < 0 || now-since >= rampTime {
		return 1
	}
	done := float64(now-since) / float64(rampTime)
	return rampInitialFactor + (1-rampInitialFactor)*done
}

// speedFactor reduces the share of an endpoint that is slower than the median.
func speedFactor(e *Endpoint, median Time) float64 {
	st := e.ServiceTime()
	if median == 0 || st == 0 || float64(st) < slowRatio*float64(median) {
		return 1
	}
	return max(slowMinFactor, float64(median)/float64(st))
}

// reportFactor lets an endpoint's load report only reduce its share: a report of
// being idle has no effect, and a report of being full counts only while no
// answer observed by this host contradicts it.
func reportFactor(e *Endpoint, now Time) float64 {
	at := Time(e.Load.reportedAt.Load())
	if at == 0 || now-at > reportValidity || e.Load.reported.Load() < 1000 {
		return 1
	}
	last := Time(e.Load.lastAnswer.Load())
	if last != 0 && now-last < reportValidity {
		return 1
	}
	return overloadFactor
}

// top fills dst with the first k endpoints in the flow's rendezvous order.
func (t *Table) top(fp flow.Fingerprint, k int, dst []scoredEndpoint) []scoredEndpoint {
	dst = dst[:0]
	for i, e := range t.Endpoints {
		s := scoredEndpoint{e, flow.WeightedScore(fp, e.hash, t.weights[i])}
		if len(dst) == k && byScoreDescending(s, dst[k-1]) > 0 {
			continue
		}
		dst = insertSorted(dst, s, k)
	}
	return dst
}

// insertSorted keeps dst sorted and at most k long.
func insertSorted(dst []scoredEndpoint, s scoredEndpoint, k int) []scoredEndpoint {
	if len(dst) < k {
		dst = append(dst, s)
	} else {
		dst[k-1] = s
	}
	for i := len(dst) - 1; i > 0 && byScoreDescending(dst[i], dst[i-1]) < 0; i-- {
		dst[i], dst[i-1] = dst[i-1], dst[i]
	}
	return dst
}
