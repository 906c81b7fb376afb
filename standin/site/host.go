package site

import (
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"

	"toucangap/internal/catalog"
)

// Host is a process of the daemon with the proxies in front of it.
type Host struct {
	Name string
	// Packets forwards callers' packets, Store the calls to the store, Feed the
	// streams from other hosts.
	Packets *PacketLink
	Store   *StreamLink
	Feed    *StreamLink

	site     *Site
	domain   int
	ready    netip.AddrPort // the readiness listener
	admin    netip.AddrPort // the admin listener
	settings string         // the path of the settings file
	log      *os.File

	mu           sync.Mutex
	process      *exec.Cmd
	stopping     bool
	terminated   bool
	exited       chan struct{}
	startedAt    time.Time
	paused       bool
	failedProbes int  // in succession
	inRotation   bool // routers send to the host
	probed       bool // has passed a probe since the site was started
	// failures counts unexpected exits.
	failures int
	// evacuationsSuspendedUntil is when the check of evacuations applies again.
	evacuationsSuspendedUntil time.Duration
	// harmedUntil is when the host is in touch again after a fault.
	harmedUntil time.Duration
}

// addHost starts the next host of domain d with its proxies.
func (s *Site) addHost(d int) error {
	n := len(s.hosts) + 1
	port := uint16(s.Options.Port)
	own := netip.AddrFrom4([4]byte{127, 2, byte(d), byte(n)})
	at := func(offset uint16) netip.AddrPort { return netip.AddrPortFrom(own, port+offset) }
	packets, err := s.newPacketLink(netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 5, byte(d), byte(n)}), port), at(0))
	if err != nil {
		return err
	}
	s.wait.Go(func() { packets.run(nil) })
	store, err := s.newStreamLink(netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 7, byte(d), byte(n)}), port+8),
		netip.MustParseAddrPort(s.storeAddress()))
	if err != nil {
		return err
	}
	feed, err := s.newStreamLink(s.feedProxyAddress(d, n), at(2))
	if err != nil {
		return err
	}
	h := &Host{
		Name: fmt.Sprintf("host-%d-%d", d, n), Packets: packets, Store: store, Feed: feed,
		site: s, domain: d, ready: at(1), admin: at(3), inRotation: true,
	}
	s.hosts = append(s.hosts, h)
	h.settings = filepath.Join(s.Options.Dir, h.Name+".toml")
	if err := os.WriteFile(h.settings, h.settingsText(at(0), at(1), at(2), at(3)), 0o644); err != nil {
		return merry.Prepend(err, "write settings")
	}
	if h.log, err = os.Create(filepath.Join(s.Options.Dir, h.Name+".log")); err != nil {
		return merry.Prepend(err, "create log file")
	}
	return h.start()
}

func (h *Host) settingsText(packets, ready, feed, admin netip.AddrPort) []byte {
	return fmt.Appendf(nil, `name = %q
domain = %q
seeds = [%s]
[listen]
packets = %q
ready = %q
feed = %q
feed_advertised = %q
admin = %q
[store]
address = %q
[bounds]
heartbeat = %q
configuration = %q
drain = %q
evacuation = %q
cold_factor = %v
cold_allowance = %v
stop = %q
`, h.Name, domain(h.domain), h.site.seeds(), packets, ready, feed, h.Feed.Address, admin, h.Store.Address, heartbeat, ConfigBound, DrainBound,
		EvacuationBound, coldFactor, coldAllowance, StopBound)
}

// feedProxyAddress returns the address at which other hosts reach the feed of host
// n of domain d; hosts are numbered from 1 across all domains.
func (s *Site) feedProxyAddress(d, n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 8, byte(d), byte(n)}), uint16(s.Options.Port)+2)
}

// maxSeeds is the maximum number of seeds in the settings, as on the platform.
const maxSeeds = 3

// seeds returns the feed addresses of the first host of up to maxSeeds domains.
func (s *Site) seeds() string {
	var list []string
	for d := range min(s.Options.Domains, maxSeeds) {
		list = append(list, fmt.Sprintf("%q", s.feedProxyAddress(d, d*s.Options.Hosts+1)))
	}
	return strings.Join(list, ", ")
}

// start starts the daemon, which is restarted restartDelay after it exits.
func (h *Host) start() error {
	process := exec.Command(h.site.Options.Daemon, "relay", "--settings", h.settings)
	process.Stdout, process.Stderr = h.log, h.log
	// The kernel kills the daemon when this process exits for any reason.
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return merry.Prepend(err, "start host process")
	}
	h.mu.Lock()
	h.process, h.stopping, h.exited = process, false, make(chan struct{})
	h.startedAt = time.Now()
	exited := h.exited
	h.mu.Unlock()
	h.site.wait.Go(func() { h.superviseProcess(process, exited) })
	return nil
}

// restartDelay is the delay before an exited daemon is restarted.
const restartDelay = 150 * time.Millisecond

// superviseProcess waits for the process to exit, counts an unexpected exit as a
// failure, and restarts the daemon unless the host is terminated or the site closed.
func (h *Host) superviseProcess(process *exec.Cmd, exited chan struct{}) {
	_ = process.Wait()
	close(exited)
	h.mu.Lock()
	if !h.stopping && !h.terminated {
		h.failures++
	}
	terminated := h.terminated
	h.mu.Unlock()
	if terminated {
		return
	}
	select {
	case <-h.site.done:
		return
	case <-time.After(restartDelay):
	}
	if err := h.start(); err != nil {
		h.site.Result.recordViolationNow(h.site, "host failed to start: "+err.Error())
	}
}

