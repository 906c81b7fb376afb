package lab

import (
	"fmt"
	"net/netip"
	"time"

	"toucangap/internal/steer"
)

// Policy makes one host's forwarding decisions: the product's core or a
// baseline.
type Policy interface {
	// Packet decides on a packet.
	Packet(now time.Duration, p *steer.Packet) steer.Verdict
	// Tick does periodic work and returns the final answers that are due.
	Tick(now time.Duration) []steer.Notice
}

// Host is a simulated host.
type Host struct {
	simulation *Simulation
	Name       string
	Domain     string
	packets    netip.AddrPort
	policy     Policy
	// generation increases with each start and kill, so that datagrams and
	// timers of an earlier process are dropped.
	generation int
	alive      bool
	// A paused host queues what arrives until it resumes.
	paused bool
	queued []func()
	// Drops counts packets dropped by reason.
	Drops map[steer.Reason]int
	// Replies counts generated replies by reason.
	Replies map[steer.Reason]int
	// Passed counts packets passed to another host.
	Passed int
}

// maxQueuedDatagrams bounds the datagrams queued for a paused host.
const maxQueuedDatagrams = 2000

// runOrQueue runs a callback at the host: after the pause if it is paused, not
// at all if the process of that generation has ended.
func (h *Host) runOrQueue(generation int, run func()) {
	if !h.alive || generation != h.generation {
		return
	}
	if !h.paused {
		run()
		return
	}
	if len(h.queued) < maxQueuedDatagrams {
		h.queued = append(h.queued, run)
	}
}

// receive decides on a packet and applies the verdict.
func (h *Host) receive(p packet) {
	v := h.policy.Packet(h.simulation.clock.now, &p.Packet)
	if h.simulation.trace != nil {
		h.simulation.traceFlow(p, "%s %s", h.Name, formatDecision(p, v))
	}
	switch v.Action {
	case steer.ActionDrop:
		h.Drops[v.Reason]++
	case steer.ActionForward:
		h.forward(p, v.Endpoint)
	case steer.ActionReturn:
		h.simulation.sendToCaller(h, p)
	case steer.ActionPass:
		h.pass(p, v)
	case steer.ActionReply:
		h.Replies[v.Reason]++
		h.reply(p, v)
	}
}

func (h *Host) forward(p packet, to netip.AddrPort) {
	e := h.simulation.endpoints[to]
	if e == nil {
		h.simulation.recordViolation("forwarded to an unknown endpoint " + to.String())
		return
	}
	h.simulation.network.datagram(h.Name, e.config.Name, hostDelay, func() { e.receive(p) })
}

func (h *Host) pass(p packet, v steer.Verdict) {
	to := h.simulation.hostsByPacketAddress[v.Peer]
	if to == nil {
		return
	}
	h.Passed++
	p.Hop = v.Hop
	h.simulation.network.datagram(h.Name, to.Name, hostDelay, func() {
		to.runOrQueue(to.generation, func() { to.receive(p) })
	})
}

// reply sends a generated reply to the caller.
func (h *Host) reply(p packet, v steer.Verdict) {
	h.simulation.network.datagram(h.Name, callersName, callerDelay, func() {
		h.simulation.callers.handleReply(p.Key, p.CoAP, v)
	})
}

// notify sends final answers to their callers.
func (h *Host) notify(notices []steer.Notice) {
	for _, n := range notices {
		h.Replies[n.Reason]++
		v := steer.Verdict{Action: steer.ActionReply, Reply: n.Reply, Reason: n.Reason}
		h.reply(packet{Packet: steer.Packet{Key: n.Flow, HasCoAP: true, CoAP: n.Message}}, v)
	}
}

// formatDecision formats a packet and its verdict for a trace.
func formatDecision(p packet, v steer.Verdict) string {
	s := fmt.Sprintf("dir=%d hop=%d", p.Direction, p.Hop)
	if p.HasCoAP {
		s += fmt.Sprintf(" request=%d code=%d", p.body.request, p.CoAP.Code)
	} else {
		s += fmt.Sprintf(" flags=%d", p.TCP.Flags)
	}
	switch v.Action {
	case steer.ActionDrop:
		return s + " drop " + v.Reason.String()
	case steer.ActionForward:
		return s + " forward " + v.Endpoint.String()
	case steer.ActionReturn:
		return s + " return"
	case steer.ActionPass:
		return fmt.Sprintf("%s pass %v hop=%d", s, v.Peer, v.Hop)
	case steer.ActionReply:
		return fmt.Sprintf("%s reply %d %v", s, v.Reply, v.Reason)
	}
	return s
}
