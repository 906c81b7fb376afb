package steer

import (
	"toucangap/internal/config"
	"toucangap/internal/flow"
)

// Record tells another host the endpoint of a flow, if that host could not
// compute the endpoint when it takes the flow over; see needsRecord. Endpoint 0
// withdraws an earlier record.
type Record struct {
	Fingerprint flow.Fingerprint
	Service     config.ServiceID
	Endpoint    config.EndpointID
}

// pendingRecord is a flow whose record must be sent to a host.
type pendingRecord struct {
	fp      flow.Fingerprint
	service config.ServiceID
}

// recordQueue holds the flows whose records are queued for one host. A record
// is read when it is sent, so that it holds the flow's current endpoint.
type recordQueue struct {
	// urgent holds changes that a request waits for. A change must reach the host
	// before the host can take the flow over at the right endpoint; withdrawals
	// only save memory there.
	urgent      []pendingRecord
	changes     []pendingRecord
	withdrawals []pendingRecord
}

// maxWithdrawals bounds the withdrawals queued for one host; more are dropped,
// since the replica also expires without them.
const maxWithdrawals = 4096

// queueRecord queues the flow's record for a host and marks it unconfirmed.
func (s *Shard) queueRecord(to HostIndex, e *entry) {
	e.flags &^= flagConfirmed | flagRecordUrgent
	s.queueExtraReplica(to, e)
}

// queueExtraReplica queues the flow's record for a host besides the successor;
// the successor's confirmation stays valid.
func (s *Shard) queueExtraReplica(to HostIndex, e *entry) {
	q := s.queue(to)
	q.changes = append(q.changes, pendingRecord{e.fp, e.endpoint.Key.Service})
	s.shared.RecordsWaiting.Add(1)
}

// queueWithdrawal queues a withdrawal of the flow's record for a host.
func (s *Shard) queueWithdrawal(to HostIndex, e *entry) {
	q := s.queue(to)
	if len(q.withdrawals) < maxWithdrawals {
		q.withdrawals = append(q.withdrawals, pendingRecord{e.fp, e.endpoint.Key.Service})
	}
}

func (s *Shard) queue(to HostIndex) *recordQueue {
	q := s.queues[to]
	if q == nil {
		q = &recordQueue{}
		s.queues[to] = q
	}
	return q
}

// TakeRecords moves up to limit records that are queued for a host to dst.
// Changes go before withdrawals.
func (s *Shard) TakeRecords(to HostIndex, limit int, dst []Record) []Record {
	q := s.queues[to]
	if q == nil {
		return dst
	}
	dst, urgent := s.take(&q.urgent, limit, dst)
	dst, changes := s.take(&q.changes, limit-urgent, dst)
	s.shared.RecordsWaiting.Add(-int32(changes))
	dst, _ = s.take(&q.withdrawals, limit-urgent-changes, dst)
	return dst
}

// Confirm marks the records of flows as confirmed by a host.
func (s *Shard) Confirm(host HostIndex, flows []flow.Fingerprint) {
	for _, fp := range flows {
		if e := s.flows.get(fp); e != nil && e.replica == host {
			e.flags |= flagConfirmed
			e.flags &^= flagRecordUrgent
			s.clearHandedOver(e)
		}
	}
}

// clearHandedOver ends the replication of a handed-over flow whose owner holds
// its record, unless this host is leaving and must follow further owners.
func (s *Shard) clearHandedOver(e *entry) {
	if !s.view.Leaving {
		e.flags &^= flagHandedOver
	}
}

// queueUrgentRecord queues a flow's record ahead of all others.
func (s *Shard) queueUrgentRecord(to HostIndex, e *entry) {
	if e.has(flagRecordUrgent) {
		return
	}
	e.flags |= flagRecordUrgent
	e.replica = to
	q := s.queue(to)
	q.urgent = append(q.urgent, pendingRecord{e.fp, e.endpoint.Key.Service})
}

// take moves up to limit records from the head of a list.
func (s *Shard) take(list *[]pendingRecord, limit int, dst []Record) ([]Record, int) {
	n := min(limit, len(*list))
	for _, p := range (*list)[:n] {
		dst = append(dst, s.record(p))
	}
	rest := copy(*list, (*list)[n:])
	*list = (*list)[:rest]
	return dst, n
}

// record reads the current endpoint of a flow.
func (s *Shard) record(p pendingRecord) Record {
	r := Record{Fingerprint: p.fp, Service: p.service}
	if e := s.flows.get(p.fp); e != nil {
		r.Endpoint = e.endpoint.Key.Endpoint
	}
	return r
}

// Waiting returns the number of changes, urgent ones included, queued for a host.
func (s *Shard) Waiting(to HostIndex) int {
	q := s.queues[to]
	if q == nil {
		return 0
	}
	return len(q.urgent) + len(q.changes)
}

// Urgent reports whether urgent records are queued for a host.
func (s *Shard) Urgent(to HostIndex) bool {
	q := s.queues[to]
	return q != nil && len(q.urgent) > 0
}

// Forget drops the queue of a host that no longer needs records.
func (s *Shard) Forget(to HostIndex) {
	if q := s.queues[to]; q != nil {
		s.shared.RecordsWaiting.Add(-int32(len(q.changes)))
	}
	delete(s.queues, to)
}

// ApplyRecords applies records that a peer sent. A record never moves a flow
// that has open requests here, and of two owners that both claim a flow the
// one that ranks higher for it wins.
func (s *Shard) ApplyRecords(now Time, from flow.NodeHash, records []Record) {
	v := s.view
	for _, r := range records {
		s.applyRecord(now, v, from, r)
	}
}

func (s *Shard) applyRecord(now Time, v *View, from flow.NodeHash, r Record) {
	e := s.flows.get(r.Fingerprint)
	if r.Endpoint == 0 {
		s.withdraw(e)
		return
	}
	endpoint := s.shared.Endpoint(EndpointKey{r.Service, r.Endpoint})
	if endpoint == nil {
		s.Counts.RecordsUnknown++
		return
	}
	if e == nil {
		e = s.flows.insert(r.Fingerprint)
		e.endpoint = endpoint
		e.lastSeen = now
		e.since = now
		e.flags |= flagKnown
		return
	}
	if e.endpoint == endpoint || !s.yieldsTo(v, e, from) {
		return
	}
	s.Counts.RecordsMoved++
	s.uncount(e)
	e.endpoint = endpoint
	e.flags &^= flagFresh | flagConfirmed
	e.flags |= flagKnown
	e.since = now
	s.count(e)
}

// withdraw removes a replica.
func (s *Shard) withdraw(e *entry) {
	if e == nil || e.has(flagOwned) {
		return
	}
	s.flows.remove(e.fp)
}

// yieldsTo reports whether a record of the host from replaces this host's entry.
func (s *Shard) yieldsTo(v *View, e *entry, from flow.NodeHash) bool {
	if !e.has(flagOwned) {
		return true
	}
	if e.requests > 0 {
		return false
	}
	return flow.Score(e.fp, from) > flow.Score(e.fp, v.Self.Hash)
}
