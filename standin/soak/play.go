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
	Daemon string
	Port   int
	// Faults is the span in which faults start.
	Faults  time.Duration
	Domains int
	Hosts   int
	Rate    float64
	// Keep retains the directory with the hosts' logs.
	Keep bool
}

// Timing and limits of the checks.
const (
	// warmUp is the time within which a deployment must be ready, recovery the time
	// within which it must serve normally again after the last fault.
	warmUp   = 5 * time.Second
	recovery = 6 * time.Second
	// recoveryWindow is the span at the end in which callers must be served.
	recoveryWindow = 2 * time.Second
	// minAnsweredShare is the share of requests that must be answered in it.
	minAnsweredShare = 0.99
	// maxMemory in bytes and maxDescriptors are the limits of a host.
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
	Schedule   Schedule      `json:"schedule"`
	Violations []string      `json:"violations"`
	Faults     []string      `json:"faults"`
	Seconds    []site.Second `json:"seconds"`
	Total      site.Second   `json:"total"`
	MedianUs   float64       `json:"median_us"`
	P99Us      float64       `json:"p99_us"`
	Directory  string        `json:"directory,omitempty"`
}

// Run runs a schedule against a new deployment and checks it.
func Run(ctx context.Context, o Options, schedule Schedule) (Report, error) {
	report := Report{Schedule: schedule}
	dir, err := os.MkdirTemp("", "toucangap-soak.")
	if err != nil {
		return report, err
	}
	s, err := site.New(site.Options{
		Daemon: o.Daemon, Dir: dir, Port: o.Port, Seed: schedule.Seed,
		Domains: o.Domains, Hosts: o.Hosts, Endpoints: 6, Rate: o.Rate,
	})
	if err != nil {
		return report, err
	}
	defer s.Close()
	w := newMonitor(s)
	if !waitReady(ctx, s) {
		s.RecordViolation("hosts were not ready in time")
	}
	begun := time.Now()
	s.SetLoad(true)
	last := time.Duration(0)
	for _, f := range schedule.Faults {
		w.pollUntil(ctx, begun.Add(f.At))
		if ctx.Err() != nil {
			return report, context.Cause(ctx)
		}
		k := kindNamed(f.Kind)
		if k.suspendsBounds {
			s.SuspendBounds(f.Span)
		}
		s.RecordFault(f.String())
		k.inject(s, f)
		last = max(last, f.At+f.Span)
	}
	w.pollUntil(ctx, begun.Add(last+site.StopBound+recovery))
	w.checkRecovered()
	w.checkResources()
	s.SetLoad(false)
	w.pollUntil(ctx, time.Now().Add(drainWait))
	w.checkRemainingFlows()
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

// observation is the last version that a host's process reported.
type observation struct {
	version uint64
	process int
}

// monitor checks the hosts during a run.
type monitor struct {
	site     *site.Site
	versions map[string]observation
	// reportedLate holds the hosts whose late configuration has been recorded.
	reportedLate map[string]bool
	// newest is the newest version, since the time when it was first seen.
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
func (w *monitor) pollUntil(ctx context.Context, end time.Time) {
	for time.Now().Before(end) && ctx.Err() == nil {
		w.poll()
		time.Sleep(min(pollInterval, max(0, time.Until(end))))
	}
}

// poll checks the configuration version of all hosts: it must never decrease within
// a process, and must be the newest once that is older than ConfigBound, unless the
// checks with time bounds are suspended.
func (w *monitor) poll() {
	if v := w.site.Version(); v != w.newest {
		w.newest, w.since = v, time.Now()
	}
	late := time.Since(w.since) > site.ConfigBound
	for _, h := range w.site.Hosts() {
		process := h.PID()
		var status adminapi.Status
		if err := getJSON(h, adminapi.PathStatus, &status); err != nil || h.PID() != process {
			continue
		}
		old := w.versions[h.Name]
		if old.process == process && status.Version < old.version {
			w.site.RecordViolation(fmt.Sprintf("%s went back from version %d to %d", h.Name, old.version, status.Version))
		}
		w.versions[h.Name] = observation{status.Version, process}
		if late && w.site.BoundsApply() && w.site.Version() == w.newest && status.Version != w.newest && h.Age() > site.ConfigBound && !w.reportedLate[h.Name] {
			w.reportedLate[h.Name] = true
			w.site.RecordViolation(fmt.Sprintf("%s has version %d, newest is %d for %s", h.Name, status.Version, w.newest, time.Since(w.since)))
		}
	}
}

func getJSON(h *site.Host, path string, into any) error {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + h.Admin().String() + path)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(into)
}

// checkRecovered checks that callers are served again at the end.
func (w *monitor) checkRecovered() {
	total := w.site.Last(recoveryWindow)
	if total.Asked == 0 || float64(total.Answered) < minAnsweredShare*float64(total.Answered+total.Failed) {
		w.site.RecordViolation(fmt.Sprintf("not recovered: %d asked, %d answered, %d failed", total.Asked, total.Answered, total.Failed))
	}
}

// checkResources checks that hosts stay within limits and none exited unexpectedly.
func (w *monitor) checkResources() {
	for _, h := range w.site.Hosts() {
		memory, descriptors := h.Usage()
		if memory > w.memory || descriptors > w.descriptors {
			w.site.RecordViolation(fmt.Sprintf("%s uses %d bytes and %d descriptors", h.Name, memory, descriptors))
		}
		if n := h.Failures(); n > 0 {
			w.site.RecordViolation(fmt.Sprintf("%s exited unexpectedly %d times", h.Name, n))
		}
	}
}

// checkRemainingFlows checks that hosts have removed flows after the load ended.
func (w *monitor) checkRemainingFlows() {
	for _, h := range w.site.Hosts() {
		var dump adminapi.Dump
		if err := getJSON(h, adminapi.PathDump, &dump); err != nil {
			w.site.RecordViolation(h.Name + " does not answer: " + err.Error())
			continue
		}
		open := 0
		for _, f := range dump.Flows {
			if f.Ended == "" {
				open++
			}
		}
		if dump.FlowsHeld > w.flows {
			w.site.RecordViolation(fmt.Sprintf("%s holds %d flows, %d of the listed ones open", h.Name, dump.FlowsHeld, open))
		}
	}
}

// Reduce removes faults one by one for as long as the schedule still fails, and
// returns the shortest failing schedule found.
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
