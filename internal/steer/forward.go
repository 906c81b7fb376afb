package steer

import "toucangap/internal/flow"

// forward decides on a packet of a flow that this host decides for.
func (s *Shard) forward(c *packetContext, e *entry) Verdict {
	if c.now-e.lastSeen > unansweredMemory {
		e.unanswered = 0
	}
	s.noteActivity(c.now, e)
	if e.ended == ReasonNone {
		s.checkEnd(c, e)
	}
	if c.packet.HasCoAP && c.packet.CoAP.IsRequest() {
		return s.handleRequest(c, e)
	}
	if e.ended != ReasonNone {
		return replyFlowEnded(c.packet, e.ended)
	}
	s.noteSent(c, e)
	return Verdict{Action: ActionForward, Endpoint: e.endpoint.Config().Address}
}

// checkEnd ends a flow whose endpoint is gone or no longer answers it.
func (s *Shard) checkEnd(c *packetContext, e *entry) {
	switch {
	case e.endpoint.Life() == LifeGone:
		s.markEnded(c.now, e, ReasonEndpointGone)
	case c.isOwner && s.endpointDead(c, e):
		s.markEnded(c.now, e, ReasonEndpointGone)
	case c.isOwner && s.flowSilent(c, e):
		e.endpoint.Load.Silent.Add(1)
		s.markEnded(c.now, e, ReasonSilent)
	}
}

// flowSilent reports whether the flow goes unanswered while its endpoint answers
// others.
func (s *Shard) flowSilent(c *packetContext, e *entry) bool {
	if e.unanswered < silentMinPackets || c.now-e.unansweredSince < silentTimeout {
		return false
	}
	return e.endpoint.answersOthers(c.now)
}

// endpointDead reports whether the endpoint has answered no flow for so long
// that the flow's caller should reconnect.
func (s *Shard) endpointDead(c *packetContext, e *entry) bool {
	if e.unanswered < silentMinPackets || c.now-e.unansweredSince < deadFlowTimeout {
		return false
	}
	return e.endpoint.dead(c.now)
}

// markEnded marks a flow as ended by this host; the entry is kept for the
// retransmission window, so that no retransmission reaches another endpoint.
func (s *Shard) markEnded(now Time, e *entry, reason Reason) {
	s.close(e)
	e.ended = reason
	e.endedAt = now
}

// noteSent tracks the packets that need an answer, and the end of a TCP flow.
func (s *Shard) noteSent(c *packetContext, e *entry) {
	p := c.packet
	if p.Key.Protocol == flow.TCP {
		s.noteTCP(p, e, flagFinCaller)
	}
	if !wantsAnswer(p) {
		return
	}
	if e.unanswered == 0 {
		e.unansweredSince = c.now
	}
	if e.unanswered < 255 {
		e.unanswered++
	}
	e.endpoint.noteUnanswered(c.now)
}

// wantsAnswer reports whether the endpoint must answer a packet.
func wantsAnswer(p *Packet) bool {
	if p.Key.Protocol == flow.TCP {
		return p.TCP.Payload > 0 || p.TCP.Flags&(TCPSyn|TCPFin) != 0
	}
	return p.HasCoAP && p.CoAP.IsRequest()
}

// noteTCP tracks the end of a TCP flow by its FIN and RST flags.
func (s *Shard) noteTCP(p *Packet, e *entry, fin entryFlags) {
	if e.has(flagClosing) {
		return
	}
	if p.TCP.Flags&TCPFin != 0 {
		e.flags |= fin
	}
	if p.TCP.Flags&TCPReset != 0 || e.has(flagFinCaller) && e.has(flagFinEndpoint) {
		s.close(e)
	}
}
