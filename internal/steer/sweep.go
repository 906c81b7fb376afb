package steer

import "time"

// The parameters of the periodic pass over the flow table.
const (
	// eagerSweep is how many entries a tick visits after a view change.
	eagerSweep = 20_000
	// lazySweepTicks is in how many ticks a pass covers the table otherwise.
	lazySweepTicks = 100
	// closedFlowTimeout is how long a closed TCP flow is kept.
	closedFlowTimeout = 5 * time.Second
	// replicaExpiry is how long a peer's record is kept without activity.
	replicaExpiry = 30 * time.Minute
)

// sweeper is the state of the pass over the flow table. After a view change, one
// complete eager pass reconciles every entry with the new view.
type sweeper struct {
	cursor int
	// eager reports whether the pass reconciles roles and records.
	eager bool
	// done reports whether an eager pass under the current view has ended.
	done bool
	// remaining is the number of slots that the eager pass has yet to visit.
	remaining int
}

// restart begins an eager pass at the next tick.
func (w *sweeper) restart() {
	w.eager = true
	w.done = false
	w.remaining = -1
}

// Tick expires requests and flows and reconciles entries with the view. It
// returns the final replies that have become due; the slice is valid until the
// next call.
func (s *Shard) Tick(now Time) []Notice {
	s.notices = s.notices[:0]
	s.expireRequests(now)
	s.requests.forget(now)
	s.sweepFlows(now)
	return s.notices
}

// Settled reports whether every entry is reconciled with the current view and no
// change waits to be sent.
func (s *Shard) Settled() bool {
	if !s.sweep.done {
		return false
	}
	for _, q := range s.queues {
		if len(q.changes) > 0 {
			return false
		}
	}
	return true
}

// expireRequests abandons the requests whose deadline has passed and queues a
// final reply to each.
func (s *Shard) expireRequests(now Time) {
	for r := s.requests.expired(now); r != nil; r = s.requests.expired(now) {
		s.finishOpen(now, r, requestUnknown)
		s.Counts.OutcomeUnknown++
		s.notices = append(s.notices, Notice{
			Flow:    r.flow,
			Message: r.message,
			Reply:   ReplyOutcomeUnknown,
			Reason:  ReasonDeadline,
		})
	}
}

// sweepFlows visits the next part of the flow table.
func (s *Shard) sweepFlows(now Time) {
	n := len(s.flows.slots)
	if s.sweep.eager && s.sweep.remaining < 0 {
		s.sweep.remaining = n
	}
	visits := min(n, n/lazySweepTicks+1)
	if s.sweep.eager {
		visits = min(s.sweep.remaining, eagerSweep)
		s.sweep.remaining -= visits
	}
	for range visits {
		s.visitNext(now)
	}
	if s.sweep.eager && s.sweep.remaining == 0 {
		s.sweep.eager = false
		s.sweep.done = true
	}
}

// visitNext visits one slot and advances the cursor.
func (s *Shard) visitNext(now Time) {
	if s.sweep.cursor >= len(s.flows.slots) {
		s.sweep.cursor = 0
	}
	e := &s.flows.slots[s.sweep.cursor]
	s.sweep.cursor++
	if !e.has(flagUsed) {
		return
	}
	if s.expired(now, e) {
		s.removeEntry(e)
		return
	}
	s.markIfDormant(now, e)
	if s.sweep.eager {
		s.reconcile(now, e)
	}
}

// expired reports whether an entry is due for removal. One with open requests
// never is.
func (s *Shard) expired(now Time, e *entry) bool {
	idle := now - e.lastSeen
	switch {
	case e.requests > 0:
		return false
	case !e.has(flagOwned):
		return idle >= replicaExpiry
	case e.ended != ReasonNone:
		return now-e.endedAt >= RetransmitWindow
	case e.has(flagClosing):
		return idle >= closedFlowTimeout
	}
	limit := s.view.idleLimit()
	return limit > 0 && idle >= limit
}

// removeEntry removes an entry and queues the withdrawal of its record.
func (s *Shard) removeEntry(e *entry) {
	s.uncount(e)
	if e.has(flagOwned) && e.replica != 0 {
		s.queueWithdrawal(e.replica, e)
	}
	s.flows.remove(e.fp)
}

