// Package coldstart limits the new flows that cold endpoints receive from all hosts
// together, without messages between hosts: each cold endpoint has one owner among the
// registered hosts, and only the owner sends it new flows, at a bounded rate. It does no
// I/O and reads no clock.
package coldstart

import (
	"math"
	"slices"
	"time"
)

const (
	// window is the time for which the number of an endpoint's new flows is bounded.
	window = time.Second
	// jitterMargin covers differences between the delays of two SYNs on their way to an
	// endpoint, and a host that is descheduled between reading its clock and sending.
	jitterMargin = 100 * time.Millisecond
	// period is the time for which a host counts the flows that it has sent.
	period = window + jitterMargin
)

// Bounds are the settings that define how many flows a cold endpoint may receive.
type Bounds struct {
	Factor    float64
	Allowance float64
}

// Limit returns how many new flows a cold endpoint may receive within a second from all
// hosts together, if its service's configuration states perSecond.
func (b Bounds) Limit(perSecond float64) int {
	return int(math.Floor(perSecond*b.Factor + b.Allowance))
}

// Rules are what a host decides by.
type Rules struct {
	// Host is the deciding host.
	Host Host
	// Hosts returns the registrations as last received, nil before that.
	Hosts func() *Hosts
	// ViewAge returns the time since the host's state was last known to be current.
	ViewAge func() time.Duration
	// MaxViewAge is the age of a host's state from which it sends nothing to cold
	// endpoints; all hosts have the same.
	MaxViewAge time.Duration
	Bounds     Bounds
}

// settleTime returns for how long after a change of the registrations hosts may act by
// the state before it: one whose state is MaxViewAge old may have sent a flow that falls
// into the same second.
func (r *Rules) settleTime() time.Duration { return r.MaxViewAge + period }

// Gate decides for one endpoint whether this host may send it a new flow while it is
// cold. The zero value is ready.
type Gate struct {
	// hosts is the snapshot that owned was computed from.
	hosts *Hosts
	owned ownership
	// sent holds the times of the flows sent within the period, oldest first.
	sent []time.Duration
}

// Owner returns the endpoint's owner, the zero Host if there is none.
func (g *Gate) Owner(now time.Duration, r *Rules, endpoint, domain string) Host {
	hosts := r.Hosts()
	if hosts == nil {
		return Host{}
	}
	if g.hosts != hosts || now >= g.owned.validUntil {
		g.hosts, g.owned = hosts, hosts.ownership(now, r.settleTime(), endpoint, domain)
	}
	return g.owned.owner
}

// Allows reports whether the host may send one more flow to the endpoint, of which all
// hosts together may send limit in a second: it is the owner, at most one other host can
// take itself for the owner at the same time, and half of the limit leaves room.
func (g *Gate) Allows(now time.Duration, r *Rules, endpoint, domain string, limit int) bool {
	owns := g.Owner(now, r, endpoint, domain) == r.Host && now >= g.owned.clearAt
	// The age may be that of a state which has replaced the one that the owner comes from.
	return owns && g.free(now, limit) && r.ViewAge() < r.MaxViewAge && g.hosts == r.Hosts()
}

// free reports whether one more flow stays within this host's half of the limit. The
// other half is for a second host that takes itself for the owner.
func (g *Gate) free(now time.Duration, limit int) bool {
	expired := 0
	for expired < len(g.sent) && now-g.sent[expired] >= period {
		expired++
	}
	g.sent = slices.Delete(g.sent, 0, expired)
	return len(g.sent) < limit/2
}

// Record records a flow that was sent to the endpoint.
func (g *Gate) Record(now time.Duration) { g.sent = append(g.sent, now) }

// Idle reports whether no flow was sent within the period.
func (g *Gate) Idle(now time.Duration) bool {
	return len(g.sent) == 0 || now-g.sent[len(g.sent)-1] >= period
}
