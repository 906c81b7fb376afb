package measure

import (
	"fmt"
	"strconv"
)

// formatNumber formats a number with one decimal.
func formatNumber(v float64) string { return strconv.FormatFloat(v, 'f', 1, 64) }

// Missed reports whether any target is missed.
func (r Report) Missed() bool {
	for _, row := range r.Targets {
		if row.State == StateMissed {
			return true
		}
	}
	return false
}

// panels returns the charts of the report.
func (r Report) panels() []panel {
	rows := summaries(r.Results)
	return []panel{
		barPanel("Broken flows, % of those held", brokenFlowBars(rows)),
		linePanel("Imbalance of open flows over time, steady sessions, largest over mean, first seed", r.imbalanceOverTime("sessions", flowRatios)),
		linePanel("Imbalance of open requests over time, steady urgent class, largest over mean, first seed", r.imbalanceOverTime("urgent", requestRatios)),
		linePanel("Control bytes a second of the host that sends most, rolling replacement, first seed", r.controlTraffic()),
		barPanel("Time to answer, urgent class, 99th percentile in ms (the worst seed)", answerTimeBars(rows)),
		barPanel("Refused and shed requests, % of all", refusalBars(rows)),
	}
}

func flowRatios(s Spread) []float64    { return s.FlowRatios }
func requestRatios(s Spread) []float64 { return s.RequestRatios }

// policyColor returns the color of a policy's bars.
func policyColor(policy string) string {
	for i, name := range []string{productPolicy, "flow-tables", "hash", "least-load"} {
		if name == policy {
			return colors[i]
		}
	}
	return colors[len(colors)-1]
}

func (s summaryRow) label() string {
	return fmt.Sprintf("%s %d %s, %s", s.user, s.flows, s.scenario, s.policy)
}

func brokenFlowBars(rows []summaryRow) []barValue {
	var out []barValue
	for _, s := range rows {
		share := 100 * float64(s.broken) / float64(max(1, s.held))
		if s.broken > 0 || s.policy == productPolicy {
			out = append(out, barValue{s.label(), share, fmt.Sprintf("%.3f%%", share), policyColor(s.policy)})
		}
	}
	return out
}

func answerTimeBars(rows []summaryRow) []barValue {
	var out []barValue
	for _, s := range rows {
		if s.policy == productPolicy {
			out = append(out, barValue{s.label(), s.p99, fmt.Sprintf("%.0f ms", s.p99), colors[0]})
		}
	}
	return out
}

func refusalBars(rows []summaryRow) []barValue {
	var out []barValue
	for _, s := range rows {
		if s.policy != productPolicy || s.refused+s.shed == 0 {
			continue
		}
		share := 100 * float64(s.refused+s.shed) / float64(max(1, s.requests))
		out = append(out, barValue{s.label(), share, fmt.Sprintf("%.1f%%", share), colors[0]})
	}
	return out
}

// firstSeed is the seed whose runs are plotted over time.
const firstSeed = 1

// imbalanceOverTime returns a service's ratios over time in steady runs.
func (r Report) imbalanceOverTime(service string, of func(Spread) []float64) []series {
	var out []series
	for _, run := range r.Results {
		if run.Group != GroupSteady || run.Seed != firstSeed {
			continue
		}
		s := run.Figures.spread(service)
		name := fmt.Sprintf("%s %d %s", run.User, run.Flows, run.Brain)
		out = append(out, series{name, s.At, of(s)})
	}
	return out
}

// controlTraffic returns the maximum control bytes of a host for each second.
func (r Report) controlTraffic() []series {
	var out []series
	for _, run := range r.Results {
		if run.Scenario != "rolling" || run.Seed != firstSeed || run.Brain != productPolicy {
			continue
		}
		s := series{name: fmt.Sprintf("%s %d", run.User, run.Flows)}
		for second, bytes := range run.Figures.Control {
			s.x = append(s.x, float64(second))
			s.y = append(s.y, float64(bytes))
		}
		out = append(out, s)
	}
	return out
}
