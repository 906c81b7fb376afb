package steer

import (
	"toucangap/internal/config"
	"toucangap/internal/flow"
)

// fromCaller decides on a packet from a caller.
func (s *Shard) fromCaller(c *packetContext) Verdict {
	e := s.flows.get(c.fp)
	if !c.isOwner {
		if v, ok := s.passToOwner(c, e); ok {
			return v
		}
	}
	if e == nil || c.isOwner && !e.has(flagOwned) {
		if v, ok := s.passToSuccessor(c, e); ok {
			return v
		}
		var v Verdict
		if e, v = s.resolveFlow(c, e); e == nil {
			return v
		}
	}
	return s.forward(c, e)
}

// passToOwner passes a packet of another host's flow to that host. A packet that
// was passed here is decided here if the flow is known, and passed once more if
// it is not.
func (s *Shard) passToOwner(c *packetContext, e *entry) (Verdict, bool) {
	switch {
	case c.packet.Hop == HopEdge:
		return passPacket(c.rank.owner, HopToOwner), true
	case c.packet.Hop == HopToOwner && e == nil:
		return passPacket(c.rank.owner, HopToFormer), true
	}
	return Verdict{}, false
}

// passToSuccessor passes a packet of an unknown flow to the successor, which
// decides on it: just after this host has joined the successor is the former
// owner, and while this host is out of contact with the majority of the owners
// the successor may have taken the flow over.
func (s *Shard) passToSuccessor(c *packetContext, e *entry) (Verdict, bool) {
	if e != nil || c.packet.Hop == HopToFormer || c.rank.successor == nil {
		return Verdict{}, false
	}
	if !s.mayLackFlows(c) {
		return Verdict{}, false
	}
	return passPacket(c.rank.successor, HopToFormer), true
}

// mayLackFlows reports whether another host may decide for flows of this host:
// this host has joined recently, or is not known to be regarded as an owner by a
// majority of the owners, so that its successors may have taken flows over.
func (s *Shard) mayLackFlows(c *packetContext) bool {
	return c.view.recentlyJoined(c.now) || !s.shared.inContact(c.now)
}

// opensFlow reports whether the packet is a TCP SYN without ACK.
func opensFlow(p *Packet) bool {
	return p.Key.Protocol == flow.TCP && p.TCP.Flags&(TCPSyn|TCPAck) == TCPSyn
}

// resolveFlow makes this host decide for a flow: from the flow's record, at the
// former owner's default endpoint, or as a new flow.
func (s *Shard) resolveFlow(c *packetContext, e *entry) (*entry, Verdict) {
	if e != nil && !(opensFlow(c.packet) && e.has(flagClosing)) {
		s.markOwned(c.now, e, 0)
		return e, Verdict{}
	}
	if e != nil {
		s.removeEntry(e)
	}
	if s.flows.len() >= s.maxFlows() {
		return nil, s.refuseFlow(c, ReasonFlowLimit)
	}
	o := s.origin(c)
	if endpoint := s.formerDefault(c, o); endpoint != nil {
		return s.takeOverAtDefault(c, endpoint), Verdict{}
	}
	return s.beginFlow(c, o)
}

// origin tells where an unknown flow may have begun.
type origin struct {
	// elsewhere reports whether another host may have decided for the flow.
	elsewhere bool
	// recordsMissing reports whether the other host may have left without
	// handing over its records.
	recordsMissing bool
	// version is the bundle version of the other host's defaults.
	version config.Version
}

// origin determines where an unknown flow may have begun: at a departed owner,
// or at a host that decided for this one while it joined or was out of contact.
func (s *Shard) origin(c *packetContext) origin {
	if d := c.rank.departed; d != nil && c.now-d.At < TakeoverWindow {
		return origin{elsewhere: true, recordsMissing: !d.HandedOver, version: d.Baseline}
	}
	contact := s.shared.inContactSince()
	contactLost := contact > c.view.OwnerSince && c.now-contact < TakeoverWindow
	elsewhere := !c.isOwner || c.now < c.view.DefaultsUntil || contactLost
	return origin{elsewhere: elsewhere, version: c.view.Baseline}
}

// formerDefault returns the default endpoint of an unknown flow that may have
// begun elsewhere or is an established TCP flow, or nil for a new one.
func (s *Shard) formerDefault(c *packetContext, o origin) *Endpoint {
	if opensFlow(c.packet) {
		return nil
	}
	if o.elsewhere || c.packet.Key.Protocol == flow.TCP {
		return s.defaultAt(c, o.version)
	}
	return nil
}

// defaultAt returns the default endpoint under a bundle version, or nil if that
// UDP endpoint is drained: its flows all have records, and one without is new.
func (s *Shard) defaultAt(c *packetContext, version config.Version) *Endpoint {
	e := c.view.TableAt(version, c.table.Service.ID).Default(c.fp)
	if c.packet.Key.Protocol != flow.TCP && e != nil && e.drained(c.now) {
		return nil
	}
	return e
}

// takeOverAtDefault takes over a flow that began elsewhere, at its default
// endpoint.
func (s *Shard) takeOverAtDefault(c *packetContext, endpoint *Endpoint) *entry {
	e := s.flows.insert(c.fp)
	e.endpoint = endpoint
	e.since = c.now
	s.markOwned(c.now, e, 0)
	s.Counts.TakenOver++
	s.recordIfNeeded(c, e)
	return e
}

