package baseline

import (
	"time"

	"toucangap/internal/config"
	"toucangap/internal/flow"
	"toucangap/internal/steer"
	"toucangap/standin/lab"
)

// Policy is one way to steer flows.
type Policy uint8

// The policies.
const (
	// FlowTables lets each host remember the flows that it has seen and hash
	// the others over the live endpoints.
	FlowTables Policy = iota
	// Hash sends every packet by consistent hashing over the live endpoints.
	Hash
	// LeastLoad gives each flow an owning host, which picks the endpoint with
	// the fewest flows and shares no record of it.
	LeastLoad
)

// String returns the policy's name.
func (p Policy) String() string {
	return [...]string{"flow-tables", "hash", "least-load"}[p]
}

// flowIdle is how long a flow is remembered without packets.
const flowIdle = 5 * time.Minute

// sweepPeriod is how often idle flows are looked for.
const sweepPeriod = 10 * time.Second

// entry is a remembered flow.
type entry struct {
	endpoint *steer.Endpoint
	lastSeen time.Duration
}

// brain decides for one host by a policy.
type brain struct {
	policy    Policy
	world     *lab.World
	host      *lab.Host
	agreed    *agreed
	flows     map[flow.Key]*entry
	lastSweep time.Duration
}

// New returns a maker of hosts that follow a policy. It serves one run.
func New(policy Policy) lab.NewBrain {
	shared := newAgreed()
	return func(w *lab.World, h *lab.Host) lab.Brain {
		shared.offer(w.Bundle())
		shared.counts[h.Name] = make(map[steer.EndpointKey]int)
		return &brain{
			policy: policy,
			world:  w,
			host:   h,
			agreed: shared,
			flows:  make(map[flow.Key]*entry),
		}
	}
}

// Packet implements lab.Brain.
func (b *brain) Packet(now time.Duration, p *steer.Packet) steer.Verdict {
	if p.Direction == steer.FromEndpoint {
		return steer.Verdict{Action: steer.ActionReturn}
	}
	if b.policy == LeastLoad && p.Hop == steer.HopEdge {
		if o := owner(b.world, b.agreed.fingerprint(p.Key)); o != nil && o != b.host {
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
func (b *brain) endpoint(now time.Duration, p *steer.Packet) *steer.Endpoint {
	t := b.agreed.lookup(p.Key)
	if t == nil {
		return nil
	}
	if b.policy == Hash {
		return t.Default(b.agreed.fingerprint(p.Key))
	}
	if known := b.flows[p.Key]; known != nil {
		known.lastSeen = now
		b.forgetClosed(p, known)
		return known.endpoint
	}
	e := b.pick(t, p)
	if e != nil {
		b.remember(now, p, e)
	}
	return e
}

// pick chooses the endpoint of a flow that is not remembered. One that has
// begun elsewhere gets the endpoint that hashing gives it.
func (b *brain) pick(t *steer.Table, p *steer.Packet) *steer.Endpoint {
	begins := p.HasCoAP || p.TCP.Flags&steer.TCPSyn != 0
	if b.policy != LeastLoad || !begins {
		return t.Default(b.agreed.fingerprint(p.Key))
	}
	var best *steer.Endpoint
	fewest := 0
	for _, e := range t.Endpoints {
		n := b.agreed.flows(b.world, e.Key)
		if best == nil || n < fewest {
			best, fewest = e, n
		}
	}
	return best
}

func (b *brain) remember(now time.Duration, p *steer.Packet, e *steer.Endpoint) {
	b.flows[p.Key] = &entry{endpoint: e, lastSeen: now}
	b.agreed.counts[b.host.Name][e.Key]++
}

// forgetClosed lets a connection that ends go out of the counts.
func (b *brain) forgetClosed(p *steer.Packet, known *entry) {
	if p.TCP.Flags&(steer.TCPFin|steer.TCPReset) != 0 {
		known.lastSeen -= flowIdle - sweepPeriod
	}
}

// Tick implements lab.Brain.
func (b *brain) Tick(now time.Duration) []steer.Notice {
	if now-b.lastSweep < sweepPeriod {
		return nil
	}
	b.lastSweep = now
	for key, known := range b.flows {
		if now-known.lastSeen >= flowIdle {
			b.agreed.counts[b.host.Name][known.endpoint.Key]--
			delete(b.flows, key)
		}
	}
	return nil
}

// Mark implements lab.Operated.
func (b *brain) Mark(key steer.EndpointKey, draining bool) { b.agreed.mark(key, draining) }

// Leave implements lab.Operated: the process ends, there is nothing to hand
// over.
func (b *brain) Leave() { b.world.Kill(b.host) }

// OfferBundle implements lab.Operated.
func (b *brain) OfferBundle(bundle *config.Bundle) { b.agreed.offer(bundle) }
