package catalog

import (
	"cmp"
	"slices"
	"time"
)

// Entry is an endpoint with metadata of the store and of the host.
type Entry struct {
	*Endpoint
	// Revision is the store's revision of the entry.
	Revision uint64
	// WarmAt is the latest end of the cold start, on the host's monotonic clock:
	// ColdFor after the host received the entry.
	WarmAt time.Duration
	// Listed is false once the entry is removed, or, if that was in the recovery
	// grace period, once this has ended. Open flows there are still forwarded.
	Listed bool
}

// View is an immutable snapshot of routes and endpoints, read without locks by
// the packet path.
type View struct {
	// Revision is the store's revision as of which the view is complete.
	Revision      uint64
	Configuration *Configuration

	routes    map[Address]*Route
	byToken   map[Token]*Entry
	available map[string][]*Entry
}

// Route returns the route to an address, or nil.
func (v *View) Route(a Address) *Route { return v.routes[a] }

// ByToken returns the endpoint of a token, or nil. The endpoint may have been
// removed; see Entry.Listed.
func (v *View) ByToken(t Token) *Entry { return v.byToken[t] }

// Available returns the endpoints of a service that take new flows, sorted by
// id.
func (v *View) Available(service string) []*Entry { return v.available[service] }

// Entries returns all endpoints, including removed ones, sorted by id.
func (v *View) Entries() []*Entry {
	all := make([]*Entry, 0, len(v.byToken))
	for _, e := range v.byToken {
		all = append(all, e)
	}
	slices.SortFunc(all, compareByID)
	return all
}

// Serves reports whether at least one route has an endpoint that takes new flows.
func (v *View) Serves() bool {
	if v.Configuration == nil {
		return false
	}
	for i := range v.Configuration.Routes {
		for _, share := range v.Configuration.Routes[i].Shares {
			if len(v.available[share.Service]) > 0 {
				return true
			}
		}
	}
	return false
}

func compareByID(a, b *Entry) int { return cmp.Compare(a.ID, b.ID) }

// Directory is the mutable state from which views are made. It is owned by the
// control goroutine. Times are on the host's monotonic clock.
type Directory struct {
	// recoveryGrace is how long after the store's return missing entries are not
	// yet treated as removed: those whose leases expired during the outage are
	// registered again.
	recoveryGrace time.Duration
	// removedRetention is how long a removed endpoint's flows are still
	// forwarded.
	removedRetention time.Duration

	revision      uint64
	configuration *Configuration
	// configRevision is the store's revision of the configuration.
	configRevision uint64
	// entries holds the endpoints by id.
	entries          map[string]*directoryEntry
	recoveryGraceEnd time.Duration
}

type directoryEntry struct {
	Entry
	removed   bool
	removedAt time.Duration
	// usableUntil is when a removed entry ceases to take new flows.
	usableUntil time.Duration
}

// NewDirectory returns an empty directory. The recovery grace period lasts for
// recoveryGrace; flows of removed endpoints are forwarded for removedRetention.
func NewDirectory(recoveryGrace, removedRetention time.Duration) *Directory {
	return &Directory{
		recoveryGrace:    recoveryGrace,
		removedRetention: removedRetention,
		entries:          make(map[string]*directoryEntry),
	}
}

// StartRecoveryGrace starts the recovery grace period.
func (d *Directory) StartRecoveryGrace(now time.Duration) {
	d.recoveryGraceEnd = max(d.recoveryGraceEnd, now+d.recoveryGrace)
}

// RecoveryGraceLeft returns the rest of the recovery grace period.
func (d *Directory) RecoveryGraceLeft(now time.Duration) time.Duration {
	return max(0, d.recoveryGraceEnd-now)
}

// ExtendRecoveryGrace extends the recovery grace period to span, the rest of a
// peer's, but to no more than a whole period.
func (d *Directory) ExtendRecoveryGrace(now, span time.Duration) {
	d.recoveryGraceEnd = max(d.recoveryGraceEnd, now+min(span, d.recoveryGrace))
}

// SetConfiguration sets the configuration, as of the store's revision, and reports
// whether it did. Both its version and the revision must be higher than those of
// the current one.
func (d *Directory) SetConfiguration(c *Configuration, revision uint64) bool {
	if d.configuration != nil && (revision <= d.configRevision || c.Version <= d.configuration.Version) {
		return false
	}
	d.configuration, d.configRevision = c, revision
	return true
}