// beginFlow chooses the endpoint of a new flow.
func (s *Shard) beginFlow(c *packetContext, o origin) (*entry, Verdict) {
	possiblyOlder := o.recordsMissing && s.defaultRecentlyDrained(c, o.version)
	if possiblyOlder && !c.isOwner {
		// The owner would treat the record of a flow begun here as certain.
		return nil, dropPacket(ReasonUnconfirmed)
	}
	chosen := s.chooseEndpoint(c)
	if chosen.endpoint == nil {
		return nil, s.refuseFlow(c, ReasonNoEndpoint)
	}
	e := s.flows.insert(c.fp)
	e.endpoint = chosen.endpoint
	e.since = c.now
	s.markOwned(c.now, e, 0)
	if !o.elsewhere {
		e.flags |= flagFresh
	}
	if c.rank.missing <= 1 {
		e.flags |= flagKnown
	}
	s.Counts.FlowsOpened++
	if chosen.contested {
		e.flags |= flagContested
	}
	if possiblyOlder {
		e.flags |= flagPossiblyOlder
	}
	s.recordIfNeeded(c, e)
	return e, Verdict{}
}

// defaultRecentlyDrained reports whether the flow's default endpoint under a
// bundle version was drained within the time in which callers retransmit. A host
// that has left since may have sent a request there and its record of the flow
// may be lost, so that the retransmission looks like the start of a flow.
func (s *Shard) defaultRecentlyDrained(c *packetContext, version config.Version) bool {
	if c.packet.Key.Protocol == flow.TCP {
		return false
	}
	e := c.view.TableAt(version, c.table.Service.ID).Default(c.fp)
	return e != nil && e.drained(c.now) && c.now-e.stateSince() < drainReplicationTime+RetransmitWindow
}

// recordIfNeeded queues the flow's record if a host that takes the flow over
// could not resolve it otherwise.
func (s *Shard) recordIfNeeded(c *packetContext, e *entry) {
	if !s.needsRecord(c.view, e) {
		return
	}
	s.Counts.Exceptions++
	e.flags |= flagException
	s.queueNewFlowRecord(c, e)
}

// chooseEndpoint chooses the endpoint of a new flow. While owners are missing
// that may decide for the same flow, the choice depends only on what they know
// as well. A flow that begins with a non-idempotent request gets its default
// endpoint, since its record could not be confirmed in time.
func (s *Shard) chooseEndpoint(c *packetContext) choice {
	if c.view.Partitioned {
		return s.chooseInPartition(c)
	}
	queueBelowLimit := s.shared.RecordsWaiting.Load() < s.shared.MaxWaitingRecords.Load()
	mayLeaveDefault := (c.isOwner || opensFlow(c.packet)) && queueBelowLimit && !isNonIdempotent(c.packet)
	return s.chooser.choose(c.now, c.table, c.fp, mayLeaveDefault)
}

// chooseInPartition chooses an endpoint as a missing owner would. That owner's
// bundle may be older, so that the choice is contested unless the baseline's table
// gives the same endpoint.
func (s *Shard) chooseInPartition(c *packetContext) choice {
	chosen := s.chooser.chooseByConfiguration(c.table, c.fp, c.view.PartitionedSince)
	former := c.view.TableAt(c.view.Baseline, c.table.Service.ID)
	if former == c.table {
		return chosen
	}
	other := s.chooser.chooseByConfiguration(former, c.fp, c.view.PartitionedSince)
	chosen.contested = chosen.contested || other.contested || other.endpoint != chosen.endpoint
	return chosen
}

// isNonIdempotent reports whether the packet carries a non-idempotent request.
func isNonIdempotent(p *Packet) bool {
	return p.HasCoAP && p.CoAP.IsRequest() && !p.CoAP.Idempotent()
}

// queueNewFlowRecord queues the record of a new flow for the hosts that need it.
func (s *Shard) queueNewFlowRecord(c *packetContext, e *entry) {
	if c.isOwner {
		s.replicate(c.rank, e)
		return
	}
	s.queueRecord(c.rank.owner.Index, e)
	e.replica = c.rank.owner.Index
}

// markOwned marks an entry as owned by this host and counts it.
func (s *Shard) markOwned(now Time, e *entry, extra entryFlags) {
	s.noteActivity(now, e)
	if e.has(flagOwned) {
		return
	}
	e.flags |= flagOwned | extra
	s.count(e)
}

// counts reports whether the flow counts towards its endpoint's load: it is
// owned here, open and not dormant.
func (e *entry) counts() bool {
	return e.has(flagOwned) && !e.has(flagClosing) && !e.has(flagDormant)
}

// count adds the flow to its endpoint's load if it counts.
func (s *Shard) count(e *entry) {
	if e.counts() {
		e.endpoint.Load.Flows.Add(1)
	}
}

// uncount is the reverse of count.
func (s *Shard) uncount(e *entry) {
	if e.counts() {
		e.endpoint.Load.Flows.Add(-1)
	}
}

// close marks the flow as closed and no longer counts it.
func (s *Shard) close(e *entry) {
	s.uncount(e)
	e.flags |= flagClosing
}

// refuseFlow replies to or drops a packet of a flow that cannot be accepted.
func (s *Shard) refuseFlow(c *packetContext, reason Reason) Verdict {
	if c.packet.HasCoAP && c.packet.CoAP.IsRequest() {
		if !s.shared.holdsLease(c.now) || c.packet.Hop == HopToFormer || !c.isOwner {
			return dropPacket(reason)
		}
		return s.refuse(c, reason, minRetryAfter+s.retryJitter(c))
	}
	return replyFlowEnded(c.packet, reason)
}

// replyFlowEnded tells the caller that its flow has ended, by a TCP RST or ICMP.
func replyFlowEnded(p *Packet, reason Reason) Verdict {
	if p.Key.Protocol == flow.TCP {
		if p.TCP.Flags&TCPReset != 0 {
			return dropPacket(reason)
		}
		return Verdict{Action: ActionReply, Reply: ReplyReset, Reason: reason}
	}
	return Verdict{Action: ActionReply, Reply: ReplyUnreachable, Reason: reason}
}
