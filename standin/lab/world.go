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

// NewBrain returns the Brain of a host that starts.
type NewBrain func(w *World, h *Host) Brain

// Config describes a run.
type Config struct {
	Seed   uint64
	Bundle *config.Bundle
	// Domains holds the failure domain of each host; hosts are named h1, h2 and
	// so on.
	Domains []string
	Faults  Faults
	Brain   NewBrain
}

// World is the state of one simulation run.
type World struct {
	clock                clock
	rng                  *rand.Rand
	network              *network
	bundle               *config.Bundle
	hosts                []*Host
	hostsByPacketAddress map[netip.AddrPort]*Host
	hostsByName          map[string]*Host
	endpoints            map[netip.AddrPort]*Endpoint
	orderedEndpoints     []*Endpoint
	load                 *Load
	newBrain             NewBrain
	// Violations holds the first maxViolations invariant violations, in order.
	Violations     []string
	violationCount int
	gauge          *Gauge
	// trace holds the hosts' decisions for each flow; nil if disabled.
	trace map[flow.Key][]string
}

// KeepTrace enables tracing of the hosts' decisions.
func (w *World) KeepTrace() { w.trace = make(map[flow.Key][]string) }

// traceFlow appends to a flow's trace. It formats nothing if tracing is
// disabled.
func (w *World) traceFlow(p packet, format string, args ...any) {
	if w.trace == nil {
		return
	}
	line := fmt.Sprintf("%v ", w.clock.now) + fmt.Sprintf(format, args...)
	w.trace[p.Key] = append(w.trace[p.Key], line)
}

// Trace returns the last lines of a flow's trace.
func (w *World) Trace(key flow.Key, lines int) []string {
	t := w.trace[key]
	return t[max(0, len(t)-lines):]
}

// maxViolations bounds the number of violations kept.
const maxViolations = 20

// tickPeriod is the interval of a host's periodic work.
const tickPeriod = 50 * time.Millisecond

// New returns a run whose hosts have started.
func New(c Config) *World {
	w := &World{
		rng:                  rand.New(rand.NewPCG(c.Seed, 0x746f7563616e)),
		bundle:               c.Bundle,
		hostsByPacketAddress: make(map[netip.AddrPort]*Host),
		hostsByName:          make(map[string]*Host),
		endpoints:            make(map[netip.AddrPort]*Endpoint),
		newBrain:             c.Brain,
	}
	w.network = &network{world: w, faults: c.Faults, blocked: make(map[direction]int)}
	w.load = newLoad(w)
	w.AddEndpoints(c.Bundle)
	for i, domain := range c.Domains {
		w.addHost(fmt.Sprintf("h%d", i+1), domain)
	}
	w.gauge = newGauge(w)
	return w
}

// AddEndpoints starts those endpoints of a bundle that are not running yet.
func (w *World) AddEndpoints(b *config.Bundle) {
	for i := range b.Services {
		s := &b.Services[i]
		for _, ec := range s.Endpoints {
			if w.endpoints[ec.Address] == nil {
				e := newEndpoint(w, s, ec)
				w.endpoints[ec.Address] = e
				w.orderedEndpoints = append(w.orderedEndpoints, e)
			}
		}
	}
}

func (w *World) addHost(name, domain string) *Host {
	h := &Host{world: w, Name: name, Domain: domain}
	h.packets = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(len(w.hosts) + 1)}), 7000)
	w.hosts = append(w.hosts, h)
	w.hostsByName[name] = h
	w.hostsByPacketAddress[h.packets] = h
	w.Start(h)
	return h
}

// Start starts a host's process.
func (w *World) Start(h *Host) {
	h.generation++
	h.alive = true
	h.paused = false
	h.queued = nil
	h.Drops = newCounts()
	h.Replies = newCounts()
	h.brain = w.newBrain(w, h)
	w.tickHost(h, h.generation)
}

// tickHost runs a host's periodic work until its process ends.
func (w *World) tickHost(h *Host, generation int) {
	w.clock.after(tickPeriod, func() {
		if !h.alive || h.generation != generation {
			return
		}
		if !h.paused {
			h.notify(h.brain.Tick(w.clock.now))
		}
		w.tickHost(h, generation)
	})
}

// Kill ends a host's process immediately.
func (w *World) Kill(h *Host) {
	h.alive = false
	h.generation++
	h.queued = nil
}

// Pause suspends a host's process for a time.
func (w *World) Pause(h *Host, d time.Duration) {
	if !h.alive || h.paused {
		return
	}
	h.paused = true
	generation := h.generation
	w.clock.after(d, func() { h.resume(generation) })
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
func (w *World) Run(d time.Duration) {
	w.clock.advance(w.clock.now + d)
}

// Now returns the virtual time.
func (w *World) Now() time.Duration { return w.clock.now }

// Hosts returns the hosts in order.
func (w *World) Hosts() []*Host { return w.hosts }

// Endpoints returns the endpoints of a service in order.
func (w *World) Endpoints(service config.ServiceID) []*Endpoint {
	var out []*Endpoint
	for _, e := range w.orderedEndpoints {
		if e.service.ID == service {
			out = append(out, e)
		}
	}
	return out
}

// Load returns the simulated callers.
func (w *World) Load() *Load { return w.load }

// recordFlowViolation records a violation with the flow's trace, if enabled.
func (w *World) recordFlowViolation(key flow.Key, what string) {
	for _, line := range w.Trace(key, maxTraceLines) {
		what += "\n    " + line
	}
	w.recordViolation(what)
}

// maxTraceLines bounds the trace lines included in a violation.
const maxTraceLines = 40

// recordViolation records an invariant violation.
func (w *World) recordViolation(what string) {
	w.violationCount++
	if len(w.Violations) < maxViolations {
		w.Violations = append(w.Violations, fmt.Sprintf("%v: %s", w.clock.now, what))
	}
}

// spray sends a packet to a random live host, as per-packet routing does.
// Packets in transit to a host that dies are lost.
func (w *World) spray(from string, delay time.Duration, p packet) {
	h := w.randomLiveHost()
	if h == nil {
		return
	}
	w.network.datagram(from, h.Name, delay, func() {
		h.runOrQueue(h.generation, func() { h.receive(p) })
	})
}

// randomLiveHost picks a random live host, or nil if there is none.
func (w *World) randomLiveHost() *Host {
	start := w.rng.IntN(len(w.hosts))
	for i := range w.hosts {
		h := w.hosts[(start+i)%len(w.hosts)]
		if h.alive {
			return h
		}
	}
	return nil
}

// sendToCaller sends an endpoint's answer from a host to the caller.
func (w *World) sendToCaller(h *Host, p packet) {
	w.network.datagram(h.Name, callersName, callerDelay, func() { w.load.handleAnswer(p) })
}
