package lab

import (
	"net/netip"

	"toucangap/internal/config"
	"toucangap/internal/flow"
	"toucangap/internal/steer"
)

// sentRequest is a forwarded request whose answer AnswersInOrder awaits.
type sentRequest struct {
	key     flow.Key
	message steer.CoAP
}

// mutatePacket applies OneService to a packet.
func (c *Core) mutatePacket(p *steer.Packet) *steer.Packet {
	normal := c.simulation.bundle.Service(ServiceNormal)
	if !c.mutation.OneService || p.Key.Service != normal.Address {
		return p
	}
	q := *p
	q.Key.Service = c.simulation.bundle.Service(ServiceUrgent).Address
	return &q
}

// mutateAnswer applies AnswersInOrder: it returns an answer to the oldest
// unanswered request at its endpoint.
func (c *Core) mutateAnswer(p *steer.Packet, v steer.Verdict) {
	if !c.mutation.AnswersInOrder || !p.HasCoAP {
		return
	}
	if c.sentRequests == nil {
		c.sentRequests = make(map[netip.AddrPort][]sentRequest)
	}
	if v.Action == steer.ActionForward {
		c.sentRequests[v.Endpoint] = append(c.sentRequests[v.Endpoint], sentRequest{p.Key, p.CoAP})
		return
	}
	sent := c.sentRequests[p.Endpoint]
	if v.Action != steer.ActionReturn || len(sent) == 0 {
		return
	}
	c.sentRequests[p.Endpoint] = sent[1:]
	p.Key = sent[0].key
	p.CoAP.Token = sent[0].message.Token
	p.CoAP.MessageID = sent[0].message.MessageID
}

// mutateBundle applies LastBundleWins: it gives an older bundle a new version.
func (c *Core) mutateBundle(b *config.Bundle) *config.Bundle {
	current := c.control.Bundle()
	if !c.mutation.LastBundleWins || current == nil || b.Version > current.Version {
		return b
	}
	renumbered := *b
	renumbered.Version = current.Version + 1
	return &renumbered
}
