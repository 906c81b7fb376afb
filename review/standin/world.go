//go:build review

// Command standin plays the platform, the backends and the requesters of a small
// deployment on loopback addresses around real processes of the product, and judges the
// rule FLOW by what the two ends of the flows have seen.
package main

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"toucangap/standin/kv"
)

// The bounds of the small deployment.
const (
	stableWindow = 4 * time.Second
	flowTime     = 2 * time.Second
	flowLifetime = 60 * time.Second
	idleTimeout  = 15 * time.Second
	grace        = 6 * time.Second
	drainBound   = 3 * time.Second
	heartbeat    = 1200 * time.Millisecond
	probeEvery   = 500 * time.Millisecond
)

// The zones with the numbers of their machines.
var zones = []struct {
	name     string
	machines int
	cpu      float64
	memory   int
}{{"port-louis", 2, 0.176, 544}, {"curepipe", 1, 0.272, 804}, {"mahebourg", 1, 0.176, 544}}

// world is a running deployment. mu guards all but what a comment excepts.
type world struct {
	mu         sync.Mutex
	started    time.Time
	port       uint16
	key        uint64
	rng        *rand.Rand
	store      *kv.Store
	dir        string
	root       string // of the repository
	machines   []*machine
	backends   []*backend
	requesters []*requester
	flows      map[flowKey]*flow
	rows       int
	out        *bufio.Writer
	violations []string
	runs       map[string]int

	answeredCount int
	done          chan struct{}
	wait          sync.WaitGroup
}

// machine is a front machine with its process.
type machine struct {
	name, zone string
	ip         netip.Addr
	settings   string
	process    *exec.Cmd
	exited     chan struct{}
	log        *os.File
	// The routers' view.
	inRotation bool
	misses     int
	seenReady  bool
	// expected is set while the platform has stopped the process.
	expected bool
	ended    int // by itself
	// harmedUntil is the end of the last disruption on the machine.
	harmedUntil time.Duration
}

func (w *world) must(err error) {
	if err != nil {
		w.fail(err.Error())
	}
}

// fail ends the run as one that couldn't run.
func (w *world) fail(text string) {
	fmt.Fprintln(os.Stderr, "can't run:", text)
	w.close()
	os.Exit(2)
}

// newWorld starts the store. The record goes to the file.
func newWorld(root, recordFile string, seed uint64) *world {
	w := &world{
		started: time.Now(), key: seed*7919 + 11,
		rng: rand.New(rand.NewPCG(seed, 7)), store: kv.New(),
		flows: make(map[flowKey]*flow), runs: make(map[string]int), done: make(chan struct{}),
	}
	var err error
	w.root, err = filepath.Abs(root)
	w.must(err)
	file, err := os.Create(recordFile)
	w.must(err)
	w.out = bufio.NewWriter(file)
	w.dir, err = os.MkdirTemp("", "toucangap-review-")
	w.must(err)
	w.port = freePort()
	if w.port == 0 {
		w.fail("no free ports")
	}
	listener, err := net.Listen("tcp4", w.storeAddress())
	w.must(err)
	go func() { _ = http.Serve(listener, paged{w.store}) }()
	return w
}

// portCount is the number of successive ports that the deployment uses on its addresses.
const portCount = 20

// freePort returns the first of portCount ports that are free on loopback addresses, or 0.
func freePort() uint16 {
	for range 50 {
		first := uint16(20000 + rand.IntN(11000))
		if portsFree(first) {
			return first
		}
	}
	return 0
}

func portsFree(first uint16) bool {
	for offset := range uint16(portCount) {
		for _, ip := range []string{"127.1.0.1", "127.2.1.1", "127.3.0.1", "127.4.0.1"} {
			at := fmt.Sprintf("%s:%d", ip, first+offset)
			tcp, err := net.Listen("tcp4", at)
			if err != nil {
				return false
			}
			tcp.Close()
			udp, err := net.ListenPacket("udp4", at)
			if err != nil {
				return false
			}
			udp.Close()
		}
	}
	return true
}

func (w *world) storeAddress() string { return fmt.Sprintf("127.4.0.1:%d", w.port+portCount-1) }

func (w *world) now() time.Duration { return time.Since(w.started) }

// record writes a line of the record.
func (w *world) record(format string, args ...any) {
	fmt.Fprintf(w.out, "%9.4f ", w.now().Seconds())
	fmt.Fprintf(w.out, format+"\n", args...)
	w.rows++
}

func (w *world) violation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.record("RULE BROKEN %s", text)
	w.violations = append(w.violations, text)
}

func (w *world) nameOf(k flowKey) string {
	if f := w.flows[k]; f != nil {
		return f.name
	}
	return fmt.Sprintf("%s:%d", k.requester.addr(), k.requester.port)
}

