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
	// sums are over all lists, so that asking costs no more with many hosts.
	sums map[catalog.Token]sum
	// waiting are closed at an addition by another host than the named one.
	waiting map[string]chan struct{}
}

type list struct {
	sightings []Sighting
	at        time.Duration
}

// sum is the total of an endpoint with the number of lists that have it.
type sum struct {
	Sighting
	lists int
}

// NewBoard returns a board without lists.
func NewBoard() *Board {
	return &Board{lists: make(map[string]list), sums: make(map[catalog.Token]sum), waiting: make(map[string]chan struct{})}
}

// Added returns a channel that is closed when another host than the named one
// tells of an endpoint that it did not tell of before: that should be passed on
// at once.
func (b *Board) Added(host string) <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.waiting[host] == nil {
		b.waiting[host] = make(chan struct{})
	}
	return b.waiting[host]
}

// Put replaces what a host has told.
func (b *Board) Put(now time.Duration, host string, sightings []Sighting) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if adds(b.lists[host].sightings, sightings) {
		for name, c := range b.waiting {
			if name != host {
				close(c)
				delete(b.waiting, name)
			}
		}
	}
	b.remove(host)
	if len(sightings) == 0 {
		return
	}
	b.lists[host] = list{sightings: sightings, at: now}
	for _, s := range sightings {
		total := b.sums[s.Endpoint]
		b.sums[s.Endpoint] = sum{Sighting{s.Endpoint, total.Answers + s.Answers, total.Failed + s.Failed}, total.lists + 1}
	}
}

// remove takes a host's list out of the sums.
func (b *Board) remove(host string) {
	for _, s := range b.lists[host].sightings {
		total := b.sums[s.Endpoint]
		if total.lists == 1 {
			// Nothing of rounding is left over.
			delete(b.sums, s.Endpoint)
			continue
		}
		b.sums[s.Endpoint] = sum{Sighting{s.Endpoint, total.Answers - s.Answers, total.Failed - s.Failed}, total.lists - 1}
	}
	delete(b.lists, host)
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
	for name, l := range b.lists {
		if now-l.at > fresh {
			b.remove(name)
		}
	}
	if len(b.sums) == 0 {
		return nil
	}
	own := make(map[catalog.Token]Sighting, len(b.lists[host].sightings))
	for _, s := range b.lists[host].sightings {
		own[s.Endpoint] = s
	}
	var others []Sighting
	for token, total := range b.sums {
		s, told := own[token]
		if told && total.lists == 1 {
			continue
		}
		others = append(others, Sighting{token, total.Answers - s.Answers, total.Failed - s.Failed})
	}
	slices.SortFunc(others, func(a, b Sighting) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return others
}
