package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"toucangap/standin/kv"
	"toucangap/standin/site"
)

// Conditions are properties of the store during a whole run; the zero value has none.
type Conditions struct {
	// Stored is the kind of entries that another writer has stored before the hosts start,
	// and Level their level; "" means none.
	Stored string `json:"stored,omitempty"`
	Level  int    `json:"level,omitempty"`
	// NoIncarnation makes the store state no incarnation; PageSize is the maximum number of
	// keys in a page of a listing, or 0 for the usual one.
	NoIncarnation bool `json:"no_incarnation,omitempty"`
	PageSize      int  `json:"page_size,omitempty"`
}

// smallPage is the page size of a schedule with small pages.
const smallPage = 10

// drawConditions draws the conditions of a seed, from other draws than its faults.
func drawConditions(seed uint64) (c Conditions) {
	rng := rand.New(rand.NewPCG(seed, 5))
	stored := []string{site.EntriesNested, site.EntriesLarge, site.EntriesMany, site.EntriesTypes, site.EntriesText}
	if i := rng.IntN(3 * len(stored)); i < len(stored) {
		c.Stored, c.Level = stored[i], rng.IntN(100)
	}
	c.NoIncarnation = rng.IntN(3) == 0
	if rng.IntN(3) == 0 {
		c.PageSize = smallPage
	}
	return c
}

// prepare applies the conditions to a new store.
func (c Conditions) prepare(store *kv.Store) {
	if c.NoIncarnation {
		store.HideIncarnation()
	}
	if c.PageSize > 0 {
		store.SetPageSize(c.PageSize)
	}
	site.WriteEntries(store, c.Stored, c.Level)
}

// storeKinds lists the kinds of faults in what the store holds and answers. Other writers'
// entries suspend no checks: they harm no host and no link.
var storeKinds = []kind{
	{"entries-nested", false, entries(site.EntriesNested)},
	{"entries-large", false, entries(site.EntriesLarge)},
	{"entries-many", false, entries(site.EntriesMany)},
	{"entries-types", false, entries(site.EntriesTypes)},
	{"entries-text", false, entries(site.EntriesText)},
	{"entries-rewritten", false, func(s *site.Site, f Fault) {
		s.Rewrite(f.Span)
		changeSoon(s, f)
	}},
	{"store-deaf", true, func(s *site.Site, f Fault) {
		s.HarmReads(f.Span)
		s.Store.SetFaults(kv.Faults{Deaf: true})
		changeSoon(s, f)
		time.AfterFunc(f.Span, func() {
			s.Store.Compact()
			s.Store.SetFaults(kv.Faults{})
		})
	}},
	{"store-cuts", true, func(s *site.Site, f Fault) {
		s.HarmReads(f.Span)
		s.Store.SetFaults(kv.Faults{CutReads: 20 + f.Level/2})
		changeSoon(s, f)
		time.AfterFunc(f.Span, func() { s.Store.SetFaults(kv.Faults{}) })
	}},
}

// Without returns the schedule without faults of the kinds, and without stored entries of
// these: a known fault that one kind shows hides what others would show.
func (s Schedule) Without(leftOut []string) Schedule {
	s.Faults = slices.DeleteFunc(s.Faults, func(f Fault) bool { return slices.Contains(leftOut, f.Kind) })
	if slices.Contains(leftOut, "entries-"+s.Conditions.Stored) {
		s.Conditions.Stored, s.Conditions.Level = "", 0
	}
	return s
}

// entries makes another writer store entries of the kind. At even levels it removes them
// after the span, else they stay.
func entries(kind string) func(*site.Site, Fault) {
	return func(s *site.Site, f Fault) {
		keys := site.WriteEntries(s.Store, kind, f.Level)
		changeSoon(s, f)
		if f.Level%2 == 0 {
			time.AfterFunc(f.Span, func() { site.RemoveEntries(s.Store, keys) })
		}
	}
}

// changeDelay is the time from a fault to the changes of changeSoon.
const changeDelay = 200 * time.Millisecond

// changeSoon drains an endpoint, whose place a new one takes, and writes a configuration,
// just after a fault: both must be known in time.
func changeSoon(s *site.Site, f Fault) {
	time.AfterFunc(changeDelay, func() {
		addEndpoint(s, f)
		endpointFault(func(e *site.Endpoint, _ Fault) { e.Drain() })(s, f)
		s.Configure()
	})
}
