package measure

import (
	"time"

	"toucangap/standin/lab"
)

// Figures holds the results of one run.
type Figures struct {
	// Held is the number of open flows when the scenario's action starts.
	Held int
	// Broken counts the flows broken from then on, BrokenBefore those before.
	Broken, BrokenBefore int
	// Ended, OpenFailed and Moved are those of lab.Result.
	Ended, OpenFailed, Moved int
	// LateFlows counts new flows at leaving endpoints after the grace period.
	LateFlows int
	// RunTwice, FalseNotRun and Mixed count violated guarantees on requests, as
	// RunTwice, FalseNotRun and Mismatched of lab.Result do; Violations counts all
	// violated invariants, at most 20.
	RunTwice, FalseNotRun, Mixed, Violations int
	Requests, Answered, Refused, Shed        int
	OutcomeUnknown, Unanswered               int
	// ControlPeak is the maximum of control bytes sent by a host in one second.
	ControlPeak int
	// Control holds the maximum of control bytes sent by a host for each second.
	Control []int
	// Imbalance holds the load distribution of each service.
	Imbalance []Spread
	// SlowShare is the work of the slow endpoint divided by an equal share,
	// LiarShare that of the misreporting endpoint; negative without such an
	// endpoint.
	SlowShare, LiarShare float64
	// Goodput is set by overload scenarios only.
	Goodput *Goodput
	// MedianMS and SlowestMS are the 50th and 99th percentiles of the response
	// time in milliseconds, by service.
	MedianMS, SlowestMS map[string]float64
	// Notes holds the texts of the violations and of other failures of the run.
	Notes []string
}

// Goodput compares the rates of requests answered in time before, during and
// after an overload.
type Goodput struct {
	// Before, During and After are requests answered in time per second.
	Before, During, After float64
	// OfferedAfter is the rate of requests offered after the overload.
	OfferedAfter float64
	// UrgentServed and NormalServed are the fractions of the offered requests of
	// a class that were answered in time during the overload.
	UrgentServed, NormalServed float64
}

// collect gathers the results at the end of a run.
func (s *ScenarioRun) collect() *Figures {
	f := s.figures
	r := &s.Simulation.Callers().Result
	f.Broken = r.Broken - f.BrokenBefore
	f.Ended, f.OpenFailed, f.Moved = r.Ended, r.OpenFailed, r.Moved
	f.LateFlows = s.lateFlows()
	f.RunTwice, f.FalseNotRun, f.Mixed = r.RunTwice, r.FalseNotRun, r.Mismatched
	f.Violations = len(s.Simulation.Violations)
	f.Notes = append(f.Notes, s.Simulation.Violations...)
	f.Requests, f.Answered, f.Refused, f.Shed = r.Requests, r.Answered, r.Refused, r.Shed
	f.OutcomeUnknown, f.Unanswered = r.OutcomeUnknown, r.Unanswered
	s.collectControlTraffic()
	for _, id := range services {
		f.Imbalance = append(f.Imbalance, s.spread(id))
	}
	s.collectLatency()
	return f
}

func (s *ScenarioRun) collectControlTraffic() {
	f := s.figures
	f.Control = make([]int, int(s.End/time.Second)+1)
	for _, bySecond := range s.sampler.controlBytes() {
		for second, bytes := range bySecond {
			if second < len(f.Control) {
				f.Control[second] = max(f.Control[second], bytes)
			}
			f.ControlPeak = max(f.ControlPeak, bytes)
		}
	}
}

func (s *ScenarioRun) collectLatency() {
	f := s.figures
	f.MedianMS = make(map[string]float64)
	f.SlowestMS = make(map[string]float64)
	counts := s.Simulation.Callers().OutcomeCounts()
	for _, id := range services[1:] {
		f.MedianMS[serviceName(id)] = milliseconds(counts.Percentile(id, 0.5))
		f.SlowestMS[serviceName(id)] = milliseconds(counts.Percentile(id, 0.99))
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func serviceName(id serviceID) string {
	switch id {
	case lab.ServiceSessions:
		return "sessions"
	case lab.ServiceUrgent:
		return "urgent"
	}
	return "normal"
}
