package membership

import (
	"cmp"
	"slices"
	"time"
)

// Dump is a snapshot of the view for operators.
type Dump struct {
	Self HostDump `json:"self"`
	// Digest is a checksum of the view; hosts that agree show the same.
	Digest uint32 `json:"digest"`
	// HealthScore is 0 for a host whose probes succeed; each point adds the
	// base timeout once more.
	HealthScore int `json:"health_score"`
	// Updates counts the changes that are being spread.
	Updates int        `json:"rumors"`
	Hosts   []HostDump `json:"hosts"`
}

// HostDump is a snapshot of one host.
type HostDump struct {
	Name        string `json:"name"`
	Domain      string `json:"domain"`
	Probe       string `json:"probe"`
	State       string `json:"state"`
	Incarnation uint64 `json:"incarnation"`
	Suspect     bool   `json:"suspect"`
	// SinceHeard is the time since the last sign of life, negative if there was
	// none yet.
	SinceHeard time.Duration `json:"heard_ns"`
}

// Dump returns the view as of the last call of Tick or Receive, sorted by host
// name.
func (m *Members) Dump() Dump {
	d := Dump{
		Self:        m.dumpHost(m.self),
		Digest:      m.digest,
		HealthScore: m.health.score,
		Updates:     len(m.updates.entries),
		Hosts:       make([]HostDump, 0, len(m.members)),
	}
	for _, mem := range m.members {
		d.Hosts = append(d.Hosts, m.dumpHost(mem))
	}
	slices.SortFunc(d.Hosts, func(a, b HostDump) int { return cmp.Compare(a.Name, b.Name) })
	return d
}

func (m *Members) dumpHost(mem *member) HostDump {
	sinceHeard := time.Duration(-1)
	if mem.lastHeard != never {
		sinceHeard = m.now - mem.lastHeard
	}
	return HostDump{
		Name:        mem.host.Name,
		Domain:      mem.host.Domain,
		Probe:       mem.host.Probe.String(),
		State:       mem.host.State.String(),
		Incarnation: mem.host.Incarnation,
		Suspect:     mem.suspect,
		SinceHeard:  sinceHeard,
	}
}
