package control

import (
	"net/netip"
	"time"

	"toucangap/internal/config"
	"toucangap/internal/flow"
	"toucangap/internal/peerpb"
	"toucangap/internal/steer"
)

// maxUnacked limits the batches that wait for a peer's confirmation.
const maxUnacked = 32

// queueRecords queues records that a shard returned for a host.
func (c *Control) queueRecords(h steer.HostRecords) {
	if p := c.peerByIndex(h.Host); p != nil {
		p.readyRecords = append(p.readyRecords, h.Records...)
		p.recordsUrgent = p.recordsUrgent || h.Urgent
	}
}

// requestRecords asks the shards for as many records as the budget allows.
func (c *Control) requestRecords() {
	for _, p := range c.sortedPeers() {
		if p.departedAt != 0 {
			continue
		}
		take := steer.Take{Host: c.hostIndex(p.host.Name), Limit: c.recordLimit(p)}
		for i := range c.shards {
			c.shards[i].command.Take = append(c.shards[i].command.Take, take)
		}
	}
}

// recordLimit returns how many records for a peer each shard may return: its part
// of what the budget and one batch allow, or 0 if the peer is not connected or has
// maxUnacked batches to confirm.
func (c *Control) recordLimit(p *peer) int {
	if !p.connected || len(p.unacked) >= maxUnacked {
		return 0
	}
	room := maxRecordsPerFrame - len(p.readyRecords)
	affordable := c.budget.remaining() / recordBytes
	return max(0, min(room, affordable)) / len(c.shards)
}

// waitingRecords returns how many record changes are queued for a peer.
func (c *Control) waitingRecords(p *peer) int {
	n := len(p.readyRecords)
	index := c.hostIndex(p.host.Name)
	for i := range c.shards {
		n += c.shards[i].waitingRecords[index]
	}
	return n
}

// replicated reports whether a peer has confirmed all records meant for it.
func (c *Control) replicated(p *peer) bool {
	return len(p.unacked) == 0 && c.waitingRecords(p) == 0
}

// nextBatch makes a batch of the first n records that are ready for a peer.
func (c *Control) nextBatch(p *peer, n int) *peerpb.Records {
	m := c.newRecords(p)
	byService := make(map[config.ServiceID]*peerpb.ServiceRecords)
	for _, r := range p.readyRecords[:n] {
		s := byService[r.Service]
		if s == nil {
			s = &peerpb.ServiceRecords{Service: uint32(r.Service)}
			byService[r.Service] = s
			m.Services = append(m.Services, s)
		}
		s.Fingerprints = append(s.Fingerprints, uint64(r.Fingerprint))
		s.Endpoints = append(s.Endpoints, uint32(r.Endpoint))
	}
	p.readyRecords = p.readyRecords[n:]
	p.unacked = append(p.unacked, m)
	return m
}

// newRecords returns the next batch, without records.
func (c *Control) newRecords(p *peer) *peerpb.Records {
	if p.sequence == 0 {
		p.sequence = c.firstSequence()
	}
	p.sequence++
	return &peerpb.Records{
		Sequence: p.sequence,
		Baseline: uint64(c.announcedBaseline()),
		Version:  uint64(c.version()),
	}
}

// firstSequence returns a number above all sequence numbers of former processes
// of this host, as a new process takes its incarnation from the wall clock in
// seconds.
func (c *Control) firstSequence() uint64 {
	return c.self.Incarnation << 32
}

// onRecords processes a batch. A batch made under a newer bundle is held until
// that bundle is in force, since it may name endpoints unknown here.
func (c *Control) onRecords(p *peer, m *peerpb.Records) {
	p.ackDue = true
	if m.Sequence <= p.received {
		return
	}
	if config.Version(m.Version) > c.version() {
		p.heldBatches = append(p.heldBatches, m)
		return
	}
	c.applyRecords(p, m)
}

// applyHeldRecords processes the batches that waited for a newer bundle again.
func (c *Control) applyHeldRecords() {
	for _, p := range c.sortedPeers() {
		heldBatches := p.heldBatches
		p.heldBatches = nil
		for _, m := range heldBatches {
			c.onRecords(p, m)
		}
	}
}

