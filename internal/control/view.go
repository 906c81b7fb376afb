package control

import (
	"maps"

	"toucangap/internal/config"
	"toucangap/internal/flow"
	"toucangap/internal/steer"
)

// publish adds a new view to the shards' commands if anything in it has changed.
func (c *Control) publish(now Time) {
	if !c.viewChanged {
		return
	}
	c.viewChanged = false
	c.epoch++
	c.view = c.buildView(now)
	for i := range c.shards {
		c.shards[i].command.View = c.view
		c.shards[i].settled = false
	}
}

func (c *Control) buildView(now Time) *steer.View {
	v := &steer.View{
		Epoch:      c.epoch,
		Bundle:     c.bundle.bundle,
		Current:    c.history[c.version()],
		History:    maps.Clone(c.history),
		Baseline:   c.baseline,
		Self:       c.steerHost(c.self),
		OwnerSince: c.ownerSince,
		FirstOwner: c.firstOwner,

		DefaultsUntil: c.defaultsUntil,
	}
	v.Leaving = c.leave.phase >= leaveHandover
	if c.self.State.OwnsFlows() && !v.Leaving {
		v.Owners = append(v.Owners, v.Self)
	}
	for _, p := range c.sortedPeers() {
		if p.owns() {
			v.Owners = append(v.Owners, c.steerHost(p.host))
		}
		if missing(p) {
			markPartitioned(v, p)
		}
		if p.departure.at != 0 && (missing(p) || now-p.departure.at < departedRetention) {
			v.Departed = append(v.Departed, departed(p))
		}
	}
	if p := c.nextJoining(); p != nil {
		v.Joining = append(v.Joining, c.steerHost(p.host))
	}
	v.Index()
	return v
}

// markPartitioned marks the view as one side of a possible network partition, in
// which a peer is missing.
func markPartitioned(v *steer.View, p *peer) {
	if !v.Partitioned || p.departedAt < v.PartitionedSince {
		v.PartitionedSince = p.departedAt
	}
	v.Partitioned = true
}

// missing reports whether a peer is a departed owner that may still run.
func missing(p *peer) bool {
	return p.departedAt != 0 && p.wasOwner && !p.confirmedStopped
}

func departed(p *peer) steer.Departed {
	return steer.Departed{
		Host: steer.Host{
			Index: p.departure.index,
			Name:  p.host.Name,
			Hash:  flow.HashName(p.host.Name),
		},
		At:               p.departure.at,
		Baseline:         p.departure.baseline,
		LeaseUntil:       p.departure.leaseUntil,
		HandedOver:       p.departure.handedOver,
		ConfirmedStopped: !missing(p),
	}
}

// nextJoining returns the peer whose turn it is to join: the first by name among
// the joining ones with this host's bundle version. Hosts join one at a time, so
// that one extra replica of each record is enough.
func (c *Control) nextJoining() *peer {
	for _, p := range c.sortedPeers() {
		joining := p.host.State == config.HostJoining && p.departedAt == 0
		if joining && p.version == c.version() && c.version() != 0 {
			return p
		}
	}
	return nil
}
