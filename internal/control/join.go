package control

import (
	"toucangap/internal/config"
	"toucangap/internal/peerpb"
	"toucangap/internal/steer"
)

// advanceJoin sends the handover to a joining peer. If this host is joining
// itself, advanceJoin makes it an owner once all owners have handed over its share
// of the flows, or if it is the first owner.
func (c *Control) advanceJoin(now Time) {
	c.sendHandover(now)
	if c.self.State != config.HostJoining || c.version() == 0 {
		return
	}
	if c.mayBecomeFirstOwner(now) {
		c.firstOwner = true
		c.becomeOwner(now)
		return
	}
	if c.handoversReceived(now) {
		c.becomeOwner(now)
	}
}

// becomeOwner makes this host live.
func (c *Control) becomeOwner(now Time) {
	c.self.State = config.HostLive
	c.ownerSince = now
	if !c.firstOwner {
		c.defaultsUntil = now + steer.TakeoverWindow
		c.unseenFlowsUntil = now + steer.TakeoverWindow
	}
	c.baseline = c.version()
	c.viewChanged = true
	for _, p := range c.peers {
		p.offerDue = true
	}
}

// mayBecomeFirstOwner reports whether there is no owner to take over flows from
// and this host is the first by name among the connected joining hosts.
func (c *Control) mayBecomeFirstOwner(now Time) bool {
	if now-c.started < peerDiscoveryTime {
		return false
	}
	for _, p := range c.peers {
		if p.owns() {
			return false
		}
		joining := p.departedAt == 0 && p.host.State == config.HostJoining
		if joining && p.host.Name < c.self.Name && p.connected {
			return false
		}
	}
	return true
}

// handoversReceived reports whether every owner has handed over this host's share
// of the flows under the bundle in force and no departed owner can still hold a
// lease.
func (c *Control) handoversReceived(now Time) bool {
	owners := 0
	for _, p := range c.peers {
		if p.departedAt != 0 && p.wasOwner && !p.confirmedStopped && now-p.departedAt < leaseDuration {
			return false
		}
		if !p.owns() {
			continue
		}
		owners++
		if !p.handover.received || p.handover.receivedBaseline != c.version() {
			return false
		}
	}
	return owners > 0
}

// sendHandover sends the handover to the peer whose turn it is to join, once that
// peer has every record of its share of this host's flows.
func (c *Control) sendHandover(now Time) {
	p := c.nextJoining()
	if p == nil || !c.self.State.OwnsFlows() || !p.connected || c.leave.phase != leaveNone {
		return
	}
	if c.baseline != c.version() || c.proposedBaseline != 0 || !c.settled() || !c.replicated(p) {
		return
	}
	if c.view == nil || !isNextToJoin(c.view, p.host.Name) {
		return
	}
	if p.handover.sentBaseline == c.baseline && p.handover.sentEpoch != 0 {
		return
	}
	c.startHandover(p, false, nil)
}

func isNextToJoin(v *steer.View, name string) bool {
	return len(v.Joining) > 0 && v.Joining[0].Name == name
}

// startHandover sends a handover message to a peer.
func (c *Control) startHandover(p *peer, leaving bool, requests []*peerpb.OpenRequest) {
	p.handover.sequence++
	p.handover.sentEpoch = c.epoch
	p.handover.sentBaseline = c.baseline
	p.urgent = append(p.urgent, envelope(&peerpb.Handover{
		Sequence:    p.handover.sequence,
		Incarnation: c.self.Incarnation,
		Baseline:    uint64(c.baseline),
		Leaving:     leaving,
		Requests:    requests,
		Missing:     c.missingHosts(),
	}))
}

// onHandover processes a peer's handover and prepares its acknowledgement.
func (c *Control) onHandover(now Time, p *peer, m *peerpb.Handover) {
	p.handover.received = true
	p.handover.receivedBaseline = config.Version(m.Baseline)
	c.setPeerBaseline(p, config.Version(m.Baseline))
	for _, h := range m.Missing {
		c.addMissingHost(now, h)
	}
	for _, r := range m.Requests {
		if o, ok := c.openRequest(r); ok {
			s := &c.shards[steer.ShardOf(o.Fingerprint, len(c.shards))]
			s.command.TakeOver = append(s.command.TakeOver, o)
		}
	}
	p.handover.ackDue = &peerpb.HandoverAck{Sequence: m.Sequence, Incarnation: m.Incarnation}
}

// missingHosts returns the departed owners that are not confirmed stopped.
func (c *Control) missingHosts() []*peerpb.MissingHost {
	var out []*peerpb.MissingHost
	for _, p := range c.sortedPeers() {
		if missing(p) {
			out = append(out, &peerpb.MissingHost{Name: p.host.Name, Baseline: uint64(p.departure.baseline)})
		}
	}
	return out
}

// addMissingHost adds a missing host that only the handing-over peer knows. The
// missing host may still run and decide for the same flows.
func (c *Control) addMissingHost(now Time, m *peerpb.MissingHost) {
	if m.Name == c.self.Name || c.peers[m.Name] != nil {
		return
	}
	c.setHost(now, config.Host{Name: m.Name, Group: c.self.Group, State: config.HostDead})
	c.peers[m.Name].departure.baseline = config.Version(m.Baseline)
}

// confirmHandovers acknowledges handovers. That of a leaving peer is acknowledged
// only once no record depends on the peer's replica any more.
func (c *Control) confirmHandovers() {
	for _, p := range c.sortedPeers() {
		if p.handover.ackDue == nil {
			continue
		}
		if p.host.State == config.HostLeaving && !c.safeToHandOver() {
			continue
		}
		p.urgent = append(p.urgent, envelope(p.handover.ackDue))
		p.handover.ackDue = nil
	}
}

// onHandoverAck processes a peer's acknowledgement.
func (p *peer) onHandoverAck(m *peerpb.HandoverAck) {
	p.handover.acked = max(p.handover.acked, m.Sequence)
}

// PresumedDead must be called when peers have confirmed this host dead while it
// ran, so that others may own its flows. After a network partition the hosts that
// are in contact with the majority of the owners go on as before; of two equal
// sides, the one that has the first owner by name. Hosts of the other side join
// again.
func (c *Control) PresumedDead(now Time) {
	if !c.self.State.OwnsFlows() || c.inMajority(now) {
		return
	}
	c.self.State = config.HostJoining
	c.firstOwner = false
	c.viewChanged = true
	for _, p := range c.peers {
		p.handover.received = false
	}
	c.updateLeases(now)
}

// inMajority reports whether this host is in contact with the majority of the
// owners, itself included, or with half of them and among these the first by name.
// Departed owners count unless they are confirmed stopped.
func (c *Control) inMajority(now Time) bool {
	total, reachable := 1, 1
	first, firstReachable := c.self.Name, true
	for _, p := range c.sortedPeers() {
		if !p.wasOwner || p.confirmedStopped {
			continue
		}
		total++
		inContact := p.owns() && now < p.lease.contactUntil+heartbeatPeriod
		if inContact {
			reachable++
		}
		if p.host.Name < first {
			first, firstReachable = p.host.Name, inContact
		}
	}
	return 2*reachable > total || 2*reachable == total && firstReachable
}
