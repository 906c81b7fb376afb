package control

import (
	"bytes"
	"maps"
	"slices"

	"toucangap/internal/config"
	"toucangap/internal/peerpb"
	"toucangap/internal/steer"
)

// version returns the bundle version in force; 0 means none.
func (c *Control) version() config.Version {
	if c.bundle.bundle == nil {
		return 0
	}
	return c.bundle.bundle.Version
}

// SetBundle puts a verified bundle in force and reports whether it did. A
// version that is not higher than the one in force is ignored, whatever its
// source. While the peers are confirming a baseline the bundle is rejected, and
// SetBundle has to be called again later.
func (c *Control) SetBundle(now Time, b *config.Bundle, digest, signed []byte) bool {
	if b.Version <= c.version() || c.proposedBaseline != 0 {
		return false
	}
	first := c.bundle.bundle == nil
	c.bundle = bundleState{bundle: b, digest: digest, signed: signed}
	c.history[b.Version] = c.buildTables(now, b, first)
	c.retireRemovedEndpoints(now)
	c.trimHistory()
	c.applyMarks(now)
	c.setLimits(b.Limits)
	if c.baseline == 0 || !c.self.State.OwnsFlows() {
		c.baseline = b.Version
	}
	c.viewChanged = true
	c.applyHeldRecords()
	return true
}

// setLimits applies the bundle's limits to this host.
func (c *Control) setLimits(l config.Limits) {
	limit := l.ControlBytesPerSecond
	if limit <= 0 {
		limit = defaultControlBytes
	}
	c.budget.perSecond = max(limit-probeReserve, limit/2)
	maxWaiting := c.budget.perSecond * maxQueuedSeconds / recordBytes
	c.shared.MaxWaitingRecords.Store(int32(maxWaiting))
}

// buildTables returns the tables of the services that belong to this host's
// group. It creates the state of endpoints that are new.
func (c *Control) buildTables(now Time, b *config.Bundle, first bool) steer.Tables {
	tables := make(steer.Tables)
	for i := range b.Services {
		s := &b.Services[i]
		if s.Group != c.self.Group {
			continue
		}
		var endpoints []*steer.Endpoint
		for _, ec := range s.Endpoints {
			endpoints = append(endpoints, c.endpointState(now, s.ID, ec, first))
		}
		tables[s.ID] = steer.NewTable(s, endpoints)
	}
	return tables
}

// endpointState returns the run-time state of an endpoint. A new endpoint gets a
// ramp (slow start), except those of the host's first bundle.
func (c *Control) endpointState(now Time, service config.ServiceID, ec config.Endpoint, first bool) *steer.Endpoint {
	key := steer.EndpointKey{Service: service, Endpoint: ec.ID}
	if e := c.shared.Endpoint(key); e != nil && e.Config().Address == ec.Address {
		e.SetConfig(ec)
		return e
	}
	e := steer.NewEndpoint(service, ec)
	if !first {
		e.StartRamp(now)
	}
	c.shared.Register(e)
	return e
}

// retireRemovedEndpoints marks endpoints that the bundle no longer contains as
// gone, which ends their flows.
func (c *Control) retireRemovedEndpoints(now Time) {
	for _, e := range c.shared.Endpoints() {
		s := c.bundle.bundle.Service(e.Key.Service)
		if s == nil || s.Endpoint(e.Key.Endpoint) == nil {
			e.SetLife(now, steer.LifeGone)
		}
	}
}

// trimHistory drops the oldest tables beyond maxHistory that no host refers to.
func (c *Control) trimHistory() {
	needed := map[config.Version]bool{c.version(): true, c.baseline: true}
	for _, p := range c.peers {
		needed[p.baseline] = true
		needed[p.departure.baseline] = true
	}
	for _, v := range slices.Sorted(maps.Keys(c.history)) {
		if len(c.history) <= maxHistory {
			return
		}
		if !needed[v] {
			delete(c.history, v)
		}
	}
}

// offer returns the announcement of the bundle in force.
func (c *Control) offer() *peerpb.BundleOffer {
	return &peerpb.BundleOffer{
		Version:      uint64(c.version()),
		Digest:       c.bundle.digest,
		PlatformLost: c.platformLost,
		Baseline:     uint64(c.announcedBaseline()),
	}
}

