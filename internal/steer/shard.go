package steer

import (
	"toucangap/internal/flow"
)

// Notice is a final reply of this host to a request, sent when the request's
// deadline passes and not upon a packet.
type Notice struct {
	Flow    flow.Key
	Message CoAP
	Reply   ReplyKind
	Reason  Reason
}

// Counts are a shard's running totals.
type Counts struct {
	Packets     int64
	Forwarded   int64
	Returned    int64
	Passed      int64
	Replied     int64
	FlowsOpened int64
	// Exceptions counts flows that needed a record when they were begun or taken
	// over.
	Exceptions int64
	// TakenOver counts flows taken over at a former default endpoint.
	TakenOver int64
	// RecordsMoved counts peers' records that changed the endpoint of a flow.
	RecordsMoved int64
	// RecordsUnknown counts peers' records of endpoints unknown to this host.
	RecordsUnknown int64
	// Admitted and Refused count new requests, OutcomeUnknown the admitted ones
	// that were abandoned, and Answers the answers to open ones.
	Admitted       int64
	Refused        int64
	OutcomeUnknown int64
	Answers        int64
	// Drops counts dropped packets by Reason.
	Drops [reasonCount]int64
}

// Shard decides for its part of the flows; see ShardOf. All its methods must be
// called from one goroutine.
type Shard struct {
	shared *Shared
	view   *View
	flows  flowTable
	// requests holds the requests of flows that are owned here.
	requests requestTable
	queues   map[HostIndex]*recordQueue
	chooser  chooser
	bucket   tokenBucket
	sweep    sweeper
	// flowLimit is the maximum number of flows in the table.
	flowLimit int
	notices   []Notice
	// Counts may be read only on the shard's goroutine.
	Counts Counts
}

// NewShard returns an empty shard; shards is how many share the host's limits,
// and flowLimit is this one's maximum number of flows.
func NewShard(shared *Shared, shards, flowLimit int) *Shard {
	return &Shard{
		shared:    shared,
		view:      &View{},
		flows:     newFlowTable(),
		requests:  newRequestTable(),
		queues:    make(map[HostIndex]*recordQueue),
		chooser:   newChooser(),
		bucket:    tokenBucket{shards: shards},
		flowLimit: flowLimit,
	}
}

// maxFlows returns how many flows this shard may hold: its share of the
// process's limit or of the bundle's, whichever is lower.
func (s *Shard) maxFlows() int {
	perHost := s.view.Bundle.Limits.FlowsPerHost
	if perHost <= 0 {
		return s.flowLimit
	}
	return min(s.flowLimit, max(1, perHost/s.bucket.shards))
}

// SetView installs a new snapshot.
func (s *Shard) SetView(v *View) {
	s.view = v
	s.sweep.restart()
}

// packetContext holds the state of the decision on one packet.
type packetContext struct {
	now    Time
	packet *Packet
	view   *View
	table  *Table
	fp     flow.Fingerprint
	rank   ranking
	// isOwner reports whether this host owns the flow.
	isOwner bool
}

// Packet decides on one packet. It allocates nothing for established flows.
func (s *Shard) Packet(now Time, p *Packet) Verdict {
	v := s.decide(now, p)
	s.Counts.Packets++
	switch v.Action {
	case ActionDrop:
		s.Counts.Drops[v.Reason]++
	case ActionForward:
		s.Counts.Forwarded++
	case ActionReturn:
		s.Counts.Returned++
	case ActionPass:
		s.Counts.Passed++
	case ActionReply:
		s.Counts.Replied++
	}
	return v
}

func (s *Shard) decide(now Time, p *Packet) Verdict {
	v := s.view
	if v.Bundle == nil {
		return dropPacket(ReasonNoBundle)
	}
	c := packetContext{now: now, packet: p, view: v, table: v.Lookup(p.Key)}
	if c.table == nil {
		return dropPacket(ReasonNoService)
	}
	c.fp = v.Fingerprint(p.Key)
	c.rank = v.rank(c.fp)
	if c.rank.owner == nil {
		return dropPacket(ReasonNoOwner)
	}
	c.isOwner = c.rank.owner.Index == v.Self.Index
	if p.Direction == FromEndpoint {
		return s.fromEndpoint(&c)
	}
	return s.fromCaller(&c)
}

func dropPacket(r Reason) Verdict {
	return Verdict{Action: ActionDrop, Reason: r}
}

func passPacket(to *Host, hop Hop) Verdict {
	return Verdict{Action: ActionPass, Peer: to.Packets, Hop: hop}
}
