package membership

import (
	"cmp"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"toucangap/internal/peerpb"
)

// updateOverhead is the bytes that a gossip update takes besides its own
// encoding: tag and length.
const updateOverhead = 3

// updateQueue holds the members whose change is still being spread.
type updateQueue struct {
	entries []updateEntry
	budget  budget
	// order grows with each change, so that recent ones go first.
	order uint64
}

type updateEntry struct {
	member *member
	// describe adds the member's description to the update.
	describe bool
	// sent counts the messages that carried the update.
	sent  int
	order uint64
}

// add queues a changed member and resets its send count. A description that is
// still being spread stays with it. A full queue drops its last entry.
func (q *updateQueue) add(mem *member, describe bool) {
	q.order++
	entry := updateEntry{member: mem, describe: describe, order: q.order}
	i := slices.IndexFunc(q.entries, func(e updateEntry) bool { return e.member == mem })
	if i >= 0 {
		entry.describe = entry.describe || q.entries[i].describe
		q.entries[i] = entry
		return
	}
	if len(q.entries) < maxUpdates {
		q.entries = append(q.entries, entry)
		return
	}
	q.entries[q.last()] = entry
}

// last returns the index of the entry that would be sent last.
func (q *updateQueue) last() int {
	last := 0
	for i := range q.entries {
		if compareUpdates(q.entries[i], q.entries[last]) > 0 {
			last = i
		}
	}
	return last
}

// sort puts the least sent and then the most recent first.
func (q *updateQueue) sort() {
	slices.SortFunc(q.entries, compareUpdates)
}

func compareUpdates(a, b updateEntry) int {
	return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(b.order, a.order))
}

// expire drops the entries that were sent limit times.
func (q *updateQueue) expire(limit int) {
	q.entries = slices.DeleteFunc(q.entries, func(e updateEntry) bool { return e.sent >= limit })
}

// syncer goes through all members in turn to reconcile views that differ.
type syncer struct {
	budget budget
	// lastChanged is when the view last changed, lastSent when part of it was
	// last sent.
	lastChanged, lastSent time.Duration
	// round holds the members that are still to be sent.
	round []*member
}

// due reports whether to send part of the view to a host whose view differs:
// once the view has been unchanged for syncDelay, and at the latest maxSyncDelay
// after the last part.
func (s *syncer) due(now time.Duration) bool {
	return now-s.lastChanged >= syncDelay || now-s.lastSent >= maxSyncDelay
}

// refill starts a round over all known hosts, in random order, so that two
// hosts rarely send the same at the same time.
func (s *syncer) refill(m *Members) {
	s.round = append(s.round, m.self)
	for _, mem := range m.members {
		s.round = append(s.round, mem)
	}
	slices.SortFunc(s.round, func(a, b *member) int { return cmp.Compare(a.host.Name, b.host.Name) })
	m.rng.Shuffle(len(s.round), func(i, j int) { s.round[i], s.round[j] = s.round[j], s.round[i] })
}

// attachment selects what a message should carry besides queued updates.
type attachment struct {
	// to is the receiver, nil if unknown.
	to *member
	// describeSelf adds this host's own description.
	describeSelf bool
	// correctReceiver adds what is known about the receiver, with its
	// description unless it is suspected.
	correctReceiver bool
	// sync adds the next members of the syncer's round, since the receiver's
	// view differs.
	sync bool
}

// updatePacker fills one message with updates, up to MaxProbeBytes.
type updatePacker struct {
	probe *peerpb.Probe
	// room is the number of bytes left.
	room int
	// included holds the names of the hosts that the message has an update on.
	included map[string]bool
}

func (u *updatePacker) add(r *peerpb.Rumor, size int) {
	u.probe.Rumors = append(u.probe.Rumors, r)
	u.room -= size
	if u.included == nil {
		u.included = make(map[string]bool)
	}
	u.included[r.Name] = true
}

// attach adds gossip updates to a message.
func (m *Members) attach(p *peerpb.Probe, a attachment) {
	if !a.describeSelf && !a.correctReceiver && !a.sync && len(m.updates.entries) == 0 {
		return
	}
	u := &updatePacker{probe: p, room: MaxProbeBytes - proto.Size(p)}
	if a.correctReceiver {
		m.attachOne(u, a.to, !a.to.suspect, nil)
	}
	if a.describeSelf {
		m.attachOne(u, m.self, true, nil)
	}
	m.attachQueued(u, a.to)
	if a.sync {
		m.attachSync(u, a.to)
	}
}

// attachOne adds an update on the member and reports whether the message has one
// now. It does not if the update exceeds the message's room or the byte budget;
// a nil budget means no limit.
func (m *Members) attachOne(u *updatePacker, mem *member, describe bool, b *budget) bool {
	if u.included[mem.host.Name] {
		return true
	}
	r := mem.update(describe)
	size := proto.Size(r) + updateOverhead
	if size > u.room || (b != nil && !b.take(size)) {
		return false
	}
	u.add(r, size)
	return true
}

// attachQueued adds the changes that are being spread, as far as there is room.
func (m *Members) attachQueued(u *updatePacker, to *member) {
	if len(m.updates.entries) == 0 {
		return
	}
	m.updates.sort()
	for i := range m.updates.entries {
		entry := &m.updates.entries[i]
		if entry.member == to {
			continue
		}
		if !m.attachOne(u, entry.member, entry.describe, &m.updates.budget) {
			break
		}
		entry.sent++
	}
	m.updates.expire(m.retransmitLimit())
}

// attachSync adds the next members of the round as far as there is room, and
// starts a new round after the last one.
func (m *Members) attachSync(u *updatePacker, to *member) {
	m.syncer.lastSent = m.now
	if len(m.syncer.round) == 0 {
		m.syncer.refill(m)
	}
	for len(m.syncer.round) > 0 {
		mem := m.syncer.round[0]
		if mem != to && !m.attachOne(u, mem, alive(mem.host.State), &m.syncer.budget) {
			return
		}
		m.syncer.round = m.syncer.round[1:]
	}
}

// retransmitLimit returns the number of messages that carry an update in a group
// of this size.
func (m *Members) retransmitLimit() int {
	return retransmitFactor * int(math.Ceil(math.Log2(float64(len(m.alive)+2))))
}

// announce immediately tells a few hosts about a change of this host itself.
func (m *Members) announce() {
	if !m.announcePending {
		return
	}
	m.announcePending = false
	for _, mem := range m.pickPeers(announceFanout, nil) {
		if !m.extraDatagrams.take(1) {
			return
		}
		p := m.message(peerpb.Probe_RUMORS, 0)
		m.attach(p, attachment{to: mem})
		m.send(mem.host.Probe, p)
	}
}
