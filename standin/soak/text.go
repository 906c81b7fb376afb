package soak

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Text returns the report as human-readable text.
func (r *Report) Text() string {
	var b strings.Builder
	verdict := "passed"
	if len(r.Violations) > 0 {
		verdict = "FAILED"
	}
	fmt.Fprintf(&b, "seed %d: %s; %d faults; %d asked, %d answered, %d failed; median %.1f ms, p99 %.1f ms\n",
		r.Schedule.Seed, verdict, len(r.Schedule.Faults), r.Total.Asked, r.Total.Answered, r.Total.Failed,
		r.MedianUs/1000, r.P99Us/1000)
	fmt.Fprintf(&b, "  in force   %s\n  beside     %s\n", tallies(r.Checks), tallies(r.Beside))
	if len(r.Violations) == 0 {
		return b.String()
	}
	fmt.Fprintf(&b, "  conditions %+v\n", r.Schedule.Conditions)
	for _, f := range r.Faults {
		fmt.Fprintf(&b, "  fault      %s\n", f)
	}
	for _, v := range r.Violations {
		fmt.Fprintf(&b, "  violation  %s\n", v)
	}
	fmt.Fprintf(&b, "  logs in %s\n", r.Directory)
	return b.String()
}

// tallies lists the checks in force of all checks, by name.
func tallies(byName map[string]Tally) string {
	var list []string
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		t := byName[name]
		list = append(list, fmt.Sprintf("%s %d of %d", name, t.InForce, t.InForce+t.Suspended))
	}
	return strings.Join(list, ", ")
}
