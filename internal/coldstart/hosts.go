package coldstart

import (
	"maps"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"toucangap/internal/rendezvous"
)

// removedRetention is how long the Registry keeps removed registrations. It exceeds
// every Rules.settleTime.
const removedRetention = time.Minute

// Host identifies a registered host.
type Host struct {
	Name   string
	Domain string
}

// record is a host's registration, or its removal, received at changedAt.
type record struct {
	host      Host
	hash      uint64
	changedAt time.Duration
	removed   bool
}

// Registry records the hosts' registrations as they are received. It is not safe for
// concurrent use. Times are on the host's monotonic clock.
type Registry struct {
	records map[Host]record
	// knownSince is when the first registration was received; known is set from then on.
	knownSince time.Duration
	known      bool
	changed    bool
}

// Put records that a host has registered, for the first time or again. A repeated
// registration counts as a change, since a removal before it may not have been received.
func (r *Registry) Put(now time.Duration, h Host) { r.set(now, h, false) }

// Remove records that a host's registration was removed.
func (r *Registry) Remove(now time.Duration, h Host) { r.set(now, h, true) }

func (r *Registry) set(now time.Duration, h Host, removed bool) {
	if r.records == nil {
		r.records = make(map[Host]record)
	}
	if !r.known {
		r.known, r.knownSince = true, now
	}
	if removed {
		maps.DeleteFunc(r.records, func(_ Host, c record) bool { return c.removed && now >= c.changedAt+removedRetention })
	}
	r.records[h] = record{host: h, hash: xxhash.Sum64String(h.Name), changedAt: now, removed: removed}
	r.changed = true
}

// Changed reports whether there was a change since the last Snapshot.
func (r *Registry) Changed() bool { return r.changed }

// Snapshot returns the current registrations.
func (r *Registry) Snapshot() *Hosts {
	r.changed = false
	h := &Hosts{knownSince: r.knownSince, byDomain: make(map[string][]record)}
	for _, c := range r.records {
		h.byDomain[c.host.Domain] = append(h.byDomain[c.host.Domain], c)
	}
	return h
}

// Hosts is an immutable snapshot of the registered hosts and those removed of late.
type Hosts struct {
	knownSince time.Duration
	byDomain   map[string][]record
}

// never is a time that is not reached.
const never = time.Duration(math.MaxInt64)

// ownership is the owner of an endpoint by one snapshot.
type ownership struct {
	// owner is the zero Host if no host is registered.
	owner Host
	// clearAt is the time from which at most two hosts can take themselves for the owner.
	clearAt time.Duration
	// validUntil is when the ownership has to be computed again.
	validUntil time.Duration
}

// ownership selects an endpoint's owner: the registered host that ranks first. Other
// hosts whose state is older or newer may take those for the owner that rank above the
// first host whose registration has not changed for the settle time. That leaves at most
// two hosts if the first or the second in the ranking has not changed.
func (h *Hosts) ownership(now, settle time.Duration, endpoint, domain string) ownership {
	r := ranking{endpoint: xxhash.Sum64String(endpoint), domain: domain, goneBefore: now - settle}
	r.addAll(h.byDomain[domain])
	if r.second == nil || r.owner == nil {
		for other, records := range h.byDomain {
			if other != domain {
				r.addAll(records)
			}
		}
	}
	o := ownership{clearAt: h.knownSince + settle, validUntil: never}
	if r.owner != nil {
		o.owner = r.owner.host
	}
	if r.second == nil {
		return o
	}
	clearAt := never
	for _, c := range []*record{r.first, r.second} {
		if c.removed {
			o.validUntil = min(o.validUntil, c.changedAt+settle)
			continue
		}
		clearAt = min(clearAt, c.changedAt+settle)
	}
	o.clearAt = max(o.clearAt, clearAt)
	return o
}

// ranking finds the first two hosts in an endpoint's order, hosts of its failure domain
// before others, and the first one that is registered.
type ranking struct {
	endpoint uint64
	domain   string
	// goneBefore is the time before which a removal is known to all hosts that act.
	goneBefore           time.Duration
	first, second, owner *record
}

func (r *ranking) addAll(records []record) {
	for i := range records {
		c := &records[i]
		if c.removed && c.changedAt <= r.goneBefore {
			continue
		}
		switch {
		case r.precedes(c, r.first):
			r.first, r.second = c, r.first
		case r.precedes(c, r.second):
			r.second = c
		}
		if !c.removed && r.precedes(c, r.owner) {
			r.owner = c
		}
	}
}

// precedes reports whether a host ranks above another one, which may be nil.
func (r *ranking) precedes(a, b *record) bool {
	if b == nil {
		return true
	}
	if inner := a.host.Domain == r.domain; inner != (b.host.Domain == r.domain) {
		return inner
	}
	scoreA, scoreB := rendezvous.Score(a.hash, r.endpoint), rendezvous.Score(b.hash, r.endpoint)
	if scoreA != scoreB {
		return scoreA > scoreB
	}
	return a.host.Name < b.host.Name
}
