package catalog

import (
	"cmp"
	"slices"
	"time"
)

// Entry is an endpoint with what the store and the host know of it.
type Entry struct {
	*Endpoint
	// Revision is the store's revision of the entry.
	Revision uint64
	// WarmAt is when the endpoint's cold start ends, on the host's steady clock.
	WarmAt time.Duration
	// Listed is false once the entry is gone. Flows that are open there are
	// still forwarded.
	Listed bool
}

// View is an immutable state of routes and endpoints. Traffic reads it without
// a lock.
type View struct {
	// Revision is the store's revision up to which the view is complete.
	Revision      uint64
	Configuration *Configuration

	routes  map[Address]*Route
	byToken map[Token]*Entry
	open    map[string][]*Entry
}

// Route returns the route to an address, or nil.
func (v *View) Route(a Address) *Route { return v.routes[a] }

// ByToken returns the endpoint of a token, or nil. It may be no longer listed.
func (v *View) ByToken(t Token) *Entry { return v.byToken[t] }

// Open returns the endpoints of a service that take new flows, by id.
func (v *View) Open(service string) []*Entry { return v.open[service] }

// Entries returns all endpoints by id.
func (v *View) Entries() []*Entry {
	all := make([]*Entry, 0, len(v.byToken))
	for _, e := range v.byToken {
		all = append(all, e)
	}
	slices.SortFunc(all, byID)
	return all
}

// Serves reports whether at least one route has an endpoint for new flows.
func (v *View) Serves() bool {
	if v.Configuration == nil {
		return false
	}
	for i := range v.Configuration.Routes {
		for _, share := range v.Configuration.Routes[i].Shares {
			if len(v.open[share.Service]) > 0 {
				return true
			}
		}
	}
	return false
}

func byID(a, b *Entry) int { return cmp.Compare(a.ID, b.ID) }

// Directory is the state from which views are made. The control goroutine owns
// it. Times are on the host's steady clock.
type Directory struct {
	// lapseGrace is how long a removal is not believed after the store was away:
	// entries that lapsed meanwhile come back.
	lapseGrace time.Duration
	// keepRemoved is how long flows of a removed endpoint are still forwarded.
	keepRemoved time.Duration

	revision       uint64
	configuration  *Configuration
	configRevision uint64
	entries        map[string]*directoryEntry
	unsettledUntil time.Duration
}

type directoryEntry struct {
	Entry
	removed   bool
	removedAt time.Duration
	// heldUntil is until when a removed entry is still used.
	heldUntil time.Duration
}

// NewDirectory returns an empty directory.
func NewDirectory(lapseGrace, keepRemoved time.Duration) *Directory {
	return &Directory{
		lapseGrace:  lapseGrace,
		keepRemoved: keepRemoved,
		entries:     make(map[string]*directoryEntry),
	}
}

// Unsettle notes that the store has come back just now.
func (d *Directory) Unsettle(now time.Duration) {
	d.unsettledUntil = max(d.unsettledUntil, now+d.lapseGrace)
}

// UnsettledFor returns how much longer removals are not believed.
func (d *Directory) UnsettledFor(now time.Duration) time.Duration {
	return max(0, d.unsettledUntil-now)
}

// HoldFor takes over from a peer how much longer removals are not believed.
func (d *Directory) HoldFor(now, span time.Duration) {
	d.unsettledUntil = max(d.unsettledUntil, now+min(span, d.lapseGrace))
}

// SetConfiguration takes a configuration unless it is older than the one held,
// and reports whether it did.
func (d *Directory) SetConfiguration(c *Configuration, revision uint64) bool {
	if d.configuration != nil && (revision <= d.configRevision || c.Version <= d.configuration.Version) {
		return false
	}
	d.configuration, d.configRevision = c, revision
	return true
}

// Configuration returns the configuration in force, or nil.
func (d *Directory) Configuration() *Configuration { return d.configuration }

// PutEndpoint takes an endpoint's entry unless it is older than the one held,
// and reports whether it did.
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

// RemoveEndpoint takes note that an entry is gone or can't be read since the
// revision, and reports whether that was new.
func (d *Directory) RemoveEndpoint(now time.Duration, id string, revision uint64) bool {
	e := d.entries[id]
	if e == nil || e.removed || e.Revision > revision {
		return false
	}
	e.removed = true
	e.removedAt = now
	e.heldUntil = max(now, d.unsettledUntil)
	e.Revision = revision
	return true
}

// RetainEndpoints removes the endpoints that a complete listing did not have
// and that are no newer than the listing. It returns their ids.
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

// Advance notes that everything up to the revision has been taken.
func (d *Directory) Advance(revision uint64) { d.revision = max(d.revision, revision) }

// Revision returns the revision up to which the directory is complete.
func (d *Directory) Revision() uint64 { return d.revision }

// Expire forgets endpoints that were removed long ago. It returns when to call
// it again, or 0 if there is nothing to wait for, and whether a view made
// before would differ now.
func (d *Directory) Expire(now time.Duration) (next time.Duration, changed bool) {
	for id, e := range d.entries {
		if !e.removed {
			continue
		}
		if e.Listed && now >= e.heldUntil {
			changed = true
		}
		forget := max(e.removedAt+d.keepRemoved, e.heldUntil)
		if now >= forget {
			delete(d.entries, id)
			changed = true
			continue
		}
		due := forget
		if now < e.heldUntil {
			due = e.heldUntil
		}
		if next == 0 || due < next {
			next = due
		}
	}
	return next, changed
}

// View returns the present state as an immutable view.
func (d *Directory) View(now time.Duration) *View {
	v := &View{
		Revision:      d.revision,
		Configuration: d.configuration,
		routes:        make(map[Address]*Route),
		byToken:       make(map[Token]*Entry, len(d.entries)),
		open:          make(map[string][]*Entry),
	}
	if d.configuration != nil {
		routes := d.configuration.Routes
		for i := range routes {
			v.routes[routes[i].Address] = &routes[i]
		}
	}
	for _, e := range d.entries {
		if e.removed && now >= e.heldUntil {
			e.Listed = false
		}
		v.add(e.Entry)
	}
	for _, entries := range v.open {
		slices.SortFunc(entries, byID)
	}
	return v
}

// add enters a copy of the entry. Of two ids with one token the smaller has it;
// the other gets no flows, since they could not be told apart.
func (v *View) add(e Entry) {
	token := e.Token()
	if other := v.byToken[token]; other != nil {
		if other.ID < e.ID {
			return
		}
		v.open[other.Service] = slices.DeleteFunc(v.open[other.Service], func(x *Entry) bool { return x == other })
	}
	entry := &e
	v.byToken[token] = entry
	if e.Listed && !e.Draining && v.serviceKnown(e.Service) {
		v.open[e.Service] = append(v.open[e.Service], entry)
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
