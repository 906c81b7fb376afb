package measure

// summaryRow aggregates the runs of one scenario at one size over the seeds.
type summaryRow struct {
	user, scenario, policy           string
	flows, runs                      int
	held, broken, ended              int
	violations, lateFlows            int
	flowMean, flowMax                float64
	requestMean, requestMax          float64
	controlPeak                      int
	requests, refused, shed, unknown int
	unanswered                       int
	median, p99                      float64
	flowWindows, requestWindows      int
}

// summaryKey identifies the runs that a summary aggregates.
type summaryKey struct {
	user, scenario, policy string
	flows                  int
}

// summaries returns the summaries in the order of the results.
func summaries(results []Result) []summaryRow {
	indexes := make(map[summaryKey]int)
	var rows []summaryRow
	for _, r := range results {
		key := summaryKey{r.User, r.Scenario, r.Brain, r.Flows}
		index, known := indexes[key]
		if !known {
			index = len(rows)
			indexes[key] = index
			rows = append(rows, summaryRow{user: r.User, scenario: r.Scenario, policy: r.Brain, flows: r.Flows})
		}
		rows[index].add(r.Figures)
	}
	return rows
}

// add adds the results of one run.
func (s *summaryRow) add(f *Figures) {
	s.runs++
	s.held += f.Held
	s.broken += f.Broken
	s.ended += f.Ended
	s.violations += f.Violations
	s.lateFlows += f.LateFlows
	s.controlPeak = max(s.controlPeak, f.ControlPeak)
	s.requests += f.Requests
	s.refused += f.Refused
	s.shed += f.Shed
	s.unknown += f.OutcomeUnknown
	s.unanswered += f.Unanswered
	s.median = max(s.median, f.MedianMS["urgent"])
	s.p99 = max(s.p99, f.SlowestMS["urgent"])
	s.addSpread(f)
}

// addSpread adds the imbalance of the sessions' flows and of the urgent requests.
func (s *summaryRow) addSpread(f *Figures) {
	for _, ratio := range f.spread("sessions").FlowRatios {
		s.flowWindows++
		s.flowMean += (ratio - s.flowMean) / float64(s.flowWindows)
		s.flowMax = max(s.flowMax, ratio)
	}
	for _, ratio := range f.spread("urgent").RequestRatios {
		s.requestWindows++
		s.requestMean += (ratio - s.requestMean) / float64(s.requestWindows)
		s.requestMax = max(s.requestMax, ratio)
	}
}
