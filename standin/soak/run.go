package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
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
		s.RecordFault(f.String())
		k.inject(s, f)
		faultsEnd = max(faultsEnd, f.At+f.Span)
	}
	m.pollUntil(ctx, start.Add(faultsEnd+site.StopBound+recovery))
	m.checkRecovered()
	m.checkResources()
	s.SetLoad(false)
	m.pollUntil(ctx, time.Now().Add(drainWait))
	m.checkRemainingFlows()
	s.Finish()
	fillReport(&report, s)
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

// observation is the configuration version that a host's process reported last.
type observation struct {
	version uint64
	process int // its PID
}

// monitor checks the hosts during a run.
type monitor struct {
	site *site.Site
	// versions holds the last observation by name of the host.
	versions map[string]observation
	// reportedLate holds the hosts for which a violation of ConfigBound has been
	// recorded; there is at most one for each host.
	reportedLate map[string]bool
	// newest is the newest version of the configuration, since the time when the
	// monitor first saw it.
	newest uint64
	since  time.Time
	// memory in bytes, descriptors and flows are the limits of a host.
	memory      int64
	descriptors int
	flows       int
}

func newMonitor(s *site.Site) *monitor {
	return &monitor{
		site: s, versions: make(map[string]observation), reportedLate: make(map[string]bool),
		memory: maxMemory, descriptors: maxDescriptors, flows: maxRemainingFlows,
	}
}

// pollInterval is the time between two polls of the hosts.
const pollInterval = 250 * time.Millisecond

// pollUntil polls the hosts periodically until the given time.
func (m *monitor) pollUntil(ctx context.Context, end time.Time) {
	for time.Now().Before(end) && ctx.Err() == nil {
		m.poll()
		time.Sleep(min(pollInterval, max(0, time.Until(end))))
	}
}

// poll checks the configuration version of all hosts that respond: it must never
// decrease within a process, and must be the newest once both that and the process
// are older than ConfigBound, unless the checks with time bounds are suspended.
func (m *monitor) poll() {
	if v := m.site.Version(); v != m.newest {
		m.newest, m.since = v, time.Now()
	}
	late := time.Since(m.since) > site.ConfigBound
	for _, h := range m.site.Hosts() {
		process := h.PID()
		var status adminapi.Status
		if err := getJSON(h, adminapi.PathStatus, &status); err != nil || h.PID() != process {
			continue
		}
		old := m.versions[h.Name]
		if old.process == process && status.Version < old.version {
			m.site.RecordViolation(fmt.Sprintf("%s went back from version %d to %d", h.Name, old.version, status.Version))
		}
		m.versions[h.Name] = observation{status.Version, process}
		if late && m.site.BoundsApply() && m.site.Version() == m.newest && status.Version != m.newest && h.Age() > site.ConfigBound && !m.reportedLate[h.Name] {
			m.reportedLate[h.Name] = true
			m.site.RecordViolation(fmt.Sprintf("%s has version %d, newest is %d for %s", h.Name, status.Version, m.newest, time.Since(m.since)))
		}
	}
}

// getJSON decodes the response of the host's admin listener to a GET request.
func getJSON(h *site.Host, path string, into any) error {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + h.Admin().String() + path)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(into)
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
