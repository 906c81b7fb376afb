package control

import (
	"toucangap/internal/config"
	"toucangap/internal/peerpb"
	"toucangap/internal/steer"
)

// peer is the state kept for another host of the group.
type peer struct {
	host      config.Host
	connected bool
	// departedAt is when the peer stopped being an owner; 0 if it has not.
	departedAt Time
	// confirmedStopped means that a departed peer certainly no longer runs, or no
	// longer acts as an owner.
	confirmedStopped bool
	// wasOwner means that the peer has owned flows.
	wasOwner bool
	// departure describes how the peer last stopped being an owner.
	departure departure
	// version is the bundle version that the peer last offered.
	version config.Version
	// baseline is the version whose default endpoints apply to the peer's flows.
	baseline config.Version

	lease lease

	// sequence numbers the record batches sent; acked is the last one confirmed.
	sequence uint64
	acked    uint64
	unacked  []*peerpb.Records
	// received is the sequence number of the last batch applied from the peer.
	received uint64
	ackDue   bool
	// heldBatches holds batches that wait for a bundle that this host lacks.
	heldBatches []*peerpb.Records
	// readyRecords holds the records that the shards returned and that are not
	// sent yet.
	readyRecords []steer.Record
	// recordsUrgent means that a request waits for one of the ready records.
	recordsUrgent bool

	lastFrame   Time
	lastRecords Time
	lastOffer   Time
	// offered is the version in the last offer to the peer; offerDue means that
	// the next heartbeat repeats the offer.
	offered  config.Version
	offerDue bool
	// loads holds the peer's last load report.
	loads    map[steer.EndpointKey]reportedLoad
	marksDue bool
	// urgent holds the messages that the next flush sends, whatever the budget.
	urgent   []*peerpb.Envelope
	handover handoverState
	// openRequests holds requests to hand over to the peer when this host leaves.
	openRequests []steer.OpenRequest
	// recordsHeld counts all records applied from the peer, also those that have
	// been withdrawn since.
	recordsHeld int
}

// departure is what is kept of a host that has stopped owning flows, even after a
// new process has taken its name.
type departure struct {
	// at is the time of the departure; 0 means never.
	at         Time
	index      steer.HostIndex
	baseline   config.Version
	leaseUntil Time
	handedOver bool
}

// handoverState is the progress of the handovers between this host and a peer.
type handoverState struct {
	// sentEpoch and sentBaseline identify the view of the last handover sent.
	sentEpoch    uint64
	sentBaseline config.Version
	sequence     uint64
	acked        uint64
	// ackDue is the acknowledgement of the peer's last handover, or nil.
	ackDue *peerpb.HandoverAck
	// received and receivedBaseline describe the peer's last handover.
	received         bool
	receivedBaseline config.Version
}

// owns reports whether the peer owns flows.
func (p *peer) owns() bool {
	return p.departedAt == 0 && p.host.State.OwnsFlows()
}

// SetHosts updates the peers from the list of members; this host and hosts of
// other groups are ignored.
func (c *Control) SetHosts(now Time, hosts []config.Host) {
	c.start(now)
	for _, h := range hosts {
		if h.Name != c.self.Name && h.Group == c.self.Group {
			c.setHost(now, h)
		}
	}
}

func (c *Control) setHost(now Time, h config.Host) {
	p := c.peers[h.Name]
	if p == nil {
		p = &peer{loads: make(map[steer.EndpointKey]reportedLoad)}
		c.peers[h.Name] = p
		c.hostIndex(h.Name)
		c.viewChanged = true
		// A host that was already dead when this host learned of it may have
		// been an owner.
		p.wasOwner = h.State == config.HostDead
	}
	if p.host == h {
		return
	}
	if sameRole(p.host, h) {
		p.host = h
		return
	}
	restarted := p.host.Name != "" && isRestart(p.host, h)
	if restarted {
		c.resetPeer(now, p)
	}
	p.host = h
	c.viewChanged = true
	c.onStateChange(now, p)
}

// sameRole reports whether two descriptions differ in nothing but the incarnation.
func sameRole(a, b config.Host) bool {
	a.Incarnation = b.Incarnation
	return a == b
}

// isRestart reports whether a host that was an owner or had departed is joining
// again. This proves that it no longer acts as an owner: either a new process runs,
// or the same one has given up its flows; see PresumedDead.
func isRestart(old, current config.Host) bool {
	return current.State == config.HostJoining && old.State != config.HostJoining
}

