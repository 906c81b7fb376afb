package steer

import "toucangap/internal/flow"

// fromEndpoint decides on a packet from an endpoint.
func (s *Shard) fromEndpoint(c *packetContext) Verdict {
	if c.packet.Hop == HopEdge && !c.view.isEndpoint(c.table.Service.ID, c.packet.Endpoint) {
		return dropPacket(ReasonWrongEndpoint)
	}
	if !c.isOwner && c.packet.Hop == HopEdge {
		return passPacket(c.rank.owner, HopToOwner)
	}
	e := s.flows.get(c.fp)
	if e == nil || !e.has(flagOwned) {
		return s.handleUnknownFlowAnswer(c)
	}
	if c.packet.Endpoint.IsValid() && c.packet.Endpoint != e.endpoint.Config().Address {
		return dropPacket(ReasonWrongEndpoint)
	}
	return s.handleAnswer(c, e)
}

// handleUnknownFlowAnswer decides on an answer of a flow that this host does not
// decide for: just after a change of owner the other host may know the flow.
func (s *Shard) handleUnknownFlowAnswer(c *packetContext) Verdict {
	if c.packet.Hop != HopToFormer && !c.isOwner {
		return passPacket(c.rank.owner, HopToFormer)
	}
	if c.packet.Hop != HopToFormer && c.isOwner && s.mayLackFlows(c) && c.rank.successor != nil {
		return passPacket(c.rank.successor, HopToFormer)
	}
	return Verdict{Action: ActionReturn}
}

// handleAnswer decides on an answer of a flow that this host decides for.
func (s *Shard) handleAnswer(c *packetContext, e *entry) Verdict {
	s.noteActivity(c.now, e)
	e.unanswered = 0
	e.endpoint.noteAnswer(c.now)
	if e.ended != ReasonNone {
		return dropPacket(ReasonLateAnswer)
	}
	if c.packet.Key.Protocol == flow.TCP {
		s.noteTCP(c.packet, e, flagFinEndpoint)
	}
	if c.packet.HasCoAP && c.packet.CoAP.IsResponse() {
		return s.handleCoAPAnswer(c, e)
	}
	return Verdict{Action: ActionReturn}
}
