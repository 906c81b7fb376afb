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

// Options set up the plays.
type Options struct {
	Daemon string
	Port   int
	// Faults is the span in which faults begin; Hosts and Domains count hosts.
	Faults  time.Duration
	Domains int
	Hosts   int
	Rate    float64
	// Keep leaves the directory with the hosts' logs.
	Keep bool
}

// The times around the faults.
const (
	// warmUp is how long a deployment may take to be ready, recovery how long it
	// may take to serve as before after the last fault.
	warmUp   = 5 * time.Second
	recovery = 6 * time.Second
	// judged is the span at the end in which callers have to be served.
	judged = 2 * time.Second
	// servedShare is the part that has to be answered then.
	servedShare = 0.99
	// mostMemory and mostDescriptors bound a host.
	mostMemory      = 96 << 20
	mostDescriptors = 300
	// afterLoad is the wait after the load has ended until nothing may be left:
	// the longest timeout of callers and what hosts remember of ended flows.
	afterLoad = 7 * time.Second
	// leftOver is the number of flows that may be remembered then: those that
	// callers never ended wait for the idle timeout.
	leftOver = 200
)

// Report is what one schedule led to.
type Report struct {
	Schedule   Schedule      `json:"schedule"`
	Violations []string      `json:"violations"`
	Faults     []string      `json:"faults"`
	Seconds    []site.Second `json:"seconds"`
	Total      site.Second   `json:"total"`
	MedianUs   float64       `json:"median_us"`
	HighUs     float64       `json:"p99_us"`
	Directory  string        `json:"directory,omitempty"`
}

// Play plays a schedule.
func Play(ctx context.Context, o Options, schedule Schedule) (Report, error) {
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
	w := newWatch(s)
	if !waitReady(ctx, s) {
		s.Violate("hosts are not ready in time")
	}
	begun := time.Now()
	s.Load(true)
	last := time.Duration(0)
	for _, f := range schedule.Faults {
		w.until(ctx, begun.Add(f.At))
		if ctx.Err() != nil {
			return report, context.Cause(ctx)
		}
		k := find(f.Kind)
		if k.disturbs {
			s.Disturb(f.Span)
		}
		s.Fault(f.String())
		k.play(s, f)
		last = max(last, f.At+f.Span)
	}
	w.until(ctx, begun.Add(last+site.StopBound+recovery))
	w.served()
	w.usage()
	s.Load(false)
	w.until(ctx, time.Now().Add(afterLoad))
	w.leftOver()
	s.Finish()
	fill(&report, s)
	if len(report.Violations) > 0 || o.Keep {
		report.Directory = dir
	} else {
		_ = os.RemoveAll(dir)
	}
	return report, nil
}

func fill(r *Report, s *site.Site) {
	r.Violations, r.Faults = s.Violations(), s.Faults()
	s.Locked(func() {
		r.Seconds = s.Result.Seconds
		r.Total = s.Result.Total()
		p := s.Result.Times.Snapshot().Percentiles([]float64{0.5, 0.99})
		r.MedianUs, r.HighUs = p[0], p[1]
	})
}

