package lab

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"toucangap/internal/config"
	"toucangap/internal/flow"
)

// callersName identifies the callers on the network.
const callersName = "callers"

// NewPolicy returns the Policy of a host that starts.
type NewPolicy func(sim *Simulation, h *Host) Policy

// Config describes a run.
type Config struct {
	Seed   uint64
	Bundle *config.Bundle
	// Domains holds the failure domain of each host; hosts are named h1, h2 and
	// so on.
	Domains []string
	Faults  Faults
	// Policy makes the policy of each host process that starts.
	Policy NewPolicy
}

// Simulation is the state of one simulation run.
type Simulation struct {
	clock                clock
	rng                  *rand.Rand
	network              *network
	bundle               *config.Bundle
	hosts                []*Host
	hostsByPacketAddress map[netip.AddrPort]*Host
	hostsByName          map[string]*Host
	endpoints            map[netip.AddrPort]*Endpoint
	orderedEndpoints     []*Endpoint
	callers              *Callers
	newPolicy            NewPolicy
	// Violations holds the first maxViolations invariant violations, in order.
	Violations     []string
	violationCount int
	loadSampler    *LoadSampler
	// trace holds the hosts' decisions for each flow; nil if disabled.
	trace map[flow.Key][]string
}

// KeepTrace enables tracing of the hosts' decisions.
func (sim *Simulation) KeepTrace() { sim.trace = make(map[flow.Key][]string) }

// traceFlow appends to a flow's trace. It formats nothing if tracing is
// disabled.
func (sim *Simulation) traceFlow(p packet, format string, args ...any) {
	if sim.trace == nil {
		return
	}
	line := fmt.Sprintf("%v ", sim.clock.now) + fmt.Sprintf(format, args...)
	sim.trace[p.Key] = append(sim.trace[p.Key], line)
}

// Trace returns the last lines of a flow's trace.
func (sim *Simulation) Trace(key flow.Key, lines int) []string {
	t := sim.trace[key]
	return t[max(0, len(t)-lines):]
}

// maxViolations bounds the number of violations kept.
const maxViolations = 20

// tickPeriod is the interval of a host's periodic work.
const tickPeriod = 50 * time.Millisecond

// New returns a run whose hosts have started.
func New(c Config) *Simulation {
	sim := &Simulation{
		rng:                  rand.New(rand.NewPCG(c.Seed, 0x746f7563616e)),
		bundle:               c.Bundle,
		hostsByPacketAddress: make(map[netip.AddrPort]*Host),
		hostsByName:          make(map[string]*Host),
		endpoints:            make(map[netip.AddrPort]*Endpoint),
		newPolicy:            c.Policy,
	}
	sim.network = &network{simulation: sim, faults: c.Faults, blocked: make(map[direction]int)}
	sim.callers = newCallers(sim)
	sim.AddEndpoints(c.Bundle)
	for i, domain := range c.Domains {
		sim.addHost(fmt.Sprintf("h%d", i+1), domain)
	}
	sim.loadSampler = newLoadSampler(sim)
	return sim
}

// AddEndpoints starts those endpoints of a bundle that are not running yet.
func (sim *Simulation) AddEndpoints(b *config.Bundle) {
	for i := range b.Services {
		s := &b.Services[i]
		for _, ec := range s.Endpoints {
			if sim.endpoints[ec.Address] == nil {
				e := newEndpoint(sim, s, ec)
				sim.endpoints[ec.Address] = e
				sim.orderedEndpoints = append(sim.orderedEndpoints, e)
			}
		}
	}
}

func (sim *Simulation) addHost(name, domain string) *Host {
	h := &Host{simulation: sim, Name: name, Domain: domain}
	h.packets = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(len(sim.hosts) + 1)}), 7000)
	sim.hosts = append(sim.hosts, h)
	sim.hostsByName[name] = h
	sim.hostsByPacketAddress[h.packets] = h
	sim.Start(h)
	return h
}

