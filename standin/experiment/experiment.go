// Package experiment compares variants of placement, failover, death detection and
// admission in a set of emulated scenarios (package emu), so that a variant is
// chosen by measurement.
package experiment

import (
	"fmt"
	"io"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/ansel1/merry/v2"

	"toucangap/internal/relay"
	"toucangap/standin/emu"
)

// Rule is a variant of the relay's decisions.
type Rule struct {
	Name    string
	Options relay.Options
}

// Rules returns the relay's current rules, variants of them that lack one feature
// each, and two baselines of placement.
func Rules() []Rule {
	return []Rule{
		{"present", relay.Options{}},
		{"no sending on", relay.Options{Disabled: relay.Features{Failover: true}}},
		{"no death", relay.Options{Disabled: relay.Features{DeathDetection: true}}},
		{"no admission", relay.Options{Disabled: relay.Features{Admission: true}}},
		{"no holding", relay.Options{Disabled: relay.Features{Holding: true}}},
		{"without failures", relay.Options{Choose: emu.WithoutFailures}},
		{"least open", relay.Options{Choose: emu.LeastOpen}},
		{"random", relay.Options{Choose: emu.Random}},
	}
}

// Scenario is a load pattern with faults.
type Scenario struct {
	Name  string
	Setup func(em *emu.Emulator)
	// Deployment returns the deployment; nil means emu.Default.
	Deployment func(seed uint64) emu.Config
}

// crowd triples the load for two seconds.
func crowd(em *emu.Emulator) {
	em.At(time.Second, func() { em.SetLoadFactor(3) })
	em.At(3*time.Second, func() { em.SetLoadFactor(1) })
}

// outage stops all hosts for a span.
func outage(span time.Duration) func(em *emu.Emulator) {
	return func(em *emu.Emulator) {
		em.At(2*time.Second, func() {
			for _, h := range em.Hosts() {
				h.Kill(span)
			}
		})
	}
}

// Scenarios returns the scenarios under which the rules are compared.
func Scenarios() []Scenario {
	crash := func(span, expiry time.Duration) func(em *emu.Emulator) {
		return func(em *emu.Emulator) {
			for i := range 14 {
				em.At(time.Duration(i+1)*300*time.Millisecond, func() { em.Endpoints("alerts")[i].Crash(expiry, span) })
			}
		}
	}
	return []Scenario{
		{Name: "calm", Setup: func(*emu.Emulator) {}},
		{Name: "crowd x3", Setup: crowd},
		{Name: "crowd, long", Setup: crowd, Deployment: emu.LongRequests},
		{Name: "outage 0.5 s", Setup: outage(500 * time.Millisecond), Deployment: emu.LongRequests},
		{Name: "outage 1 s", Setup: outage(time.Second), Deployment: emu.LongRequests},
		{Name: "outage 2 s", Setup: outage(2 * time.Second), Deployment: emu.LongRequests},
		{Name: "a third refuses", Deployment: emu.ManyHosts, Setup: func(em *emu.Emulator) {
			em.At(time.Second, func() {
				for i, e := range em.Endpoints("alerts") {
					if i%3 == 0 {
						e.CrashRefusing(4*time.Second, 10*time.Second)
					}
				}
			})
		}},
		{Name: "dark endpoints", Setup: crash(1500*time.Millisecond, 3600*time.Millisecond)},
		{Name: "flapping", Setup: func(em *emu.Emulator) {
			for i := range 20 {
				em.At(time.Duration(i)*250*time.Millisecond, func() {
					em.Endpoints("alerts")[i%3].Crash(3600*time.Millisecond, 200*time.Millisecond)
				})
			}
		}},
		{Name: "three slow x5", Setup: func(em *emu.Emulator) {
			em.At(time.Second, func() {
				for _, e := range em.Endpoints("alerts")[:3] {
					e.WorkFactor = 5
				}
			})
		}},
		{Name: "two grey", Setup: func(em *emu.Emulator) {
			for _, e := range em.Endpoints("alerts")[:2] {
				e.HangShare = 64
			}
		}},
		{Name: "three erring", Setup: func(em *emu.Emulator) {
			em.At(time.Second, func() {
				for _, e := range em.Endpoints("alerts")[:3] {
					e.ErrorShare = 128
				}
			})
		}},
		{Name: "four refusing", Setup: func(em *emu.Emulator) {
			em.SetLoadFactor(1.4)
			em.At(time.Second, func() {
				for _, e := range em.Endpoints("alerts")[:4] {
					e.CrashRefusing(3600*time.Millisecond, 5*time.Second)
				}
			})
		}},
		{Name: "hosts replaced", Setup: func(em *emu.Emulator) {
			for i, h := range em.Hosts() {
				em.At(time.Duration(i+1)*1200*time.Millisecond, func() { h.Kill(400 * time.Millisecond) })
			}
		}},
	}
}

// Cell is the result of one rule in one scenario.
type Cell struct {
	Scenario, Rule string
	Total          emu.Counts
	// P99 is the 99th percentile of the time from a request to its answer.
	P99 time.Duration
	// Violations is empty if no invariant was violated.
	Violations string
}

// span is the duration of the load in each scenario.
const span = 6 * time.Second

// Run emulates all scenarios under all rules with the seed and returns the results
// scenario by scenario.
func Run(seed uint64) []Cell {
	var cells []Cell
	for _, scenario := range Scenarios() {
		for _, rule := range Rules() {
			deployment := scenario.Deployment
			if deployment == nil {
				deployment = emu.Default
			}
			c := deployment(seed)
			c.Options = rule.Options
			em := emu.New(c)
			scenario.Setup(em)
			r := em.Run(span)
			cells = append(cells, Cell{scenario.Name, rule.Name, r.Total(), r.Quantile(0.99), r.Violations()})
		}
	}
	return cells
}

// WriteTable writes the results as a text table.
func WriteTable(w io.Writer, cells []Cell) error {
	_, err := fmt.Fprintf(w, "%-16s %-14s %8s %8s %6s %6s %8s %9s  %s\n",
		"load", "rule", "worth", "in time", "late", "failed", "asked", "p99", "violations")
	for _, c := range cells {
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(w, "%-16s %-14s %8.4f %8d %6d %6d %8d %9s  %s\n", c.Scenario, c.Rule, c.Total.Share(),
			c.Total.InTarget, c.Total.Late, c.Total.Failed, c.Total.Requests, c.P99.Round(100*time.Microsecond), c.Violations)
	}
	return err
}

// WritePlot plots the share of the possible worth that callers did not get, by
// scenario and rule, to an SVG file.
func WritePlot(path string, cells []Cell) error {
	p := plot.New()
	p.Title.Text = "share of worth lost"
	scenarios := Scenarios()
	names := make([]string, len(scenarios))
	for i, s := range scenarios {
		names[i] = s.Name
	}
	p.NominalX(names...)
	for i, rule := range Rules() {
		values := make(plotter.Values, len(scenarios))
		for j, s := range scenarios {
			for _, c := range cells {
				if c.Scenario == s.Name && c.Rule == rule.Name {
					values[j] = 1 - c.Total.Share()
				}
			}
		}
		bars, err := plotter.NewBarChart(values, vg.Points(6))
		if err != nil {
			return merry.Prepend(err, "plot")
		}
		bars.Offset = vg.Points(float64(i-len(Rules())/2) * 6)
		bars.Color = colors[i%len(colors)]
		p.Add(bars)
		p.Legend.Add(rule.Name, bars)
	}
	p.Legend.Top = true
	return merry.Prepend(p.Save(26*vg.Centimeter, 10*vg.Centimeter, path), "plot")
}
