package membership

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"toucangap/internal/config"
)

// never is an instant before all others.
const never = time.Duration(math.MinInt64 / 2)

// member is what is known about one host.
type member struct {
	host config.Host
	// version is the incarnation at which the host last described itself.
	version uint64
	suspect bool
	// locallySuspected is set when one of this host's own probes led to the
	// suspicion.
	locallySuspected bool
	// since is when the suspicion began or when the host died or left.
	since time.Duration
	// stalled is how much of the suspicion this process spent stalled.
	stalled time.Duration
	// lastHeard is when the host last showed a sign of life.
	lastHeard time.Duration
	// peakRoundTrip is a decaying maximum of the recent round trips.
	peakRoundTrip time.Duration
	// index is the position in Members.alive, or -1.
	index int
	// hash is the member's contribution to the digest.
	hash uint32
}

func (m *member) startSuspicion(now time.Duration) {
	m.since, m.stalled = now, 0
}

// recordRoundTrip updates the decaying maximum with a new sample.
func (m *member) recordRoundTrip(roundTrip time.Duration) {
	decayed := m.peakRoundTrip - m.peakRoundTrip/8
	m.peakRoundTrip = max(roundTrip, decayed)
}

// alive reports whether a host in the state participates in the group.
func alive(s config.HostState) bool {
	return s == config.HostJoining || s == config.HostLive || s == config.HostLeaving
}

// rank orders the states within one incarnation. Left ranks above dead, since a
// host that says itself that it has left need not be confirmed dead.
func rank(s config.HostState) int {
	switch s {
	case config.HostJoining:
		return 1
	case config.HostLive:
		return 2
	case config.HostLeaving:
		return 3
	case config.HostDead:
		return 4
	case config.HostLeft:
		return 5
	}
	return 0
}

// computeHash hashes what two views have to agree on. Dead and left hosts count
// as absent, since each host forgets them at a time of its own.
func (m *member) computeHash() uint32 {
	if !alive(m.host.State) {
		return 0
	}
	b := make([]byte, 0, 64)
	b = append(b, m.host.Name...)
	b = binary.LittleEndian.AppendUint64(b, m.host.Incarnation)
	b = binary.LittleEndian.AppendUint64(b, m.version)
	b = append(b, byte(m.host.State))
	return uint32(xxhash.Sum64(b))
}

// sameDescription compares everything but incarnation and state.
func sameDescription(a, b config.Host) bool {
	a.Incarnation, a.State = b.Incarnation, b.State
	return a == b
}
