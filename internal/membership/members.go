package membership

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"toucangap/internal/config"
	"toucangap/internal/peerpb"
)

// Datagram is an outgoing datagram.
type Datagram struct {
	To    netip.AddrPort
	Probe *peerpb.Probe
}

// Members is the view that one host has of its group. It is not safe for
// concurrent use.
type Members struct {
	options Options
	rng     *rand.Rand
	now     time.Duration
	started bool
	// noDeathsUntil is when deaths may be confirmed again after a pause.
	noDeathsUntil time.Duration

	self    *member
	members map[string]*member
	// alive holds the other hosts that are joining, live or leaving.
	alive []*member
	// addresses indexes alive by probe address.
	addresses map[netip.AddrPort]*member
	// suspects holds the suspected hosts, the oldest suspicion first.
	suspects []*member
	// tombstones holds dead and left hosts in the order in which they died
	// or left.
	tombstones []tombstone
	digest     uint32
	health     health

	prober   prober
	relays   []relay
	updates  updateQueue
	syncer   syncer
	contacts contacts

	// firstIncarnation is the first incarnation of this process.
	firstIncarnation uint64
	// deathReporters maps the name of each peer that had confirmed this host
	// dead to the highest incarnation at which it did.
	deathReporters map[string]uint64

	// extraDatagrams limits datagrams other than regular pings and acks.
	extraDatagrams  budget
	announcePending bool
	sends           []Datagram
	events          []Event
}

// tombstone records when a host died or left.
type tombstone struct {
	member *member
	since  time.Duration
}

// New returns a view that holds only the host itself. Its name, addresses and
// group must not change; its incarnation should grow from one process to the
// next, for instance with the wall clock, so that the peers do not take this host
// for its former process.
func New(self config.Host, options Options, rng *rand.Rand) *Members {
	m := &Members{
		options:          options.withDefaults(),
		rng:              rng,
		firstIncarnation: self.Incarnation,
		deathReporters:   make(map[string]uint64),
		self:             &member{host: self, version: self.Incarnation, lastHeard: never, index: -1},
		members:          make(map[string]*member),
		addresses:        make(map[netip.AddrPort]*member),
		updates:          updateQueue{budget: newBudget(gossipRate, gossipBurst)},
		extraDatagrams:   newBudget(extraRate, extraBurst),
		syncer:           syncer{budget: newBudget(syncRate, syncBurst)},
	}
	m.updateDigest(m.self)
	m.updates.add(m.self, true)
	return m
}

// Tick drives the timers and returns the datagrams to send. It has to be called
// every TickInterval.
func (m *Members) Tick(now time.Duration) []Datagram {
	m.advance(now)
	m.expireProbes()
	m.expireRelays()
	m.expireSuspicions()
	m.expireTombstones()
	m.announce()
	m.probeNext()
	m.contactNext()
	return m.takeSends()
}

// SetSelfState changes the state that this host claims. A step back, such as
// from leaving to live, requires a higher incarnation.
func (m *Members) SetSelfState(state config.HostState) {
	if rank(state) < rank(m.self.host.State) {
		m.self.host.Incarnation++
	}
	m.self.host.State = state
	m.selfChanged(false)
}

// Self returns this host as it describes itself.
func (m *Members) Self() config.Host {
	return m.self.host
}

// Hosts returns this host and all other known hosts, including dead and left
// ones until they are forgotten, sorted by name.
func (m *Members) Hosts() []config.Host {
	hosts := make([]config.Host, 0, len(m.members)+1)
	hosts = append(hosts, m.self.host)
	for _, mem := range m.members {
		hosts = append(hosts, mem.host)
	}
	slices.SortFunc(hosts, func(a, b config.Host) int { return strings.Compare(a.Name, b.Name) })
	return hosts
}

// Events returns what happened since the last call.
func (m *Members) Events() []Event {
	events := m.events
	m.events = nil
	return events
}

// advance moves the clock and detects pauses.
func (m *Members) advance(now time.Duration) {
	if !m.started {
		m.started = true
		m.now = now
	}
	elapsed := now - m.now
	if elapsed <= 0 {
		return
	}
	m.now = now
	m.updates.budget.refill(elapsed)
	m.syncer.budget.refill(elapsed)
	m.extraDatagrams.refill(elapsed)
	switch {
	case elapsed > m.options.PauseThreshold:
		m.resume(elapsed)
	case elapsed > 2*TickInterval:
		m.compensateStall(elapsed - TickInterval)
	}
}

