// Package sighting sums the failure reports of a failure domain's hosts about
// endpoints that fail requests. One host sees few requests of an endpoint; all
// hosts of a domain together soon detect that it fails. The package reads no
// clock: the time on the host's monotonic clock is passed in.
package sighting

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"toucangap/internal/catalog"
)

// reportLifetime is how long a host's reports count: several times the interval
// in which hosts exchange them.
const reportLifetime = 2 * time.Second

// Sighting is a failure report on one endpoint; older requests count less.
type Sighting struct {
	Endpoint catalog.Token
	Answers  float64
	Failed   float64
}

// Board holds the latest reports of each host. Hosts exchange reports along a
// tree and send to each peer only what did not come from it, so that nothing is
// counted twice. A Board is safe for concurrent use.
type Board struct {
	mu    sync.Mutex
	lists map[string]hostReports
	// sums are over all hosts, so that Others costs no more with many hosts.
	sums map[catalog.Token]endpointSum
	// newEndpoint has a channel by host, closed if another reports a new endpoint.
	newEndpoint map[string]chan struct{}
}

type hostReports struct {
	reports    []Sighting
	receivedAt time.Duration
}

// endpointSum is the sum of an endpoint's reports and their number.
type endpointSum struct {
	Sighting
	lists int
}

// NewBoard returns a board without reports.
func NewBoard() *Board {
	return &Board{lists: make(map[string]hostReports), sums: make(map[catalog.Token]endpointSum), newEndpoint: make(map[string]chan struct{})}
}

// Added returns a channel that is closed when a host other than the given one
// reports an endpoint that it did not report before, which should be forwarded
// immediately.
func (b *Board) Added(host string) <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.newEndpoint[host] == nil {
		b.newEndpoint[host] = make(chan struct{})
	}
	return b.newEndpoint[host]
}

// Put replaces a host's reports.
func (b *Board) Put(now time.Duration, host string, reports []Sighting) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if hasNewEndpoint(b.lists[host].reports, reports) {
		for name, c := range b.newEndpoint {
			if name != host {
				close(c)
				delete(b.newEndpoint, name)
			}
		}
	}
	b.remove(host)
	if len(reports) == 0 {
		return
	}
	b.lists[host] = hostReports{reports: reports, receivedAt: now}
	for _, s := range reports {
		total := b.sums[s.Endpoint]
		b.sums[s.Endpoint] = endpointSum{Sighting{s.Endpoint, total.Answers + s.Answers, total.Failed + s.Failed}, total.lists + 1}
	}
}

// remove deletes a host's reports, also from the sums.
func (b *Board) remove(host string) {
	for _, s := range b.lists[host].reports {
		total := b.sums[s.Endpoint]
		if total.lists == 1 {
			// Avoids a remainder from rounding.
			delete(b.sums, s.Endpoint)
			continue
		}
		b.sums[s.Endpoint] = endpointSum{Sighting{s.Endpoint, total.Answers - s.Answers, total.Failed - s.Failed}, total.lists - 1}
	}
	delete(b.lists, host)
}

// hasNewEndpoint reports whether the list has an endpoint that former lacks.
func hasNewEndpoint(former, list []Sighting) bool {
	for _, s := range list {
		if !slices.ContainsFunc(former, func(f Sighting) bool { return f.Endpoint == s.Endpoint }) {
			return true
		}
	}
	return false
}

// Others returns the sums of the reports of all hosts except the given one,
// sorted by endpoint.
func (b *Board) Others(now time.Duration, host string) []Sighting {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, l := range b.lists {
		if now-l.receivedAt > reportLifetime {
			b.remove(name)
		}
	}
	if len(b.sums) == 0 {
		return nil
	}
	own := make(map[catalog.Token]Sighting, len(b.lists[host].reports))
	for _, s := range b.lists[host].reports {
		own[s.Endpoint] = s
	}
	var others []Sighting
	for token, total := range b.sums {
		s, reported := own[token]
		if reported && total.lists == 1 {
			continue
		}
		others = append(others, Sighting{token, total.Answers - s.Answers, total.Failed - s.Failed})
	}
	slices.SortFunc(others, func(a, b Sighting) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return others
}
