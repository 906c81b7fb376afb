package control

import (
	"time"

	"toucangap/internal/config"
	"toucangap/internal/peerpb"
)

// leavePhase is a phase of a graceful shutdown.
type leavePhase uint8

const (
	leaveNone leavePhase = iota
	// leaveReplicating waits until the peers have confirmed every record.
	leaveReplicating
	// leaveHandover gives up ownership and collects the open requests.
	leaveHandover
	// leaveConfirming waits until the peers have acknowledged the handover.
	leaveConfirming
	// leavePassing passes late packets to the new owners of their flows.
	leavePassing
	// leaveDone means that the process may exit.
	leaveDone
)

// leaveTimeout limits how long one phase waits for peers that do not answer.
const leaveTimeout = 8 * time.Second

// leaveState is the progress of a graceful shutdown.
type leaveState struct {
	phase leavePhase
	since Time
	// shardsHandedOver counts the shards that have returned their open requests.
	shardsHandedOver int
	// incomplete means that a phase timed out before the peers had confirmed.
	incomplete bool
}

// Leave starts a graceful shutdown. It is idempotent.
func (c *Control) Leave(now Time) {
	if c.leave.phase != leaveNone {
		return
	}
	c.enterPhase(now, leaveReplicating)
	if c.self.State.OwnsFlows() {
		c.self.State = config.HostLeaving
	}
}

func (c *Control) enterPhase(now Time, p leavePhase) {
	c.leave.phase = p
	c.leave.since = now
}

// advanceLeave moves a graceful shutdown to its next phase once the present one is
// complete or has taken leaveTimeout.
func (c *Control) advanceLeave(now Time) {
	late := now-c.leave.since >= leaveTimeout
	switch c.leave.phase {
	case leaveReplicating:
		if c.safeToHandOver() || late {
			c.leave.incomplete = c.leave.incomplete || !c.safeToHandOver()
			c.startLeaveHandover(now)
		}
	case leaveHandover:
		c.sendLeaveHandovers(now, late)
	case leaveConfirming:
		if c.handoversConfirmed() || late {
			c.leave.incomplete = c.leave.incomplete || !c.handoversConfirmed()
			c.self.State = config.HostLeft
			c.enterPhase(now, leavePassing)
		}
	case leavePassing:
		if now-c.leave.since >= latePassTime {
			c.enterPhase(now, leaveDone)
		}
	}
}

// safeToHandOver reports whether the peers have all they need to take over every
// flow.
func (c *Control) safeToHandOver() bool {
	if !c.self.State.OwnsFlows() {
		return true
	}
	return c.settled() && c.proposedBaseline == 0 && c.peersReplicated()
}

func (c *Control) peersReplicated() bool {
	for _, p := range c.peers {
		if p.owns() && !c.replicated(p) {
			return false
		}
	}
	return true
}

// startLeaveHandover removes this host from the owners in its own view, so that it
// passes every packet to another host, and asks the shards for their open requests.
func (c *Control) startLeaveHandover(now Time) {
	c.enterPhase(now, leaveHandover)
	c.shared.SetRefuseUntil(now, 0)
	c.viewChanged = true
	for i := range c.shards {
		c.shards[i].command.HandOverRequests = true
	}
}

// sendLeaveHandovers sends each open request to its new owner once all shards have
// returned theirs, or on timeout.
func (c *Control) sendLeaveHandovers(now Time, late bool) {
	ready := c.leave.shardsHandedOver >= len(c.shards) && c.settled() && c.peersReplicated()
	if !ready && !late {
		return
	}
	for _, p := range c.sortedPeers() {
		if p.owns() {
			c.startHandover(p, true, openRequestMessages(p))
		}
	}
	c.enterPhase(now, leaveConfirming)
}

func openRequestMessages(p *peer) []*peerpb.OpenRequest {
	var out []*peerpb.OpenRequest
	for _, r := range p.openRequests {
		if m := openRequestMessage(r); m != nil {
			out = append(out, m)
		}
	}
	p.openRequests = nil
	return out
}

// handoversConfirmed reports whether every owner has acknowledged its handover and
// all records.
func (c *Control) handoversConfirmed() bool {
	if !c.settled() || !c.peersReplicated() {
		return false
	}
	for _, p := range c.peers {
		if p.owns() && p.handover.acked < p.handover.sequence {
			return false
		}
	}
	return true
}
