// Package outlier sums the failure reports of a failure domain's hosts about
// endpoints that fail requests. One host sees few requests of an endpoint; all
// hosts of a domain together soon detect that it fails. The package reads no
// clock: the time on the host's monotonic clock is passed in.
package outlier

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

// Report is a failure report on one endpoint: the numbers of its answers and of
// the failed ones among them, decayed so that older requests count less. A host that saw
// none of an endpoint's failures reports its answers once others report failures.
type Report struct {
	Endpoint catalog.Token
	Answers  float64
	Failed   float64
}

// Aggregator holds the latest reports of this host and those received from each
// peer. Hosts exchange reports along a tree and send to each peer only what did not
// come from it, so that nothing is counted twice. An Aggregator is safe for
// concurrent use.
type Aggregator struct {
	mu     sync.Mutex
	byHost map[string]hostReports
	// sums are over all hosts, so that ReportsOfOthers costs no more with many
	// hosts.
	sums map[catalog.Token]endpointSum
	// newEndpoint holds the channels of ReportAdded by host.
	newEndpoint map[string]chan struct{}
}

type hostReports struct {
	reports    []Report
	receivedAt time.Duration
}

// endpointSum is the sum of an endpoint's reports and the number of hosts that
// sent them.
type endpointSum struct {
	Report
	hosts int
}

// NewAggregator returns an aggregator without reports.
func NewAggregator() *Aggregator {
	return &Aggregator{byHost: make(map[string]hostReports), sums: make(map[catalog.Token]endpointSum), newEndpoint: make(map[string]chan struct{})}
}

// ReportAdded returns a channel that is closed when a host other than the given
// one reports failures of an endpoint of which it reported none before, which should be
// forwarded immediately.
func (a *Aggregator) ReportAdded(host string) <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.newEndpoint[host] == nil {
		a.newEndpoint[host] = make(chan struct{})
	}
	return a.newEndpoint[host]
}

// SetReports replaces the reports of a host, this one or a peer, as of the given
// time.
func (a *Aggregator) SetReports(now time.Duration, host string, reports []Report) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if hasNewEndpoint(a.byHost[host].reports, reports) {
		for name, c := range a.newEndpoint {
			if name != host {
				close(c)
				delete(a.newEndpoint, name)
			}
		}
	}
	a.remove(host)
	if len(reports) == 0 {
		return
	}
	a.byHost[host] = hostReports{reports: reports, receivedAt: now}
	for _, s := range reports {
		total := a.sums[s.Endpoint]
		a.sums[s.Endpoint] = endpointSum{Report{s.Endpoint, total.Answers + s.Answers, total.Failed + s.Failed}, total.hosts + 1}
	}
}

// remove deletes a host's reports, also from the sums.
func (a *Aggregator) remove(host string) {
	for _, s := range a.byHost[host].reports {
		total := a.sums[s.Endpoint]
		if total.hosts == 1 {
			// Avoids a remainder from rounding.
			delete(a.sums, s.Endpoint)
			continue
		}
		a.sums[s.Endpoint] = endpointSum{Report{s.Endpoint, total.Answers - s.Answers, total.Failed - s.Failed}, total.hosts - 1}
	}
	delete(a.byHost, host)
}

// hasNewEndpoint reports whether the list has failures of an endpoint for which former has
// none.
func hasNewEndpoint(former, list []Report) bool {
	for _, s := range list {
		known := func(f Report) bool { return f.Endpoint == s.Endpoint && f.Failed > 0 }
		if s.Failed > 0 && !slices.ContainsFunc(former, known) {
			return true
		}
	}
	return false
}

// ReportsOfOthers returns the sums of the reports of all hosts except the given
// one, sorted by endpoint. It drops reports older than 2 s
// (reportLifetime).
func (a *Aggregator) ReportsOfOthers(now time.Duration, host string) []Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, l := range a.byHost {
		if now-l.receivedAt > reportLifetime {
			a.remove(name)
		}
	}
	if len(a.sums) == 0 {
		return nil
	}
	own := make(map[catalog.Token]Report, len(a.byHost[host].reports))
	for _, s := range a.byHost[host].reports {
		own[s.Endpoint] = s
	}
	var others []Report
	for token, total := range a.sums {
		s, reported := own[token]
		if reported && total.hosts == 1 {
			continue
		}
		// Sums may be off by rounding; peers discard reports that can't be counts.
		failed := max(0, total.Failed-s.Failed)
		others = append(others, Report{token, max(failed, total.Answers-s.Answers), failed})
	}
	slices.SortFunc(others, func(a, b Report) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return others
}
