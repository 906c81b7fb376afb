package lab

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"toucangap/internal/config"
	"toucangap/internal/control"
	"toucangap/internal/flow"
	"toucangap/internal/membership"
	"toucangap/internal/peerpb"
	"toucangap/internal/rollout"
	"toucangap/internal/steer"
)

// udpOverhead is the size in bytes of a probe's IPv4 and UDP headers.
const udpOverhead = 28

// Mutation disables or falsifies parts of the protocol, as in mutation testing:
// the proof tests must detect each of them.
type Mutation struct {
	// NoRecords drops the contents of all records; receivers still confirm them.
	NoRecords bool
	// AlwaysRefuse permits every host to refuse requests at any time.
	AlwaysRefuse bool
	// NoDrain ignores operators' drain marks.
	NoDrain bool
	// AbruptStop kills a host at a graceful shutdown, without handing over.
	AbruptStop bool
	// OneService treats packets of the normal service as addressed to the
	// urgent one.
	OneService bool
	// AnswersInOrder matches an endpoint's answers to its requests in the
	// order of sending.
	AnswersInOrder bool
	// LastBundleWins activates every offered bundle, even an older one.
	LastBundleWins bool
}

// Core is the Policy that runs the product's decision code. One Core serves one
// process of a host.
type Core struct {
	simulation *Simulation
	host       *Host
	generation int
	mutation   Mutation
	shared     *steer.Shared
	shards     []*steer.Shard
	control    *control.Control
	members    *membership.Members
	view       *steer.View
	start      time.Duration
	links      map[string]*link
	// sentRequests is used by AnswersInOrder only.
	sentRequests map[netip.AddrPort][]sentRequest
	// pendingBundles are offered in order, each until it is active.
	pendingBundles []*config.Bundle
	// BundleAt is the virtual time at which each bundle version became active here.
	BundleAt map[config.Version]time.Duration
	// ControlBytesPerSecond holds the control bytes sent, by the second of the run.
	ControlBytesPerSecond map[int]int
	// closed is set once a graceful shutdown has ended the process.
	closed bool
}

// coreShards is the number of shards of each host.
const coreShards = 2

// flowLimit caps the number of flows of one shard.
const flowLimit = 1_000_000

// NewCore returns a factory for hosts that run the product's decision code.
func NewCore(mutation Mutation) NewPolicy {
	return func(sim *Simulation, h *Host) Policy { return newCore(sim, h, mutation) }
}

func newCore(sim *Simulation, h *Host, mutation Mutation) *Core {
	c := &Core{
		simulation:            sim,
		host:                  h,
		generation:            h.generation,
		mutation:              mutation,
		shared:                steer.NewShared(),
		start:                 sim.clock.now,
		links:                 make(map[string]*link),
		BundleAt:              make(map[config.Version]time.Duration),
		ControlBytesPerSecond: make(map[int]int),
		view:                  &steer.View{},
	}
	for range coreShards {
		c.shards = append(c.shards, steer.NewShard(c.shared, coreShards, flowLimit))
	}
	self := c.describe()
	c.control = control.New(self, control.Options{Shards: coreShards, Shared: c.shared})
	rng := rand.New(rand.NewPCG(sim.rng.Uint64(), 1))
	c.members = membership.New(self, membership.Options{Seeds: c.seeds()}, rng)
	c.OfferBundle(sim.bundle)
	return c
}

// describe returns the host's description for its peers.
func (c *Core) describe() config.Host {
	return config.Host{
		Name:        c.host.Name,
		Domain:      c.host.Domain,
		Group:       labGroup,
		Packets:     c.host.packets,
		Control:     netip.AddrPortFrom(c.host.packets.Addr(), 7001),
		Probe:       probeAddress(c.host),
		Incarnation: uint64(c.simulation.clock.now/time.Second) + 1,
		State:       config.HostJoining,
	}
}

// labGroup is the group of all hosts and services in the lab.
const labGroup = "lab"

func probeAddress(h *Host) netip.AddrPort {
	return netip.AddrPortFrom(h.packets.Addr(), 7002)
}

// seeds returns the probe addresses of the existing other hosts.
func (c *Core) seeds() []netip.AddrPort {
	var out []netip.AddrPort
	for _, h := range c.simulation.hosts {
		if h != c.host {
			out = append(out, probeAddress(h))
		}
	}
	return out
}

// now returns the host's monotonic clock, which starts with its process.
func (c *Core) now() time.Duration {
	return c.simulation.clock.now - c.start
}

// Packet implements Policy.
func (c *Core) Packet(_ time.Duration, p *steer.Packet) steer.Verdict {
	q := c.mutatePacket(p)
	shard := steer.ShardOf(c.view.Fingerprint(q.Key), coreShards)
	v := c.shards[shard].Packet(c.now(), q)
	c.mutateAnswer(p, v)
	return v
}

// Tick implements Policy.
func (c *Core) Tick(time.Duration) []steer.Notice {
	now := c.now()
	c.sendProbes(c.members.Tick(now))
	c.applyMembershipEvents()
	c.updateLinks()
	c.offerPendingBundles()
	c.control.SetIncarnation(c.members.Self().Incarnation)
	out := c.control.Tick(now)
	if c.members.Self().State != out.State {
		c.members.SetSelfState(out.State)
	}
	for _, s := range out.Sends {
		c.sendControl(s.Host, s.Message)
	}
	if c.mutation.AlwaysRefuse {
		c.shared.SetRefuseUntil(0, 0)
		c.shared.SetRefuseUntil(0, 1<<62)
	}
	notices := c.execute(out.Commands)
	if out.ShutdownComplete && !c.closed {
		c.closed = true
		c.simulation.Kill(c.host)
	}
	return notices
}