// applyRecords passes a batch to the shards.
func (c *Control) applyRecords(p *peer, m *peerpb.Records) {
	p.received = m.Sequence
	c.setPeerBaseline(p, config.Version(m.Baseline))
	batches := make([][]steer.Record, len(c.shards))
	for _, s := range m.Services {
		if len(s.Endpoints) != len(s.Fingerprints) {
			continue
		}
		for i, fp := range s.Fingerprints {
			r := steer.Record{
				Fingerprint: flow.Fingerprint(fp),
				Service:     config.ServiceID(s.Service),
				Endpoint:    config.EndpointID(s.Endpoints[i]),
			}
			shard := steer.ShardOf(r.Fingerprint, len(c.shards))
			batches[shard] = append(batches[shard], r)
			p.recordsHeld++
		}
	}
	for i, records := range batches {
		if len(records) > 0 {
			b := steer.RecordBatch{From: flow.HashName(p.host.Name), Records: records}
			c.shards[i].command.Apply = append(c.shards[i].command.Apply, b)
		}
	}
}

// onRecordsAck removes the confirmed batches and tells the shards.
func (c *Control) onRecordsAck(p *peer, m *peerpb.RecordsAck) {
	p.acked = max(p.acked, m.Sequence)
	n := 0
	for n < len(p.unacked) && p.unacked[n].Sequence <= p.acked {
		c.confirm(p, p.unacked[n])
		n++
	}
	p.unacked = p.unacked[n:]
}

// confirm tells the shards that a peer holds the records of a batch.
func (c *Control) confirm(p *peer, m *peerpb.Records) {
	flows := make([][]flow.Fingerprint, len(c.shards))
	for _, s := range m.Services {
		for _, fp := range s.Fingerprints {
			shard := steer.ShardOf(flow.Fingerprint(fp), len(c.shards))
			flows[shard] = append(flows[shard], flow.Fingerprint(fp))
		}
	}
	for i := range flows {
		if len(flows[i]) > 0 {
			confirmed := steer.Confirmation{Host: c.hostIndex(p.host.Name), Flows: flows[i]}
			c.shards[i].command.Confirmed = append(c.shards[i].command.Confirmed, confirmed)
		}
	}
}

// openRequestMessage encodes an open request, or returns nil on failure.
func openRequestMessage(r steer.OpenRequest) *peerpb.OpenRequest {
	caller, err := r.Flow.Caller.MarshalBinary()
	if err != nil {
		return nil
	}
	return &peerpb.OpenRequest{
		Fingerprint: uint64(r.Fingerprint),
		Service:     uint32(r.Endpoint.Service),
		Endpoint:    uint32(r.Endpoint.Endpoint),
		Token:       r.Message.Token.Bytes[:r.Message.Token.Length],
		MessageId:   uint32(r.Message.MessageID),
		Caller:      caller,
		RemainingMs: uint32(max(0, r.Remaining/time.Millisecond)),
		Type:        uint32(r.Message.Type),
		Code:        uint32(r.Message.Code),
	}
}

// openRequest decodes an open request. It returns false if the request is
// malformed or its service is not in the bundle in force.
func (c *Control) openRequest(m *peerpb.OpenRequest) (steer.OpenRequest, bool) {
	var caller netip.AddrPort
	if caller.UnmarshalBinary(m.Caller) != nil || len(m.Token) > 8 || c.bundle.bundle == nil {
		return steer.OpenRequest{}, false
	}
	service := c.bundle.bundle.Service(config.ServiceID(m.Service))
	if service == nil {
		return steer.OpenRequest{}, false
	}
	r := steer.OpenRequest{
		Fingerprint: flow.Fingerprint(m.Fingerprint),
		Flow:        flow.Key{Protocol: service.Protocol, Caller: caller, Service: service.Address},
		Endpoint:    steer.EndpointKey{Service: service.ID, Endpoint: config.EndpointID(m.Endpoint)},
		Message: steer.CoAP{
			Type:      steer.CoAPType(m.Type),
			Code:      uint8(m.Code),
			MessageID: uint16(m.MessageId),
		},
		Remaining: Time(m.RemainingMs) * time.Millisecond,
	}
	r.Message.Token.Length = uint8(copy(r.Message.Token.Bytes[:], m.Token))
	return r, true
}