// Start starts a host's process with new state and counts.
func (sim *Simulation) Start(h *Host) {
	h.generation++
	h.alive = true
	h.paused = false
	h.queued = nil
	h.Drops = newCounts()
	h.Replies = newCounts()
	h.policy = sim.newPolicy(sim, h)
	sim.tickHost(h, h.generation)
}

// tickHost runs a host's periodic work until its process ends.
func (sim *Simulation) tickHost(h *Host, generation int) {
	sim.clock.after(tickPeriod, func() {
		if !h.alive || h.generation != generation {
			return
		}
		if !h.paused {
			h.notify(h.policy.Tick(sim.clock.now))
		}
		sim.tickHost(h, generation)
	})
}

// Kill ends a host's process immediately. Packets and messages that it has
// queued are lost.
func (sim *Simulation) Kill(h *Host) {
	h.alive = false
	h.generation++
	h.queued = nil
}

// Pause suspends a host's process for a time. It does nothing if the process
// does not run or is already paused.
func (sim *Simulation) Pause(h *Host, d time.Duration) {
	if !h.alive || h.paused {
		return
	}
	h.paused = true
	generation := h.generation
	sim.clock.after(d, func() { h.resume(generation) })
}

// resume continues a paused process, which first handles its queue.
func (h *Host) resume(generation int) {
	if !h.alive || h.generation != generation {
		return
	}
	h.paused = false
	queued := h.queued
	h.queued = nil
	for _, run := range queued {
		h.runOrQueue(generation, run)
	}
}

// Run advances the simulation by d.
func (sim *Simulation) Run(d time.Duration) {
	sim.clock.advance(sim.clock.now + d)
}

// Now returns the virtual time.
func (sim *Simulation) Now() time.Duration { return sim.clock.now }

// Hosts returns the hosts in order.
func (sim *Simulation) Hosts() []*Host { return sim.hosts }

// Endpoints returns the endpoints of a service in order.
func (sim *Simulation) Endpoints(service config.ServiceID) []*Endpoint {
	var out []*Endpoint
	for _, e := range sim.orderedEndpoints {
		if e.service.ID == service {
			out = append(out, e)
		}
	}
	return out
}

// Callers returns the simulated callers.
func (sim *Simulation) Callers() *Callers { return sim.callers }

// recordFlowViolation records a violation with the flow's trace, if enabled.
func (sim *Simulation) recordFlowViolation(key flow.Key, what string) {
	for _, line := range sim.Trace(key, maxTraceLines) {
		what += "\n    " + line
	}
	sim.recordViolation(what)
}

// maxTraceLines bounds the trace lines included in a violation.
const maxTraceLines = 40

// recordViolation records an invariant violation.
func (sim *Simulation) recordViolation(what string) {
	sim.violationCount++
	if len(sim.Violations) < maxViolations {
		sim.Violations = append(sim.Violations, fmt.Sprintf("%v: %s", sim.clock.now, what))
	}
}

// spray sends a packet to a random live host, as per-packet routing does.
// Packets in transit to a host that dies are lost.
func (sim *Simulation) spray(from string, delay time.Duration, p packet) {
	h := sim.randomLiveHost()
	if h == nil {
		return
	}
	sim.network.datagram(from, h.Name, delay, func() {
		h.runOrQueue(h.generation, func() { h.receive(p) })
	})
}

// randomLiveHost picks a random live host, or nil if there is none.
func (sim *Simulation) randomLiveHost() *Host {
	start := sim.rng.IntN(len(sim.hosts))
	for i := range sim.hosts {
		h := sim.hosts[(start+i)%len(sim.hosts)]
		if h.alive {
			return h
		}
	}
	return nil
}

// sendToCaller sends an endpoint's answer from a host to the caller.
func (sim *Simulation) sendToCaller(h *Host, p packet) {
	sim.network.datagram(h.Name, callersName, callerDelay, func() { sim.callers.handleAnswer(p) })
}
