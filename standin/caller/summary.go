package caller

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"toucangap/standin/fabric"
)

// Summary is the result of a run.
type Summary struct {
	Seed     uint64           `json:"seed"`
	Services []ServiceSummary `json:"services"`
	// WrongService counts packets and requests at another service's endpoint.
	WrongService int `json:"wrong_service"`
	// RunTwice counts non-idempotent requests that ran more than once, and
	// RepeatedIdempotent idempotent ones.
	RunTwice           int `json:"run_twice"`
	RepeatedIdempotent int `json:"repeated_idempotent"`
	// RefusedButRun counts requests that ran although reported as not run.
	RefusedButRun int `json:"refused_but_run"`
	// AnsweredUnrun counts requests that were answered but that no endpoint ran.
	AnsweredUnrun int `json:"answered_unrun"`
	// Unmatched counts packets that match no request of their flow.
	Unmatched int `json:"mixed_answers"`
	// Late counts packets for completed requests, and Contradicted those that
	// disagree with the recorded outcome.
	Late         int `json:"late_answers"`
	Contradicted int `json:"contradicted"`
	// BrokenFlows counts established flows that broke.
	BrokenFlows int          `json:"broken_flows"`
	Broken      []BrokenFlow `json:"broken,omitempty"`
	// BrokenBeforeFault and UnknownBeforeFault count broken flows and unknown
	// outcomes before any unplanned fault.
	BrokenBeforeFault  int `json:"broken_early"`
	UnknownBeforeFault int `json:"unknown_early"`
	// UnknownRequests lists the latter.
	UnknownRequests []UnknownRequest `json:"unknown_requests,omitempty"`
	// FlowAfterDrain lists new flows that drained endpoints still received.
	FlowAfterDrain []FlowAfterDrain `json:"new_at_drained,omitempty"`
	Fabric         fabric.Counts    `json:"fabric"`
	// Violations lists the violated invariants.
	Violations []string `json:"violations"`
}

// ServiceSummary is the part of a summary about one service.
type ServiceSummary struct {
	Name  string `json:"name"`
	Flows int    `json:"flows"`
	// RefusedFlows counts flows that were refused or unanswered when opened.
	RefusedFlows int `json:"refused_flows"`
	// Requests is the sum of the four counts by outcome that follow.
	Requests int `json:"requests"`
	Answers  int `json:"answers"`
	Refusals int `json:"refusals"`
	Unknown  int `json:"outcome_unknown"`
	Wrong    int `json:"wrong_answers"`
	// P50Ms and P99Ms are percentiles of the response time of answered requests
	// in milliseconds; 0 if there are none.
	P50Ms            float64   `json:"p50_ms"`
	P99Ms            float64   `json:"p99_ms"`
	FlowImbalance    Imbalance `json:"flow_imbalance"`
	RequestImbalance Imbalance `json:"request_imbalance"`
}

const (
	median = 0.50
	tail   = 0.99
)

// summarize returns the summary of one service.
func (s *serviceRecord) summarize(name string) ServiceSummary {
	times := slices.Sorted(slices.Values(s.times))
	requests := 0
	for _, n := range s.outcomes {
		requests += n
	}
	return ServiceSummary{
		Name: name, Flows: s.flows, RefusedFlows: s.refusedFlows,
		Requests: requests, Answers: s.outcomes[Answered],
		Refusals: s.outcomes[Refused], Unknown: s.outcomes[Unknown],
		Wrong: s.outcomes[Wrong],
		P50Ms: percentile(times, median), P99Ms: percentile(times, tail),
		FlowImbalance:    s.balance.flows.result(),
		RequestImbalance: s.balance.requests.result(),
	}
}

// percentile returns the percentile at the given share, from 0 to 1, of the sorted
// times in milliseconds; 0 if there are none.
func percentile(times []time.Duration, share float64) float64 {
	if len(times) == 0 {
		return 0
	}
	at := min(int(share*float64(len(times))), len(times)-1)
	return float64(times[at]) / float64(time.Millisecond)
}

// WriteText writes the summary as human-readable text.
func (s *Summary) WriteText(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "service\tflows\trequests\tanswers\trefusals\tunknown\tp50 ms\tp99 ms\tflow imbalance mean/max\trequest imbalance mean/max\t")
	for _, v := range s.Services {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.2f / %.2f\t%.2f / %.2f\t\n",
			v.Name, v.Flows, v.Requests, v.Answers, v.Refusals, v.Unknown, v.P50Ms, v.P99Ms,
			v.FlowImbalance.Mean, v.FlowImbalance.Max, v.RequestImbalance.Mean, v.RequestImbalance.Max)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(out, "wrong service %d, run twice %d, refused but run %d, answered unrun %d, mixed answers %d, contradicted %d, late answers %d, repeated idempotent %d\n",
		s.WrongService, s.RunTwice, s.RefusedButRun, s.AnsweredUnrun, s.Unmatched, s.Contradicted, s.Late, s.RepeatedIdempotent)
	fmt.Fprintf(out, "packets sent %d, received %d, lost %d, duplicated %d, reordered %d, stray %d\n",
		s.Fabric.Sent, s.Fabric.Received, s.Fabric.Lost, s.Fabric.Duplicated, s.Fabric.Reordered, s.Fabric.Stray)
	refused := 0
	for _, v := range s.Services {
		refused += v.RefusedFlows
	}
	fmt.Fprintf(out, "new flows at drained endpoints %d, refused flows %d, broken flows %d\n", len(s.FlowAfterDrain), refused, s.BrokenFlows)
	for _, n := range s.FlowAfterDrain {
		fmt.Fprintf(out, "  %s %s at %s: new after %.1f s\n", n.Service, n.Caller, n.Endpoint, float64(n.AtMs)/1000)
	}
	for _, b := range s.Broken {
		fmt.Fprintf(out, "  %s %s at %s: %s after %.1f s\n", b.Service, b.Caller, b.Endpoint, b.Reason, float64(b.AtMs)/1000)
	}
	for _, u := range s.UnknownRequests {
		fmt.Fprintf(out, "  %s request %s: outcome unknown after %.1f s, took %d ms\n", u.Service, u.ID, float64(u.AtMs)/1000, u.TookMs)
	}
	for _, v := range s.Violations {
		fmt.Fprintln(out, "VIOLATION:", v)
	}
	if len(s.Violations) == 0 {
		fmt.Fprintln(out, "no invariant broken")
	}
	return nil
}
