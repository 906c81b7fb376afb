package steer

import (
	"toucangap/internal/config"
	"toucangap/internal/flow"
)

// fromCaller decides on a packet towards a service.
func (s *Shard) fromCaller(c *call) Verdict {
	e := s.flows.get(c.fp)
	if !c.mine {
		if v, ok := s.passOn(c, e); ok {
			return v
		}
	}
	if e == nil || c.mine && !e.has(flagOwned) {
		if v, ok := s.askFormer(c, e); ok {
			return v
		}
		var v Verdict
		if e, v = s.takeOver(c, e); e == nil {
			return v
		}
	}
	return s.forward(c, e)
}

// passOn sends a packet of another host's flow there. A packet that has been
// passed on already is decided here if the flow is known here, and passed once
// more if it is not.
func (s *Shard) passOn(c *call, e *entry) (Verdict, bool) {
	switch {
	case c.packet.Hop == HopEdge:
		return pass(c.rank.owner, HopPassed), true
	case c.packet.Hop == HopPassed && e == nil:
		return pass(c.rank.owner, HopFormer), true
	}
	return Verdict{}, false
}

// askFormer sends a packet of an unknown flow to the host that may know it:
// the former owner just after this host has joined, or the successor when this
// host may have lost its flows without noticing. That host decides.
func (s *Shard) askFormer(c *call, e *entry) (Verdict, bool) {
	if e != nil || c.packet.Hop == HopFormer || c.rank.successor == nil {
		return Verdict{}, false
	}
	if !s.mayLack(c) {
		return Verdict{}, false
	}
	return pass(c.rank.successor, HopFormer), true
}

// mayLack reports whether flows of this host may be decided at another one: it
// has just joined, or it may have lost flows without noticing.
func (s *Shard) mayLack(c *call) bool {
	return c.view.justJoined(c.now) || !s.shared.inContact(c.now)
}

// opens reports whether the packet is certain to open a flow.
func opens(p *Packet) bool {
	return p.Key.Protocol == flow.TCP && p.TCP.Flags&(TCPSyn|TCPAck) == TCPSyn
}

// takeOver makes this host the one that decides for a flow: from the record held
// for it, by the former owner's defaults, or as a new flow.
func (s *Shard) takeOver(c *call, e *entry) (*entry, Verdict) {
	if e != nil && !(opens(c.packet) && e.has(flagClosing)) {
		s.own(c.now, e, 0)
		return e, Verdict{}
	}
	if e != nil {
		s.drop(e)
	}
	if s.flows.len() >= s.maxFlows() {
		return nil, s.refuseFlow(c, ReasonFlowLimit)
	}
	o := s.origin(c)
	if endpoint := s.formerDefault(c, o); endpoint != nil {
		return s.adopt(c, endpoint), Verdict{}
	}
	return s.begin(c, o)
}

// origin tells where a flow that is not known here may have begun.
type origin struct {
	// elsewhere tells that another host may have decided on it.
	elsewhere bool
	// lost tells that this host may have gone without handing over what it held.
	lost bool
	// version is by whose defaults that host went.
	version config.Version
}

// origin weighs where an unknown flow may have begun: at a departed owner, or
// at a host that decided for this one while it joined or was out of contact.
func (s *Shard) origin(c *call) origin {
	if d := c.rank.departed; d != nil && c.now-d.At < TakeoverWindow {
		return origin{elsewhere: true, lost: !d.HandedOver, version: d.Baseline}
	}
	contact := s.shared.inContactSince()
	contactLost := contact > c.view.OwnerSince && c.now-contact < TakeoverWindow
	elsewhere := !c.mine || c.now < c.view.DefaultsUntil || contactLost
	return origin{elsewhere: elsewhere, version: c.view.Baseline}
}

// formerDefault returns the endpoint that an unknown flow has by default if it
// may have begun elsewhere or is in its midst, or nil for one that begins now.
func (s *Shard) formerDefault(c *call, o origin) *Endpoint {
	if opens(c.packet) {
		return nil
	}
	if o.elsewhere || c.packet.Key.Protocol == flow.TCP {
		return s.oldDefault(c, o.version)
	}
	return nil
}

// oldDefault returns the default endpoint under a version. All flows of an
// endpoint that drains have records, so that a flow without one is new.
func (s *Shard) oldDefault(c *call, version config.Version) *Endpoint {
	e := c.view.TableAt(version, c.table.Service.ID).Default(c.fp)
	if c.packet.Key.Protocol != flow.TCP && e != nil && e.drained(c.now) {
		return nil
	}
	return e
}

// adopt takes on a flow that started elsewhere.
func (s *Shard) adopt(c *call, endpoint *Endpoint) *entry {
	e := s.flows.insert(c.fp)
	e.endpoint = endpoint
	e.since = c.now
	s.own(c.now, e, 0)
	s.Counts.Adopted++
	s.recordIfNeeded(c, e)
	return e
}

