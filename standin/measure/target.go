package measure

import (
	"fmt"
	"strings"
)

// State tells whether a target is met.
type State string

// The states of a target.
const (
	StateMet    State = "met"
	StateMissed State = "missed"
	StateNotRun State = "not run"
)

// Row is a target with the measured result.
type Row struct {
	Measure  string
	Target   string
	Measured string
	State    State
}

// targetResult accumulates the results of many runs for one target. The worst
// value is the largest.
type targetResult struct {
	runs       int
	missedRuns int
	worstValue float64
	worstRun   string
}

// add adds the value of one run.
func (v *targetResult) add(r Result, value float64, ok bool) {
	v.runs++
	if !ok {
		v.missedRuns++
	}
	if v.worstRun == "" || value > v.worstValue {
		v.worstValue = value
		v.worstRun = fmt.Sprintf("%s, %d flows, %s, seed %d", r.User, r.Flows, r.Scenario, r.Seed)
	}
}

// row returns the table row of the accumulated result.
func (v *targetResult) row(measure, target, format string) Row {
	row := Row{Measure: measure, Target: target, State: StateNotRun}
	if v.runs == 0 {
		return row
	}
	row.State = StateMet
	if v.missedRuns > 0 {
		row.State = StateMissed
	}
	worst := fmt.Sprintf(format, v.worstValue)
	row.Measured = fmt.Sprintf("%s at worst (%s); %d of %d runs beyond", worst, v.worstRun, v.missedRuns, v.runs)
	return row
}

// The limits set by the targets: fractions, and bytes per second for
// maxControlBytes.
const (
	maxKillShare        = 0.001
	maxKillReplaceShare = 0.005
	maxControlBytes     = 4000
	minGoodputShare     = 0.9
	minSlowShare        = 1.0 / 3
	maxSlowShare        = 0.5
	// targetOverloadSuffix selects the overload that the goodput target applies to.
	targetOverloadSuffix = "-5x"
)

// Targets compares the results of the product's own runs with the targets.
func Targets(results []Result) []Row {
	own := productRuns(results)
	rows := brokenRows(own)
	rows = append(rows, imbalanceRows(own)...)
	rows = append(rows, degradedRows(own)...)
	rows = append(rows, controlTrafficRow(own), lateFlowsRow(own), guaranteeRow(own))
	return append(rows, goodputRows(own)...)
}

// productRuns returns the runs of the product's own policy.
func productRuns(results []Result) []Result {
	var out []Result
	for _, r := range results {
		if r.Brain == productPolicy {
			out = append(out, r)
		}
	}
	return out
}

func brokenRows(results []Result) []Row {
	var planned, killed, replaced targetResult
	for _, r := range results {
		share := r.brokenShare()
		switch r.Group {
		case GroupPlanned, GroupSteady:
			broken := float64(r.Figures.Broken + r.Figures.BrokenBefore)
			planned.add(r, broken, broken == 0)
		case GroupKill:
			killed.add(r, 100*share, share <= maxKillShare)
		case GroupKillReplace:
			replaced.add(r, 100*share, share <= maxKillReplaceShare)
		}
	}
	return []Row{
		planned.row("broken flows, steady or any planned change", "0", "%.0f"),
		killed.row("broken flows, one host killed", "at most 0.1% of those held", "%.3f%%"),
		replaced.row("broken flows, one host killed while another is being replaced", "at most 0.5%", "%.3f%%"),
	}
}

// brokenShare returns the fraction of the flows held that were broken.
func (r Result) brokenShare() float64 {
	return float64(r.Figures.Broken) / float64(max(1, r.Figures.Held))
}

// imbalanceRows returns three rows per user: TCP flows, CoAP flows, whose end is
// not visible in their packets, and open requests.
func imbalanceRows(results []Result) []Row {
	even := "at most 1.10, or one above the mean"
	steady := "at most 1.20, or two above the mean"
	return append(userRows(results, "fastighetsrond", even), userRows(results, "solaris", steady)...)
}

func userRows(results []Result, user, target string) []Row {
	flows := func(s Spread) ([]float64, int) { return s.FlowRatios, s.FlowsOver }
	requests := func(s Spread) ([]float64, int) { return s.RequestRatios, s.RequestsOver }
	connections := []string{"sessions"}
	datagrams := []string{"urgent", "normal"}
	return []Row{
		imbalanceRow(results, user, "open TCP flows", target, connections, flows),
		imbalanceRow(results, user, "open CoAP flows", target, datagrams, flows),
		imbalanceRow(results, user, "open requests", target, datagrams, requests),
	}
}