// Signal sends a signal to the host's process. An exit after SIGTERM or SIGKILL
// counts as expected.
func (h *Host) Signal(signal syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if signal == syscall.SIGTERM || signal == syscall.SIGKILL {
		h.stopping = true
	}
	_ = h.process.Process.Signal(signal)
}

// Stop sends SIGTERM, and SIGKILL after StopBound. It reports whether the host
// shut down in time.
func (h *Host) Stop() bool {
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	h.Signal(syscall.SIGTERM)
	select {
	case <-exited:
		return true
	case <-time.After(StopBound):
		h.Signal(syscall.SIGKILL)
		return false
	}
}

// Running reports whether the host's process runs and is neither stopping nor paused.
func (h *Host) Running() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.exited:
		return false
	default:
		return !h.stopping && !h.paused
	}
}

// Pause suspends the process with SIGSTOP for a span, then resumes it with SIGCONT.
func (h *Host) Pause(span time.Duration) {
	h.mu.Lock()
	process := h.process
	h.paused = true
	h.mu.Unlock()
	_ = process.Process.Signal(syscall.SIGSTOP)
	time.AfterFunc(span, func() {
		_ = process.Process.Signal(syscall.SIGCONT)
		h.mu.Lock()
		h.paused = false
		h.mu.Unlock()
	})
}

// PID returns the process ID of the host's process.
func (h *Host) PID() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process.Process.Pid
}

// Age returns the time since the host's process was started.
func (h *Host) Age() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Since(h.startedAt)
}

// Failures returns the number of unexpected exits of the process.
func (h *Host) Failures() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failures
}

// Probed reports whether the host has ever passed a readiness probe.
func (h *Host) Probed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.probed
}

// Usage returns the resident memory of the host's process in bytes and the number
// of its open file descriptors, or 0 for what can't be read from /proc.
func (h *Host) Usage() (memory int64, descriptors int) {
	h.mu.Lock()
	pid := h.process.Process.Pid
	h.mu.Unlock()
	var pages, resident int64
	if data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid)); err == nil {
		_, _ = fmt.Sscan(string(data), &pages, &resident)
	}
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return resident * int64(os.Getpagesize()), len(entries)
}

// Domain returns the number of the host's failure domain.
func (h *Host) Domain() int { return h.domain }

// Admin returns the address of the admin listener.
func (h *Host) Admin() netip.AddrPort { return h.admin }

// terminate kills the process, which is not restarted, and closes its proxies.
func (h *Host) terminate() {
	h.mu.Lock()
	h.terminated = true
	process := h.process
	h.mu.Unlock()
	if process != nil {
		_ = process.Process.Signal(syscall.SIGCONT)
		_ = process.Process.Kill()
	}
	h.Packets.close()
	h.Store.close()
	h.Feed.close()
}

// probe checks the readiness of all hosts as routers do: two failures in succession
// take a host out of rotation, one success returns it.
func (s *Site) probe() {
	client := http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	var all sync.WaitGroup
	for _, h := range s.hosts {
		all.Go(func() {
			response, err := client.Get("http://" + h.ready.String() + "/toucangap/readiness")
			ok := err == nil && response.StatusCode == http.StatusOK
			if err == nil {
				response.Body.Close()
			}
			h.mu.Lock()
			defer h.mu.Unlock()
			if ok {
				h.failedProbes, h.inRotation, h.probed = 0, true, true
				return
			}
			h.failedProbes++
			h.inRotation = h.inRotation && h.failedProbes < 2
		})
	}
	all.Wait()
}

// Ready reports whether the host is in rotation and did not fail its last probe.
func (h *Host) Ready() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.inRotation && h.failedProbes == 0
}

// route returns the host that routers select for a flow: by rendezvous hashing
// over the domain's hosts in rotation, over all its hosts if fewer than half are in
// rotation, or over hosts of other domains if none is.
func (s *Site) route(f catalog.Flow, d int) *Host {
	var domainHosts, ready, others []*Host
	for _, h := range s.hosts {
		h.mu.Lock()
		inRotation := h.inRotation
		h.mu.Unlock()
		switch {
		case h.domain == d && inRotation:
			domainHosts, ready = append(domainHosts, h), append(ready, h)
		case h.domain == d:
			domainHosts = append(domainHosts, h)
		case inRotation:
			others = append(others, h)
		}
	}
	switch {
	case len(ready) > 0 && 2*len(ready) >= len(domainHosts):
		return rendezvousHost(f, ready)
	case len(ready) == 0 && len(others) > 0:
		return rendezvousHost(f, others)
	}
	return rendezvousHost(f, domainHosts)
}

// rendezvousHost returns the host with the highest score for the flow.
func rendezvousHost(f catalog.Flow, hosts []*Host) (found *Host) {
	var top uint64
	for _, h := range hosts {
		score := (f.Hash() ^ uint64(len(h.Name)+int(h.ready.Addr().As4()[3]))*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
		if score ^= score >> 29; found == nil || score > top {
			found, top = h, score
		}
	}
	return found
}
