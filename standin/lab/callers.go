package lab

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"maps"
	"math"
	"net/netip"
	"slices"
	"time"

	"toucangap/internal/config"
	"toucangap/internal/flow"
	"toucangap/internal/steer"
)

// Stream describes flows of one service that open at a given rate.
type Stream struct {
	Service config.ServiceID
	// PerSecond is the rate at which flows open.
	PerSecond float64
	// Lifetime is the mean lifetime of a flow.
	Lifetime time.Duration
	// Interval is the mean time between the requests or segments of a flow.
	Interval time.Duration
	// Deadline is the deadline that requests carry; 0 means none.
	Deadline time.Duration
	// NonIdempotentRate is the fraction of requests that are not idempotent.
	NonIdempotentRate float64
	// EndAt is the virtual time at which every flow ends; 0 means that
	// lifetimes are random.
	EndAt time.Duration
}

// Result counts what callers observed.
type Result struct {
	Opened, Closed int
	// Broken counts established flows that were aborted although their endpoint
	// was reachable; Ended counts those whose endpoint was dead or blackholed.
	Broken, Ended int
	// OpenFailed counts flows that were never established.
	OpenFailed int
	// Moved counts flows that got answers from two endpoints.
	Moved    int
	Requests int
	Answered int
	// Refused counts requests that a host reported as not run.
	Refused int
	// Shed counts requests that an endpoint refused.
	Shed int
	// OutcomeUnknown counts requests whose outcome a host reported as unknown.
	OutcomeUnknown int
	// Unanswered counts requests without an answer to any transmission.
	Unanswered int
	// RunTwice counts the repeated runs of non-idempotent requests.
	RunTwice int
	// FalseNotRun counts violations in which a request ran and was reported as not
	// run.
	FalseNotRun int
	// Mismatched counts answers that belonged to another request.
	Mismatched int
	// Latencies holds the response times of answered requests.
	Latencies []time.Duration
}

// request is a caller's request and what became of it.
type request struct {
	id         int
	messageID  uint16
	idempotent bool
	flow       flow.Key
	sent       time.Duration
	runs       int
	toldNotRun bool
	done       bool
}

// Callers simulates the callers.
type Callers struct {
	simulation     *Simulation
	flows          map[flow.Key]*Flow
	requests       []*request
	lastFlowNumber uint32
	stopped        bool
	outcomeCounts  *OutcomeCounts
	Result         Result
	// BrokenAt holds the times at which BrokenFlows broke.
	BrokenAt    []time.Duration
	BrokenFlows []flow.Key
}

func newCallers(sim *Simulation) *Callers {
	return &Callers{simulation: sim, flows: make(map[flow.Key]*Flow), outcomeCounts: newOutcomeCounts(sim)}
}

// Start starts a stream of flows.
func (c *Callers) Start(s Stream) {
	c.scheduleOpen(s)
}

// Prefill opens count flows evenly over a period, so that a stream starts at
// its steady-state number of flows.
func (c *Callers) Prefill(s Stream, count int, over time.Duration) {
	for i := range count {
		c.simulation.clock.after(over*time.Duration(i)/time.Duration(count), func() { c.open(s) })
	}
}

// Stop ends all streams. Flows that Prefill has scheduled still open.
func (c *Callers) Stop() { c.stopped = true }

func (c *Callers) scheduleOpen(s Stream) {
	if s.PerSecond <= 0 {
		return
	}
	gap := c.exponential(time.Duration(float64(time.Second) / s.PerSecond))
	c.simulation.clock.after(gap, func() {
		if c.stopped {
			return
		}
		c.open(s)
		c.scheduleOpen(s)
	})
}

// exponential returns an exponentially distributed duration.
func (c *Callers) exponential(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * -math.Log(1-c.simulation.rng.Float64()))
}

// open starts a flow.
func (c *Callers) open(s Stream) {
	service := c.simulation.bundle.Service(s.Service)
	f := &Flow{callers: c, stream: s, service: service, key: c.newKey(service), number: c.lastFlowNumber}
	f.endAt = c.endTime(s)
	c.flows[f.key] = f
	f.start()
}

// endTime returns the time at which a flow that opens now ends.
func (c *Callers) endTime(s Stream) time.Duration {
	if s.EndAt > 0 {
		return s.EndAt
	}
	return c.simulation.clock.now + c.exponential(s.Lifetime)
}

// newKey returns a flow key with an unused caller address and port.
func (c *Callers) newKey(s *config.Service) flow.Key {
	c.lastFlowNumber++
	var a [4]byte
	binary.BigEndian.PutUint32(a[:], 0x0a800000+c.lastFlowNumber/50000)
	caller := netip.AddrPortFrom(netip.AddrFrom4(a), uint16(10000+c.lastFlowNumber%50000))
	return flow.Key{Protocol: s.Protocol, Caller: caller, Service: s.Address}
}

// recordRun records that an endpoint runs a request.
func (c *Callers) recordRun(id int) {
	r := c.requests[id-1]
	r.runs++
	if r.runs > 1 && !r.idempotent {
		c.Result.RunTwice++
		c.simulation.recordFlowViolation(r.flow, fmt.Sprintf("request %d ran twice", id))
	}
	if r.toldNotRun {
		c.Result.FalseNotRun++
		c.simulation.recordFlowViolation(r.flow, fmt.Sprintf("request %d ran after it was reported as not run", id))
	}
}

// handleAnswer handles a packet from an endpoint.
func (c *Callers) handleAnswer(p packet) {
	if f := c.flows[p.Key]; f != nil {
		f.handleAnswer(p)
	}
}

// handleReply handles a reply that a host generated.
func (c *Callers) handleReply(key flow.Key, m steer.CoAP, v steer.Verdict) {
	if f := c.flows[key]; f != nil {
		f.handleReply(m, v)
	}
}

// Finish does the checks that are possible only at the end of a run.
func (c *Callers) Finish() {
	for _, r := range c.requests {
		if r.toldNotRun && r.runs > 0 && !c.countedWhenRun(r) {
			c.Result.FalseNotRun++
			c.simulation.recordFlowViolation(r.flow, fmt.Sprintf("request %d ran but was reported as not run", r.id))
		}
	}
}

// countedWhenRun reports whether recordRun may already have counted the false
// refusal: the request ran more than once and some false refusal was counted.
func (c *Callers) countedWhenRun(r *request) bool {
	return r.runs > 0 && c.Result.FalseNotRun > 0 && r.runs > 1
}

// Percentile returns a percentile of the response times, or 0 if there are none;
// p is from 0 to 1.
func (r *Result) Percentile(p float64) time.Duration {
	if len(r.Latencies) == 0 {
		return 0
	}
	s := slices.Clone(r.Latencies)
	slices.Sort(s)
	return s[min(len(s)-1, int(p*float64(len(s))))]
}

// OpenFlows returns the number of established flows.
func (c *Callers) OpenFlows() int {
	n := 0
	for _, f := range c.flows {
		if f.state == flowOpen {
			n++
		}
	}
	return n
}

// flowsInOrder returns the flows in the order of opening.
func (c *Callers) flowsInOrder() []*Flow {
	out := slices.Collect(maps.Values(c.flows))
	slices.SortFunc(out, func(a, b *Flow) int { return cmp.Compare(a.number, b.number) })
	return out
}
