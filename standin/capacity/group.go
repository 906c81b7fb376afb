package capacity

import (
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"toucangap/internal/config"
	"toucangap/internal/control"
	"toucangap/internal/peerpb"
	"toucangap/internal/rollout"
	"toucangap/internal/steer"
)

const (
	// tickInterval is the daemon's tick interval for its control state.
	tickInterval = control.TickPeriod / 2
	// frameOverhead is the size in bytes of a frame's yamux, TCP and IPv4
	// headers.
	frameOverhead = 64
	// flowsPerHost follows from the target of 380 million flows on 12,000 hosts.
	flowsPerHost = 31_667
)

// node is a simulated host of a group.
type node struct {
	self    config.Host
	control *control.Control
	shard   *steer.Shard
	shared  *steer.Shared
	view    *steer.View
	inbox   []frame
	// stopped is true once the host has stopped or been killed.
	stopped bool

	bytesOut, bytesIn int
	// recordsIn counts the records received; lastRecordAt is when the last one
	// arrived.
	recordsIn    int
	lastRecordAt time.Duration
}

// frame is an encoded message in transit.
type frame struct {
	from string
	data []byte
}

// group connects the control states of a host group's hosts in virtual time.
type group struct {
	now        time.Duration
	bundle     *config.Bundle
	nodes      []*node
	byName     map[string]*node
	knownHosts []config.Host
}

func newGroup(hosts int, b *config.Bundle) *group {
	g := &group{bundle: b, byName: make(map[string]*node)}
	for range hosts {
		g.join()
	}
	return g
}

// join starts another host.
func (g *group) join() *node {
	n := &node{self: newHost(len(g.nodes)), shared: steer.NewShared()}
	n.shard = steer.NewShard(n.shared, 1, 1<<30)
	n.control = control.New(n.self, control.Options{Shards: 1, Shared: n.shared})
	n.control.SetBundle(g.now, g.bundle, []byte{1}, nil)
	g.nodes = append(g.nodes, n)
	g.byName[n.self.Name] = n
	return n
}

// run advances virtual time by d.
func (g *group) run(d time.Duration) {
	for end := g.now + d; g.now < end; {
		g.tick()
	}
}

// runUntil runs until the condition holds or the timeout expires and returns
// the virtual time that passed.
func (g *group) runUntil(timeout time.Duration, condition func() bool) time.Duration {
	start := g.now
	for !condition() && g.now-start < timeout {
		g.tick()
	}
	return g.now - start
}

// tick advances virtual time by one tick interval.
func (g *group) tick() {
	g.now += tickInterval
	g.updateHosts()
	var sends []func()
	for _, n := range g.nodes {
		if !n.stopped {
			sends = append(sends, g.tickNode(n)...)
		}
	}
	for _, send := range sends {
		send()
	}
}

// updateHosts informs every host of changed hosts, as membership does.
func (g *group) updateHosts() {
	var hosts []config.Host
	for _, n := range g.nodes {
		hosts = append(hosts, n.self)
	}
	if slices.Equal(hosts, g.knownHosts) {
		return
	}
	added := len(hosts) > len(g.knownHosts)
	g.knownHosts = hosts
	for _, n := range g.nodes {
		n.control.SetHosts(g.now, hosts)
		for _, h := range hosts {
			if added && h.Name != n.self.Name {
				n.control.Connected(g.now, h.Name)
			}
		}
	}
}

// tickNode runs one tick of a host and returns functions that send its messages.
func (g *group) tickNode(n *node) []func() {
	for _, f := range n.inbox {
		m := &peerpb.Envelope{}
		if proto.Unmarshal(f.data, m) == nil {
			n.countRecords(g.now, m)
			n.control.Receive(g.now, f.from, m)
		}
	}
	n.inbox = n.inbox[:0]
	out := n.control.Tick(g.now)
	n.self.State = out.State
	n.stopped = out.ShutdownComplete
	if out.Commands[0].View != nil {
		n.view = out.Commands[0].View
	}
	n.control.Report(g.now, 0, n.shard.Execute(g.now, &out.Commands[0]))
	var sends []func()
	for _, s := range out.Sends {
		data, err := proto.Marshal(s.Message)
		if err != nil {
			continue
		}
		n.bytesOut += len(data) + frameOverhead
		sends = append(sends, func() { g.deliver(n.self.Name, s.Host, data) })
	}
	return sends
}

