package endpoint

import (
	"net/netip"
	"slices"
	"time"
)

// maxRuns limits the request IDs in a run log.
const maxRuns = 200_000

// maxOpenings limits the most recent openings in a run log.
const maxOpenings = 50

// maxMisdirected limits the misdirected request IDs in a run log.
const maxMisdirected = 100

// runLog records the requests that an endpoint ran. It survives a simulated
// crash, since it is a record of the test run and not endpoint state.
type runLog struct {
	runs        map[string]int
	misdirected []string
	openings    []Opening
	counts      Counts
}

// Opening is the opening of a flow at an endpoint.
type Opening struct {
	Caller netip.AddrPort `json:"caller"`
	At     time.Time      `json:"at"`
}

// Counts holds the counters of an endpoint.
type Counts struct {
	Packets   int `json:"packets"`
	Malformed int `json:"malformed"`
	Lost      int `json:"lost"`
	// Opened counts flows opened at this endpoint.
	Opened     int `json:"opened"`
	Runs       int `json:"runs"`
	Duplicates int `json:"duplicates"`
	Sheds      int `json:"sheds"`
	Expired    int `json:"expired"`
	Resets     int `json:"resets"`
	// Misdirected counts requests and packets for another service.
	Misdirected int `json:"misdirected"`
	// Forgotten counts runs not listed because the list is full.
	Forgotten int `json:"forgotten"`
}

func newRunLog() *runLog {
	return &runLog{runs: make(map[string]int)}
}

// open records a new flow.
func (l *runLog) open(caller netip.AddrPort) {
	l.counts.Opened++
	l.openings = append(l.openings, Opening{Caller: caller, At: time.Now()})
	if len(l.openings) > maxOpenings {
		l.openings = slices.Clone(l.openings[1:])
	}
}

// run records the start of a request.
func (l *runLog) run(id string) {
	l.counts.Runs++
	if _, known := l.runs[id]; !known && len(l.runs) >= maxRuns {
		l.counts.Forgotten++
		return
	}
	l.runs[id]++
}

// recordMisdirected records a request or packet for another service.
func (l *runLog) recordMisdirected(id string) {
	l.counts.Misdirected++
	if len(l.misdirected) < maxMisdirected {
		l.misdirected = append(l.misdirected, id)
	}
}

// Run is a request ID with the number of times that the request ran.
type Run struct {
	ID    string `json:"id"`
	Count int    `json:"count"`
}

// list returns all runs in unspecified order.
func (l *runLog) list() []Run {
	out := make([]Run, 0, len(l.runs))
	for id, count := range l.runs {
		out = append(out, Run{ID: id, Count: count})
	}
	return out
}
