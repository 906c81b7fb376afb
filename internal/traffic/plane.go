package traffic

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"toucangap/internal/event"
	"toucangap/internal/flow"
	"toucangap/internal/reply"
	"toucangap/internal/settings"
	"toucangap/internal/steer"
)

// Config configures a Plane.
type Config struct {
	// Listen holds the addresses to bind; Callers, Endpoints and Packets are used.
	Listen settings.Listen
	// Fabric holds the address that packets for callers are sent to.
	Fabric settings.Fabric
	// Workers is the number of shards, at least 1.
	Workers int
	// Now returns the monotonic time since the process started.
	Now        func() time.Duration
	Classifier FlowClassifier
	// NewDecider is called once for each shard with its number, counted from 0.
	NewDecider func(shard int) Decider
	Logger     *slog.Logger
}

// Plane is the data plane of one host.
type Plane struct {
	logger     *slog.Logger
	classifier FlowClassifier
	conns      [socketRoleCount][]*net.UDPConn
	readers    []*reader
	shards     []*Shard
	peers      atomic.Pointer[map[netip.AddrPort]struct{}]
}

// Open binds the sockets. It fails with ErrListen.
func Open(c Config) (*Plane, error) {
	p := &Plane{logger: c.Logger, classifier: c.Classifier}
	p.SetPeers(nil)
	addresses := [socketRoleCount]netip.AddrPort{c.Listen.Callers, c.Listen.Endpoints, c.Listen.Packets}
	for i, address := range addresses {
		conns, err := listenAll(address, c.Workers)
		if err != nil {
			p.close()
			return nil, err
		}
		p.conns[i] = conns
	}
	for i := range c.Workers {
		p.shards = append(p.shards, p.newShard(c, i))
	}
	for s := range socketRoleCount {
		for _, conn := range p.conns[s] {
			r, err := newReader(p, s, conn)
			if err != nil {
				p.close()
				return nil, err
			}
			p.readers = append(p.readers, r)
		}
	}
	return p, nil
}

// messageIDCount is the number of CoAP message IDs, which are divided among the
// shards.
const messageIDCount = 1 << 16

// newShard returns the shard with the given number.
func (p *Plane) newShard(c Config, number int) *Shard {
	s := &Shard{
		decider:  c.NewDecider(number),
		now:      c.Now,
		fabric:   c.Fabric.Return,
		queue:    make(chan *batch, queueLength),
		tasks:    make(chan Task, taskQueueLength),
		stopped:  make(chan struct{}),
		counters: newCounters(),
		replies:  reply.NewBuilder(uint16(number * messageIDCount / c.Workers)),
		unsent:   make([]*batch, 0, maxBatchesPerFlush),
	}
	for i := range s.senders {
		s.senders[i] = newSender(p.conns[i][number], s.counters)
	}
	return s
}

// Run processes packets until ctx is done. It then processes the packets that
// have already arrived, closes the sockets and returns nil. It must be called only
// once.
func (p *Plane) Run(ctx context.Context) error {
	event.Log(p.logger, event.TrafficStarted, slog.Int("workers", len(p.shards)))
	var reading, deciding sync.WaitGroup
	for _, s := range p.shards {
		deciding.Go(s.run)
	}
	for _, r := range p.readers {
		reading.Go(r.run)
	}
	<-ctx.Done()
	p.stopReading()
	reading.Wait()
	for _, s := range p.shards {
		close(s.queue)
	}
	deciding.Wait()
	p.close()
	event.Log(p.logger, event.TrafficStopped)
	return nil
}

// stopReading makes all blocked reads return by a deadline in the past.
func (p *Plane) stopReading() {
	past := time.Unix(0, 0)
	for _, conns := range p.conns {
		for _, conn := range conns {
			_ = conn.SetReadDeadline(past)
		}
	}
}

func (p *Plane) close() {
	for _, conns := range p.conns {
		closeAll(conns)
	}
}

// Shards returns the shards, indexed by their number.
func (p *Plane) Shards() []*Shard {
	return p.shards
}

// Listen returns the bound addresses, with the port chosen by the system where
// the settings specify port 0.
func (p *Plane) Listen() settings.Listen {
	return settings.Listen{
		Callers:   localAddr(p.conns[callerSocket][0]),
		Endpoints: localAddr(p.conns[endpointSocket][0]),
		Packets:   localAddr(p.conns[peerSocket][0]),
	}
}

// SetPeers replaces the set of addresses from which Listen.Packets accepts
// packets. It is safe for concurrent use.
func (p *Plane) SetPeers(peers []netip.AddrPort) {
	known := make(map[netip.AddrPort]struct{}, len(peers))
	for _, peer := range peers {
		known[unmap(peer)] = struct{}{}
	}
	p.peers.Store(&known)
}

// isPeer reports whether the address belongs to a known peer.
func (p *Plane) isPeer(a netip.AddrPort) bool {
	_, known := (*p.peers.Load())[a]
	return known
}

// shardOf returns the number of the shard that decides on a flow.
func (p *Plane) shardOf(key flow.Key) int {
	return steer.ShardOf(p.classifier.Fingerprint(key), len(p.shards))
}

// Counters returns the totals over all readers and shards.
func (p *Plane) Counters() Counters {
	t := Counters{Drops: make([]int64, reasonCount), Replies: make([]int64, reasonCount)}
	for _, r := range p.readers {
		r.counters.addTo(&t)
	}
	for _, s := range p.shards {
		s.counters.addTo(&t)
	}
	return t
}
