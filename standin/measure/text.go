package measure

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// Report holds the results of all runs and their comparison with the targets.
type Report struct {
	Targets []Row
	Results []Result
	Scale   *Scale `json:",omitempty"`
}

// NewReport returns a report that compares the results with the targets.
func NewReport(results []Result, scale *Scale) Report {
	return Report{Targets: Targets(results), Results: results, Scale: scale}
}

// WriteJSON writes the complete report as JSON.
func (r Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	return e.Encode(r)
}

// WriteText writes the targets and one line per scenario, size and policy.
func (r Report) WriteText(w io.Writer) error {
	t := &errWriter{out: w}
	t.printf("Targets (the product's own decisions; times are virtual)\n\n")
	for _, row := range r.Targets {
		t.printf("%-8s %s\n         target:   %s\n", row.State, row.Measure, row.Target)
		if row.Measured != "" {
			t.printf("         measured: %s\n", row.Measured)
		}
	}
	t.printf("\nScenarios (sums over the seeds)\n\n")
	t.writeTable(summaries(r.Results))
	r.writeScale(t)
	return t.err
}

func (r Report) writeScale(t *errWriter) {
	if r.Scale == nil {
		return
	}
	t.printf("\nAt scale\n\n%s\n", r.Scale)
}

// errWriter keeps the first error of a sequence of writes.
type errWriter struct {
	out io.Writer
	err error
}

func (t *errWriter) printf(format string, args ...any) {
	if t.err == nil {
		_, t.err = fmt.Fprintf(t.out, format, args...)
	}
}

// writeTable writes one line per summary.
func (t *errWriter) writeTable(rows []summaryRow) {
	tw := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	inner := &errWriter{out: tw, err: t.err}
	inner.printf("user\tflows\tscenario\tdecisions\truns\theld\tbroken\tended\tviolations\tlate\tflows mean/max\trequests mean/max\tB/s\trequests\trefused\tshed\tunknown\tunanswered\tp50 ms\tp99 ms\n")
	for _, s := range rows {
		inner.printf("%s\t%d\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f/%.2f\t%.2f/%.2f\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\n",
			s.user, s.flows, s.scenario, s.policy, s.runs, s.held, s.broken, s.ended, s.violations, s.lateFlows,
			s.flowMean, s.flowMax, s.requestMean, s.requestMax, s.controlPeak,
			s.requests, s.refused, s.shed, s.unknown, s.unanswered, s.median, s.p99)
	}
	if inner.err == nil {
		inner.err = tw.Flush()
	}
	t.err = inner.err
}
