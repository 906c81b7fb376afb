package membership

import (
	"net/netip"
	"time"

	"toucangap/internal/config"
	"toucangap/internal/peerpb"
)

// Receive handles a datagram and returns the datagrams to send. Malformed
// messages and those of other groups are ignored.
func (m *Members) Receive(now time.Duration, from netip.AddrPort, p *peerpb.Probe) []Datagram {
	m.advance(now)
	if p.GetFrom() == "" || p.GetFrom() == m.self.host.Name {
		return m.takeSends()
	}
	for _, r := range p.GetRumors() {
		m.mergeUpdate(p.GetFrom(), r)
	}
	sender := m.recordSender(from, p)
	switch p.GetKind() {
	case peerpb.Probe_PING:
		m.answerPing(from, sender, p)
	case peerpb.Probe_ACK:
		m.handleAck(p)
	case peerpb.Probe_REQUEST:
		m.relayPing(from, sender, p)
	case peerpb.Probe_RECEIPT:
		m.handleReceipt(p)
	}
	return m.takeSends()
}

// recordSender merges what the sender reports about itself and counts it as a
// sign of life. It returns nil for an unknown sender, which will be asked to
// describe itself.
func (m *Members) recordSender(from netip.AddrPort, p *peerpb.Probe) *member {
	sender := m.members[p.GetFrom()]
	if sender == nil {
		m.contacts.addUnknownSender(from)
		return nil
	}
	m.mergeUpdate(p.GetFrom(), &peerpb.Rumor{Name: p.GetFrom(), Incarnation: p.GetIncarnation(), State: p.GetState()})
	sender.lastHeard = m.now
	return sender
}

// answerPing acknowledges a ping that is addressed to this host.
func (m *Members) answerPing(from netip.AddrPort, sender *member, p *peerpb.Probe) {
	if p.GetTarget() != "" && p.GetTarget() != m.self.host.Name {
		return
	}
	ack := m.message(peerpb.Probe_ACK, p.GetSequence())
	describeSelf := p.GetIntroduce()
	m.attach(ack, attachment{
		to:              sender,
		describeSelf:    describeSelf,
		correctReceiver: sender != nil && m.misinformed(sender, p),
		sync:            p.GetDigest() != m.digest && (p.GetIntroduce() || m.syncer.due(m.now)),
	})
	m.send(from, ack)
}

// misinformed reports whether the sender has to be told what is known about it.
func (m *Members) misinformed(sender *member, p *peerpb.Probe) bool {
	stale := p.GetIncarnation() < sender.host.Incarnation
	behind := rank(config.HostState(p.GetState())) < rank(sender.host.State)
	return stale || behind || sender.suspect || !alive(sender.host.State)
}

// mergeUpdate merges a gossip update into the view.
func (m *Members) mergeUpdate(sender string, r *peerpb.Rumor) {
	state := config.HostState(r.GetState())
	if !wellFormed(r) {
		return
	}
	if r.GetName() == m.self.host.Name {
		m.refute(sender, r, state)
		return
	}
	mem := m.members[r.GetName()]
	if mem == nil {
		m.addMember(r, state)
		return
	}
	if d := r.GetDescription(); d != nil && d.GetGroup() != m.self.host.Group {
		return
	}
	previous := mem.host
	described := m.mergeDescription(mem, r.GetDescription())
	changed := m.mergeState(mem, r, state)
	if described || changed {
		m.memberChanged(mem, previous, described)
	}
}

// wellFormed reports whether a correct host may have sent the update.
func wellFormed(r *peerpb.Rumor) bool {
	return r.GetName() != "" &&
		rank(config.HostState(r.GetState())) > 0 &&
		r.GetIncarnation() < maxIncarnation &&
		r.GetDescription().GetVersion() <= r.GetIncarnation()
}

// addMember adds a host that was not known. Updates about unknown hosts that
// are dead or left are ignored, so that each host may forget them in its own
// time.
func (m *Members) addMember(r *peerpb.Rumor, state config.HostState) {
	d := r.GetDescription()
	if d == nil || d.GetGroup() != m.self.host.Group || !alive(state) {
		return
	}
	mem := &member{
		host:      config.Host{Name: r.GetName(), Incarnation: r.GetIncarnation(), State: state},
		version:   d.GetVersion(),
		lastHeard: never,
		index:     -1,
	}
	if !applyDescription(&mem.host, d) {
		return
	}
	m.members[mem.host.Name] = mem
	m.addAlive(mem)
	m.memberChanged(mem, config.Host{}, true)
	if r.GetSuspect() {
		m.suspect(mem, false)
	}
}

