package traffic

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/gopacket/gopacket"
	"github.com/stretchr/testify/require"

	"toucangap/internal/config"
	"toucangap/internal/flow"
	"toucangap/internal/packet"
	"toucangap/internal/steer"
)

const (
	// flowCount is the number of flows in the benchmarked flow tables.
	flowCount = 300_000
	// endpointCount is the number of endpoints of the service.
	endpointCount = 14
	// window bounds the packets of one generator in flight in the kernel, so
	// that none is lost there.
	window = 256
	// minGenerators is the minimum number of sending goroutines, enough to keep
	// one worker busy.
	minGenerators = 3
	// sourcesPerGenerator is the number of source ports of one generator, by
	// which the kernel distributes packets over the workers' sockets.
	sourcesPerGenerator = 8
	// benchLimit bounds the duration of one benchmark.
	benchLimit = 2 * time.Minute
	// lossTimeout is how long a generator waits before it considers its packets lost.
	lossTimeout = 50 * time.Millisecond
)

// flowPackets returns one packet per flow.
func flowPackets(t testing.TB) [][]byte {
	template := udpPacket(t, callerAddress, serviceAddress, "GET alarms of the round")
	packets := make([][]byte, flowCount)
	for i := range packets {
		p := append([]byte(nil), template...)
		binary.BigEndian.PutUint32(p[12:], uint32(0x0a000000+i))
		binary.BigEndian.PutUint16(p[10:], 0)
		binary.BigEndian.PutUint16(p[10:], gopacket.FoldChecksum(gopacket.ComputeChecksum(p[:20], 0)))
		packets[i] = p
	}
	return packets
}

// benchmarkService returns the service that all flows belong to.
func benchmarkService(endpoint netip.AddrPort) *config.Service {
	s := &config.Service{ID: 1, Protocol: flow.UDP, Address: netip.MustParseAddrPort(serviceAddress)}
	for i := range endpointCount {
		s.Endpoints = append(s.Endpoints, config.Endpoint{
			ID: config.EndpointID(i + 1), Name: fmt.Sprint(i), Address: endpoint, Weight: 1, MaxFlows: flowCount,
		})
	}
	return s
}

// ownerView returns the view of a host that owns all of the service's flows.
func ownerView(s *config.Service) *steer.View {
	endpoints := make([]*steer.Endpoint, len(s.Endpoints))
	for i, e := range s.Endpoints {
		endpoints[i] = steer.NewEndpoint(s.ID, e)
	}
	self := steer.Host{Index: 1, Name: "owner", Hash: flow.HashName("owner")}
	view := &steer.View{
		Bundle: &config.Bundle{
			Version: 1, Services: []config.Service{*s},
			Limits: config.Limits{FlowsPerHost: 2 * flowCount, FlowIdle: time.Hour},
		},
		Current:    steer.Tables{s.ID: steer.NewTable(s, endpoints)},
		Self:       self,
		Owners:     []steer.Host{self},
		FirstOwner: true,
	}
	view.Index()
	return view
}

// shardsWithFlows returns shards whose tables hold the flows of the packets.
func shardsWithFlows(t testing.TB, view *steer.View, workers int, packets [][]byte) []*steer.Shard {
	shared := steer.NewShared()
	shared.SetContactUntil(0, time.Hour)
	shards := make([]*steer.Shard, workers)
	for i := range shards {
		shards[i] = steer.NewShard(shared, workers, 2*flowCount)
		shards[i].SetView(view)
	}
	decoder := packet.NewDecoder(view.ReadsRequests)
	var p steer.Packet
	for _, data := range packets {
		require.Equal(t, packet.DefectNone, decoder.Decode(data, steer.FromCaller, &p))
		shard := shards[steer.ShardOf(view.Fingerprint(p.Key), workers)]
		require.Equal(t, steer.ActionForward, shard.Packet(0, &p).Action)
	}
	return shards
}

