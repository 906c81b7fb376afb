package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"toucangap/standin/endpoint"
)

const (
	// dumpTimeout limits the time to fetch the endpoints' dumps.
	dumpTimeout = 10 * time.Second
	// dumpRuns is the maximum number of request IDs in each endpoint's dump.
	dumpRuns = 200_000
)

// fetchDumps fetches the dumps of all endpoints.
func fetchDumps(ctx context.Context, control netip.AddrPort) ([]endpoint.Dump, error) {
	ctx, cancel := context.WithTimeout(ctx, dumpTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s%s?runs=%d", control, endpoint.PathDump, dumpRuns)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, merry.Prepend(err, "build request for the endpoints' dump")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, merry.Prepend(err, "fetch the endpoints' dump")
	}
	defer response.Body.Close()
	var dumps []endpoint.Dump
	if err := json.NewDecoder(response.Body).Decode(&dumps); err != nil {
		return nil, merry.Prepend(err, "decode the endpoints' dump")
	}
	return dumps, nil
}

// summarize builds the summary, compares it with the endpoints' dumps and checks
// the invariants.
func (r *recorder) summarize(o Options, services []string, dumps []endpoint.Dump) *Summary {
	s := r.snapshot(o, services)
	truncated := r.compare(s, dumps)
	s.checkInvariants(o, truncated)
	return s
}

// snapshot returns the results so far, without any checks.
func (r *recorder) snapshot(o Options, services []string) *Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &Summary{
		Seed: o.Seed, Unmatched: r.unmatched, Late: r.late, Contradicted: r.contradicted,
		BrokenFlows: r.brokenCount, Broken: slices.Clone(r.broken),
		BrokenBeforeFault: r.brokenBeforeFault, UnknownBeforeFault: r.unknownBeforeFault,
		UnknownRequests: slices.Clone(r.unknown),
	}
	for _, name := range services {
		s.Services = append(s.Services, r.services[name].summarize(name))
	}
	return s
}

// compare counts requests whose outcome contradicts the endpoints' runs, and
// reports whether a dump was truncated.
func (r *recorder) compare(s *Summary, dumps []endpoint.Dump) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := make(map[string]int)
	truncated := false
	for _, d := range dumps {
		truncated = truncated || d.Truncated
		s.WrongService += d.Counts.Misdirected
		for _, run := range d.Runs {
			runs[run.ID] += run.Count
		}
	}
	for id, known := range r.requests {
		n := runs[id]
		switch {
		case n > 1 && known.kind == NonIdempotent:
			s.RunTwice++
		case n > 1:
			s.RepeatedIdempotent++
		}
		if n > 0 && known.outcome == Refused {
			s.RefusedButRun++
		}
		if n == 0 && known.outcome == Answered {
			s.AnsweredUnrun++
		}
	}
	return truncated
}

// checkInvariants lists the violated invariants.
func (s *Summary) checkInvariants(o Options, truncated bool) {
	s.Violations = []string{}
	atMost := func(what string, n, limit int) {
		if n > limit {
			s.Violations = append(s.Violations, fmt.Sprintf("%s: %d, at most %d allowed", what, n, limit))
		}
	}
	unknown := 0
	for _, v := range s.Services {
		unknown += v.Unknown
		atMost(v.Name+": wrong answers", v.Wrong, 0)
		if v.Answers == 0 {
			s.Violations = append(s.Violations, v.Name+": no answers")
		}
	}
	atMost("wrong service", s.WrongService, 0)
	atMost("non-idempotent requests run twice", s.RunTwice, 0)
	atMost("requests refused but run", s.RefusedButRun, 0)
	atMost("requests answered but not run", s.AnsweredUnrun, 0)
	atMost("mixed answers", s.Unmatched, 0)
	atMost("contradicted answers", s.Contradicted, 0)
	atMost("broken flows", s.BrokenFlows, o.BrokenLimit)
	atMost("outcome unknown", unknown, o.UnknownLimit)
	atMost("broken flows before any unplanned fault", s.BrokenBeforeFault, 0)
	atMost("outcome unknown before any unplanned fault", s.UnknownBeforeFault, 0)
	if truncated {
		s.Violations = append(s.Violations, "the endpoints' dump was truncated: not all requests were checked")
	}
}
