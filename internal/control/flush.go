package control

import (
	"slices"

	"toucangap/internal/config"
	"toucangap/internal/peerpb"
	"toucangap/internal/steer"
)

// Receive processes a message from a peer.
func (c *Control) Receive(now Time, from string, m *peerpb.Envelope) {
	p := c.peers[from]
	if p == nil {
		return
	}
	switch b := m.Body.(type) {
	case *peerpb.Envelope_Batch:
		for _, item := range b.Batch.Items {
			c.Receive(now, from, item)
		}
	case *peerpb.Envelope_Records:
		c.onRecords(p, b.Records)
	case *peerpb.Envelope_RecordsAck:
		c.onRecordsAck(p, b.RecordsAck)
	case *peerpb.Envelope_Loads:
		c.onLoads(p, b.Loads)
	case *peerpb.Envelope_LeaseRequest:
		c.onLeaseRequest(now, p, b.LeaseRequest)
	case *peerpb.Envelope_LeaseGrant:
		p.lease.onGrant(b.LeaseGrant)
	case *peerpb.Envelope_Handover:
		c.onHandover(now, p, b.Handover)
	case *peerpb.Envelope_HandoverAck:
		p.onHandoverAck(b.HandoverAck)
	case *peerpb.Envelope_BundleOffer:
		c.onOffer(p, b.BundleOffer)
	case *peerpb.Envelope_BundleRequest:
		c.onBundleRequest(p, b.BundleRequest)
	case *peerpb.Envelope_BundleData:
		c.fetched = append(c.fetched, FetchedBundle{p.host.Name, b.BundleData.Signed})
	case *peerpb.Envelope_Marks:
		c.onMarks(now, b.Marks)
	}
}

// flush sends each connected peer its due messages in one frame.
func (c *Control) flush(now Time) {
	for _, p := range c.sortedPeers() {
		if !p.connected {
			continue
		}
		items := c.dueMessages(now, p)
		if len(items) > 0 {
			c.send(now, p, items)
		}
	}
}

// dueMessages returns the messages to send to a peer now.
func (c *Control) dueMessages(now Time, p *peer) []*peerpb.Envelope {
	items := p.urgent
	p.urgent = nil
	if now-p.lastFrame >= heartbeatPeriod || p.lastFrame == 0 {
		items = append(items, c.heartbeat(now, p)...)
	}
	if p.marksDue {
		items = append(items, envelope(c.marksMessage()))
		p.marksDue = false
	}
	if m := c.recordsDue(now, p); m != nil {
		items = append(items, envelope(m))
	}
	if len(items) > 0 || now-p.lastFrame >= recordsPeriod {
		items = append(items, c.ackDue(p)...)
	}
	return items
}

// heartbeat requests the next lease and reports loads and the bundle version.
func (c *Control) heartbeat(now Time, p *peer) []*peerpb.Envelope {
	p.lastFrame = now
	var items []*peerpb.Envelope
	if c.self.State.OwnsFlows() {
		items = append(items, envelope(p.lease.request(now, c.self.Incarnation)))
		items = append(items, envelope(c.loadsMessage()))
	}
	if p.offerDue || p.offered != c.version() || now-p.lastOffer >= offerPeriod {
		p.offerDue = false
		p.offered = c.version()
		p.lastOffer = now
		items = append(items, envelope(c.offer()))
	}
	return items
}

// recordsDue returns the next batch of records for a peer as far as the budget
// allows, or nil. A batch that is neither full nor urgent is due recordsPeriod
// after the one before.
func (c *Control) recordsDue(now Time, p *peer) *peerpb.Records {
	early := now-p.lastRecords < recordsPeriod && !p.recordsUrgent
	if len(p.readyRecords) == 0 || early && len(p.readyRecords) < maxRecordsPerFrame {
		return nil
	}
	n := fittingRecords(p.readyRecords, c.budget.remaining()-frameOverhead-heartbeatBytes)
	if n < min(len(p.readyRecords), maxRecordsPerFrame) {
		c.budget.deferrals++
	}
	if n == 0 {
		return nil
	}
	p.lastRecords = now
	p.recordsUrgent = false
	return c.nextBatch(p, n)
}

// fittingRecords returns how many of the first records, at most one batch, fit
// into a number of bytes.
func fittingRecords(records []steer.Record, bytes int) int {
	var services []config.ServiceID
	for i, r := range records {
		if !slices.Contains(services, r.Service) {
			services = append(services, r.Service)
			bytes -= serviceBytes
		}
		bytes -= recordBytes
		if bytes < 0 || i == maxRecordsPerFrame {
			return i
		}
	}
	return len(records)
}

// ackDue returns the acknowledgement of a peer's records if one is due.
func (c *Control) ackDue(p *peer) []*peerpb.Envelope {
	if !p.ackDue {
		return nil
	}
	p.ackDue = false
	return []*peerpb.Envelope{envelope(&peerpb.RecordsAck{Sequence: p.received})}
}

// send puts the messages for a peer into one frame and charges the budget.
func (c *Control) send(now Time, p *peer, items []*peerpb.Envelope) {
	m := items[0]
	if len(items) > 1 {
		m = envelope(&peerpb.Batch{Items: items})
	}
	c.budget.spend(now, wireSize(m))
	c.sends = append(c.sends, Send{p.host.Name, m})
}