// Configuration returns the configuration in force, or nil.
func (d *Directory) Configuration() *Configuration { return d.configuration }

// PutEndpoint adds or replaces an endpoint's entry, and reports whether it did. The
// revision must be higher than that of the current entry.
func (d *Directory) PutEndpoint(now time.Duration, e *Endpoint, revision uint64) bool {
	if old := d.entries[e.ID]; old != nil && old.Revision >= revision {
		return false
	}
	d.entries[e.ID] = &directoryEntry{Entry: Entry{
		Endpoint: e,
		Revision: revision,
		WarmAt:   now + e.ColdFor,
		Listed:   true,
	}}
	return true
}

// RemoveEndpoint marks an entry as removed, or as unreadable, as of the revision
// and reports whether that changed anything. During the recovery grace period the
// endpoint still takes new flows.
func (d *Directory) RemoveEndpoint(now time.Duration, id string, revision uint64) bool {
	e := d.entries[id]
	if e == nil || e.removed || e.Revision > revision {
		return false
	}
	e.removed = true
	e.removedAt = now
	e.usableUntil = max(now, d.recoveryGraceEnd)
	e.Revision = revision
	return true
}

// RetainEndpoints removes the endpoints that are missing from a complete listing
// and are not newer than it. It returns their ids.
func (d *Directory) RetainEndpoints(now time.Duration, listed map[string]bool, revision uint64) []string {
	var removed []string
	for id := range d.entries {
		if !listed[id] && d.RemoveEndpoint(now, id, revision) {
			removed = append(removed, id)
		}
	}
	slices.Sort(removed)
	return removed
}

// Advance records that the directory is complete up to the revision.
func (d *Directory) Advance(revision uint64) { d.revision = max(d.revision, revision) }

// Revision returns the revision up to which the directory is complete.
func (d *Directory) Revision() uint64 { return d.revision }

// Expire deletes removed endpoints after their retention. It returns the time at
// which to call it again, or 0 if no removed endpoint is left, and whether a new
// view would differ from the last one.
func (d *Directory) Expire(now time.Duration) (next time.Duration, changed bool) {
	for id, e := range d.entries {
		if !e.removed {
			continue
		}
		if e.Listed && now >= e.usableUntil {
			changed = true
		}
		deleteAt := max(e.removedAt+d.removedRetention, e.usableUntil)
		if now >= deleteAt {
			delete(d.entries, id)
			changed = true
			continue
		}
		due := deleteAt
		if now < e.usableUntil {
			due = e.usableUntil
		}
		if next == 0 || due < next {
			next = due
		}
	}
	return next, changed
}

// View returns the current state as an immutable view.
func (d *Directory) View(now time.Duration) *View {
	v := &View{
		Revision:      d.revision,
		Configuration: d.configuration,
		routes:        make(map[Address]*Route),
		byToken:       make(map[Token]*Entry, len(d.entries)),
		available:     make(map[string][]*Entry),
	}
	if d.configuration != nil {
		routes := d.configuration.Routes
		for i := range routes {
			v.routes[routes[i].Address] = &routes[i]
		}
	}
	for _, e := range d.entries {
		if e.removed && now >= e.usableUntil {
			e.Listed = false
		}
		v.add(e.Entry)
	}
	for _, entries := range v.available {
		slices.SortFunc(entries, compareByID)
	}
	return v
}

// add adds a copy of the entry. If two ids have the same token, the token stands
// for the smaller id and the other endpoint gets no flows, since packets can't
// distinguish them.
func (v *View) add(e Entry) {
	token := e.Token()
	if other := v.byToken[token]; other != nil {
		if other.ID < e.ID {
			return
		}
		v.available[other.Service] = slices.DeleteFunc(v.available[other.Service], func(x *Entry) bool { return x == other })
	}
	entry := &e
	v.byToken[token] = entry
	if e.Listed && !e.Draining && v.serviceKnown(e.Service) {
		v.available[e.Service] = append(v.available[e.Service], entry)
	}
}

// serviceKnown reports whether the configuration names the service.
func (v *View) serviceKnown(service string) bool {
	if v.Configuration == nil {
		return false
	}
	_, ok := v.Configuration.Services[service]
	return ok
}
