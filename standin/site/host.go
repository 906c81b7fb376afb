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

// Host is one process of the daemon with the links to it.
type Host struct {
	Name string
	// Packets carries callers' packets, Store the calls to the store, Feed the
	// streams from other hosts.
	Packets *PacketLink
	Store   *StreamLink
	Feed    *StreamLink

	site     *Site
	domain   int
	ready    netip.AddrPort
	admin    netip.AddrPort
	settings string
	log      *os.File

	mu       sync.Mutex
	process  *exec.Cmd
	stopping bool
	ended    bool
	exited   chan struct{}
	begun    time.Time
	paused   bool
	misses   int
	rotation bool
	asked    bool
	// failures counts ends that nobody has caused.
	failures int
}

func (s *Site) addHost(d int) error {
	n := len(s.hosts) + 1
	port := uint16(s.Options.Port)
	own := netip.AddrFrom4([4]byte{127, 2, byte(d), byte(n)})
	at := func(offset uint16) netip.AddrPort { return netip.AddrPortFrom(own, port+offset) }
	packets, err := s.newPacketLink(netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 5, byte(d), byte(n)}), port), at(0))
	if err != nil {
		return err
	}
	store, err := s.newStreamLink(netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 7, byte(d), byte(n)}), port+8),
		netip.MustParseAddrPort(s.storeAddress()))
	if err != nil {
		return err
	}
	feed, err := s.newStreamLink(s.feedLink(d, n), at(2))
	if err != nil {
		return err
	}
	h := &Host{
		Name: fmt.Sprintf("host-%d-%d", d, n), Packets: packets, Store: store, Feed: feed,
		site: s, domain: d, ready: at(1), admin: at(3), rotation: true,
	}
	s.hosts = append(s.hosts, h)
	h.settings = filepath.Join(s.Options.Dir, h.Name+".toml")
	if err := os.WriteFile(h.settings, h.settingsText(at(0), at(1), at(2), at(3)), 0o644); err != nil {
		return merry.Prepend(err, "write settings")
	}
	if h.log, err = os.Create(filepath.Join(s.Options.Dir, h.Name+".log")); err != nil {
		return merry.Prepend(err, "create a log")
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
stop = %q
`, h.Name, domain(h.domain), h.site.seeds(), packets, ready, feed, h.Feed.From, admin, h.Store.From, heartbeat, ConfigBound, DrainBound, StopBound)
}

// feedLink is where other hosts reach the feed of a domain's n-th host.
func (s *Site) feedLink(d, n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 8, byte(d), byte(n)}), uint16(s.Options.Port)+2)
}

// mostSeeds is the number of hosts that settings name, as on the platform.
const mostSeeds = 3

// seeds are the feed addresses of the first host of some domains.
func (s *Site) seeds() string {
	var list []string
	for d := range min(s.Options.Domains, mostSeeds) {
		list = append(list, fmt.Sprintf("%q", s.feedLink(d, d*s.Options.Hosts+1)))
	}
	return strings.Join(list, ", ")
}

// start runs the daemon; when it ends it is started again after a moment.
func (h *Host) start() error {
	process := exec.Command(h.site.Options.Daemon, "relay", "--settings", h.settings)
	process.Stdout, process.Stderr = h.log, h.log
	// The daemon ends with this process, however that ends.
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return merry.Prepend(err, "start a host")
	}
	h.mu.Lock()
	h.process, h.stopping, h.exited = process, false, make(chan struct{})
	h.begun = time.Now()
	exited := h.exited
	h.mu.Unlock()
	h.site.wait.Go(func() { h.await(process, exited) })
	return nil
}

// restartDelay is the pause before a host's program is started again.
const restartDelay = 150 * time.Millisecond

func (h *Host) await(process *exec.Cmd, exited chan struct{}) {
	_ = process.Wait()
	close(exited)
	h.mu.Lock()
	if !h.stopping && !h.ended {
		h.failures++
	}
	ended := h.ended
	h.mu.Unlock()
	if ended {
		return
	}
	select {
	case <-h.site.done:
		return
	case <-time.After(restartDelay):
	}
	if err := h.start(); err != nil {
		h.site.Result.violateNow(h.site, "host does not start: "+err.Error())
	}
}

// Signal sends a signal to the host's process. Signals that end it count as
// wanted.
func (h *Host) Signal(signal syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if signal == syscall.SIGTERM || signal == syscall.SIGKILL {
		h.stopping = true
	}
	_ = h.process.Process.Signal(signal)
}

// Stop asks the host to end and kills it after the bound. It reports whether
// the host ended by itself.
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

// Running reports whether the host's process runs and nobody has ended it.
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

// Pause stops the process for a span without its knowledge.
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

// PID returns the number of the host's process.
func (h *Host) PID() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process.Process.Pid
}

// Age returns how long the host's process has run.
func (h *Host) Age() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Since(h.begun)
}

// Failures returns how often the process has ended though nobody ended it.
func (h *Host) Failures() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failures
}

// Asked reports whether routers have had an answer from the host.
func (h *Host) Asked() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.asked
}

// Usage returns the resident memory in bytes and the number of descriptors.
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

// Admin returns the address of the operators' listener.
func (h *Host) Admin() netip.AddrPort { return h.admin }

// end kills the process for good.
func (h *Host) end() {
	h.mu.Lock()
	h.ended = true
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

// probe asks all hosts whether they are ready, as routers do.
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
				h.misses, h.rotation, h.asked = 0, true, true
				return
			}
			h.misses++
			h.rotation = h.rotation && h.misses < 2
		})
	}
	all.Wait()
}

// Ready reports whether routers use the host.
func (h *Host) Ready() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rotation && h.misses == 0
}

// route returns the host that routers select for a flow: by rendezvous over the
// hosts of the domain in rotation, or all of them if fewer than half are, or
// those of other domains if none is.
func (s *Site) route(f catalog.Flow, d int) *Host {
	var own, ready, others []*Host
	for _, h := range s.hosts {
		h.mu.Lock()
		rotation := h.rotation
		h.mu.Unlock()
		switch {
		case h.domain == d && rotation:
			own, ready = append(own, h), append(ready, h)
		case h.domain == d:
			own = append(own, h)
		case rotation:
			others = append(others, h)
		}
	}
	switch {
	case len(ready) > 0 && 2*len(ready) >= len(own):
		return best(f, ready)
	case len(ready) == 0 && len(others) > 0:
		return best(f, others)
	}
	return best(f, own)
}

func best(f catalog.Flow, hosts []*Host) (found *Host) {
	var top uint64
	for _, h := range hosts {
		score := (f.Hash() ^ uint64(len(h.Name)+int(h.ready.Addr().As4()[3]))*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
		if score ^= score >> 29; found == nil || score > top {
			found, top = h, score
		}
	}
	return found
}
