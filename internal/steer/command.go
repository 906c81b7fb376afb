package steer

import (
	"cmp"
	"slices"

	"toucangap/internal/config"
	"toucangap/internal/flow"
)

// ShardOf returns which of n shards decides for a flow: the upper half of the
// fingerprint scaled to n.
func ShardOf(fp flow.Fingerprint, n int) int {
	return int(uint64(fp) >> 32 * uint64(n) >> 32)
}

// Take asks a shard for records that are queued for a host, at most Limit.
type Take struct {
	Host  HostIndex
	Limit int
}

// RecordBatch holds records that a peer sent.
type RecordBatch struct {
	From    flow.NodeHash
	Records []Record
}

// Confirmation lists flows whose records a host holds.
type Confirmation struct {
	Host  HostIndex
	Flows []flow.Fingerprint
}

// OpenRequest is a request in progress that moves to another owner.
type OpenRequest struct {
	Fingerprint flow.Fingerprint
	Flow        flow.Key
	Endpoint    EndpointKey
	Message     CoAP
	// Remaining is the time left until the deadline.
	Remaining Time
}

// Command is the control goroutine's command to a shard at one tick.
type Command struct {
	// View is a new snapshot, or nil.
	View *View
	// Apply holds peers' records.
	Apply []RecordBatch
	// TakeOver holds open requests to take over from a former owner.
	TakeOver []OpenRequest
	Take     []Take
	// Confirmed lists flows whose records hosts have confirmed.
	Confirmed []Confirmation
	// Forget lists hosts that no longer need records.
	Forget []HostIndex
	// HandOverRequests asks to hand over the open requests of flows that other
	// hosts own.
	HandOverRequests bool
}

// HostRecords are records to be sent to one host.
type HostRecords struct {
	Host    HostIndex
	Records []Record
	// Waiting is how many changes of records are still queued for the host.
	Waiting int
	// Urgent reports whether a request is held back until one of them is
	// confirmed.
	Urgent bool
}

// CommandResult is what a shard reports once it has executed a command.
type CommandResult struct {
	// Epoch numbers the view that the shard uses.
	Epoch uint64
	// Settled reports whether every flow is reconciled with that view and no
	// change of a record is queued.
	Settled bool
	Records []HostRecords
	// HandedOver holds the open requests handed over, by their new owner.
	HandedOver map[HostIndex][]OpenRequest
	// Notices are final replies to send to callers.
	Notices []Notice
	// Flows is the number of flows in the table, replicas included.
	Flows  int
	Counts Counts
}

// Execute carries out a command and the periodic work.
func (s *Shard) Execute(now Time, c *Command) CommandResult {
	if c.View != nil {
		s.SetView(c.View)
	}
	for _, host := range c.Forget {
		s.Forget(host)
	}
	for _, b := range c.Apply {
		s.ApplyRecords(now, b.From, b.Records)
	}
	for _, confirmed := range c.Confirmed {
		s.Confirm(confirmed.Host, confirmed.Flows)
	}
	s.takeOverRequests(now, c.TakeOver)
	notices := s.Tick(now)
	r := CommandResult{Epoch: s.view.Epoch, Notices: slices.Clone(notices)}
	for _, t := range c.Take {
		urgent := s.Urgent(t.Host)
		records := s.TakeRecords(t.Host, t.Limit, nil)
		r.Records = append(r.Records, HostRecords{t.Host, records, s.Waiting(t.Host), urgent})
	}
	if c.HandOverRequests {
		r.HandedOver = s.handOverRequests(now)
	}
	r.Settled = s.Settled()
	r.Flows = s.flows.len()
	r.Counts = s.Counts
	return r
}

// handOverRequests removes and returns the open requests of flows that another
// host owns.
func (s *Shard) handOverRequests(now Time) map[HostIndex][]OpenRequest {
	out := make(map[HostIndex][]OpenRequest)
	for _, r := range slices.Clone(s.requests.open) {
		owner := s.view.rank(r.key.fp).owner
		if owner == nil || owner.Index == s.view.Self.Index {
			continue
		}
		s.finishOpen(now, r, requestAnswered)
		out[owner.Index] = append(out[owner.Index], OpenRequest{
			Fingerprint: r.key.fp,
			Flow:        r.flow,
			Endpoint:    r.endpoint.Key,
			Message:     r.message,
			Remaining:   r.deadline - now,
		})
	}
	return out
}

// takeOverRequests takes over requests that a former owner admitted. It skips
// those of unknown endpoints and those that this shard holds already.
func (s *Shard) takeOverRequests(now Time, requests []OpenRequest) {
	for _, o := range requests {
		key := requestKey{o.Fingerprint, o.Message.Token}
		endpoint := s.shared.Endpoint(o.Endpoint)
		if endpoint == nil || s.requests.get(key) != nil {
			continue
		}
		s.takeOverRequest(now, key, endpoint, o)
	}
}

func (s *Shard) takeOverRequest(now Time, key requestKey, endpoint *Endpoint, o OpenRequest) {
	e := s.flows.get(o.Fingerprint)
	if e == nil {
		e = s.flows.insert(o.Fingerprint)
		e.endpoint = endpoint
		e.since = now
		s.markOwned(now, e, flagKnown)
	}
	e.requests++
	endpoint.Load.Requests.Add(1)
	s.requests.add(&request{
		key:      key,
		flow:     o.Flow,
		message:  o.Message,
		endpoint: endpoint,
		admitted: now,
		ahead:    int(endpoint.requests()),
		deadline: now + o.Remaining,
	})
}

// FlowInfo describes one flow of the flow table.
type FlowInfo struct {
	Fingerprint flow.Fingerprint
	Service     config.ServiceID
	Endpoint    *Endpoint
	Owned       bool
	Exception   bool
	Ended       Reason
	Idle        Time
	Requests    int
}

// Flows returns up to limit flows, sorted by fingerprint.
func (s *Shard) Flows(now Time, limit int) []FlowInfo {
	var out []FlowInfo
	for i := range s.flows.slots {
		if len(out) >= limit {
			break
		}
		if e := &s.flows.slots[i]; e.has(flagUsed) {
			out = append(out, s.info(now, e))
		}
	}
	slices.SortFunc(out, func(a, b FlowInfo) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

// Lookup describes one flow if this shard holds it.
func (s *Shard) Lookup(now Time, fp flow.Fingerprint) (FlowInfo, bool) {
	e := s.flows.get(fp)
	if e == nil {
		return FlowInfo{}, false
	}
	return s.info(now, e), true
}

func (s *Shard) info(now Time, e *entry) FlowInfo {
	return FlowInfo{
		Fingerprint: e.fp,
		Service:     e.endpoint.Key.Service,
		Endpoint:    e.endpoint,
		Owned:       e.has(flagOwned),
		Exception:   s.view.Bundle != nil && s.needsRecord(s.view, e),
		Ended:       e.ended,
		Idle:        now - e.lastSeen,
		Requests:    int(e.requests),
	}
}
