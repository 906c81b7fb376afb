package control

import (
	"toucangap/internal/adminapi"
	"toucangap/internal/config"
	"toucangap/internal/steer"
)

// Digest returns the SHA-256 of the bundle in force, or nil.
func (c *Control) Digest() []byte {
	return c.bundle.digest
}

// HostStatuses lists this host and its peers.
func (c *Control) HostStatuses() []adminapi.HostStatus {
	out := []adminapi.HostStatus{{
		Name:      c.self.Name,
		Domain:    c.self.Domain,
		State:     c.self.State.String(),
		Version:   uint64(c.version()),
		Connected: true,
	}}
	for _, p := range c.sortedPeers() {
		out = append(out, adminapi.HostStatus{
			Name:      p.host.Name,
			Domain:    p.host.Domain,
			State:     p.host.State.String(),
			Version:   uint64(p.version),
			Connected: p.connected,
		})
	}
	return out
}

// Dump returns the control state; status and traffic counters are added elsewhere.
func (c *Control) Dump() adminapi.Dump {
	d := adminapi.Dump{
		Services:      c.serviceDumps(),
		Peers:         c.peerDumps(),
		DropsByReason: make(map[string]int64),
		Totals:        c.totals(),
		Marks:         c.markDumps(),
		Budgets: adminapi.BudgetDump{
			ControlBytesPerSecond: c.budget.perSecond,
			ControlBytesSent:      c.budget.totalBytes,
			RecordsWaiting:        int(c.shared.RecordsWaiting.Load()),
		},
	}
	for i := range c.shards {
		d.FlowsHeld += c.shards[i].flows
	}
	return d
}

func (c *Control) serviceDumps() []adminapi.ServiceDump {
	if c.bundle.bundle == nil {
		return nil
	}
	var out []adminapi.ServiceDump
	for _, s := range c.bundle.bundle.Services {
		t := c.history[c.version()][s.ID]
		if t == nil {
			continue
		}
		sd := adminapi.ServiceDump{ID: uint32(s.ID), Name: s.Name}
		for _, e := range t.Endpoints {
			sd.Endpoints = append(sd.Endpoints, endpointDump(e))
		}
		out = append(out, sd)
	}
	return out
}

func endpointDump(e *steer.Endpoint) adminapi.EndpointDump {
	return adminapi.EndpointDump{
		ID:              uint16(e.Key.Endpoint),
		Name:            e.Config().Name,
		Domain:          e.Config().Domain,
		State:           e.Life().String(),
		Flows:           int(e.Load.Flows.Load()),
		Requests:        int(e.Load.Requests.Load()),
		PeersFlows:      int(e.Load.PeerFlows.Load()),
		PeersRequests:   int(e.Load.PeerRequests.Load()),
		UnansweredFlows: e.Load.Silent.Load(),
	}
}

func (c *Control) peerDumps() []adminapi.PeerDump {
	var out []adminapi.PeerDump
	for _, p := range c.sortedPeers() {
		out = append(out, adminapi.PeerDump{
			Name:                  p.host.Name,
			RecordsQueued:         c.waitingRecords(p),
			RecordsUnacknowledged: len(p.unacked),
			RecordsReceived:       p.recordsHeld,
			Baseline:              uint64(p.baseline),
			LeaseUntilMs:          p.lease.heldUntil.Milliseconds(),
		})
	}
	return out
}

// totals sums the shards' counters under their metric names.
func (c *Control) totals() map[string]int64 {
	t := make(map[string]int64)
	for i := range c.shards {
		n := c.shards[i].counts
		t["flows_begun"] += n.FlowsOpened
		t["exceptions"] += n.Exceptions
		t["flows_adopted"] += n.TakenOver
		t["records_moved"] += n.RecordsMoved
		t["records_unknown"] += n.RecordsUnknown
		t["requests_admitted"] += n.Admitted
		t["requests_refused"] += n.Refused
		t["requests_outcome_unknown"] += n.OutcomeUnknown
		t["answers"] += n.Answers
	}
	t["records_held_back"] = c.budget.deferrals
	t["digest_conflicts"] = c.digestConflicts
	t["view_epoch"] = int64(c.epoch)
	t["baseline"] = int64(c.baseline)
	t["refuse_until_ms"] = c.shared.RefuseUntil().Milliseconds()
	return t
}

func (c *Control) markDumps() []adminapi.MarkCommand {
	var out []adminapi.MarkCommand
	for _, m := range c.Marks() {
		out = append(out, adminapi.MarkCommand{
			Service:  c.serviceName(m.Service),
			Endpoint: c.endpointName(steer.EndpointKey{Service: m.Service, Endpoint: m.Endpoint}),
			Draining: m.Draining,
			Revision: m.Revision,
		})
	}
	return out
}

func (c *Control) serviceName(id config.ServiceID) string {
	if c.bundle.bundle != nil {
		if s := c.bundle.bundle.Service(id); s != nil {
			return s.Name
		}
	}
	return ""
}

func (c *Control) endpointName(key steer.EndpointKey) string {
	if e := c.shared.Endpoint(key); e != nil {
		return e.Config().Name
	}
	return ""
}

// StopIncomplete reports whether a phase of the graceful shutdown timed out
// before the peers had confirmed.
func (c *Control) StopIncomplete() bool {
	return c.leave.incomplete
}
