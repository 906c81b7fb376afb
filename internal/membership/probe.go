package membership

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"toucangap/internal/peerpb"
)

// prober holds the round of hosts to ping and the pings in progress.
type prober struct {
	next     time.Duration
	sequence uint32
	// round holds the hosts that are still to be pinged in this round.
	round   []*member
	pending []*ping
	// late holds failed pings whose late acks still give a round trip sample.
	late []*ping
}

// ping is a probe in progress.
type ping struct {
	sequence uint32
	target   *member
	sent     time.Duration
	// stalled is how long this process stalled since the ping was sent.
	stalled time.Duration
	// indirect is set if other hosts are to be asked to ping when no ack
	// arrives.
	indirect bool
	// requested is set once the ack timeout has passed; if indirect is set,
	// other hosts were asked to ping then.
	requested bool
	// receipts counts the receipts from the hosts that were asked.
	receipts int
}

// insert puts a new host at a random place of the current round.
func (p *prober) insert(mem *member, rng *rand.Rand) {
	i := rng.IntN(len(p.round) + 1)
	p.round = slices.Insert(p.round, i, mem)
}

func (p *prober) nextSequence() uint32 {
	p.sequence++
	return p.sequence
}

// takePing removes the ping with the sequence number and target from the list
// and returns it, or nil if there is none.
func takePing(list *[]*ping, sequence uint32, target string) *ping {
	i := slices.IndexFunc(*list, func(q *ping) bool {
		return q.sequence == sequence && q.target.host.Name == target
	})
	if i < 0 {
		return nil
	}
	found := (*list)[i]
	*list = slices.Delete(*list, i, i+1)
	return found
}

// keepLate remembers failed pings and forgets the oldest ones.
func (p *prober) keepLate(failed []*ping, now time.Duration) {
	p.late = append(p.late, failed...)
	p.late = slices.DeleteFunc(p.late, func(q *ping) bool { return now-q.sent > maxRoundTrip })
	if extra := len(p.late) - maxLatePings; extra > 0 {
		p.late = slices.Delete(p.late, 0, extra)
	}
}

// nextTarget returns the next host of the round, or nil if this host is alone.
func (m *Members) nextTarget() *member {
	for range 2 {
		for len(m.prober.round) > 0 {
			mem := m.prober.round[0]
			m.prober.round = m.prober.round[1:]
			if mem.index >= 0 {
				return mem
			}
		}
		m.prober.round = slices.Clone(m.alive)
		m.rng.Shuffle(len(m.prober.round), func(i, j int) {
			m.prober.round[i], m.prober.round[j] = m.prober.round[j], m.prober.round[i]
		})
	}
	return nil
}

// probeNext pings the next host once a period, and also the hosts whose
// suspicion came from this host's own probes.
func (m *Members) probeNext() {
	if m.now < m.prober.next {
		return
	}
	m.prober.next = max(m.prober.next+m.options.Period, m.now)
	target := m.nextTarget()
	if target != nil {
		m.ping(target, true)
	}
	pinged := 0
	for _, mem := range m.suspects {
		if mem.locallySuspected && mem != target && pinged < maxSuspectPings && m.extraDatagrams.take(1) {
			m.ping(mem, false)
			pinged++
		}
	}
}

// ping probes a host that participates in the group. Only a probe with indirect
// set involves other hosts and counts against this host's health if it fails.
func (m *Members) ping(target *member, indirect bool) {
	p := &ping{sequence: m.prober.nextSequence(), target: target, sent: m.now, indirect: indirect}
	m.prober.pending = append(m.prober.pending, p)
	message := m.message(peerpb.Probe_PING, p.sequence)
	message.Target = target.host.Name
	m.attach(message, attachment{to: target, correctReceiver: target.suspect})
	m.send(target.host.Probe, message)
}

// expireProbes requests indirect probes for pings without a timely ack, and
// suspects hosts for which the indirect probes fail too.
func (m *Members) expireProbes() {
	var failed []*ping
	m.prober.pending = slices.DeleteFunc(m.prober.pending, func(p *ping) bool {
		age := m.now - p.sent - p.stalled
		ackTimeout := m.ackTimeout(p.target)
		if age >= ackTimeout && !p.requested {
			m.requestIndirect(p)
		}
		if age < ackTimeout+m.indirectTimeout(p.target) {
			return false
		}
		failed = append(failed, p)
		return true
	})
	m.prober.keepLate(failed, m.now)
	for _, p := range failed {
		m.probeFailed(p)
	}
}

// ackTimeout returns how long to wait for the target's ack: longer for a host
// whose acks are known to be slow.
func (m *Members) ackTimeout(target *member) time.Duration {
	return m.health.scale(max(m.options.AckTimeout, target.peakRoundTrip+target.peakRoundTrip/2))
}

// indirectTimeout returns how long to wait for indirect acks, which take two
// round trips.
func (m *Members) indirectTimeout(target *member) time.Duration {
	return m.health.scale(max(m.options.IndirectTimeout, 2*target.peakRoundTrip+target.peakRoundTrip/2))
}