// imbalanceRow returns the largest ratio of the windows and the number of windows
// that exceed the bound.
func imbalanceRow(results []Result, user, what, target string, names []string, ratiosOf func(Spread) ([]float64, int)) Row {
	var v targetResult
	windows, windowsOver := 0, 0
	for _, r := range results {
		if r.Group != GroupSteady || r.User != user {
			continue
		}
		for _, name := range names {
			ratios, over := ratiosOf(r.Figures.spread(name))
			windows += len(ratios)
			windowsOver += over
			named := r
			named.Scenario = name
			v.add(named, largest(ratios), over == 0)
		}
	}
	row := v.row("imbalance of "+what+", steady, "+user, target, "%.2f")
	if row.State != StateNotRun {
		row.Measured += fmt.Sprintf(" (a run and service each), %d of %d windows beyond", windowsOver, windows)
	}
	return row
}

func largest(ratios []float64) float64 {
	m := 0.0
	for _, r := range ratios {
		m = max(m, r)
	}
	return m
}

func degradedRows(results []Result) []Row {
	var honest, slow targetResult
	smallest := 1.0
	windows, over, allowed := 0, 0, 0
	for _, r := range results {
		if r.Group != GroupDegraded {
			continue
		}
		s := r.Figures.spread("urgent")
		windows += len(s.RequestRatios)
		over += s.HonestOver
		allowed += s.HonestBeyond
		honest.add(r, largest(s.RequestRatios), s.HonestOver == 0)
		share := r.Figures.SlowShare
		smallest = min(smallest, share)
		slow.add(r, share, share >= minSlowShare && share <= maxSlowShare)
	}
	rows := []Row{
		honest.row("open requests at the honest endpoints, one slow and one false", "at most 1.25", "%.2f"),
		slow.row("share of work of the slow endpoint", "a third to a half of an equal share", "%.2f"),
	}
	if honest.runs > 0 {
		rows[0].Measured += fmt.Sprintf(", %d of %d windows beyond; with the steady allowance above the mean %d", over, windows, allowed)
		rows[1].Measured += fmt.Sprintf(", the least %.2f", smallest)
	}
	return rows
}

// spread returns the load distribution of a service.
func (f *Figures) spread(service string) Spread {
	for _, s := range f.Imbalance {
		if s.Service == service {
			return s
		}
	}
	return Spread{}
}

func controlTrafficRow(results []Result) Row {
	var v targetResult
	for _, r := range results {
		v.add(r, float64(r.Figures.ControlPeak), r.Figures.ControlPeak <= maxControlBytes)
	}
	return v.row("control bytes sent by a host, any second", "at most 4000", "%.0f")
}

func lateFlowsRow(results []Result) Row {
	var v targetResult
	for _, r := range results {
		if r.Scenario == "drain" || r.Scenario == "remove" {
			v.add(r, float64(r.Figures.LateFlows), r.Figures.LateFlows == 0)
		}
	}
	return v.row("new flows at a leaving endpoint after 3 s", "0", "%.0f")
}

func guaranteeRow(results []Result) Row {
	var v targetResult
	for _, r := range results {
		v.add(r, float64(r.Figures.Violations), r.Figures.Violations == 0)
	}
	return v.row("run twice, told not run but run, wrong service, mixed answers", "0 in all runs", "%.0f")
}

// goodputRows returns rows with the smallest values, since larger is better.
func goodputRows(results []Result) []Row {
	var during, urgent, recovered minimumResult
	for _, r := range results {
		g := r.Figures.Goodput
		if g == nil {
			continue
		}
		recovered.add(r, g.After/max(1, g.OfferedAfter))
		if !strings.HasSuffix(r.Scenario, targetOverloadSuffix) {
			continue
		}
		during.add(r, g.During/max(1, g.Before))
		if strings.HasPrefix(r.Scenario, "overload-limit") {
			urgent.add(r, g.UrgentServed)
		}
	}
	return []Row{
		during.row("goodput at 5 times overload, against goodput at capacity", "at least 90%"),
		urgent.row("first class served at 5 times overload of the hosts' limit", "at least 90% of what it asks for"),
		recovered.row("goodput from 5 s after an overload's end, against what is offered", "at least 90%"),
	}
}

// minimumResult is a targetResult for which the smallest value is the worst. It
// accumulates fractions as negative percentages.
type minimumResult struct{ targetResult }

func (l *minimumResult) add(r Result, share float64) {
	l.targetResult.add(r, -100*share, share >= minGoodputShare)
}

func (l *minimumResult) row(measure, target string) Row {
	l.worstValue = -l.worstValue
	return l.targetResult.row(measure, target, "%.1f%%")
}
