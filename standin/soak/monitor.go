package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"toucangap/internal/adminapi"
	"toucangap/standin/site"
)

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
	// unanswered counts the queries in succession without an answer, by name of the host.
	unanswered map[string]int
	// checks and beside are those of Report; active are the faults that began.
	checks map[string]Tally
	beside map[string]Tally
	active []activeFault
	// memory in bytes, descriptors and flows are the limits of a host.
	memory      int64
	descriptors int
	flows       int
}

func newMonitor(s *site.Site) *monitor {
	return &monitor{
		site: s, versions: make(map[string]observation), reportedLate: make(map[string]bool),
		unanswered: make(map[string]int), checks: make(map[string]Tally), beside: make(map[string]Tally),
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

// sample is what a host's status reported at a poll. The process, the due version and the
// state of the checks are those before the request.
type sample struct {
	process int
	due     uint64
	recent  bool
	// inTouch means that no fault harmed the host, inForce that its version is judged.
	inTouch bool
	inForce bool
	status  adminapi.Status
	err     error
}

func (m *monitor) sample(h *site.Host) (s sample) {
	s.process, s.inTouch = h.PID(), h.InTouch()
	s.due, s.recent = m.site.DueVersion(recentSpan)
	s.inForce = h.Age() > site.ConfigBound && (m.site.BoundsApply() || s.inTouch)
	s.err = getJSON(h, adminapi.PathStatus, &s.status)
	return s
}

// poll samples all hosts at once, so that one that does not answer delays no fault, and
// checks them.
func (m *monitor) poll() {
	left := m.site.LeftEndpoints()
	hosts := m.site.Hosts()
	samples := make([]sample, len(hosts))
	var all sync.WaitGroup
	for i, h := range hosts {
		all.Go(func() { samples[i] = m.sample(h) })
	}
	all.Wait()
	for i, h := range hosts {
		if left > 0 {
			m.count("drain", samples[i].inTouch)
		}
		m.checkAnswers(h, samples[i])
		if samples[i].err == nil && h.PID() == samples[i].process {
			m.checkVersion(h, samples[i])
		}
	}
}

// checkAnswers checks that a host in touch answers: one that is stuck shows no version.
func (m *monitor) checkAnswers(h *site.Host, s sample) {
	if s.err == nil || !s.inTouch {
		m.unanswered[h.Name] = 0
		return
	}
	m.unanswered[h.Name]++
	if m.unanswered[h.Name] == maxUnanswered {
		m.site.RecordViolation(fmt.Sprintf("%s does not answer %d queries in succession: %v", h.Name, maxUnanswered, s.err))
	}
}

// maxUnanswered is the number of queries in succession, each with a timeout of 1 s, that a
// host in touch may leave unanswered.
const maxUnanswered = 4

// checkVersion checks the configuration version of a host: it must never decrease within a
// process, and must be the one that is due once the process is older than ConfigBound,
// unless the checks with time bounds are suspended and the host is not in touch.
func (m *monitor) checkVersion(h *site.Host, s sample) {
	if s.recent {
		m.count("configuration", s.inForce)
	}
	version, old := s.status.Version, m.versions[h.Name]
	if old.process == s.process && version < old.version {
		m.site.RecordViolation(fmt.Sprintf("%s went back from version %d to %d", h.Name, old.version, version))
	}
	m.versions[h.Name] = observation{version, s.process}
	newest := m.site.Version()
	if s.inForce && (version < s.due || version > newest) && !m.reportedLate[h.Name] {
		m.reportedLate[h.Name] = true
		m.site.RecordViolation(fmt.Sprintf("%s has version %d, version %d is due, newest is %d", h.Name, version, s.due, newest))
	}
}

// recentSpan is the span after a version is due in which the check of configurations counts:
// later it only repeats itself.
const recentSpan = 5 * time.Second

// Tally counts how often a check was in force, and how often suspended.
type Tally struct {
	InForce   int `json:"in_force"`
	Suspended int `json:"suspended"`
}

// activeFault is a kind of fault that hosts may feel until a time.
type activeFault struct {
	kind  string
	until time.Time
}

// besideSpan is the time after a fault in which checks count as beside it: what it harms
// must be known and in force by then.
const besideSpan = 8 * time.Second

// began records that a fault begins.
func (m *monitor) began(f Fault) {
	m.active = append(m.active, activeFault{f.Kind, time.Now().Add(f.Span + besideSpan)})
}

// count counts a check of a host, and beside which kinds of faults it is made.
func (m *monitor) count(check string, inForce bool) {
	m.checks[check] = m.checks[check].with(inForce)
	seen := make(map[string]bool)
	for _, a := range m.active {
		if !seen[a.kind] && time.Now().Before(a.until) {
			seen[a.kind] = true
			m.beside[a.kind] = m.beside[a.kind].with(inForce)
		}
	}
}

// with returns the tally with one more check.
func (t Tally) with(inForce bool) Tally {
	if inForce {
		t.InForce++
	} else {
		t.Suspended++
	}
	return t
}

// harmed returns the hosts that a fault harms, or whose links or way to the store it harms:
// only the bounds of these are suspended. Dropped history, faults of endpoints, load,
// reloads and what other writers store harm none.
func harmed(s *site.Site, f Fault) []*site.Host {
	switch f.Kind {
	case "stop", "kill", "kill-again", "packets-harmed", "packets-cut", "feed-cut", "feed-half-cut", "feed-reset", "feed-slow-link":
		return []*site.Host{host(s, f)}
	case "kill-all":
		return s.Hosts()
	case "stop-all-in-turn":
		return slices.DeleteFunc(slices.Clone(s.Hosts()), func(h *site.Host) bool {
			return h.Domain() != f.Target%s.Options.Domains
		})
	}
	return separated(s, f)
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
