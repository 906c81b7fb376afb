package capacity

import (
	"fmt"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"toucangap/internal/config"
	"toucangap/internal/flow"
	"toucangap/internal/peerpb"
	"toucangap/internal/steer"
)

// Records measures the size and the CPU time of a batch of records by the number
// of records.
func Records() Section {
	s := Section{Name: "records", Description: "one batch for one service: encoded, decoded and applied to an empty shard"}
	for _, n := range []int{1, 10, 100, 1000} {
		s.Rows = append(s.Rows, measureRecords(n))
	}
	return s
}

func measureRecords(n int) Row {
	batch := &peerpb.ServiceRecords{Service: 1}
	for i := range n {
		batch.Fingerprints = append(batch.Fingerprints, uint64(callerKey(i, newBundle(1, 1, 1)).Fingerprint(7)))
		batch.Endpoints = append(batch.Endpoints, uint32(1+i%endpointsPerService))
	}
	m := &peerpb.Envelope{Body: &peerpb.Envelope_Records{Records: &peerpb.Records{
		Sequence: 1 << 40, Baseline: 1000, Version: 1000, Services: []*peerpb.ServiceRecords{batch},
	}}}
	rounds := 200_000 / n
	single := newSingleShard(shardGroupSize, newBundle(1, 1, endpointsPerService), 0)
	records := make([]steer.Record, 0, n)
	cpu := cpuNanoseconds(func() {
		for range rounds {
			data, _ := proto.Marshal(m)
			decoded := &peerpb.Envelope{}
			_ = proto.Unmarshal(data, decoded)
			records = appendRecords(records[:0], decoded.GetRecords())
			single.shard.ApplyRecords(time.Second, 1, records)
		}
	})
	return Row{fmt.Sprintf("records=%d", n), []Value{
		{"frame", "B", float64(proto.Size(m) + frameOverhead)},
		{"size", "B/record", float64(proto.Size(m)+frameOverhead) / float64(n)},
		{"processor", "ns/record", cpu / float64(n*rounds)},
	}}
}

func appendRecords(dst []steer.Record, m *peerpb.Records) []steer.Record {
	for _, s := range m.GetServices() {
		for i, fp := range s.Fingerprints {
			dst = append(dst, steer.Record{
				Fingerprint: flow.Fingerprint(fp),
				Service:     config.ServiceID(s.Service),
				Endpoint:    config.EndpointID(s.Endpoints[i]),
			})
		}
	}
	return dst
}

// callerAddress returns the address and port of the i-th caller.
func callerAddress(i int) netip.AddrPort {
	a := netip.AddrFrom4([4]byte{100, byte(i >> 16), byte(i >> 8), byte(i)})
	return netip.AddrPortFrom(a, uint16(1024+i>>24))
}

// Exceptions measures the fraction of new flows that are not placed at their
// default endpoint while flows end and open at the same rate.
func Exceptions() Section {
	s := Section{Name: "exceptions", Description: "8 services with 10 endpoints each, free choice, one host alone; as many flows end as begin"}
	for _, n := range []int{1000, 10_000, flowsPerHost, 100_000} {
		s.Rows = append(s.Rows, measureExceptions(n))
	}
	return s
}

func measureExceptions(n int) Row {
	single := newSingleShard(shardGroupSize, newBundle(shardGroupSize, shardGroupSize, endpointsPerService), 1<<30)
	keys := single.ownedKeys(3 * n)
	single.sendToAll(time.Minute, keys[:n], steer.TCPSyn)
	before := single.shard.Counts.Exceptions
	for i := n; i < len(keys); i++ {
		single.sendToAll(time.Minute, keys[i-n:i-n+1], steer.TCPReset)
		single.sendToAll(time.Minute, keys[i:i+1], steer.TCPSyn)
	}
	share := float64(single.shard.Counts.Exceptions-before) / float64(2*n)
	return Row{fmt.Sprintf("flows=%d", n), []Value{{"exceptions", "of new flows", share}}}
}