// begin chooses the endpoint of a new flow.
func (s *Shard) begin(c *call, o origin) (*entry, Verdict) {
	doubted := o.lost && s.leftDefault(c, o.version)
	if doubted && !c.mine {
		// The owner would take the record of a flow begun here for certain.
		return nil, drop(ReasonUnconfirmed)
	}
	chosen := s.chooseEndpoint(c)
	if chosen.endpoint == nil {
		return nil, s.refuseFlow(c, ReasonNoEndpoint)
	}
	e := s.flows.insert(c.fp)
	e.endpoint = chosen.endpoint
	e.since = c.now
	s.own(c.now, e, 0)
	if !o.elsewhere {
		e.flags |= flagFresh
	}
	if c.rank.missing <= 1 {
		e.flags |= flagKnown
	}
	s.Counts.FlowsBegun++
	if chosen.contested {
		e.flags |= flagContested
	}
	if doubted {
		e.flags |= flagDoubted
	}
	s.recordIfNeeded(c, e)
	return e, Verdict{}
}

// leftDefault reports whether the flow's default endpoint under a version began
// to drain within the time in which callers repeat a request. A host that has
// gone since may have sent a request there and lost its record of the flow, so
// that the caller's repetition looks like the beginning of a flow.
func (s *Shard) leftDefault(c *call, version config.Version) bool {
	if c.packet.Key.Protocol == flow.TCP {
		return false
	}
	e := c.view.TableAt(version, c.table.Service.ID).Default(c.fp)
	return e != nil && e.drained(c.now) && c.now-e.lifeStart() < drainSettle+RetransmitWindow
}

// recordIfNeeded queues the record of a flow that a host that took over could
// not resolve without it.
func (s *Shard) recordIfNeeded(c *call, e *entry) {
	if !s.needsRecord(c.view, e) {
		return
	}
	s.Counts.Exceptions++
	e.flags |= flagException
	s.announce(c, e)
}

// chooseEndpoint picks the endpoint of a new flow. While owners are missing
// that may decide for the same flow, the choice depends only on what they know
// as well. A flow that begins with a request that must not run twice keeps its
// default endpoint, since its record could not be confirmed in time.
func (s *Shard) chooseEndpoint(c *call) choice {
	if c.view.Split {
		return s.agreedChoice(c)
	}
	queueShort := s.shared.RecordsWaiting.Load() < s.shared.MaxVoluntary.Load()
	voluntary := (c.mine || opens(c.packet)) && queueShort && !runsOnce(c.packet)
	return s.chooser.choose(c.now, c.table, c.fp, voluntary)
}

// agreedChoice picks an endpoint as a missing owner would. Its bundle may be
// older, so that the choice is contested unless the defaults that it would
// apply give the same.
func (s *Shard) agreedChoice(c *call) choice {
	chosen := s.chooser.agreed(c.table, c.fp, c.view.SplitSince)
	former := c.view.TableAt(c.view.Baseline, c.table.Service.ID)
	if former == c.table {
		return chosen
	}
	other := s.chooser.agreed(former, c.fp, c.view.SplitSince)
	chosen.contested = chosen.contested || other.contested || other.endpoint != chosen.endpoint
	return chosen
}

// runsOnce reports whether the packet carries a request that is not
// idempotent.
func runsOnce(p *Packet) bool {
	return p.HasCoAP && p.CoAP.IsRequest() && !p.CoAP.Idempotent()
}

// announce queues the record of a new flow to the hosts that need it.
func (s *Shard) announce(c *call, e *entry) {
	if c.mine {
		s.replicate(c.rank, e)
		return
	}
	s.queueRecord(c.rank.owner.Index, e)
	e.replica = c.rank.owner.Index
}

// own marks an entry as decided here and counts it.
func (s *Shard) own(now Time, e *entry, extra entryFlags) {
	s.wake(now, e)
	if e.has(flagOwned) {
		return
	}
	e.flags |= flagOwned | extra
	s.count(e)
}

// counts reports whether the flow is part of its endpoint's load: it is owned
// here, open and not dormant.
func (e *entry) counts() bool {
	return e.has(flagOwned) && !e.has(flagClosing) && !e.has(flagDormant)
}

// count adds the flow to its endpoint's load if it is part of it.
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

// close notes that the flow has ended by itself.
func (s *Shard) close(e *entry) {
	s.uncount(e)
	e.flags |= flagClosing
}

// refuseFlow answers a packet of a flow that cannot be taken.
func (s *Shard) refuseFlow(c *call, reason Reason) Verdict {
	if c.packet.HasCoAP && c.packet.CoAP.IsRequest() {
		if !s.shared.holdsLease(c.now) || c.packet.Hop == HopFormer || !c.mine {
			return drop(reason)
		}
		return s.refuse(c, reason, minRetryAfter+s.spread(c))
	}
	return endFlow(c.packet, reason)
}

// endFlow ends a flow explicitly towards the caller.
func endFlow(p *Packet, reason Reason) Verdict {
	if p.Key.Protocol == flow.TCP {
		if p.TCP.Flags&TCPReset != 0 {
			return drop(reason)
		}
		return Verdict{Action: ActionReply, Reply: ReplyReset, Reason: reason}
	}
	return Verdict{Action: ActionReply, Reply: ReplyUnreachable, Reason: reason}
}
