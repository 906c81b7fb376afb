package endpoint

import (
	"net/netip"
	"slices"
	"time"
)

// maxRuns limits the number of distinct request IDs in a run log.
const maxRuns = 200_000

// maxOpenings limits the openings in a run log; the oldest are dropped.
const maxOpenings = 50

// maxMisdirected limits the listed misdirected requests and packets in a run log;
// later ones are only counted.
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
	// Packets counts received packets, including malformed and dropped ones.
	Packets int `json:"packets"`
	// Malformed counts packets that can't be decoded or encoded or hold no
	// request.
	Malformed int `json:"malformed"`
	// Lost counts received packets dropped by an injected fault.
	Lost int `json:"lost"`
	// Opened counts flows opened at this endpoint.
	Opened int `json:"opened"`
	// Runs counts requests that began to run.
	Runs int `json:"runs"`
	// Duplicates counts duplicate requests, which don't run again.
	Duplicates int `json:"duplicates"`
	// Sheds counts refused requests and refused new flows.
	Sheds int `json:"sheds"`
	// Expired counts requests refused because their deadline had passed.
	Expired int `json:"expired"`
	// Resets counts TCP resets sent.
	Resets int `json:"resets"`
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

// recordMisdirected records a request or packet for another service, named by the
// request's ID or the packet's destination address.
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
