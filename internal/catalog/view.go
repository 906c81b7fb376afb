package catalog

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Entry is an endpoint with metadata of the store and of the host.
type Entry struct {
	*Endpoint
	// Position is the store's position of the entry.
	Position Position
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
	// Position is the store's position as of which the view is complete.
	Position      Position
	Configuration *Configuration

	routes    map[Address]*Route
	byToken   map[Token]*Entry
	available map[string][]*Entry
	evacuated map[string]bool
}

// Route returns the route to an address, or nil.
func (v *View) Route(a Address) *Route { return v.routes[a] }

// ByToken returns the endpoint of a token, or nil. The endpoint may have been
// removed; see Entry.Listed.
func (v *View) ByToken(t Token) *Entry { return v.byToken[t] }

// Available returns the endpoints of a service that take new flows, sorted by
// id. Endpoints of evacuated domains are not among them.
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

// Evacuated reports whether operators have evacuated the failure domain: its endpoints
// take no new flows.
func (v *View) Evacuated(domain string) bool { return v.evacuated[domain] }

// EvacuatedDomains returns the evacuated failure domains, sorted.
func (v *View) EvacuatedDomains() []string { return slices.Sorted(maps.Keys(v.evacuated)) }

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

	position      Position
	configuration *Configuration
	// entries holds the endpoints by id.
	entries          map[string]*directoryEntry
	recoveryGraceEnd time.Duration
	// evacuations holds the evacuations by failure domain, and ended ones as long as
	// an older change could begin them again.
	evacuations map[string]*evacuation
}

type directoryEntry struct {
	Entry
	removed   bool
	removedAt time.Duration
	// usableUntil is when a removed entry ceases to take new flows.
	usableUntil time.Duration
	// restored is the entry of a restored store that is held back, until
	// restoredUntil, because it may be older than what was known before; nil if
	// there is none.
	restored      *Endpoint
	restoredUntil time.Duration
	// idleUntil is until when the endpoint counts as cold since its domain was evacuated,
	// whatever its next entries say; 0 if its service's cold endpoints have no limit.
	idleUntil time.Duration
}

// restoredHold is how long a restored store's entry is held back if it would make
// an endpoint available that was known to be draining or gone. Endpoints that are
// alive report within about two seconds, and the store removes the entries of others
// after three heartbeat intervals of silence.
const restoredHold = 5 * time.Second