// onStateChange updates the peer's role after its state has changed.
func (c *Control) onStateChange(now Time, p *peer) {
	switch p.host.State {
	case config.HostLive, config.HostLeaving:
		c.onReturn(now, p)
		if p.handover.acked > 0 && !p.wasOwner {
			// The peer has just joined with this host's handover, so it regards
			// this host as an owner.
			p.lease.contactUntil = max(p.lease.contactUntil, now+contactDuration)
		}
		p.departedAt = 0
		p.confirmedStopped = false
		p.wasOwner = true
	case config.HostDead:
		c.onDeparture(now, p, false)
	case config.HostLeft:
		c.onDeparture(now, p, true)
	case config.HostJoining:
		p.departedAt = 0
	}
}

// onReturn handles an owner that returns without having joined again, that is,
// after a network partition. Each side may have flows unknown to the other.
func (c *Control) onReturn(now Time, p *peer) {
	if p.departedAt == 0 || !p.wasOwner {
		return
	}
	c.renumber(p)
	if c.self.State.OwnsFlows() {
		c.ownerSince = now
		c.firstOwner = false
	}
	c.defaultsUntil = now + steer.TakeoverWindow
}

// recordDeparture keeps what is needed of a host that stops owning flows.
func (c *Control) recordDeparture(now Time, p *peer) {
	if !p.wasOwner {
		return
	}
	c.unseenFlowsUntil = now + steer.TakeoverWindow
	p.departure = departure{
		at:         max(now, 1),
		index:      c.hostIndex(p.host.Name),
		baseline:   p.baseline,
		leaseUntil: p.lease.grantedUntil,
		handedOver: p.host.State == config.HostLeft,
	}
	if p.departure.handedOver {
		// It stopped refusing requests before it handed over.
		p.departure.leaseUntil = 0
	}
}

// renumber gives a peer a new index, so that no flow counts as replicated at a
// host that has lost its replicas.
func (c *Control) renumber(p *peer) {
	delete(c.hostIndexes, p.host.Name)
	c.hostIndex(p.host.Name)
}

// onDeparture handles a peer that is no longer an owner.
func (c *Control) onDeparture(now Time, p *peer, confirmedStopped bool) {
	if p.departedAt == 0 {
		p.departedAt = max(now, 1)
		c.recordDeparture(now, p)
	}
	p.confirmedStopped = p.confirmedStopped || confirmedStopped
	p.connected = false
	c.dropPending(p)
	clear(p.loads)
	c.sumLoads()
}

// resetPeer discards the state that belonged to a peer before it joined again.
func (c *Control) resetPeer(now Time, p *peer) {
	if p.departedAt == 0 {
		c.recordDeparture(now, p)
	} else if p.wasOwner {
		c.defaultsUntil = now + steer.TakeoverWindow
	}
	c.dropPending(p)
	c.renumber(p)
	clear(p.loads)
	c.sumLoads()
	p.lease = lease{}
	// The sequence numbers sent continue: a host that joins again may be the
	// same process, which would take lower ones for retransmissions.
	p.received = 0
	p.handover = handoverState{}
	p.heldBatches = nil
	p.wasOwner = false
	p.confirmedStopped = true
}

// dropPending discards everything that is queued or unconfirmed for a peer.
func (c *Control) dropPending(p *peer) {
	p.unacked, p.readyRecords, p.urgent = nil, nil, nil
	p.openRequests = nil
	index := c.hostIndex(p.host.Name)
	for i := range c.shards {
		c.shards[i].command.Forget = append(c.shards[i].command.Forget, index)
		delete(c.shards[i].waitingRecords, index)
	}
}

// Connected marks a peer as connected. Unconfirmed batches are sent again.
func (c *Control) Connected(now Time, name string) {
	p := c.peers[name]
	if p == nil || p.departedAt != 0 {
		return
	}
	p.connected = true
	p.offerDue = true
	p.marksDue = len(c.marks.All()) > 0
	p.handover.sentEpoch = 0
	for _, r := range p.unacked {
		p.urgent = append(p.urgent, envelope(r))
	}
}

// Disconnected marks a peer as not connected and drops the messages that wait for
// the next frame to it. Records are kept until the peer confirms them.
func (c *Control) Disconnected(name string) {
	if p := c.peers[name]; p != nil {
		p.connected = false
		p.urgent = nil
	}
}
