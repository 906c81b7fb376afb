package control

import (
	"math"
	"slices"
	"time"

	"toucangap/internal/peerpb"
)

// lease holds the leases between this host and one peer. A grant is the peer's
// promise not to admit requests of the holder's flows until the lease expires.
type lease struct {
	// sequence numbers this host's requests; sentAt holds the send times of the
	// latest ones.
	sequence uint64
	sentAt   [maxPendingLeases]Time
	// heldUntil is when the lease that the peer granted expires, counted from the
	// sending of the request.
	heldUntil Time
	// contactUntil is the time until which the peer certainly regards this host
	// as an owner.
	contactUntil Time
	// grantedUntil is when the lease that this host granted to the peer expires.
	grantedUntil Time
}

// maxPendingLeases is the number of unanswered requests to one peer whose send
// times are kept.
const maxPendingLeases = 8

// noExpiry is the expiry time when no peer sets a limit.
const noExpiry = Time(math.MaxInt64)

// request returns the next lease request for a peer.
func (l *lease) request(now Time, incarnation uint64) *peerpb.LeaseRequest {
	l.sequence++
	l.sentAt[l.sequence%maxPendingLeases] = now
	return &peerpb.LeaseRequest{
		Sequence:    l.sequence,
		Incarnation: incarnation,
		DurationMs:  uint32(leaseDuration / time.Millisecond),
	}
}

// onGrant processes a lease that a peer granted.
func (l *lease) onGrant(g *peerpb.LeaseGrant) {
	if g.Sequence > l.sequence || l.sequence-g.Sequence >= maxPendingLeases {
		return
	}
	sent := l.sentAt[g.Sequence%maxPendingLeases]
	duration := Time(g.DurationMs) * time.Millisecond
	l.heldUntil = max(l.heldUntil, sent+duration)
	l.contactUntil = max(l.contactUntil, sent+contactDuration)
}

// onLeaseRequest grants a peer a lease. A peer that this host considers departed
// gets none.
func (c *Control) onLeaseRequest(now Time, p *peer, r *peerpb.LeaseRequest) {
	if p.departedAt != 0 || r.Incarnation != p.host.Incarnation && c.isStaleIncarnation(p, r.Incarnation) {
		return
	}
	duration := min(Time(r.DurationMs)*time.Millisecond, leaseDuration)
	p.lease.grantedUntil = max(p.lease.grantedUntil, now+duration)
	p.urgent = append(p.urgent, envelope(&peerpb.LeaseGrant{
		Sequence:    r.Sequence,
		Incarnation: r.Incarnation,
		DurationMs:  uint32(duration / time.Millisecond),
	}))
}

// isStaleIncarnation reports whether an incarnation is older than the one that
// this host knows of the peer.
func (c *Control) isStaleIncarnation(p *peer, incarnation uint64) bool {
	return incarnation < p.host.Incarnation
}

// SetIncarnation sets the host's incarnation, which membership raises when peers
// wrongly suspect the host. Peers grant no lease to an older incarnation.
func (c *Control) SetIncarnation(incarnation uint64) {
	c.self.Incarnation = incarnation
}

// updateLeases publishes until when this host may refuse requests and until when
// it may rely on its view. Refusing needs a lease from every host that might take
// over its flows, including one that is considered dead but not confirmed
// stopped: a network partition may hide that it still serves. Relying on the view
// needs contact with a majority of the owners only.
func (c *Control) updateLeases(now Time) {
	refuse := noExpiry
	for _, p := range c.peers {
		if p.wasOwner && !p.confirmedStopped {
			refuse = min(refuse, p.lease.heldUntil)
		}
	}
	c.fence(now)
	if !c.self.State.OwnsFlows() || c.leave.phase >= leaveHandover {
		refuse = 0
	}
	c.shared.SetRefuseUntil(now, refuse)
	c.shared.SetContactUntil(now, c.majorityContactUntil())
}

// majorityContactUntil returns the time until which most of the owners certainly
// regard this host as one of them. A pause of the process loses contact with all
// of them; the death of one peer does not shorten the time.
func (c *Control) majorityContactUntil() Time {
	var contacts []Time
	for _, p := range c.peers {
		if p.owns() {
			contacts = append(contacts, p.lease.contactUntil)
		}
	}
	needed := (len(contacts) + 1) / 2
	if needed == 0 {
		return noExpiry
	}
	slices.Sort(contacts)
	return contacts[len(contacts)-needed]
}

// fence limits how long both sides of a network partition may admit non-idempotent
// requests. The minority stops admitting them fenceTime after it lost
// the majority, by its own clock and even if it was paused meanwhile. The majority
// considers the missing hosts confirmed stopped fenceMargin later.
func (c *Control) fence(now Time) {
	if !c.inMajority(now) {
		return
	}
	c.shared.SetNonIdempotentUntil(now + fenceTime)
	for _, p := range c.peers {
		if missing(p) && now-p.departedAt >= fenceTime+fenceMargin {
			p.confirmedStopped = true
			c.viewChanged = true
		}
	}
}

// Paused must be called after the process did not run for a while. It drops every
// lease that this host holds, and each has to be requested again.
func (c *Control) Paused() {
	for _, p := range c.peers {
		p.lease.heldUntil = 0
		p.lease.contactUntil = 0
	}
}
