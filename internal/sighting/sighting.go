// Package sighting gathers what the hosts of a failure domain have seen of
// endpoints that fail requests. A host sees few requests of one endpoint; all
// hosts of a domain together see soon that it fails. The package is pure: the
// time, on the host's steady clock, comes in.
package sighting

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"toucangap/internal/catalog"
)

// fresh is how long a host's list counts: several times the interval in which
// hosts tell each other.
const fresh = 2 * time.Second

// Sighting is how requests of one endpoint ended of late; old ones count less.
type Sighting struct {
	Endpoint catalog.Token
	Answers  float64
	Failed   float64
}

// Board holds the last list of each host that told one. Hosts tell each other
// along a tree, and to each what was not heard from it, so that nothing counts
// twice. It is safe for concurrent use.
type Board struct {
	mu    sync.Mutex
	lists map[string]list
	added chan struct{}
}

type list struct {
	sightings []Sighting
	at        time.Duration
}

// NewBoard returns a board without lists.
func NewBoard() *Board { return &Board{lists: make(map[string]list), added: make(chan struct{})} }

// Added returns a channel that is closed when a host tells of an endpoint that
// it did not tell of before: that should be known at once.
func (b *Board) Added() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.added
}

// Put replaces what a host has told.
func (b *Board) Put(now time.Duration, host string, sightings []Sighting) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if adds(b.lists[host].sightings, sightings) {
		close(b.added)
		b.added = make(chan struct{})
	}
	if len(sightings) == 0 {
		delete(b.lists, host)
		return
	}
	b.lists[host] = list{sightings: sightings, at: now}
}

// adds reports whether the list has an endpoint that the former one lacks.
func adds(former, list []Sighting) bool {
	for _, s := range list {
		if !slices.ContainsFunc(former, func(f Sighting) bool { return f.Endpoint == s.Endpoint }) {
			return true
		}
	}
	return false
}

// Others returns the sums of what all hosts but the named one have told, by
// endpoint.
func (b *Board) Others(now time.Duration, host string) []Sighting {
	b.mu.Lock()
	defer b.mu.Unlock()
	var sums map[catalog.Token]Sighting
	for name, l := range b.lists {
		if now-l.at > fresh {
			delete(b.lists, name)
			continue
		}
		if name == host {
			continue
		}
		if sums == nil {
			sums = make(map[catalog.Token]Sighting, len(l.sightings))
		}
		for _, s := range l.sightings {
			sum := sums[s.Endpoint]
			sums[s.Endpoint] = Sighting{s.Endpoint, sum.Answers + s.Answers, sum.Failed + s.Failed}
		}
	}
	return sorted(sums)
}

func sorted(sums map[catalog.Token]Sighting) []Sighting {
	if len(sums) == 0 {
		return nil
	}
	all := make([]Sighting, 0, len(sums))
	for _, s := range sums {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b Sighting) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return all
}
