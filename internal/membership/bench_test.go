package membership

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"toucangap/internal/config"
	"toucangap/internal/peerpb"
)

// groupSizes are the numbers of members that the benchmarks run with.
var groupSizes = []int{4, 64, 1000, 12_000}

func hostOf(i int) config.Host {
	return config.Host{
		Name: fmt.Sprintf("host-%05d", i), Domain: "curepipe", Group: "all",
		Incarnation: 1_764_800_000, State: config.HostLive,
		Probe: addressOf(i), Packets: addressOf(i), Control: addressOf(i),
	}
}

// populatedView returns a view with the given number of hosts including itself,
// and the heap bytes per host.
func populatedView(hosts int) (*Members, float64) {
	var updates []*peerpb.Rumor
	for i := 1; i < hosts; i++ {
		other := member{host: hostOf(i), version: 1}
		updates = append(updates, other.update(true))
	}
	before := heapBytes()
	m := New(hostOf(0), Options{}, rand.New(rand.NewPCG(1, 1)))
	m.Tick(0)
	for _, r := range updates {
		m.mergeUpdate("", r)
	}
	m.updates.entries, m.events = nil, nil
	perMember := float64(heapBytes()-before) / float64(hosts)
	runtime.KeepAlive(updates)
	return m, perMember
}

func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// ackOf returns the ack of a healthy host to a ping.
func ackOf(m *Members, ping *peerpb.Probe) *peerpb.Probe {
	target := m.members[ping.GetTarget()].host
	return &peerpb.Probe{
		Kind: peerpb.Probe_ACK, Sequence: ping.GetSequence(), From: target.Name,
		Incarnation: target.Incarnation, State: peerpb.HostState(target.State), Digest: m.digest,
	}
}

// BenchmarkTick measures one call in an idle group whose hosts all answer;
// there are 25 calls a second. It includes handling the acks.
func BenchmarkTick(b *testing.B) {
	for _, hosts := range groupSizes {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			m, perMember := populatedView(hosts)
			now, sent := time.Duration(0), 0
			b.ReportAllocs()
			for b.Loop() {
				now += TickInterval
				for _, s := range m.Tick(now) {
					sent += proto.Size(s.Probe)
					m.Receive(now, s.To, ackOf(m, s.Probe))
				}
			}
			b.ReportMetric(float64(sent)/now.Seconds(), "pingB/s/host")
			b.ReportMetric(perMember, "heapB/member")
		})
	}
}

// BenchmarkReceive measures handling one ping in an idle group; a host gets five
// a second on average.
func BenchmarkReceive(b *testing.B) {
	for _, hosts := range groupSizes {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			m, _ := populatedView(hosts)
			sent, pings := 0, 0
			b.ReportAllocs()
			for b.Loop() {
				from := m.alive[pings%len(m.alive)].host
				pings++
				ping := &peerpb.Probe{
					Kind: peerpb.Probe_PING, Sequence: uint32(pings), From: from.Name,
					Incarnation: from.Incarnation, State: peerpb.HostState(from.State),
					Target: m.self.host.Name, Digest: m.digest,
				}
				for _, s := range m.Receive(0, from.Probe, ping) {
					sent += proto.Size(s.Probe)
				}
			}
			perSecond := float64(time.Second) / float64(defaultPeriod)
			b.ReportMetric(float64(sent)/float64(pings)*perSecond, "ackB/s/host")
		})
	}
}
