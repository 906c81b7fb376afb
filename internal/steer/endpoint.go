package steer

import (
	"sync/atomic"

	"toucangap/internal/config"
	"toucangap/internal/flow"
)

// Life is the life-cycle state of an endpoint.
type Life int32

// The states of an endpoint.
const (
	// LifeActive takes new flows.
	LifeActive Life = iota
	// LifeDraining keeps its flows and takes no new ones.
	LifeDraining
	// LifeGone left the bundle; its flows are ended.
	LifeGone
)

// String returns the state's name as used in dumps.
func (l Life) String() string {
	switch l {
	case LifeActive:
		return "active"
	case LifeDraining:
		return "draining"
	case LifeGone:
		return "gone"
	}
	return "unknown"
}

// EndpointKey names an endpoint across bundle versions.
type EndpointKey struct {
	Service  config.ServiceID
	Endpoint config.EndpointID
}

// Endpoint is the running state of one endpoint, shared by all shards of a
// host and updated atomically. It outlives bundle versions.
type Endpoint struct {
	Key    EndpointKey
	hash   flow.NodeHash
	config atomic.Pointer[config.Endpoint]
	life   atomic.Int32
	// stateChangedAt is when the state was last changed.
	stateChangedAt atomic.Int64
	// activeSince is when the ramp (slow start) began; negative means no ramp.
	activeSince atomic.Int64
	Load        Load
}

// Load holds an endpoint's open flows and requests, counted here and reported
// by peers, and its health.
type Load struct {
	Flows    atomic.Int32
	Requests atomic.Int32
	// PeerFlows and PeerRequests sum the peers' last reports.
	PeerFlows    atomic.Int32
	PeerRequests atomic.Int32
	// serviceTime is the moving average of request times in nanoseconds.
	serviceTime atomic.Int64
	// lastAnswer is when the endpoint last answered any flow; 0 means never.
	lastAnswer atomic.Int64
	// unansweredSince is when the first packet since the last answer was
	// sent; 0 means that nothing is unanswered.
	unansweredSince atomic.Int64
	// shedUntil is until when the endpoint gets a reduced share, since it
	// answered a request with CoAP 5.03 (Service Unavailable).
	shedUntil atomic.Int64
	// lastProbe is when a dead endpoint was last probed.
	lastProbe atomic.Int64
	// reported is the endpoint's own report of its load in thousandths.
	reported   atomic.Int64
	reportedAt atomic.Int64
	// Silent counts flows that were ended because they went unanswered.
	Silent atomic.Int64
}

// NewEndpoint returns an active endpoint without a ramp.
func NewEndpoint(service config.ServiceID, c config.Endpoint) *Endpoint {
	e := &Endpoint{
		Key:  EndpointKey{Service: service, Endpoint: c.ID},
		hash: flow.HashName(c.Name),
	}
	e.config.Store(&c)
	e.activeSince.Store(-1)
	return e
}

// Config returns the endpoint's configuration under the latest bundle.
func (e *Endpoint) Config() *config.Endpoint {
	return e.config.Load()
}

// SetConfig applies the configuration of a new bundle. The address and the
// name must not change.
func (e *Endpoint) SetConfig(c config.Endpoint) {
	e.config.Store(&c)
}

// Life returns the endpoint's state.
func (e *Endpoint) Life() Life {
	return Life(e.life.Load())
}

// SetLife changes the endpoint's state.
func (e *Endpoint) SetLife(now Time, l Life) {
	if e.life.Swap(int32(l)) != int32(l) {
		e.stateChangedAt.Store(int64(now))
	}
}

// stateKnownBefore reports whether all hosts knew the endpoint's present state
// at a time, which they do drainReplicationTime after it was set.
func (e *Endpoint) stateKnownBefore(t Time) bool {
	since := Time(e.stateChangedAt.Load())
	return since == 0 || since <= t-drainReplicationTime
}

// drained reports whether the endpoint has been draining for long enough that
// all its flows have records.
func (e *Endpoint) drained(now Time) bool {
	return e.Life() == LifeDraining && now-e.stateSince() >= drainReplicationTime
}

// stateSince returns when the endpoint's state last changed.
func (e *Endpoint) stateSince() Time { return Time(e.stateChangedAt.Load()) }

// StartRamp starts the endpoint's ramp (slow start): its share grows from
// rampInitialFactor to the full one within rampTime.
func (e *Endpoint) StartRamp(now Time) {
	e.activeSince.Store(int64(now))
}

// Report stores the endpoint's own report of its load, 1 meaning full.
func (e *Endpoint) Report(now Time, load float64) {
	e.Load.reported.Store(int64(load * 1000))
	e.Load.reportedAt.Store(int64(now))
}

// flows is the number of open flows at all hosts, as far as known.
func (e *Endpoint) flows() int32 {
	return e.Load.Flows.Load() + e.Load.PeerFlows.Load()
}

// requests is the number of open requests at all hosts, as far as known.
func (e *Endpoint) requests() int32 {
	return e.Load.Requests.Load() + e.Load.PeerRequests.Load()
}

// ServiceTime returns the moving average of the endpoint's request times, or 0.
func (e *Endpoint) ServiceTime() Time {
	return Time(e.Load.serviceTime.Load())
}

// noteUnanswered notes that a packet that requires an answer was sent.
func (e *Endpoint) noteUnanswered(now Time) {
	e.Load.unansweredSince.CompareAndSwap(0, int64(now))
}

// noteAnswer notes an answer on any flow.
func (e *Endpoint) noteAnswer(now Time) {
	e.Load.lastAnswer.Store(int64(now))
	e.Load.unansweredSince.Store(0)
}

// addServiceTime adds one request time to the moving average.
func (e *Endpoint) addServiceTime(took Time) {
	old := e.Load.serviceTime.Load()
	if old == 0 {
		e.Load.serviceTime.Store(int64(took))
		return
	}
	next := float64(old) + serviceTimeSmoothing*(float64(took)-float64(old))
	e.Load.serviceTime.Store(int64(next))
}

// dead reports whether packets await answers and the endpoint has answered no
// flow for more than deadAfterUnanswered.
func (e *Endpoint) dead(now Time) bool {
	since := Time(e.Load.unansweredSince.Load())
	return since != 0 && now-since > deadAfterUnanswered
}

// startProbe reports whether a dead endpoint should be probed with one flow, and
// if so starts the interval until the next probe.
func (e *Endpoint) startProbe(now Time) bool {
	last := e.Load.lastProbe.Load()
	if now-Time(last) < probeInterval {
		return false
	}
	return e.Load.lastProbe.CompareAndSwap(last, int64(now))
}

// shedding reports whether the endpoint is shedding load.
func (e *Endpoint) shedding(now Time) bool {
	return now < Time(e.Load.shedUntil.Load())
}

// answersOthers reports whether the endpoint has answered any flow within
// answersOthersWithin.
func (e *Endpoint) answersOthers(now Time) bool {
	last := e.Load.lastAnswer.Load()
	return last != 0 && now-Time(last) <= answersOthersWithin
}

// full reports whether the endpoint has reached its flow limit.
func (e *Endpoint) full() bool {
	return e.Config().MaxFlows > 0 && int(e.flows()) >= e.Config().MaxFlows
}