// execute runs the shards' commands and reports the results to the control.
func (c *Core) execute(commands []steer.Command) []steer.Notice {
	var notices []steer.Notice
	for i := range commands {
		if commands[i].View != nil {
			c.view = commands[i].View
		}
		r := c.shards[i].Execute(c.now(), &commands[i])
		notices = append(notices, r.Notices...)
		c.control.Report(c.now(), i, r)
	}
	return notices
}

// applyMembershipEvents passes the changes that membership found to the control.
func (c *Core) applyMembershipEvents() {
	changed := false
	for _, e := range c.members.Events() {
		switch e.(type) {
		case membership.HostChanged:
			changed = true
		case membership.Paused:
			c.control.Paused()
		case membership.PresumedDead:
			c.control.PresumedDead(c.now())
		}
	}
	if changed {
		c.control.SetHosts(c.now(), c.members.Hosts())
	}
}

// countControlBytes adds to the control bytes sent in the current second.
func (c *Core) countControlBytes(bytes int) {
	c.ControlBytesPerSecond[int(c.simulation.clock.now/time.Second)] += bytes
}

// sendProbes sends membership datagrams.
func (c *Core) sendProbes(sends []membership.Datagram) {
	for _, s := range sends {
		c.countControlBytes(proto.Size(s.Probe) + udpOverhead)
		c.sendProbe(s)
	}
}

func (c *Core) sendProbe(s membership.Datagram) {
	to := c.simulation.hostByProbeAddress(s.To)
	if to == nil {
		return
	}
	from := probeAddress(c.host)
	probe := proto.Clone(s.Probe).(*peerpb.Probe)
	c.simulation.network.datagram(c.host.Name, to.Name, hostDelay, func() {
		to.runOrQueue(to.generation, func() {
			if peer, ok := to.policy.(*Core); ok {
				peer.sendProbes(peer.members.Receive(peer.now(), from, probe))
			}
		})
	})
}

// hostByProbeAddress returns the host with a probe address, or nil.
func (sim *Simulation) hostByProbeAddress(a netip.AddrPort) *Host {
	for _, h := range sim.hosts {
		if probeAddress(h) == a {
			return h
		}
	}
	return nil
}

// dropRecords empties a message's records; the receiver still confirms them.
func (c *Core) dropRecords(name string, m *peerpb.Envelope) *peerpb.Envelope {
	switch b := m.Body.(type) {
	case *peerpb.Envelope_Records:
		b.Records.Services = nil
	case *peerpb.Envelope_Batch:
		for _, item := range b.Batch.Items {
			c.dropRecords(name, item)
		}
	}
	return m
}

// OfferBundle queues a bundle until the host accepts it.
func (c *Core) OfferBundle(b *config.Bundle) {
	c.pendingBundles = append(c.pendingBundles, c.mutateBundle(b))
}

// offerPendingBundles offers the pending bundles in order. One that is not
// active yet is offered again at the next tick.
func (c *Core) offerPendingBundles() {
	for len(c.pendingBundles) > 0 {
		b := c.pendingBundles[0]
		digest := []byte{byte(b.Version)}
		if c.control.SetBundle(c.now(), b, digest, nil) {
			c.BundleAt[b.Version] = c.simulation.clock.now
		}
		if current := c.control.Bundle(); current == nil || current.Version < b.Version {
			return
		}
		c.pendingBundles = c.pendingBundles[1:]
	}
}

// Mark drains or undrains an endpoint through this host.
func (c *Core) Mark(key steer.EndpointKey, draining bool) {
	if c.mutation.NoDrain {
		return
	}
	c.control.SetMark(c.now(), rollout.Mark{
		MarkKey:  rollout.MarkKey{Service: key.Service, Endpoint: key.Endpoint},
		Draining: draining,
		Revision: c.control.Mark(key).Revision + 1,
	})
}

// Leave begins a graceful shutdown.
func (c *Core) Leave() {
	if c.mutation.AbruptStop {
		c.simulation.Kill(c.host)
		return
	}
	c.control.Leave(c.now())
}

// State returns the host's own state.
func (c *Core) State() config.HostState { return c.control.State() }

// Owner returns the name of a flow's owner in this host's view.
func (c *Core) Owner(fp flow.Fingerprint) string {
	owner, _ := c.view.Rank(fp)
	return owner
}

// Totals returns the sums of the shards' counts.
func (c *Core) Totals() steer.Counts {
	var t steer.Counts
	for _, s := range c.shards {
		t.FlowsOpened += s.Counts.FlowsOpened
		t.Exceptions += s.Counts.Exceptions
		t.TakenOver += s.Counts.TakenOver
		t.Refused += s.Counts.Refused
		t.Admitted += s.Counts.Admitted
		t.RecordsMoved += s.Counts.RecordsMoved
		t.RecordsUnknown += s.Counts.RecordsUnknown
	}
	return t
}

// Core returns the host's core, or nil if it runs another Policy.
func (h *Host) Core() *Core {
	c, _ := h.policy.(*Core)
	return c
}

func newCounts() map[steer.Reason]int { return make(map[steer.Reason]int) }