// mergeDescription reports whether the description was newer and replaced the
// old one.
func (m *Members) mergeDescription(mem *member, d *peerpb.Description) bool {
	host := mem.host
	if d == nil || d.GetVersion() <= mem.version || !applyDescription(&host, d) {
		return false
	}
	m.forgetAddress(mem)
	mem.host = host
	mem.version = d.GetVersion()
	if mem.index >= 0 {
		m.addresses[host.Probe] = mem
	}
	return true
}

// mergeState merges incarnation, state and suspicion; it reports whether the
// incarnation or the state changed. The death of a host that was heard from
// recently counts as a suspicion.
func (m *Members) mergeState(mem *member, r *peerpb.Rumor, state config.HostState) bool {
	newer := r.GetIncarnation() > mem.host.Incarnation
	same := r.GetIncarnation() == mem.host.Incarnation
	if !newer && !same {
		return false
	}
	deadIncarnation := mem.host.Incarnation
	if newer {
		mem.host.Incarnation = r.GetIncarnation()
		m.clearSuspicion(mem)
	}
	suspect := r.GetSuspect()
	if state == config.HostDead && alive(mem.host.State) && m.heardRecently(mem) {
		state, suspect = mem.host.State, true
	}
	changed := newer
	if alive(state) && mem.host.State == config.HostDead {
		m.notifyRevived(mem, deadIncarnation)
	}
	if newer || rank(state) > rank(mem.host.State) {
		changed = changed || state != mem.host.State
		m.setState(mem, state)
	}
	if suspect && alive(mem.host.State) {
		m.suspect(mem, false)
	}
	return changed
}

// notifyRevived tells a host that is alive again at which incarnation it was
// considered dead. The host may not know of it, if it raised its incarnation to
// refute a suspicion that preceded the death.
func (m *Members) notifyRevived(mem *member, incarnation uint64) {
	if !m.extraDatagrams.take(1) {
		return
	}
	p := m.message(peerpb.Probe_RUMORS, 0)
	p.Rumors = []*peerpb.Rumor{{
		Name:        mem.host.Name,
		Incarnation: incarnation,
		State:       peerpb.HostState_HOST_STATE_DEAD,
	}}
	m.send(mem.host.Probe, p)
}

// setState sets the member's state and moves it between Members.alive and the
// tombstones as needed.
func (m *Members) setState(mem *member, state config.HostState) {
	mem.host.State = state
	if alive(state) {
		m.addAlive(mem)
		return
	}
	m.clearSuspicion(mem)
	m.removeAlive(mem)
}

// memberChanged spreads and reports a change of a member.
func (m *Members) memberChanged(mem *member, previous config.Host, described bool) {
	m.updateDigest(mem)
	m.updates.add(mem, described)
	m.emit(HostChanged{Host: mem.host, Previous: previous})
}

// refute raises this host's incarnation if gossip about it contradicts its own
// state: a suspicion, a later state, or a description or incarnation that another
// process of its name had.
func (m *Members) refute(sender string, r *peerpb.Rumor, state config.HostState) {
	self := m.self
	if state == config.HostDead {
		m.reportPresumedDead(sender, r.GetIncarnation())
	}
	if r.GetIncarnation() < self.host.Incarnation || self.host.State == config.HostLeft {
		return
	}
	otherProcess := r.GetIncarnation() > self.host.Incarnation || m.foreignDescription(r.GetDescription())
	ahead := rank(state) > rank(self.host.State)
	if !otherProcess && !ahead && !r.GetSuspect() {
		return
	}
	self.host.Incarnation = r.GetIncarnation() + 1
	if otherProcess {
		self.version = self.host.Incarnation
		m.firstIncarnation = self.host.Incarnation
	}
	m.health.add(scoreSuspected)
	m.emit(Refuted{Incarnation: self.host.Incarnation})
	m.selfChanged(otherProcess)
}

// reportPresumedDead reports a peer that had confirmed this process dead, once
// for each incarnation. It ignores deaths of other processes and unknown peers.
func (m *Members) reportPresumedDead(reporter string, incarnation uint64) {
	reported, ok := m.deathReporters[reporter]
	foreign := incarnation < m.firstIncarnation || incarnation > m.self.host.Incarnation
	if foreign || (ok && incarnation <= reported) || m.members[reporter] == nil {
		return
	}
	m.deathReporters[reporter] = incarnation
	m.emit(PresumedDead{Reporter: reporter, Incarnation: incarnation})
}

// foreignDescription reports whether the description is that of another process
// of this host's name: it is not older than this host's own, but differs.
func (m *Members) foreignDescription(d *peerpb.Description) bool {
	if d == nil || d.GetVersion() < m.self.version {
		return false
	}
	other := m.self.host
	return !applyDescription(&other, d) || !sameDescription(other, m.self.host)
}