// routeType describes a route of the configuration.
type routeType struct {
	address end
	kind    string
	timeout time.Duration
	service string
}

var (
	routeIP      = netip.AddrFrom4([4]byte{198, 18, 0, 1})
	alertRoute   = routeType{endOf(routeIP, 8080), "unsafe", time.Second, "alertes"}
	ackRoute     = routeType{endOf(routeIP, 8443), "safe", 800 * time.Millisecond, "alertes"}
	bulletin     = routeType{endOf(routeIP, 9000), "download", 3 * time.Second, "bulletins"}
	reportRoute  = routeType{endOf(routeIP, 9001), "unsafe", 3 * time.Second, "bulletins"}
	configRoutes = []routeType{alertRoute, ackRoute, bulletin, reportRoute}
)

// configure writes the first configuration.
func (w *world) configure(maxConnections int) {
	var routes []string
	for i, r := range configRoutes {
		routes = append(routes, fmt.Sprintf(`{"Name":"r-%d","Hostname":"%s","Prefix":"/%d/","RouteType":%q,"TimeoutMs":%d,`+
			`"TargetLatencyMs":150,"Priority":1,"Service":%q,"MaxAttempts":2}`,
			i, r.address.addr(), r.address.port, r.kind, r.timeout.Milliseconds(), r.service))
	}
	var services []string
	for _, name := range []string{"alertes", "bulletins"} {
		services = append(services, fmt.Sprintf(`{"Name":%q,"HealthCheckPath":"/health","MaxConnections":%d}`, name, maxConnections))
	}
	w.store.Put("op/config", fmt.Appendf(nil, `{"Version":7,"Routes":[%s],"Services":[%s],"Limits":{"IdleTimeoutMs":%d}}`,
		strings.Join(routes, ","), strings.Join(services, ","), idleTimeout.Milliseconds()), 0)
}

// startMachines starts the machines and waits until all are in rotation.
func (w *world) startMachines() {
	seeds := []any{}
	for z := range zones {
		seeds = append(seeds, fmt.Sprintf("127.2.%d.1:%d", z+1, w.port+2))
	}
	template, err := os.ReadFile(filepath.Join(w.root, "platform/settings.toml.tmpl"))
	w.must(err)
	for z, zone := range zones {
		for n := range zone.machines {
			m := &machine{
				name: fmt.Sprintf("front-%s-%d", zone.name, n+1), zone: zone.name,
				ip: netip.AddrFrom4([4]byte{127, 2, byte(z + 1), byte(n + 1)}),
			}
			m.settings = filepath.Join(w.dir, m.name+".toml")
			text := fillIn(string(template), w.settingsOf(m, zone.cpu, zone.memory, seeds))
			w.must(os.WriteFile(m.settings, []byte(text), 0o644))
			m.log, err = os.Create(filepath.Join(w.dir, m.name+".log"))
			w.must(err)
			w.machines = append(w.machines, m)
			w.start(m)
		}
	}
	w.background(2*time.Millisecond, w.tick)
	w.background(probeEvery, w.probe)
	w.background(heartbeat, w.beat)
	for range 100 {
		time.Sleep(100 * time.Millisecond)
		w.mu.Lock()
		ready := 0
		for _, m := range w.machines {
			if m.seenReady && m.inRotation {
				ready++
			}
		}
		w.mu.Unlock()
		if ready == len(w.machines) {
			return
		}
	}
	w.fail("the machines did not become ready")
}

func (w *world) settingsOf(m *machine, cpu float64, memory int, seeds []any) map[string]any {
	at := func(offset uint16) string { return fmt.Sprintf("%s:%d", m.ip, w.port+offset) }
	regions := map[string]any{}
	for _, z := range zones {
		regions[z.name] = "maurice"
	}
	return map[string]any{
		"Node": m.name, "Role": "host", "MachineClass": "front", "Serves": []any{"front", "control"},
		"Ip": m.ip.String(), "Zone": m.zone, "Region": "maurice",
		"InternalPorts": []any{int(w.port + 3), int(w.port + 18)},
		"Seeds":         seeds, "Bootstrap": true, "Discovery": "platform", "Entry": "announce",
		"HeartbeatMs": int(heartbeat.Milliseconds()), "Hash": "steady", "ForwardingMode": "echo",
		"Contracts": []any{"base", "drain", "config", "cost", "recover", "flows", "platform"},
		"Zones":     regions,
		"Listen":    map[string]any{"DatagramAddr": at(0), "Ready": at(1), "Control": at(2)},
		"Limits": map[string]any{
			"CpuShare": cpu, "Cores": 1, "MemoryMb": memory, "MaxFds": 8200, "LinkMbps": 2000.0, "DiskMb": 0,
		},
		"FaultTolerance": map[string]any{"Machines": 1, "Zones": 1, "Regions": 0},
		"Bounds": map[string]any{
			"SeedLagS": 3, "ReuseAfterS": 2, "StableWindowMs": 4000, "AckMs": 5000, "CatchUpS": 4, "DrainMs": 3000,
			"GraceS": 6, "LossSlackMs": 200, "ConfigApplyMs": 3000, "RollbackSlackMs": 250, "OuterMs": 12000,
			"RecoverS": 12, "FlowMs": 2000, "FlowLifetimeS": 60,
		},
		"platform": map[string]any{
			"Address": w.storeAddress(), "ForwardingMode": "kv", "WritesPerS": 400, "ReadsPerS": 2000,
			"HistoryS": 20, "ValueBytes": 1048576, "TtlMinMs": 1000,
		},
	}
}