// NewDirectory returns an empty directory. The recovery grace period lasts for
// recoveryGrace; flows of removed endpoints are forwarded for removedRetention.
func NewDirectory(recoveryGrace, removedRetention time.Duration) *Directory {
	return &Directory{
		recoveryGrace:    recoveryGrace,
		removedRetention: removedRetention,
		entries:          make(map[string]*directoryEntry),
		evacuations:      make(map[string]*evacuation),
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

// SetConfiguration sets the configuration and reports whether it did. Its version
// must be higher than that of the current one, wherever it comes from: a restored
// store may hold an older version for a while.
func (d *Directory) SetConfiguration(c *Configuration) bool {
	if d.configuration != nil && c.Version <= d.configuration.Version {
		return false
	}
	d.configuration = c
	return true
}

// Configuration returns the configuration in force, or nil.
func (d *Directory) Configuration() *Configuration { return d.configuration }

// PutEndpoint adds or replaces an endpoint's entry, and reports whether it did. The
// position must be after that of the current entry. The first entry from a restored
// store is held back if it may be older than what is known.
func (d *Directory) PutEndpoint(now time.Duration, e *Endpoint, position Position) bool {
	old := d.entries[e.ID]
	if old != nil && !position.After(old.Position) {
		return false
	}
	if old != nil && old.Position.Incarnation < position.Incarnation && old.supersedes(e) {
		old.Position = position
		old.restored, old.restoredUntil = e, now+restoredHold
		return false
	}
	d.install(now, e, position)
	return true
}

func (d *Directory) install(now time.Duration, e *Endpoint, position Position) {
	var idleUntil time.Duration
	if old := d.entries[e.ID]; old != nil {
		idleUntil = old.idleUntil
	}
	d.entries[e.ID] = &directoryEntry{idleUntil: idleUntil, Entry: Entry{
		Endpoint: e,
		Position: position,
		WarmAt:   max(now+e.ColdFor, idleUntil),
		Listed:   true,
	}}
}

// supersedes reports whether the known entry may be newer than one of a restored
// store: an earlier incarnation of the endpoint, an entry that was removed, or an
// earlier report of one that has begun to drain.
func (e *directoryEntry) supersedes(restored *Endpoint) bool {
	if restored.StartedUnixMs != e.StartedUnixMs {
		return restored.StartedUnixMs < e.StartedUnixMs
	}
	return e.removed || e.Draining && !restored.Draining && restored.Report <= e.Report
}

// RemoveEndpoint marks an entry as removed, or as unreadable, as of the position
// and reports whether that changed anything. During the recovery grace period the
// endpoint still takes new flows.
func (d *Directory) RemoveEndpoint(now time.Duration, id string, position Position) bool {
	e := d.entries[id]
	if e == nil || e.Position.After(position) {
		return false
	}
	e.restored = nil
	if e.removed {
		return false
	}
	e.removed = true
	e.removedAt = now
	e.usableUntil = max(now, d.recoveryGraceEnd)
	e.Position = position
	return true
}

// ForgetRemoval makes way for the endpoint's entry from before its removal: the endpoint was
// missing in a state that was incomplete, and was never removed.
func (d *Directory) ForgetRemoval(id string) {
	if e := d.entries[id]; e != nil && e.removed {
		e.Position.Revision = 0
	}
}

// Advance records that the directory is complete up to the position.
func (d *Directory) Advance(position Position) { d.position = d.position.Max(position) }

// Position returns the position up to which the directory is complete.
func (d *Directory) Position() Position { return d.position }

// Count returns the number of listed endpoints and of the draining ones among them.
func (d *Directory) Count() (endpoints, draining int) {
	for _, e := range d.entries {
		if e.removed {
			continue
		}
		endpoints++
		if e.Draining {
			draining++
		}
	}
	return endpoints, draining
}

// Expire deletes removed endpoints after their retention, and installs entries of a
// restored store that are no longer held back. It returns the time at which to call
// it again, or 0 if nothing is due, and whether a new view would differ from the
// last one.
func (d *Directory) Expire(now time.Duration) (next time.Duration, changed bool) {
	for id, e := range d.entries {
		if e.restored != nil {
			if now >= e.restoredUntil {
				d.install(now, e.restored, e.Position)
				changed = true
				continue
			}
			next = earliest(next, e.restoredUntil)
		}
		if !e.removed {
			continue
		}
		if e.Listed && now >= e.usableUntil {
			changed = true
		}
		deleteAt := max(e.removedAt+d.removedRetention, e.usableUntil, e.restoredUntil)
		if now >= deleteAt {
			delete(d.entries, id)
			changed = true
			continue
		}
		due := deleteAt
		if now < e.usableUntil {
			due = e.usableUntil
		}
		next = earliest(next, due)
	}
	nextEnd, ended := d.endEvacuations(now)
	return earliest(next, nextEnd), changed || ended
}

// earliest returns the earlier of two times, of which 0 means none.
func earliest(a, b time.Duration) time.Duration {
	if a == 0 || b == 0 {
		return a + b
	}
	return min(a, b)
}

// View returns the current state as an immutable view.
func (d *Directory) View(now time.Duration) *View {
	v := &View{
		Position:      d.position,
		Configuration: d.configuration,
		routes:        make(map[Address]*Route),
		byToken:       make(map[Token]*Entry, len(d.entries)),
		available:     make(map[string][]*Entry),
		evacuated:     make(map[string]bool),
	}
	for domain, e := range d.evacuations {
		if e.inForce {
			v.evacuated[domain] = true
		}
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
	if e.Listed && !e.Draining && !v.evacuated[e.Domain] && v.serviceKnown(e.Service) {
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