// generate sends the packets in a loop until stop is closed, at most a window
// ahead of its part of the packets received; generators is the number of generators.
func generate(senders []*sender, to netip.AddrPort, packets [][]byte, generators int, p *Plane, stop <-chan struct{}) {
	var sent, base int64
	last := time.Now()
	for i := 0; ; {
		select {
		case <-stop:
			return
		default:
		}
		read := received(p) / int64(generators)
		if sent-(read-base) > window {
			if time.Since(last) > lossTimeout {
				sent, base = 0, read
			}
			time.Sleep(10 * time.Microsecond)
			continue
		}
		last = time.Now()
		out := senders[i/batchSize%len(senders)]
		for range batchSize {
			out.send(packets[i], to)
			i = (i + 1) % len(packets)
		}
		out.flush()
		sent += batchSize
	}
}

// received returns the number of datagrams read, without the cost of Counters.
func received(p *Plane) int64 {
	var n int64
	for _, r := range p.readers {
		n += r.counters.received.Load()
	}
	return n
}

// BenchmarkPlane measures packets per second through one process over loopback.
// Generators share the machine's processors with the plane.
func BenchmarkPlane(b *testing.B) {
	packets := flowPackets(b)
	for _, workers := range []int{1, 4, 8} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			benchmarkPlane(b, workers, packets)
		})
	}
}

// heapInUse returns the heap bytes in use after a garbage collection.
func heapInUse() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// benchmarkPlane runs until at least b.N packets are forwarded.
func benchmarkPlane(b *testing.B, workers int, packets [][]byte) {
	sink := socket(b)
	view := ownerView(benchmarkService(localAddr(sink)))
	before := heapInUse()
	shards := shardsWithFlows(b, view, workers, packets)
	perFlow := float64(heapInUse()-before) / flowCount
	p := start(b, workers, localAddr(sink), func(i int) Decider { return shards[i] }, view)
	stop := make(chan struct{})
	var running sync.WaitGroup
	generators := max(workers, minGenerators)
	b.ReportAllocs()
	b.ResetTimer()
	for g := range generators {
		senders := make([]*sender, sourcesPerGenerator)
		for i := range senders {
			senders[i] = newSender(socket(b), newCounters())
		}
		from := g * len(packets) / generators
		running.Go(func() {
			own := packets[from : from+len(packets)/generators]
			generate(senders, p.Listen().Callers, own, generators, p, stop)
		})
	}
	begin := time.Now()
	for p.Counters().Forwarded < int64(b.N) {
		require.Less(b, time.Since(begin), benchLimit)
		time.Sleep(time.Millisecond)
	}
	b.StopTimer()
	close(stop)
	running.Wait()
	b.ReportMetric(float64(p.Counters().Forwarded)/b.Elapsed().Seconds(), "packets/s")
	b.ReportMetric(perFlow, "B/flow")
	require.Zero(b, p.Counters().Replied)
}

// BenchmarkHop measures the latency of single packets from the fabric to an
// endpoint through one host and through two.
func BenchmarkHop(b *testing.B) {
	fabric, endpoint := socket(b), socket(b)
	forward := func(*steer.Packet) steer.Verdict {
		return steer.Verdict{Action: steer.ActionForward, Endpoint: localAddr(endpoint)}
	}
	owner := start(b, 1, localAddr(fabric), every(forward))
	other := start(b, 1, localAddr(fabric), every(func(*steer.Packet) steer.Verdict {
		return steer.Verdict{Action: steer.ActionPass, Peer: owner.Listen().Packets, Hop: steer.HopToOwner}
	}))
	owner.SetPeers([]netip.AddrPort{other.Listen().Packets})
	data := udpPacket(b, callerAddress, serviceAddress, "request")
	for name, p := range map[string]*Plane{"hosts=1": owner, "hosts=2": other} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				send(b, fabric, p.Listen().Callers, data)
				receive(b, endpoint)
			}
		})
	}
}