// reconcile sets an entry's role under the current view and queues its record
// for the hosts that need it.
func (s *Shard) reconcile(now Time, e *entry) {
	r := s.view.rank(e.fp)
	if r.owner == nil {
		return
	}
	isOwner := r.owner.Index == s.view.Self.Index
	switch {
	case isOwner && !e.has(flagOwned):
		e.since = now
		s.markOwned(now, e, 0)
	case !isOwner && e.has(flagOwned):
		s.handOver(r, e)
		return
	case !isOwner:
		if s.view.Leaving && r.missing > 0 {
			e.flags |= flagHandedOver
		}
		s.sendHandedOver(r, e)
		return
	}
	e.flags &^= flagHandedOver
	if s.needsRecord(s.view, e) {
		e.flags |= flagException
		s.replicate(r, e)
		return
	}
	e.flags &^= flagException
	s.clearReplicas(r, e)
}

// clearReplicas clears the indexes of hosts that need no record of the flow, so
// that an index reused for another host later is not mistaken for theirs.
func (s *Shard) clearReplicas(r ranking, e *entry) {
	if r.successor == nil || e.replica != r.successor.Index {
		e.replica = 0
	}
	e.joinReplica = 0
}

// handOver hands a flow over to its new owner: the entry stays as a replica if
// the flow is an exception. A flow with open requests stays until they have
// finished; the new owner passes its packets back here.
func (s *Shard) handOver(r ranking, e *entry) {
	exception := s.needsRecord(s.view, e) || e.ended != ReasonNone
	if exception {
		e.flags |= flagHandedOver
		s.sendHandedOver(r, e)
	}
	if e.requests > 0 {
		return
	}
	s.uncount(e)
	e.flags &^= flagOwned | flagFresh
	if !exception {
		s.flows.remove(e.fp)
	}
}

// sendHandedOver sends the record of a handed-over flow to its owner, and again
// if another host becomes the owner while this host is leaving: only this host
// may have the record then. The same applies to replicas that a leaving host
// holds for a missing one.
func (s *Shard) sendHandedOver(r ranking, e *entry) {
	if !e.has(flagHandedOver) || e.replica == r.owner.Index || e.joinReplica == r.owner.Index {
		return
	}
	s.queueRecord(r.owner.Index, e)
	e.replica = r.owner.Index
}

// needsRecord reports whether a host that takes the flow over could not compute
// its endpoint: the endpoint is not active, or differs from the default in the
// table that peers use now or in the one that they are about to use.
func (s *Shard) needsRecord(v *View, e *entry) bool {
	if e.endpoint.Life() != LifeActive {
		return true
	}
	id := e.endpoint.Key.Service
	current := v.Current[id]
	if current == nil || current.Default(e.fp) != e.endpoint {
		return true
	}
	if v.Baseline == v.Bundle.Version {
		return false
	}
	former := v.TableAt(v.Baseline, id)
	return former != current && former.Default(e.fp) != e.endpoint
}

// replicate queues the flow's record for the successor, and for a joining host
// that will be owner or successor, unless already queued.
func (s *Shard) replicate(r ranking, e *entry) {
	if r.successor != nil && e.replica != r.successor.Index {
		s.noteUnconfirmedReplica(e)
		s.queueRecord(r.successor.Index, e)
		e.replica = r.successor.Index
	}
	if r.joining == nil {
		e.joinReplica = 0
		return
	}
	if e.joinReplica != r.joining.Index {
		s.queueExtraReplica(r.joining.Index, e)
		e.joinReplica = r.joining.Index
	}
}

// noteUnconfirmedReplica marks a flow whose successor went missing before it
// confirmed the record: if it still runs, it assumes the default endpoint.
func (s *Shard) noteUnconfirmedReplica(e *entry) {
	if s.view.Partitioned && e.replica != 0 && !e.has(flagConfirmed) {
		e.flags |= flagContested
	}
}

// idleLimit returns how long a flow may be idle; 0 means no limit.
func (v *View) idleLimit() Time {
	if v.Bundle == nil {
		return 0
	}
	return v.Bundle.Limits.FlowIdle
}