// compensateStall keeps a short stall of this process from counting against
// other hosts, whose acks may still wait in the socket.
func (m *Members) compensateStall(stall time.Duration) {
	for _, p := range m.prober.pending {
		p.stalled += stall
	}
	for _, s := range m.suspects {
		s.stalled += stall
	}
}

// resume handles the end of a pause: it drops the probes in progress, restarts
// the suspicions and delays confirming deaths, since acks may be missing because
// of the pause.
func (m *Members) resume(gap time.Duration) {
	m.emit(Paused{Gap: gap})
	m.noDeathsUntil = m.now + m.options.NoDeathsAfterPause
	m.prober.pending, m.prober.late = nil, nil
	m.prober.next = m.now
	m.relays = nil
	for _, s := range m.suspects {
		s.startSuspicion(m.now)
	}
}

// selfChanged spreads a change of this host's own incarnation, state or, if
// describe is set, addresses.
func (m *Members) selfChanged(describe bool) {
	m.updateDigest(m.self)
	m.updates.add(m.self, describe)
	m.announcePending = true
}

// updateDigest updates the digest after a member changed.
func (m *Members) updateDigest(mem *member) {
	m.digest ^= mem.hash
	mem.hash = mem.computeHash()
	m.digest ^= mem.hash
	m.syncer.lastChanged = m.now
}

// addAlive adds the member to the hosts that participate in the group.
func (m *Members) addAlive(mem *member) {
	if mem.index >= 0 {
		return
	}
	mem.index = len(m.alive)
	m.alive = append(m.alive, mem)
	m.addresses[mem.host.Probe] = mem
	m.prober.insert(mem, m.rng)
}

// removeAlive moves the member from alive to the tombstones.
func (m *Members) removeAlive(mem *member) {
	if mem.index < 0 {
		return
	}
	last := m.alive[len(m.alive)-1]
	m.alive[mem.index] = last
	last.index = mem.index
	m.alive[len(m.alive)-1] = nil
	m.alive = m.alive[:len(m.alive)-1]
	mem.index = -1
	m.forgetAddress(mem)
	mem.since = m.now
	m.tombstones = append(m.tombstones, tombstone{member: mem, since: m.now})
}

// forgetAddress must be called before the member's address changes.
func (m *Members) forgetAddress(mem *member) {
	if m.addresses[mem.host.Probe] == mem {
		delete(m.addresses, mem.host.Probe)
	}
}

// expireTombstones forgets hosts that died or left long ago.
func (m *Members) expireTombstones() {
	for len(m.tombstones) > 0 && m.now-m.tombstones[0].since > m.options.DeadRetention {
		t := m.tombstones[0]
		m.tombstones = m.tombstones[1:]
		if t.member.index < 0 && t.member.since == t.since {
			delete(m.members, t.member.host.Name)
		}
	}
}

// pickPeers returns up to n members that participate in the group and are not
// suspected, without the excluded one. They are consecutive in a list in the
// order of arrival, from a random start.
func (m *Members) pickPeers(n int, excluded *member) []*member {
	var picked []*member
	start := 0
	if len(m.alive) > 0 {
		start = m.rng.IntN(len(m.alive))
	}
	for i := range m.alive {
		candidate := m.alive[(start+i)%len(m.alive)]
		if len(picked) == n {
			break
		}
		if candidate != excluded && !candidate.suspect {
			picked = append(picked, candidate)
		}
	}
	return picked
}

func (m *Members) emit(e Event) {
	m.events = append(m.events, e)
}

func (m *Members) send(to netip.AddrPort, p *peerpb.Probe) {
	m.sends = append(m.sends, Datagram{To: to, Probe: p})
}

func (m *Members) takeSends() []Datagram {
	sends := m.sends
	m.sends = nil
	return sends
}

// message returns a message with this host's own incarnation, state and digest.
func (m *Members) message(kind peerpb.Probe_Kind, sequence uint32) *peerpb.Probe {
	return &peerpb.Probe{
		Kind:        kind,
		Sequence:    sequence,
		From:        m.self.host.Name,
		Incarnation: m.self.host.Incarnation,
		State:       peerpb.HostState(m.self.host.State),
		Digest:      m.digest,
	}
}