// start starts a machine's process with the command of the deploy file.
func (w *world) start(m *machine) {
	words := strings.Fields(runCommand(filepath.Join(w.root, "deploy/system.toml")))
	if len(words) == 0 {
		w.fail("the deploy file has no run command")
	}
	m.process = exec.Command(filepath.Join(w.root, words[0]), words[1:]...)
	m.process.Dir = w.root
	m.process.Env = append(os.Environ(), "TOUCANGAP_NODE_FILE="+m.settings)
	m.process.Stdout, m.process.Stderr = m.log, m.log
	m.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	w.must(m.process.Start())
	m.exited, m.expected = make(chan struct{}), false
	process, exited := m.process, m.exited
	go func() {
		_ = process.Wait()
		close(exited)
		if closing.Load() {
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if !m.expected {
			m.ended++
			w.record("process of %s ended by itself", m.name)
		}
	}()
}

// runCommand returns the run command of the deploy file's role.
func runCommand(path string) string {
	text, _ := os.ReadFile(path)
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Trim(strings.TrimSpace(value), `"`)
		}
	}
	return ""
}

// roll stops a process with SIGTERM, and SIGKILL after the grace time, and starts it
// again, as the platform does at planned work. It is called without the lock.
func (w *world) roll(m *machine) {
	w.mu.Lock()
	m.expected = true
	exited, process := m.exited, m.process
	w.record("SIGTERM to %s", m.name)
	w.mu.Unlock()
	_ = process.Process.Signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(grace):
		_ = process.Process.Kill()
		<-exited
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if closing.Load() {
		return
	}
	w.record("process of %s has ended and starts again", m.name)
	w.start(m)
}

func (w *world) background(interval time.Duration, run func()) {
	w.wait.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-w.done:
				return
			case <-ticker.C:
				run()
			}
		}
	})
}

func (w *world) tick() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	for _, b := range w.backends {
		b.tick(now)
	}
	for _, r := range w.requesters {
		for port, f := range r.flows {
			if f.state == ended && now > f.lastPacket+flowTime {
				delete(r.flows, port)
				continue
			}
			f.tick(now)
		}
	}
}

func (w *world) beat() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, b := range w.backends {
		b.register()
	}
}

// probe asks all machines whether they are ready, as the routers do.
func (w *world) probe() {
	client := http.Client{Timeout: probeEvery, Transport: &http.Transport{DisableKeepAlives: true}}
	var all sync.WaitGroup
	for _, m := range w.machines {
		all.Go(func() {
			response, err := client.Get(fmt.Sprintf("http://%s:%d/toucangap/readiness", m.ip, w.port+1))
			ready := err == nil && response.StatusCode == http.StatusOK
			if err == nil {
				response.Body.Close()
			}
			w.mu.Lock()
			defer w.mu.Unlock()
			was := m.inRotation
			if ready {
				m.misses, m.inRotation, m.seenReady = 0, true, true
			} else if m.misses++; m.misses >= 2 {
				m.inRotation = false
			}
			if was != m.inRotation {
				w.record("%s in rotation: %v", m.name, m.inRotation)
			}
		})
	}
	all.Wait()
}

// route returns the machine's address for a packet: by a steady hash over the machines of
// the requester's zone that are in rotation, over all of them if fewer than half are, and
// over other zones' machines if none is.
func (w *world) route(zone string, k flowKey) (netip.AddrPort, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var own, ready, others []*machine
	for _, m := range w.machines {
		switch {
		case m.zone == zone:
			own = append(own, m)
			if m.inRotation {
				ready = append(ready, m)
			}
		case m.inRotation:
			others = append(others, m)
		}
	}
	choice := ready
	switch {
	case len(ready) == 0 && len(others) > 0:
		choice = others
	case 2*len(ready) < len(own):
		choice = own
	}
	var best *machine
	var top uint64
	for _, m := range choice {
		h := fnv.New64a()
		fmt.Fprint(h, m.name, k.requester.ip, k.requester.port, k.route.ip, k.route.port)
		score := h.Sum64() * 0x9e3779b97f4a7c15
		if score ^= score >> 31; best == nil || score > top {
			best, top = m, score
		}
	}
	if best == nil {
		return netip.AddrPort{}, false
	}
	if f := w.flows[k]; f != nil {
		f.taker = best
	}
	return netip.AddrPortFrom(best.ip, w.port), true
}