// announcedBaseline returns the version whose default endpoints the peers have
// to use for this host's flows. A proposed baseline applies as soon as it is
// proposed; 0 means that this host owns no flows.
func (c *Control) announcedBaseline() config.Version {
	if c.proposedBaseline != 0 {
		return c.proposedBaseline
	}
	if !c.self.State.OwnsFlows() {
		return 0
	}
	return c.baseline
}

// SetPlatformLost sets whether this host has lost the platform, so that its
// peers can elect other watchers.
func (c *Control) SetPlatformLost(lost bool) {
	if lost == c.platformLost {
		return
	}
	c.platformLost = lost
	for _, p := range c.peers {
		p.offerDue = true
	}
}

// onOffer stores a peer's bundle version and adds the offer to the output of
// the next tick. The receiver of the output decides where to fetch from.
func (c *Control) onOffer(p *peer, m *peerpb.BundleOffer) {
	if p.version != config.Version(m.Version) {
		p.version = config.Version(m.Version)
		c.viewChanged = c.viewChanged || p.host.State == config.HostJoining
	}
	c.setPeerBaseline(p, config.Version(m.Baseline))
	if p.version == c.version() && !bytes.Equal(m.Digest, c.bundle.digest) {
		c.digestConflicts++
	}
	c.offers = append(c.offers, Offer{p.host.Name, p.host.Domain, m})
}

// setPeerBaseline sets the version whose default endpoints apply to a peer's
// flows. 0 means that it owns none; the baseline of those it owned stays.
func (c *Control) setPeerBaseline(p *peer, v config.Version) {
	if v == 0 || p.baseline == v {
		return
	}
	p.baseline = v
	c.viewChanged = c.viewChanged || p.departedAt != 0
}

// RequestBundle asks a peer for the bundle that it has in force. It returns
// false if the peer is unknown or not connected.
func (c *Control) RequestBundle(name string) bool {
	p := c.peers[name]
	if p == nil || !p.connected {
		return false
	}
	p.urgent = append(p.urgent, envelope(&peerpb.BundleRequest{Have: uint64(c.version())}))
	return true
}

// onBundleRequest sends the signed bundle in force if it is newer than the peer's.
func (c *Control) onBundleRequest(p *peer, m *peerpb.BundleRequest) {
	if config.Version(m.Have) >= c.version() || len(c.bundle.signed) == 0 {
		return
	}
	data := &peerpb.BundleData{Version: uint64(c.version()), Signed: c.bundle.signed}
	p.urgent = append(p.urgent, envelope(data))
}

// advanceBaseline moves the baseline, whose default endpoints the peers apply to
// this host's flows, to the bundle in force. The new baseline is proposed once
// every flow whose default endpoint changes has a confirmed record. Once all
// owners have confirmed it, only exceptions to the new defaults need records.
//
// For a while after this host has taken over flows, it may own flows that it has
// not seen. It cannot send records of these, so the old baseline has to stay.
func (c *Control) advanceBaseline(now Time) {
	if c.bundle.bundle == nil || !c.self.State.OwnsFlows() {
		return
	}
	if c.proposedBaseline != 0 {
		c.confirmBaseline()
		return
	}
	if now < c.unseenFlowsUntil {
		return
	}
	if c.baseline == c.version() || !c.settled() || !c.peersReady() || c.view.Partitioned {
		return
	}
	c.proposedBaseline = c.version()
	for _, p := range c.sortedPeers() {
		if p.owns() {
			m := c.newRecords(p)
			p.unacked = append(p.unacked, m)
			p.urgent = append(p.urgent, envelope(m))
		}
	}
	c.confirmBaseline()
}

// peersReady reports whether every owner has this host's bundle version, or a
// newer one, and all of its records.
func (c *Control) peersReady() bool {
	for _, p := range c.peers {
		if p.owns() && (p.version < c.version() || !c.replicated(p)) {
			return false
		}
	}
	return true
}

// confirmBaseline adopts the proposed baseline once all owners have confirmed it.
func (c *Control) confirmBaseline() {
	for _, p := range c.peers {
		if p.owns() && len(p.unacked) > 0 {
			return
		}
	}
	c.baseline = c.proposedBaseline
	c.proposedBaseline = 0
	c.viewChanged = true
}
