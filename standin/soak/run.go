package soak

import (
	"context"
	"fmt"
	"os"
	"time"

	"toucangap/internal/adminapi"
	"toucangap/standin/site"
)

// Options configures the runs of schedules.
type Options struct {
	// Daemon is the path of the daemon's executable.
	Daemon string
	// Port is the first of the ports used on each address.
	Port int
	// Faults is the span in which faults start.
	Faults time.Duration
	// Domains is the number of failure domains, Hosts the number of hosts in each.
	Domains int
	Hosts   int
	// StoreKinds adds the kinds of storeKinds and conditions of the store to the draw.
	StoreKinds bool
	// Rate is the load in requests per second.
	Rate float64
	// Keep retains the directory with the hosts' logs.
	Keep bool
}

// Timing and limits of the checks.
const (
	// warmUp is the time within which a deployment must be ready, recovery the time
	// within which it must serve normally again, counted from site.StopBound after
	// the end of the last fault.
	warmUp   = 5 * time.Second
	recovery = 6 * time.Second
	// recoveryWindow is the span at the end of that, but for its last second, in
	// which callers must be served.
	recoveryWindow = 2 * time.Second
	// lastCheck is the time after that for which a last drain and configuration, written
	// site.StopBound after the last fault, are still checked: all hosts are in touch then.
	lastCheck = 2 * time.Second
	// minAnsweredShare is the share of the ended requests started in it that must
	// have been answered.
	minAnsweredShare = 0.99
	// maxMemory, in bytes, and maxDescriptors limit the resident memory and the open
	// file descriptors of a host.
	maxMemory      = 96 << 20
	maxDescriptors = 300
	// drainWait is the time after the end of the load until flows must be gone: the
	// longest timeout of callers plus the time for which hosts keep ended flows.
	drainWait = 7 * time.Second
	// maxRemainingFlows is the number of flows that a host may still hold then: those
	// that callers never closed are kept until the idle timeout.
	maxRemainingFlows = 200
)

// Report is the result of one schedule.
type Report struct {
	Schedule Schedule `json:"schedule"`
	// Violations and Faults describe each violated invariant and injected fault.
	Violations []string `json:"violations"`
	Faults     []string `json:"faults"`
	// Seconds counts requests by second since the start of the site.
	Seconds []site.Second `json:"seconds"`
	Total   site.Second   `json:"total"`
	// MedianUs and P99Us are percentiles of the time from the start of a request to
	// its answer, in microseconds.
	MedianUs float64 `json:"median_us"`
	P99Us    float64 `json:"p99_us"`
	// Checks counts by check, and Beside by kind of fault up to the time after it, how often
	// a check with a time bound was in force for a host, and how often suspended.
	Checks map[string]Tally `json:"checks"`
	Beside map[string]Tally `json:"beside"`
	// Directory holds the hosts' settings and logs; it is empty if they were removed.
	Directory string `json:"directory,omitempty"`
}

// Run runs a schedule against a new deployment and checks it. Violated invariants
// are in the report; an error means that the schedule could not be run to its end.
func Run(ctx context.Context, o Options, schedule Schedule) (Report, error) {
	report := Report{Schedule: schedule}
	dir, err := os.MkdirTemp("", "toucangap-soak.")
	if err != nil {
		return report, err
	}
	s, err := site.New(site.Options{
		Daemon: o.Daemon, Dir: dir, Port: o.Port, Seed: schedule.Seed,
		Domains: o.Domains, Hosts: o.Hosts, Endpoints: 6, Rate: o.Rate, ColdStarts: schedule.coldStarts(),
		Prepare: schedule.Conditions.prepare,
	})
	if err != nil {
		return report, err
	}
	defer s.Close()
	m := newMonitor(s)
	if !waitReady(ctx, s) {
		s.RecordViolation("hosts were not ready in time")
	}
	start := time.Now()
	s.SetLoad(true)
	faultsEnd := time.Duration(0)
	for _, f := range schedule.Faults {
		m.pollUntil(ctx, start.Add(f.At))
		if ctx.Err() != nil {
			return report, context.Cause(ctx)
		}
		k := kindNamed(f.Kind)
		if k.suspendsBounds {
			s.SuspendBounds(f.Span)
		}
		for _, h := range separated(s, f) {
			h.SuspendEvacuations(f.Span)
		}
		for _, h := range harmed(s, f) {
			h.Harm(f.Span)
		}
		m.began(f)
		s.RecordFault(f.String())
		k.inject(s, f)
		faultsEnd = max(faultsEnd, f.At+f.Span)
	}
	m.pollUntil(ctx, start.Add(faultsEnd+site.StopBound))
	changeSoon(s, Fault{Target: int(schedule.Seed % 1000)})
	m.pollUntil(ctx, start.Add(faultsEnd+site.StopBound+recovery))
	m.checkRecovered()
	m.pollUntil(ctx, time.Now().Add(lastCheck))
	m.checkResources()
	s.SetLoad(false)
	m.pollUntil(ctx, time.Now().Add(drainWait))
	m.checkRemainingFlows()
	s.Finish()
	fillReport(&report, s)
	report.Checks, report.Beside = m.checks, m.beside
	if len(report.Violations) > 0 || o.Keep {
		report.Directory = dir
	} else {
		_ = os.RemoveAll(dir)
	}
	return report, nil
}

