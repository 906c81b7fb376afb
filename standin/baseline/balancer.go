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
	// others over the live endpoints.
	FlowTables Policy = iota
	// Hash forwards every packet by consistent hashing over the live endpoints.
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

// balancer makes one host's forwarding decisions by a policy.
type balancer struct {
	policy      Policy
	world       *lab.World
	host        *lab.Host
	sharedState *sharedState
	flows       map[flow.Key]*flowEntry
	lastSweep   time.Duration
}

// New returns a factory for hosts that follow a policy. It must be used for
// one run only, because its hosts share state.
func New(policy Policy) lab.NewBrain {
	shared := newSharedState()
	return func(w *lab.World, h *lab.Host) lab.Brain {
		shared.setBundle(w.Bundle())
		shared.counts[h.Name] = make(map[steer.EndpointKey]int)
		return &balancer{
			policy:      policy,
			world:       w,
			host:        h,
			sharedState: shared,
			flows:       make(map[flow.Key]*flowEntry),
		}
	}
}

// Packet implements lab.Brain.
func (b *balancer) Packet(now time.Duration, p *steer.Packet) steer.Verdict {
	if p.Direction == steer.FromEndpoint {
		return steer.Verdict{Action: steer.ActionReturn}
	}
	if b.policy == LeastLoad && p.Hop == steer.HopEdge {
		if o := owner(b.world, b.sharedState.fingerprint(p.Key)); o != nil && o != b.host {
			return steer.Verdict{Action: steer.ActionPass, Peer: o.Packets(), Hop: steer.HopPassed}
		}
	}
	e := b.endpoint(now, p)
	if e == nil {
		return steer.Verdict{Action: steer.ActionDrop, Reason: steer.ReasonNoEndpoint}
	}
	return steer.Verdict{Action: steer.ActionForward, Endpoint: e.Config().Address}
}

// endpoint returns the flow's endpoint by the policy.
func (b *balancer) endpoint(now time.Duration, p *steer.Packet) *steer.Endpoint {
	t := b.sharedState.lookup(p.Key)
	if t == nil {
		return nil
	}
	if b.policy == Hash {
		return t.Default(b.sharedState.fingerprint(p.Key))
	}
	if entry := b.flows[p.Key]; entry != nil {
		entry.lastSeen = now
		b.expireClosed(p, entry)
		return entry.endpoint
	}
	e := b.choose(t, p)
	if e != nil {
		b.addFlow(now, p, e)
	}
	return e
}

// choose chooses the endpoint of a flow that is not in the table. A flow that
// began at another host is hashed.
func (b *balancer) choose(t *steer.Table, p *steer.Packet) *steer.Endpoint {
	opensFlow := p.HasCoAP || p.TCP.Flags&steer.TCPSyn != 0
	if b.policy != LeastLoad || !opensFlow {
		return t.Default(b.sharedState.fingerprint(p.Key))
	}
	var best *steer.Endpoint
	fewest := 0
	for _, e := range t.Endpoints {
		n := b.sharedState.flows(b.world, e.Key)
		if best == nil || n < fewest {
			best, fewest = e, n
		}
	}
	return best
}

func (b *balancer) addFlow(now time.Duration, p *steer.Packet, e *steer.Endpoint) {
	b.flows[p.Key] = &flowEntry{endpoint: e, lastSeen: now}
	b.sharedState.counts[b.host.Name][e.Key]++
}

// expireClosed lets the entry of a closing connection expire after sweepPeriod
// instead of flowIdle.
func (b *balancer) expireClosed(p *steer.Packet, entry *flowEntry) {
	if p.TCP.Flags&(steer.TCPFin|steer.TCPReset) != 0 {
		entry.lastSeen -= flowIdle - sweepPeriod
	}
}

// Tick implements lab.Brain.
func (b *balancer) Tick(now time.Duration) []steer.Notice {
	if now-b.lastSweep < sweepPeriod {
		return nil
	}
	b.lastSweep = now
	for key, entry := range b.flows {
		if now-entry.lastSeen >= flowIdle {
			b.sharedState.counts[b.host.Name][entry.endpoint.Key]--
			delete(b.flows, key)
		}
	}
	return nil
}

// Mark implements lab.Operated.
func (b *balancer) Mark(key steer.EndpointKey, draining bool) { b.sharedState.mark(key, draining) }

// Leave implements lab.Operated. The process ends at once, because there is
// nothing to hand over.
func (b *balancer) Leave() { b.world.Kill(b.host) }

// OfferBundle implements lab.Operated.
func (b *balancer) OfferBundle(bundle *config.Bundle) { b.sharedState.setBundle(bundle) }
