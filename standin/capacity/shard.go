package capacity

import (
	"fmt"
	"time"

	"toucangap/internal/config"
	"toucangap/internal/flow"
	"toucangap/internal/steer"
)

// farFuture is a time that no measurement reaches.
const farFuture = steer.Time(1 << 62)

// singleShard is the only shard of a host in a host group.
type singleShard struct {
	shared *steer.Shared
	shard  *steer.Shard
	view   *steer.View
}

// newSingleShard returns the shard of the first of the given number of hosts in
// a group. New flows may leave their default endpoints while fewer than
// maxWaitingRecords changes of records wait to be sent; with 0 none may.
func newSingleShard(hosts int, b *config.Bundle, maxWaitingRecords int32) *singleShard {
	s := &singleShard{shared: steer.NewShared()}
	s.shared.SetContactUntil(0, farFuture)
	s.shared.SetNonIdempotentUntil(farFuture)
	s.shared.SetRefuseUntil(0, farFuture)
	s.shared.MaxWaitingRecords.Store(maxWaitingRecords)
	s.shard = steer.NewShard(s.shared, 1, 1<<30)
	tables := make(steer.Tables)
	for i := range b.Services {
		if b.Services[i].Group == groupName {
			tables[b.Services[i].ID] = s.newTable(&b.Services[i])
		}
	}
	s.view = newView(hosts, b, tables)
	s.shard.SetView(s.view)
	return s
}

func (s *singleShard) newTable(service *config.Service) *steer.Table {
	var endpoints []*steer.Endpoint
	for _, c := range service.Endpoints {
		e := steer.NewEndpoint(service.ID, c)
		s.shared.Register(e)
		endpoints = append(endpoints, e)
	}
	return steer.NewTable(service, endpoints)
}

// newView returns a view of the given number of hosts, all of which own flows.
// The first one is the host itself.
func newView(hosts int, b *config.Bundle, tables steer.Tables) *steer.View {
	v := &steer.View{
		Epoch:      1,
		Bundle:     b,
		Current:    tables,
		History:    map[config.Version]steer.Tables{b.Version: tables},
		Baseline:   b.Version,
		FirstOwner: true,
	}
	for i := range hosts {
		h := newHost(i)
		v.Owners = append(v.Owners, steer.Host{
			Index: steer.HostIndex(i + 1), Name: h.Name, Hash: flow.HashName(h.Name), Packets: h.Packets,
		})
	}
	v.Self = v.Owners[0]
	v.Index()
	return v
}

// ownedKeys returns n keys of flows that the shard's host owns.
func (s *singleShard) ownedKeys(n int) []flow.Key {
	keys := make([]flow.Key, 0, n)
	services := s.view.Bundle.Services
	for i := 0; len(keys) < n; i++ {
		service := &services[i%len(s.view.Current)]
		k := flow.Key{Protocol: flow.TCP, Caller: callerAddress(i), Service: service.Address}
		if owner, _ := s.view.Rank(s.view.Fingerprint(k)); owner == s.view.Self.Name {
			keys = append(keys, k)
		}
	}
	return keys
}

// sendToAll delivers one packet with the given flags for each flow.
func (s *singleShard) sendToAll(now steer.Time, keys []flow.Key, flags steer.TCPFlags) {
	p := steer.Packet{Direction: steer.FromCaller, Hop: steer.HopEdge, Length: 100}
	p.TCP.Flags = flags
	for _, k := range keys {
		p.Key = k
		s.shard.Packet(now, &p)
	}
}

// shardGroupSize is the number of hosts in measurements of a single shard.
const shardGroupSize = 8

// Flows measures the cost of a shard by the number of flows that it holds.
func Flows() Section {
	s := Section{Name: "flows", Description: "one shard in a spray group of 8 hosts, TCP flows over 8 services with 10 endpoints each; new flows keep their default endpoint"}
	for _, n := range []int{10_000, 100_000, 300_000} {
		s.Rows = append(s.Rows, measureFlows(n))
	}
	return s
}

func measureFlows(n int) Row {
	single := newSingleShard(shardGroupSize, newBundle(shardGroupSize, shardGroupSize, endpointsPerService), 0)
	keys := single.ownedKeys(n)
	heapBefore := liveHeapBytes()
	open := cpuNanoseconds(func() { single.sendToAll(time.Second, keys, steer.TCPSyn) })
	heapGrowth := liveHeapBytes() - heapBefore
	rounds := max(1, 1_000_000/n)
	established := cpuNanoseconds(func() {
		for range rounds {
			single.sendToAll(2*time.Second, keys, steer.TCPAck)
		}
	})
	const ticks = 2000
	sweep := cpuNanoseconds(func() {
		for range ticks {
			single.shard.Tick(2 * time.Second)
		}
	})
	single.view.Epoch++
	single.shard.SetView(single.view)
	viewChange := cpuNanoseconds(func() {
		for !single.shard.Settled() {
			single.shard.Tick(2 * time.Second)
		}
	})
	per := float64(n)
	return Row{fmt.Sprintf("flows=%d", n), []Value{
		{"memory", "B/flow", heapGrowth / per},
		{"new", "ns/flow", open / per},
		{"established", "ns/packet", established / per / float64(rounds)},
		{"tick", "us/tick", sweep / ticks / 1000},
		{"sweep", "ns/visit", sweep / ticks / (per/100 + 1)},
		{"view-change", "ns/flow", viewChange / per},
	}}
}

// Tables measures the cost of a service's table by the number of its endpoints.
func Tables() Section {
	s := Section{Name: "tables", Description: "one service; a new flow with a free choice of endpoint, and the default endpoint of a flow"}
	for _, n := range []int{14, 100, 1000, 12_000} {
		s.Rows = append(s.Rows, measureTable(n))
	}
	return s
}

func measureTable(endpoints int) Row {
	flows := min(50_000, max(2000, 20_000_000/endpoints))
	b := newBundle(1, 1, endpoints)
	single := newSingleShard(shardGroupSize, b, 1<<30)
	keys := single.ownedKeys(flows)
	open := cpuNanoseconds(func() { single.sendToAll(time.Minute, keys, steer.TCPSyn) })
	exceptions := single.shard.Counts.Exceptions
	table := single.view.Current[1]
	lookups := cpuNanoseconds(func() {
		for i := range flows {
			table.Default(flow.Fingerprint(uint64(i) * 0x9e3779b97f4a7c15))
		}
	})
	rounds := max(1, 2000/endpoints)
	index := cpuNanoseconds(func() {
		for range rounds {
			single.view.Index()
		}
	})
	per := float64(flows)
	return Row{fmt.Sprintf("endpoints=%d flows=%d", endpoints, flows), []Value{
		{"new", "ns/flow", open / per},
		{"exceptions", "of flows", float64(exceptions) / per},
		{"default", "ns/lookup", lookups / per},
		{"view-index", "us", index / float64(rounds) / 1000},
	}}
}

// Rank measures the cost of choosing a flow's owner by the number of hosts in
// the host group.
func Rank() Section {
	s := Section{Name: "rank", Description: "owner and successor of a flow by rendezvous hashing"}
	for _, n := range []int{4, 8, 16, 32, 64} {
		v := newView(n, newBundle(1, 1, 1), nil)
		const lookups = 1_000_000
		ns := cpuNanoseconds(func() {
			for i := range lookups {
				v.Rank(flow.Fingerprint(uint64(i) * 0x9e3779b97f4a7c15))
			}
		})
		s.Rows = append(s.Rows, Row{fmt.Sprintf("hosts=%d", n), []Value{{"rank", "ns/packet", ns / lookups}}})
	}
	return s
}