func fillReport(r *Report, s *site.Site) {
	r.Violations, r.Faults = s.Violations(), s.Faults()
	s.Locked(func() {
		r.Seconds = s.Result.Seconds
		r.Total = s.Result.Total()
		p := s.Result.Times.Snapshot().Percentiles([]float64{0.5, 0.99})
		r.MedianUs, r.P99Us = p[0], p[1]
	})
}

// waitReady waits until all hosts are ready, for at most warmUp, and reports whether
// they are.
func waitReady(ctx context.Context, s *site.Site) bool {
	deadline := time.Now().Add(warmUp)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		ready := 0
		for _, h := range s.Hosts() {
			if h.Ready() && h.Probed() {
				ready++
			}
		}
		if ready == len(s.Hosts()) {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// checkRecovered checks that callers are served again after the last fault.
func (m *monitor) checkRecovered() {
	total := m.site.Last(recoveryWindow)
	if total.Asked == 0 || float64(total.Answered) < minAnsweredShare*float64(total.Answered+total.Failed) {
		m.site.RecordViolation(fmt.Sprintf("not recovered: %d asked, %d answered, %d failed", total.Asked, total.Answered, total.Failed))
	}
}

// checkResources checks that hosts stay within limits and none exited unexpectedly.
func (m *monitor) checkResources() {
	for _, h := range m.site.Hosts() {
		memory, descriptors := h.Usage()
		if memory > m.memory || descriptors > m.descriptors {
			m.site.RecordViolation(fmt.Sprintf("%s uses %d bytes and %d descriptors", h.Name, memory, descriptors))
		}
		if n := h.Failures(); n > 0 {
			m.site.RecordViolation(fmt.Sprintf("%s exited unexpectedly %d times", h.Name, n))
		}
	}
}

// checkRemainingFlows checks that each host responds and has removed the flows after
// the load ended.
func (m *monitor) checkRemainingFlows() {
	for _, h := range m.site.Hosts() {
		var dump adminapi.Dump
		if err := getJSON(h, adminapi.PathDump, &dump); err != nil {
			m.site.RecordViolation(h.Name + " does not answer: " + err.Error())
			continue
		}
		open := 0
		for _, f := range dump.Flows {
			if f.Ended == "" {
				open++
			}
		}
		if dump.FlowsHeld > m.flows {
			m.site.RecordViolation(fmt.Sprintf("%s holds %d flows, %d of the listed ones open", h.Name, dump.FlowsHeld, open))
		}
	}
}

// Reduce runs a failing schedule without each of its faults in turn, from the last
// to the first, and leaves out those without which it still fails. It returns the
// shortest failing schedule found.
func Reduce(ctx context.Context, o Options, failing Schedule) (Schedule, error) {
	for i := len(failing.Faults) - 1; i >= 0; i-- {
		shorter := Schedule{Seed: failing.Seed}
		shorter.Faults = append(shorter.Faults, failing.Faults[:i]...)
		shorter.Faults = append(shorter.Faults, failing.Faults[i+1:]...)
		report, err := Run(ctx, o, shorter)
		if err != nil {
			return failing, err
		}
		if len(report.Violations) > 0 {
			failing = shorter
		}
	}
	return failing, nil
}
