package measure

import (
	"bytes"
	"encoding/json"
	"encoding/xml"
	"errors"
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"toucangap/standin/baseline"
	"toucangap/standin/lab"
)

var sites = []lab.Site{lab.Solaris, lab.Fastighetsrond}

// findScenario returns the scenario with the given name.
func findScenario(t *testing.T, name string) Scenario {
	t.Helper()
	for _, s := range Scenarios() {
		if s.Name == name {
			return s
		}
	}
	require.Fail(t, "no such scenario", name)
	return Scenario{}
}

// runOnSites runs a scenario on both users' sites with the first seed.
func runOnSites(t *testing.T, name string, flows int, check func(t *testing.T, f *Figures)) {
	t.Helper()
	for _, site := range sites {
		f := runScenario(Size{site, flows}, firstSeed, findScenario(t, name), newProductPolicy())
		t.Logf("%s: held %d, broken %d, late %d, control %d B/s", site.Name, f.Held, f.Broken, f.LateFlows, f.ControlPeak)
		require.Zero(t, f.Violations, f.Notes)
		check(t, f)
	}
}

func TestDrainedEndpointGetsNoNewFlows(t *testing.T) {
	t.Parallel()
	runOnSites(t, "drain", 600, func(t *testing.T, f *Figures) {
		require.Zero(t, f.LateFlows)
		require.Zero(t, f.Broken)
	})
}

func TestPlannedChangesBreakNoFlow(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"join", "stop", "rollout", "rolling"} {
		runOnSites(t, name, 60, func(t *testing.T, f *Figures) { require.Zero(t, f.Broken, name) })
	}
}

func TestKilledHostBreaksFewFlows(t *testing.T) {
	t.Parallel()
	runOnSites(t, "kill", 600, func(t *testing.T, f *Figures) {
		require.LessOrEqual(t, float64(f.Broken), maxKillShare*float64(f.Held))
	})
}

func TestConnectionsAreEven(t *testing.T) {
	t.Parallel()
	runOnSites(t, "steady", 600, func(t *testing.T, f *Figures) {
		require.Zero(t, f.spread("sessions").FlowsOver)
		require.LessOrEqual(t, f.ControlPeak, maxControlBytes)
	})
}

func TestOverloadKeepsGoodput(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"overload-limit-5x", "overload-slots-5x"} {
		runOnSites(t, name, singleSize, func(t *testing.T, f *Figures) {
			require.GreaterOrEqual(t, f.Goodput.During, minGoodputShare*f.Goodput.Before)
			require.GreaterOrEqual(t, f.Goodput.After, minGoodputShare*f.Goodput.OfferedAfter)
		})
	}
}

func TestUrgentClassIsServedFirst(t *testing.T) {
	t.Parallel()
	runOnSites(t, "overload-limit-10x", singleSize, func(t *testing.T, f *Figures) {
		require.GreaterOrEqual(t, f.Goodput.UrgentServed, minGoodputShare)
		require.Less(t, f.Goodput.NormalServed, 1-minGoodputShare)
	})
}

// TestBaselinesBreakFlows checks that the measurement detects broken flows with
// baselines that are known to break them.
func TestBaselinesBreakFlows(t *testing.T) {
	t.Parallel()
	z := Size{lab.Solaris, 600}
	require.Positive(t, runScenario(z, firstSeed, findScenario(t, "drain"), baseline.New(baseline.Hash)).Broken)
	require.Positive(t, runScenario(z, firstSeed, findScenario(t, "drain"), baseline.New(baseline.FlowTables)).Broken)
	require.Positive(t, runScenario(z, firstSeed, findScenario(t, "kill"), baseline.New(baseline.LeastLoad)).Broken)
}

func TestRunsAreReproducible(t *testing.T) {
	t.Parallel()
	z := Size{lab.Fastighetsrond, 60}
	a := runScenario(z, 5, findScenario(t, "kill"), newProductPolicy())
	b := runScenario(z, 5, findScenario(t, "kill"), newProductPolicy())
	require.Equal(t, a, b)
}

func TestBound(t *testing.T) {
	t.Parallel()
	require.False(t, evenBound.exceeded(110, 100))
	require.True(t, evenBound.exceeded(111, 100))
	require.False(t, evenBound.exceeded(3, 2), "one above the mean is allowed")
	require.True(t, steadyBound.exceeded(4.1, 2))
}

func TestTargetStates(t *testing.T) {
	t.Parallel()
	result := Result{User: "solaris", Flows: 60, Scenario: "kill", Group: GroupKill, Brain: productPolicy}
	result.Figures = &Figures{Held: 1000, Broken: 1}
	require.Equal(t, StateMet, Targets([]Result{result})[1].State)
	result.Figures.Broken = 2
	require.Equal(t, StateMissed, Targets([]Result{result})[1].State)
	require.Equal(t, StateNotRun, Targets([]Result{result})[0].State)
	result.Brain = "hash"
	require.Equal(t, StateNotRun, Targets([]Result{result})[1].State)
}

func TestReportIsWellFormed(t *testing.T) {
	t.Parallel()
	report := NewReport(Run(Options{Sizes: []int{60}, Seeds: 1, Only: []string{"steady", "rolling"}, Workers: 2}), nil)
	var text, data, plot bytes.Buffer
	require.NoError(t, report.WriteText(&text))
	require.NoError(t, report.WriteJSON(&data))
	require.NoError(t, report.WriteSVG(&plot))
	require.Contains(t, text.String(), "broken flows")
	require.True(t, json.Valid(data.Bytes()))
	d := xml.NewDecoder(&plot)
	for {
		_, err := d.Token()
		if errors.Is(err, io.EOF) {
			return
		}
		require.NoError(t, err)
	}
}

func TestScaleRunKeepsItsFlows(t *testing.T) {
	t.Parallel()
	s := RunScale(ScaleOptions{Hosts: 3, PerHost: 300, NewPerSecond: 5, Seed: firstSeed})
	t.Log(s)
	require.Zero(t, s.Violations)
	require.Zero(t, s.BrokenSteady)
	require.InEpsilon(t, 900, s.Held, 0.15)
}