// opened notes that a backend has the end of a flow's handshake.
func (w *world) opened(k flowKey, b *backend) {
	f := w.flows[k]
	if f == nil || f.backend != nil {
		return
	}
	f.backend, f.openedAt = b, w.now()
	w.record("flow %s is open at backend %s", f.name, b.id)
}

// arrived notes that a packet of a flow has reached a backend, and judges the second part
// of the rule FLOW.
func (w *world) arrived(k flowKey, b *backend) {
	f := w.flows[k]
	if f == nil || f.backend == nil || f.state == ended {
		return
	}
	now := w.now()
	if f.backend == b {
		f.astray = 0
		return
	}
	if f.astray == 0 {
		f.astraySince = now
	}
	f.astray++
	w.record("a packet of flow %s, open at %s, reaches backend %s", f.name, f.backend.id, b.id)
	if f.astray >= 3 && now >= f.astraySince+flowTime && w.counts(f) {
		w.violation("FLOW: packets of flow %s reach %s and none its backend %s", f.name, b.id, f.backend.id)
	}
}

// counts reports whether the rule FLOW counts for a flow now: its backend lives and has had
// no impairment in the stable window, and the flow is neither too old nor idle too long.
// After a disruption on the machine that took the flow's packets, it counts only once that is
// in touch again; the senders of resets are that machine and backends. No script drops a
// route.
func (w *world) counts(f *flow) bool {
	now := w.now()
	inTouch := f.taker == nil || f.taker.harmedUntil == 0 || now >= f.taker.harmedUntil+stableWindow
	return inTouch && !f.backend.dead && now >= f.backend.cleanSince+stableWindow && now < f.openedAt+flowLifetime && now < f.lastPacket+idleTimeout
}

// judgeReset judges a reset that a requester got.
func (w *world) judgeReset(f *flow, p packet, from netip.AddrPort) {
	sender := "the system"
	var by *backend
	for _, b := range w.backends {
		if b.address.Addr() == from.Addr() && !b.dead {
			sender, by = "backend "+b.id, b
		}
	}
	if f.backend == nil {
		w.record("flow %s, which is not open, gets a reset from %s", f.name, sender)
		return
	}
	w.record("flow %s, open at %s since %.3f, gets a reset from %s", f.name, f.backend.id, f.openedAt.Seconds(), sender)
	if by == f.backend || !w.counts(f) {
		return
	}
	w.violation("FLOW: flow %s is open at backend %s, which lives and had no impairment for %.1f s, and gets a reset from %s; request %q",
		f.name, f.backend.id, min(w.now()-f.backend.cleanSince, w.now()).Seconds(), sender, f.request)
}

// ran notes that a backend begins to run a request.
func (w *world) ran(id string, b *backend) {
	w.runs[id]++
	w.record("backend %s runs request %s", b.id, id)
	if w.runs[id] > 1 {
		w.violation("UNASKED: request %s runs again, at backend %s", id, b.id)
	}
}

var closing atomic.Bool

// close ends all processes and removes the folder. The lock may be held.
func (w *world) close() {
	if closing.Swap(true) {
		return
	}
	close(w.done)
	for _, m := range w.machines {
		if m.process == nil || m.process.Process == nil {
			continue
		}
		_ = m.process.Process.Kill()
		<-m.exited
	}
	if keep := os.Getenv("KEEP_LOGS"); keep == "" && w.dir != "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs in", w.dir)
	}
	_ = w.out.Flush()
}

// finish ends the run and returns its exit code.
func (w *world) finish() int {
	w.mu.Lock()
	ended := 0
	for _, m := range w.machines {
		ended += m.ended
	}
	w.record("answered %d requests; %d processes ended by themselves; rule broken %d times", w.answeredCount, ended, len(w.violations))
	for i, v := range w.violations {
		if i < 3 {
			fmt.Println(v)
		}
	}
	fmt.Printf("answered %d requests; rule broken %d times\n", w.answeredCount, len(w.violations))
	code := 0
	if len(w.violations) > 0 {
		code = 1
	}
	w.mu.Unlock()
	w.close()
	return code
}
