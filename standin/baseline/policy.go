package baseline

import (
	"time"

	"toucangap/internal/config"
	"toucangap/internal/flow"
	"toucangap/internal/steer"
	"toucangap/standin/lab"
)

// Policy is a load balancing policy.
type Policy uint8

// Available policies.
const (
	// FlowTables keeps a table of known flows at each host and hashes the
	// others over the endpoints that accept new flows.
	FlowTables Policy = iota
	// Hash forwards every packet by consistent hashing over the endpoints that
	// accept new flows.
	Hash
	// LeastLoad assigns each flow an owner, which chooses the endpoint with the
	// fewest flows and shares no record of the choice.
	LeastLoad
)

// String returns the policy's name.
func (p Policy) String() string {
	return [...]string{"flow-tables", "hash", "least-load"}[p]
}

// flowIdle is the idle timeout of flow table entries.
const flowIdle = 5 * time.Minute

// sweepPeriod is the interval of removing idle flows.
const sweepPeriod = 10 * time.Second

// flowEntry is a flow table entry.
type flowEntry struct {
	endpoint *steer.Endpoint
	lastSeen time.Duration
}

// hostPolicy applies a Policy at one host.
type hostPolicy struct {
	policy      Policy
	simulation  *lab.Simulation
	host        *lab.Host
	sharedState *sharedState
	flows       map[flow.Key]*flowEntry
	lastSweep   time.Duration
}

// New returns a factory for hosts that follow a policy. It must be used for
// one run only, because its hosts share state.
func New(policy Policy) lab.NewPolicy {
	shared := newSharedState()
	return func(sim *lab.Simulation, h *lab.Host) lab.Policy {
		shared.setBundle(sim.Bundle())
		shared.counts[h.Name] = make(map[steer.EndpointKey]int)
		return &hostPolicy{
			policy:      policy,
			simulation:  sim,
			host:        h,
			sharedState: shared,
			flows:       make(map[flow.Key]*flowEntry),
		}
	}
}

// Packet implements lab.Policy.
func (h *hostPolicy) Packet(now time.Duration, p *steer.Packet) steer.Verdict {
	if p.Direction == steer.FromEndpoint {
		return steer.Verdict{Action: steer.ActionReturn}
	}
	if h.policy == LeastLoad && p.Hop == steer.HopEdge {
		if o := owner(h.simulation, h.sharedState.fingerprint(p.Key)); o != nil && o != h.host {
			return steer.Verdict{Action: steer.ActionPass, Peer: o.Packets(), Hop: steer.HopToOwner}
		}
	}
	e := h.endpoint(now, p)
	if e == nil {
		return steer.Verdict{Action: steer.ActionDrop, Reason: steer.ReasonNoEndpoint}
	}
	return steer.Verdict{Action: steer.ActionForward, Endpoint: e.Config().Address}
}

// endpoint returns the endpoint for a packet, or nil if the service is unknown
// or has no endpoint that accepts new flows.
func (h *hostPolicy) endpoint(now time.Duration, p *steer.Packet) *steer.Endpoint {
	t := h.sharedState.lookup(p.Key)
	if t == nil {
		return nil
	}
	if h.policy == Hash {
		return t.Default(h.sharedState.fingerprint(p.Key))
	}
	if entry := h.flows[p.Key]; entry != nil {
		entry.lastSeen = now
		h.expireClosed(p, entry)
		return entry.endpoint
	}
	e := h.choose(t, p)
	if e != nil {
		h.addFlow(now, p, e)
	}
	return e
}

// choose returns the endpoint of a flow that is not in the table: for a new flow
// with LeastLoad the one with the fewest flows; otherwise, as for a flow that
// began at another host, the one that the flow hashes to.
func (h *hostPolicy) choose(t *steer.Table, p *steer.Packet) *steer.Endpoint {
	opensFlow := p.HasCoAP || p.TCP.Flags&steer.TCPSyn != 0
	if h.policy != LeastLoad || !opensFlow {
		return t.Default(h.sharedState.fingerprint(p.Key))
	}
	var best *steer.Endpoint
	fewest := 0
	for _, e := range t.Endpoints {
		n := h.sharedState.flows(h.simulation, e.Key)
		if best == nil || n < fewest {
			best, fewest = e, n
		}
	}
	return best
}

func (h *hostPolicy) addFlow(now time.Duration, p *steer.Packet, e *steer.Endpoint) {
	h.flows[p.Key] = &flowEntry{endpoint: e, lastSeen: now}
	h.sharedState.counts[h.host.Name][e.Key]++
}

// expireClosed lets the entry of a closing connection expire after sweepPeriod
// instead of flowIdle.
func (h *hostPolicy) expireClosed(p *steer.Packet, entry *flowEntry) {
	if p.TCP.Flags&(steer.TCPFin|steer.TCPReset) != 0 {
		entry.lastSeen -= flowIdle - sweepPeriod
	}
}

// Tick implements lab.Policy.
func (h *hostPolicy) Tick(now time.Duration) []steer.Notice {
	if now-h.lastSweep < sweepPeriod {
		return nil
	}
	h.lastSweep = now
	for key, entry := range h.flows {
		if now-entry.lastSeen >= flowIdle {
			h.sharedState.counts[h.host.Name][entry.endpoint.Key]--
			delete(h.flows, key)
		}
	}
	return nil
}

// Mark implements lab.Operable.
func (h *hostPolicy) Mark(key steer.EndpointKey, draining bool) { h.sharedState.mark(key, draining) }

// Leave implements lab.Operable. The process ends at once, because there is
// nothing to hand over.
func (h *hostPolicy) Leave() { h.simulation.Kill(h.host) }

// OfferBundle implements lab.Operable.
func (h *hostPolicy) OfferBundle(bundle *config.Bundle) { h.sharedState.setBundle(bundle) }