// requestIndirect asks a few hosts to ping the target on behalf of this host.
func (m *Members) requestIndirect(p *ping) {
	p.requested = true
	if !p.indirect || p.target.index < 0 || m.options.disableIndirect {
		return
	}
	for _, helper := range m.pickPeers(m.options.IndirectProbes, p.target) {
		if !m.extraDatagrams.take(1) {
			return
		}
		request := m.message(peerpb.Probe_REQUEST, p.sequence)
		request.Target = p.target.host.Name
		m.attach(request, attachment{to: helper})
		m.send(helper.host.Probe, request)
	}
}

// probeFailed suspects the target of a failed ping, unless it was heard from
// since the ping was sent. A ping without a receipt from any host that was asked
// counts against this host's health.
func (m *Members) probeFailed(p *ping) {
	if p.target.index < 0 {
		return
	}
	if p.indirect && p.receipts == 0 && !m.options.disableIndirect {
		m.health.add(scoreIsolated)
	}
	if p.target.lastHeard < p.sent {
		m.suspect(p.target, true)
	}
}

// handleAck handles the ack of a ping, from its target or from a host that
// pinged the target on behalf of this host.
func (m *Members) handleAck(p *peerpb.Probe) {
	if m.forwardAck(p) {
		return
	}
	if p.GetTarget() != "" {
		m.handleIndirectAck(p)
		return
	}
	if late := takePing(&m.prober.late, p.GetSequence(), p.GetFrom()); late != nil {
		late.target.recordRoundTrip(min(m.now-late.sent, maxRoundTrip))
		return
	}
	answered := takePing(&m.prober.pending, p.GetSequence(), p.GetFrom())
	if answered == nil {
		return
	}
	answered.target.recordRoundTrip(m.now - answered.sent)
	if answered.requested {
		m.health.add(scoreIndirect)
		return
	}
	m.health.add(scoreAnswered)
}

// handleIndirectAck handles an ack from a host that pinged the target on behalf
// of this host. The ping is kept in prober.late, so that the target's own ack
// still gives a round trip sample.
func (m *Members) handleIndirectAck(p *peerpb.Probe) {
	acked := takePing(&m.prober.pending, p.GetSequence(), p.GetTarget())
	if acked == nil {
		return
	}
	acked.target.lastHeard = m.now
	m.prober.keepLate([]*ping{acked}, m.now)
	m.health.add(scoreIndirect)
}

// handleReceipt records that a host that was asked to ping is reachable.
func (m *Members) handleReceipt(p *peerpb.Probe) {
	for _, pending := range m.prober.pending {
		if pending.sequence == p.GetSequence() {
			pending.receipts++
		}
	}
}

// relay is a ping in progress on behalf of another host.
type relay struct {
	sequence uint32
	target   *member
	// requester and requestSequence identify the request.
	requester       netip.AddrPort
	requestSequence uint32
	sent            time.Duration
}

// relayPing handles a request to ping a host: it sends the requester a receipt
// and pings the target. Requests beyond the datagram budget are ignored.
func (m *Members) relayPing(from netip.AddrPort, sender *member, p *peerpb.Probe) {
	if !m.extraDatagrams.take(relayDatagrams) {
		return
	}
	receipt := m.message(peerpb.Probe_RECEIPT, p.GetSequence())
	m.attach(receipt, attachment{to: sender})
	m.send(from, receipt)
	target := m.members[p.GetTarget()]
	if target == nil || target.index < 0 || len(m.relays) >= maxRelays {
		return
	}
	r := relay{sequence: m.prober.nextSequence(), target: target, requester: from, requestSequence: p.GetSequence(), sent: m.now}
	m.relays = append(m.relays, r)
	message := m.message(peerpb.Probe_PING, r.sequence)
	message.Target = target.host.Name
	m.attach(message, attachment{to: target, correctReceiver: target.suspect})
	m.send(target.host.Probe, message)
}

// forwardAck forwards the ack of a relayed ping to its requester; it reports
// false if the ack belongs to one of this host's own pings.
func (m *Members) forwardAck(p *peerpb.Probe) bool {
	i := slices.IndexFunc(m.relays, func(r relay) bool { return r.sequence == p.GetSequence() })
	if i < 0 {
		return false
	}
	r := m.relays[i]
	if p.GetFrom() != r.target.host.Name || p.GetTarget() != "" {
		return true
	}
	m.relays = slices.Delete(m.relays, i, i+1)
	indirectAck := m.message(peerpb.Probe_ACK, r.requestSequence)
	indirectAck.Target = r.target.host.Name
	m.attach(indirectAck, attachment{})
	m.send(r.requester, indirectAck)
	return true
}

// expireRelays drops relayed pings that are older than the longest timeouts of a
// requester whose target has short round trips.
func (m *Members) expireRelays() {
	longest := (m.options.AckTimeout + m.options.IndirectTimeout) * (1 + maxHealthScore)
	m.relays = slices.DeleteFunc(m.relays, func(r relay) bool { return m.now-r.sent > longest })
}