func waitReady(ctx context.Context, s *site.Site) bool {
	deadline := time.Now().Add(warmUp)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		ready := 0
		for _, h := range s.Hosts() {
			if h.Ready() && h.Asked() {
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

// seen is the newest version that a host's process has told.
type seen struct {
	version uint64
	process int
}

// watch checks hosts while time passes.
type watch struct {
	site     *site.Site
	versions map[string]seen
	// told are the hosts whose late configuration has been noted.
	told map[string]bool
	// newest is the newest version and since when it is.
	newest uint64
	since  time.Time
	// memory, descriptors and flows are what a host may have.
	memory      int64
	descriptors int
	flows       int
}

func newWatch(s *site.Site) *watch {
	return &watch{
		site: s, versions: make(map[string]seen), told: make(map[string]bool),
		memory: mostMemory, descriptors: mostDescriptors, flows: leftOver,
	}
}

// lookInterval is how often hosts are asked.
const lookInterval = 250 * time.Millisecond

// until lets time pass with checks.
func (w *watch) until(ctx context.Context, end time.Time) {
	for time.Now().Before(end) && ctx.Err() == nil {
		w.look()
		time.Sleep(min(lookInterval, max(0, time.Until(end))))
	}
}

// look asks all hosts for their version: it never goes back within a process,
// and is the newest once that is older than the bound and all is calm.
func (w *watch) look() {
	if v := w.site.Version(); v != w.newest {
		w.newest, w.since = v, time.Now()
	}
	late := time.Since(w.since) > site.ConfigBound
	for _, h := range w.site.Hosts() {
		process := h.PID()
		var status adminapi.Status
		if err := ask(h, adminapi.PathStatus, &status); err != nil || h.PID() != process {
			continue
		}
		old := w.versions[h.Name]
		if old.process == process && status.Version < old.version {
			w.site.Violate(fmt.Sprintf("%s went back from version %d to %d", h.Name, old.version, status.Version))
		}
		w.versions[h.Name] = seen{status.Version, process}
		if late && w.site.Calm() && w.site.Version() == w.newest && status.Version != w.newest && h.Age() > site.ConfigBound && !w.told[h.Name] {
			w.told[h.Name] = true
			w.site.Violate(fmt.Sprintf("%s has version %d, newest is %d for %s", h.Name, status.Version, w.newest, time.Since(w.since)))
		}
	}
}

func ask(h *site.Host, path string, into any) error {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + h.Admin().String() + path)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(into)
}

// served checks that callers are served again at the end.
func (w *watch) served() {
	total := w.site.Last(judged)
	if total.Asked == 0 || float64(total.Answered) < servedShare*float64(total.Answered+total.Failed) {
		w.site.Violate(fmt.Sprintf("not recovered: %d asked, %d answered, %d failed", total.Asked, total.Answered, total.Failed))
	}
}

// usage checks that hosts stay within bounds and that none has ended by itself.
func (w *watch) usage() {
	for _, h := range w.site.Hosts() {
		memory, descriptors := h.Usage()
		if memory > w.memory || descriptors > w.descriptors {
			w.site.Violate(fmt.Sprintf("%s uses %d bytes and %d descriptors", h.Name, memory, descriptors))
		}
		if n := h.Failures(); n > 0 {
			w.site.Violate(fmt.Sprintf("%s ended by itself %d times", h.Name, n))
		}
	}
}

// leftOver checks that hosts have let go of flows.
func (w *watch) leftOver() {
	for _, h := range w.site.Hosts() {
		var dump adminapi.Dump
		if err := ask(h, adminapi.PathDump, &dump); err != nil {
			w.site.Violate(h.Name + " does not answer: " + err.Error())
			continue
		}
		open := 0
		for _, f := range dump.Flows {
			if f.Ended == "" {
				open++
			}
		}
		if dump.FlowsHeld > w.flows {
			w.site.Violate(fmt.Sprintf("%s holds %d flows, %d of the listed ones open", h.Name, dump.FlowsHeld, open))
		}
	}
}

// Reduce leaves out faults for as long as the schedule still fails, and returns
// the shortest one found.
func Reduce(ctx context.Context, o Options, failing Schedule) (Schedule, error) {
	for i := len(failing.Faults) - 1; i >= 0; i-- {
		shorter := Schedule{Seed: failing.Seed}
		shorter.Faults = append(shorter.Faults, failing.Faults[:i]...)
		shorter.Faults = append(shorter.Faults, failing.Faults[i+1:]...)
		report, err := Play(ctx, o, shorter)
		if err != nil {
			return failing, err
		}
		if len(report.Violations) > 0 {
			failing = shorter
		}
	}
	return failing, nil
}
