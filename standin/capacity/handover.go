package capacity

import (
	"fmt"
	"time"

	"toucangap/internal/config"
	"toucangap/internal/flow"
	"toucangap/internal/steer"
)

// handoverGroupSize is the number of hosts in handover measurements.
const handoverGroupSize = 8

// handoverTimeout limits the duration of a handover.
const handoverTimeout = 10 * time.Minute

// Handovers measures the cost of a host's join, graceful shutdown and death by
// the number of flows that are not at their default endpoint.
func Handovers() (Section, error) {
	s := Section{Name: "handovers", Description: "8 hosts with 8 services of 10 endpoints, one of which drains in each service, so that about a tenth of the flows have records; control limit 9,000 B/s"}
	for _, flows := range []int{3000, 10_000, flowsPerHost} {
		r, err := measureHandover(flows)
		if err != nil {
			return s, err
		}
		s.Rows = append(s.Rows, r)
	}
	return s, nil
}

func measureHandover(flows int) (Row, error) {
	g := newGroup(handoverGroupSize, newBundle(handoverGroupSize, handoverGroupSize, endpointsPerService))
	g.runUntil(joinTimeout, g.allLive)
	g.run(2 * steer.JoinGrace)
	g.openFlows(flows)
	g.waitForRecords()
	g.resetCounts()
	start := g.now
	g.drain()
	g.waitForRecords()
	records := float64(g.recordsIn()) / handoverGroupSize
	drainTime := g.lastRecordAt() - start

	g.resetCounts()
	joining := g.join()
	joinTime := g.runUntil(handoverTimeout, g.allLive)
	if joining.control.State() != config.HostLive {
		return Row{}, fmt.Errorf("%d flows: the new host did not join within %s", flows, handoverTimeout)
	}
	joinRecords, joinBytes := joining.recordsIn, joining.bytesIn
	g.waitForRecords()

	g.resetCounts()
	start = g.now
	g.kill(1)
	g.waitForRecords()
	deathRecords, deathTime := g.recordsIn(), g.lastRecordAt()-start

	g.resetCounts()
	leaving := g.nodes[2]
	leaving.control.Leave(g.now)
	stopTime := g.runUntil(handoverTimeout, func() bool { return leaving.stopped })
	return Row{fmt.Sprintf("flows=%d", flows), []Value{
		{"records", "/host", records},
		{"drain", "s", drainTime.Seconds()},
		{"join", "s", joinTime.Seconds()},
		{"join-records", "", float64(joinRecords)},
		{"join-received", "B", float64(joinBytes)},
		{"death-records", "", float64(deathRecords)},
		{"death-renewed", "s", deathTime.Seconds()},
		{"stop", "s", stopTime.Seconds()},
		{"stop-sent", "B", float64(leaving.bytesOut)},
	}}, nil
}

// Drains measures how long the records of a draining endpoint's flows take to
// reach their successors, at the size and the control limit of a small site.
func Drains() (Section, error) {
	s := Section{Name: "drains", Description: "4 hosts, one service of 14 endpoints, one of which drains; control limit 4,096 B/s"}
	for _, flows := range []int{1000, 10_000, 30_000, 100_000} {
		b := newBundle(1, 1, 14)
		b.Limits.ControlBytesPerSecond = 4096
		g := newGroup(4, b)
		g.runUntil(joinTimeout, g.allLive)
		g.run(2 * steer.JoinGrace)
		g.openFlows(flows)
		g.waitForRecords()
		g.resetCounts()
		start := g.now
		g.drain()
		g.waitForRecords()
		s.Rows = append(s.Rows, Row{fmt.Sprintf("flows=%d", flows), []Value{
			{"records", "/host", float64(g.recordsIn()) / 4},
			{"drain", "s", (g.lastRecordAt() - start).Seconds()},
		}})
	}
	return s, nil
}

// openFlows opens the given number of flows per host at their default endpoints.
func (g *group) openFlows(flows int) {
	p := steer.Packet{Direction: steer.FromCaller, Hop: steer.HopEdge, Length: 100}
	p.TCP.Flags = steer.TCPSyn
	for i := range flows * len(g.nodes) {
		p.Key = callerKey(i, g.bundle)
		p.Hop = steer.HopEdge
		n := g.nodes[0]
		owner, _ := n.view.Rank(n.view.Fingerprint(p.Key))
		g.byName[owner].shard.Packet(g.now, &p)
	}
}

// callerKey returns the flow key of the i-th caller.
func callerKey(i int, b *config.Bundle) flow.Key {
	return flow.Key{
		Protocol: flow.TCP,
		Caller:   callerAddress(i),
		Service:  b.Services[i%len(b.Services)].Address,
	}
}

// waitForRecords runs until no host has received records for 3 s, at most for
// handoverTimeout.
func (g *group) waitForRecords() {
	from := g.now
	g.runUntil(handoverTimeout, func() bool {
		return g.now-max(from, g.lastRecordAt()) > 3*time.Second
	})
}

// lastRecordAt returns the virtual time at which any host last received records.
func (g *group) lastRecordAt() time.Duration {
	var last time.Duration
	for _, n := range g.nodes {
		last = max(last, n.lastRecordAt)
	}
	return last
}

// kill stops a host without a handover. The other hosts learn of its death at
// the next tick.
func (g *group) kill(i int) {
	g.nodes[i].stopped = true
	g.nodes[i].self.State = config.HostDead
}