func (g *group) deliver(from, to string, data []byte) {
	if n := g.byName[to]; n != nil && !n.stopped {
		n.bytesIn += len(data) + frameOverhead
		n.inbox = append(n.inbox, frame{from, data})
	}
}

// countRecords counts the records in a message and its batched messages.
func (n *node) countRecords(now time.Duration, m *peerpb.Envelope) {
	for _, item := range m.GetBatch().GetItems() {
		n.countRecords(now, item)
	}
	for _, s := range m.GetRecords().GetServices() {
		n.recordsIn += len(s.Fingerprints)
		n.lastRecordAt = now
	}
}

// allLive reports whether all running hosts are live and so own flows.
func (g *group) allLive() bool {
	for _, n := range g.nodes {
		if !n.stopped && n.control.State() != config.HostLive {
			return false
		}
	}
	return true
}

// resetCounts resets the counts of bytes and records.
func (g *group) resetCounts() {
	for _, n := range g.nodes {
		n.bytesOut, n.bytesIn, n.recordsIn = 0, 0, 0
	}
}

// recordsIn returns the number of records received since the last reset.
func (g *group) recordsIn() int {
	sum := 0
	for _, n := range g.nodes {
		sum += n.recordsIn
	}
	return sum
}

// drain marks the first endpoint of each service as draining.
func (g *group) drain() {
	for _, s := range g.bundle.Services {
		g.nodes[0].control.SetMark(g.now, rollout.Mark{
			MarkKey:  rollout.MarkKey{Service: s.ID, Endpoint: s.Endpoints[0].ID},
			Draining: true,
			Revision: 1,
		})
	}
}

// groupSizes lists the measured sizes of a host group, in hosts.
var groupSizes = []int{4, 8, 12, 16, 32}

// joinTimeout limits how long the hosts of a new group may take to join.
const joinTimeout = 10 * time.Minute

// Groups measures the control traffic of a host group by its size. There are as
// many services as hosts, so that the load of each host is that of the target.
func Groups() (Section, error) {
	s := Section{Name: "groups", Description: "control of one host in a spray group without changes; as many services as hosts, 10 endpoints each, every endpoint with flows of every host"}
	for _, n := range groupSizes {
		r, err := measureGroup(n)
		if err != nil {
			return s, err
		}
		s.Rows = append(s.Rows, r)
	}
	return s, nil
}

func measureGroup(hosts int) (Row, error) {
	heapBefore := liveHeapBytes()
	g := newGroup(hosts, newBundle(hosts, hosts, endpointsPerService))
	joinTime := g.runUntil(joinTimeout, g.allLive)
	if !g.allLive() {
		return Row{}, fmt.Errorf("not all of %d hosts joined within %s", hosts, joinTimeout)
	}
	for _, n := range g.nodes {
		for _, e := range n.shared.Endpoints() {
			e.Load.Flows.Store(int32(flowsPerHost / (endpointsPerService * hosts)))
		}
	}
	g.run(15 * time.Second)
	heapGrowth := liveHeapBytes() - heapBefore
	g.resetCounts()
	const seconds = 5
	cpu := cpuNanoseconds(func() { g.run(seconds * time.Second) })
	bytes := 0
	for _, n := range g.nodes {
		bytes += n.bytesOut
	}
	per := float64(hosts * seconds)
	return Row{fmt.Sprintf("hosts=%d", hosts), []Value{
		{"sent", "B/s", float64(bytes) / per},
		{"processor", "ms/s", cpu / per / 1e6},
		{"state", "kB", heapGrowth / float64(hosts) / 1000},
		{"all-joined", "s", joinTime.Seconds()},
	}}, nil
}
