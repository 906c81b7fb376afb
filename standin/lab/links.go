package lab

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"toucangap/internal/config"
	"toucangap/internal/peerpb"
)

// link is the sending side of a control connection.
type link struct {
	up               bool
	unreachableSince time.Duration
	lastAttempt      time.Duration
	// queue holds messages in transit; they are lost when the link breaks.
	queue []message
}

// message is a control message in transit.
type message struct {
	due        time.Duration
	generation int
	envelope   *peerpb.Envelope
}

// peers returns the hosts to keep links to, sorted by name.
func (c *Core) peers() []config.Host {
	var out []config.Host
	for _, h := range c.members.Hosts() {
		gone := h.State == config.HostDead || h.State == config.HostLeft
		if h.Name != c.host.Name && !gone {
			out = append(out, h)
		}
	}
	slices.SortFunc(out, func(a, b config.Host) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// updateLinks connects to new peers, closes links to removed ones and detects
// broken links.
func (c *Core) updateLinks() {
	wanted := make(map[string]bool)
	for _, p := range c.peers() {
		wanted[p.Name] = true
		if c.links[p.Name] == nil {
			c.links[p.Name] = &link{lastAttempt: -reconnectInterval}
		}
	}
	for _, h := range c.simulation.hosts {
		l := c.links[h.Name]
		if l == nil {
			continue
		}
		if !wanted[h.Name] {
			c.disconnect(h.Name, l)
			delete(c.links, h.Name)
			continue
		}
		c.updateLink(h, l)
	}
}

// updateLink delivers what is due on a working link, breaks a link that was
// unreachable for linkBreakDelay or whose peer has stopped, and reconnects.
func (c *Core) updateLink(h *Host, l *link) {
	now := c.simulation.clock.now
	n := c.simulation.network
	reachable := h.alive && n.open(c.host.Name, h.Name) && n.open(h.Name, c.host.Name)
	switch {
	case l.up && reachable:
		l.unreachableSince = 0
		c.deliverDue(l, h)
	case l.up && l.unreachableSince == 0:
		l.unreachableSince = now
	case l.up && (now-l.unreachableSince >= linkBreakDelay || !h.alive):
		c.disconnect(h.Name, l)
	case !l.up && reachable && !h.paused && now-l.lastAttempt >= reconnectInterval:
		l.lastAttempt = now
		l.up = true
		l.unreachableSince = 0
		c.control.Connected(c.now(), h.Name)
	}
}

func (c *Core) disconnect(name string, l *link) {
	if l.up {
		l.up = false
		l.queue = nil
		c.control.Disconnected(name)
	}
}

// sendControl sends a message on the link to a peer.
func (c *Core) sendControl(name string, m *peerpb.Envelope) {
	l := c.links[name]
	h := c.simulation.hostsByName[name]
	c.countControlBytes(proto.Size(m) + frameOverhead)
	if l == nil || !l.up || h == nil {
		return
	}
	if c.mutation.NoRecords {
		m = c.dropRecords(name, m)
	}
	l.queue = append(l.queue, message{
		due:        c.simulation.clock.now + hostDelay,
		generation: h.generation,
		envelope:   proto.Clone(m).(*peerpb.Envelope),
	})
	c.simulation.clock.after(hostDelay, func() { c.deliverDue(l, h) })
}

// frameOverhead is the size in bytes of a frame without its message.
const frameOverhead = 64

// deliverDue delivers the messages due on a link, in order. A blocked
// direction delays them until it is unblocked or the link breaks.
func (c *Core) deliverDue(l *link, h *Host) {
	for len(l.queue) > 0 && l.queue[0].due <= c.simulation.clock.now {
		if !c.simulation.network.open(c.host.Name, h.Name) {
			return
		}
		m := l.queue[0]
		l.queue = l.queue[1:]
		h.runOrQueue(m.generation, func() {
			if peer, ok := h.policy.(*Core); ok {
				peer.control.Receive(peer.now(), c.host.Name, m.envelope)
			}
		})
	}
}
