package membership

import (
	"slices"
	"time"

	"toucangap/internal/config"
)

// suspicionTimeout returns the time from a suspicion to a confirmed death, for
// the size of the group and this host's own health.
func (m *Members) suspicionTimeout() time.Duration {
	return m.health.scale(m.options.suspicion(len(m.alive) + 1))
}

// heardRecently reports whether the host showed a sign of life within the base
// suspicion timeout.
func (m *Members) heardRecently(mem *member) bool {
	return m.now-mem.lastHeard < m.options.suspicion(len(m.alive)+1)
}

// suspect marks the member as suspected, if it is not yet. If local is set, one
// of this host's own probes failed, and this host pings the suspect every period,
// within limits.
func (m *Members) suspect(mem *member, local bool) {
	if local {
		mem.locallySuspected = true
	}
	if mem.suspect {
		return
	}
	mem.suspect = true
	mem.startSuspicion(m.now)
	m.suspects = append(m.suspects, mem)
	m.updates.add(mem, false)
	m.emit(Suspected{Host: mem.host.Name, Incarnation: mem.host.Incarnation})
}

func (m *Members) clearSuspicion(mem *member) {
	if !mem.suspect {
		return
	}
	mem.suspect, mem.locallySuspected = false, false
	i := slices.Index(m.suspects, mem)
	m.suspects = slices.Delete(m.suspects, i, i+1)
	if alive(mem.host.State) {
		m.emit(SuspicionCleared{Host: mem.host.Name, Incarnation: mem.host.Incarnation})
	}
}

// expireSuspicions confirms deaths. If the host was heard from since the
// suspicion began, the timeout starts again.
func (m *Members) expireSuspicions() {
	if m.now < m.noDeathsUntil || len(m.suspects) == 0 {
		return
	}
	timeout := m.suspicionTimeout()
	for _, mem := range slices.Clone(m.suspects) {
		if m.now-mem.since-mem.stalled < timeout {
			continue
		}
		if mem.lastHeard > mem.since {
			mem.startSuspicion(m.now)
			continue
		}
		previous := mem.host
		m.setState(mem, config.HostDead)
		m.memberChanged(mem, previous, false)
	}
}
