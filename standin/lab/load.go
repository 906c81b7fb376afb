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
	// Life is the mean lifetime of a flow.
	Life time.Duration
	// Interval is the mean time between the requests or segments of a flow.
	Interval time.Duration
	// Deadline is the deadline that requests carry; 0 means none.
	Deadline time.Duration
	// Posts is the fraction of requests that are not idempotent.
	Posts float64
	// Until is the virtual time at which every flow ends; 0 means that
	// lifetimes are random.
	Until time.Duration
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
	Shed           int
	OutcomeUnknown int
	Unanswered     int
	RunTwice       int
	FalseNotRun    int
	Mixed          int
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

// Load simulates the callers.
type Load struct {
	world          *World
	flows          map[flow.Key]*Flow
	requests       []*request
	lastFlowNumber uint32
	stopped        bool
	tally          *Tally
	Result         Result
	// BrokenAt holds the times at which BrokenFlows broke.
	BrokenAt    []time.Duration
	BrokenFlows []flow.Key
}

func newLoad(w *World) *Load {
	return &Load{world: w, flows: make(map[flow.Key]*Flow), tally: newTally(w)}
}

// Start starts a stream of flows.
func (l *Load) Start(s Stream) {
	l.scheduleOpen(s)
}

// Prefill opens count flows evenly over a period, so that a stream starts at
// its steady-state number of flows.
func (l *Load) Prefill(s Stream, count int, over time.Duration) {
	for i := range count {
		l.world.clock.after(over*time.Duration(i)/time.Duration(count), func() { l.open(s) })
	}
}

// Stop stops the opening of flows.
func (l *Load) Stop() { l.stopped = true }

func (l *Load) scheduleOpen(s Stream) {
	if s.PerSecond <= 0 {
		return
	}
	gap := l.exponential(time.Duration(float64(time.Second) / s.PerSecond))
	l.world.clock.after(gap, func() {
		if l.stopped {
			return
		}
		l.open(s)
		l.scheduleOpen(s)
	})
}

// exponential returns an exponentially distributed duration.
func (l *Load) exponential(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * -math.Log(1-l.world.rng.Float64()))
}

// open starts a flow.
func (l *Load) open(s Stream) {
	service := l.world.bundle.Service(s.Service)
	f := &Flow{load: l, stream: s, service: service, key: l.newKey(service), number: l.lastFlowNumber}
	f.endAt = l.endTime(s)
	l.flows[f.key] = f
	f.start()
}

// endTime returns the time at which a flow that opens now ends.
func (l *Load) endTime(s Stream) time.Duration {
	if s.Until > 0 {
		return s.Until
	}
	return l.world.clock.now + l.exponential(s.Life)
}

// newKey returns a flow key with an unused caller address and port.
func (l *Load) newKey(s *config.Service) flow.Key {
	l.lastFlowNumber++
	var a [4]byte
	binary.BigEndian.PutUint32(a[:], 0x0a800000+l.lastFlowNumber/50000)
	caller := netip.AddrPortFrom(netip.AddrFrom4(a), uint16(10000+l.lastFlowNumber%50000))
	return flow.Key{Protocol: s.Protocol, Caller: caller, Service: s.Address}
}

// recordRun records that an endpoint runs a request.
func (l *Load) recordRun(id int) {
	r := l.requests[id-1]
	r.runs++
	if r.runs > 1 && !r.idempotent {
		l.Result.RunTwice++
		l.world.recordFlowViolation(r.flow, fmt.Sprintf("request %d ran twice", id))
	}
	if r.toldNotRun {
		l.Result.FalseNotRun++
		l.world.recordFlowViolation(r.flow, fmt.Sprintf("request %d ran after it was reported as not run", id))
	}
}

// handleAnswer handles a packet from an endpoint.
func (l *Load) handleAnswer(p packet) {
	if f := l.flows[p.Key]; f != nil {
		f.handleAnswer(p)
	}
}

// handleReply handles a reply that a host generated.
func (l *Load) handleReply(key flow.Key, m steer.CoAP, v steer.Verdict) {
	if f := l.flows[key]; f != nil {
		f.handleReply(m, v)
	}
}

// Finish does the checks that are possible only at the end of a run.
func (l *Load) Finish() {
	for _, r := range l.requests {
		if r.toldNotRun && r.runs > 0 && !l.countedWhenRun(r) {
			l.Result.FalseNotRun++
			l.world.recordFlowViolation(r.flow, fmt.Sprintf("request %d ran but was reported as not run", r.id))
		}
	}
}

// countedWhenRun reports whether a false refusal was counted when the request
// ran.
func (l *Load) countedWhenRun(r *request) bool {
	return r.runs > 0 && l.Result.FalseNotRun > 0 && r.runs > 1
}

// Percentile returns a percentile of the response times; p is from 0 to 1.
func (r *Result) Percentile(p float64) time.Duration {
	if len(r.Latencies) == 0 {
		return 0
	}
	s := slices.Clone(r.Latencies)
	slices.Sort(s)
	return s[min(len(s)-1, int(p*float64(len(s))))]
}

// OpenFlows returns the number of established flows.
func (l *Load) OpenFlows() int {
	n := 0
	for _, f := range l.flows {
		if f.state == flowOpen {
			n++
		}
	}
	return n
}

// flowsInOrder returns the flows in the order of opening.
func (l *Load) flowsInOrder() []*Flow {
	out := slices.Collect(maps.Values(l.flows))
	slices.SortFunc(out, func(a, b *Flow) int { return cmp.Compare(a.number, b.number) })
	return out
}
