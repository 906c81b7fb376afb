//go:build review

// Package deployment runs a small deployment on loopback addresses for the cases of a review:
// hosts as processes of the deploy file's command, and the store, endpoints, routers and callers
// as stand-ins in this process.
//
// Addresses: callers use 127.1.Z.N, hosts 127.2.Z.N, endpoints 127.3.0.N and the store 127.4.0.1.
// Packets have the same port on all of them, as on the platform.
package deployment

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"toucangap/internal/catalog"
	"toucangap/platform"
	"toucangap/standin/ends"
	"toucangap/standin/kv"
)

// The bounds and intervals of the deployment, those of the small sites.
const (
	Heartbeat    = 1200 * time.Millisecond
	StableWindow = 4 * time.Second
	ConfigApply  = 3 * time.Second
	Drain        = 3 * time.Second
	Grace        = 6 * time.Second
	IdleTimeout  = 15 * time.Second
	// probeInterval is the time between two readiness requests of a router, probeTimeout the
	// time for its answer, and missesUntilOut the number of misses that take a host out.
	probeInterval  = 500 * time.Millisecond
	probeTimeout   = 450 * time.Millisecond
	missesUntilOut = 2
)

// Zones are the failure domains, with the number of their hosts.
var Zones = []struct {
	Name  string
	Hosts int
}{{"port-louis", 2}, {"curepipe", 1}, {"mahebourg", 1}}

// endpointsPerZone holds the number of endpoints in each zone by service.
var endpointsPerZone = map[string][]int{Alerts: {5, 5, 4}, Bulletins: {2, 1, 1}}

// Route is a route of the configuration.
type Route struct {
	Name    string
	Address catalog.Address
	Kind    string
	Timeout time.Duration
	Target  time.Duration
	Service string
}

// RouteIP is the address 198.18.0.1 that callers send to.
const RouteIP = 0xc6120001

// The services, and the routes of the first configuration.
const (
	Alerts    = "alertes"
	Bulletins = "bulletins"
)

var Routes = []Route{
	{"accuse-ecole", catalog.Address{IP: RouteIP, Port: 443}, "safe", 800 * time.Millisecond, 120 * time.Millisecond, Alerts},
	{"alerte-uv", catalog.Address{IP: RouteIP, Port: 444}, "unsafe", time.Second, 150 * time.Millisecond, Alerts},
	{"bulletin-jour", catalog.Address{IP: RouteIP, Port: 445}, "download", 3 * time.Second, 500 * time.Millisecond, Bulletins},
}

// Deployment is a running deployment.
type Deployment struct {
	Store *kv.Store
	Hosts []*Host
	Key   ends.Key
	Log   *Record

	root, dir string
	port      int
	started   time.Time
	ledger    *ends.Ledger

	mu        sync.Mutex
	endpoints []*Endpoint
	callers   []*Caller
	closers   []func()
	done      chan struct{}
	wait      sync.WaitGroup
}

// Options say where the deployment finds and writes its files.
type Options struct {
	// Root is the repository, which holds target/; Dir is a temporary folder.
	Root, Dir string
	Log       *Record
}

// New starts a deployment and waits until all hosts are in rotation.
func New(o Options) (*Deployment, error) {
	d := &Deployment{
		Store: kv.New(), Key: ends.Key(time.Now().UnixNano() | 1), Log: o.Log,
		root: o.Root, dir: o.Dir, started: time.Now(), ledger: ends.NewLedger(), done: make(chan struct{}),
	}
	d.Log.now = d.Now
	if err := d.start(o); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start(o Options) error {
	listener, err := net.Listen("tcp4", "127.4.0.1:0")
	if err != nil {
		return err
	}
	// The ports after that of the store are used for all else.
	d.port = listener.Addr().(*net.TCPAddr).Port
	if d.port > 60000 {
		d.port -= 20000
	}
	server := &http.Server{Handler: d.Store}
	d.closers = append(d.closers, func() { _ = server.Close() })
	d.wait.Go(func() { _ = server.Serve(listener) })
	store := listener.Addr().String()

	d.Configure(1, Routes)
	for _, service := range []string{Alerts, Bulletins} {
		for z, n := range endpointsPerZone[service] {
			for range n {
				if _, err := d.AddEndpoint(service, Zones[z].Name); err != nil {
					return err
				}
			}
		}
	}
	for z := range Zones {
		for n := range Zones[z].Hosts {
			if err := d.addHost(z, n+1, store); err != nil {
				return err
			}
		}
	}
	d.every(5*time.Millisecond, d.tick)
	d.every(Heartbeat, d.heartbeat)
	for _, h := range d.Hosts {
		d.every(probeInterval, h.probe)
	}
	return d.Await(10*time.Second, "all hosts are ready", func() bool {
		for _, h := range d.Hosts {
			if !h.probedOnce() {
				return false
			}
		}
		return true
	})
}

// Await waits until a condition holds.
func (d *Deployment) Await(limit time.Duration, what string, holds func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("not reached in %s: %s", limit, what)
}

// Now returns the time since the start.
func (d *Deployment) Now() time.Duration { return time.Since(d.started) }

func (d *Deployment) every(interval time.Duration, run func()) {
	d.wait.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-d.done:
				return
			case <-ticker.C:
				run()
			}
		}
	})
}

// Locked runs a function under the lock of endpoints and callers.
func (d *Deployment) Locked(run func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	run()
}

// tick runs what is due at endpoints and callers.
func (d *Deployment) tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.endpoints {
		e.send(e.Tick(d.Now()))
	}
	for _, c := range d.callers {
		c.tick()
	}
}

// Configure writes a version of the configuration, as the operator does.
func (d *Deployment) Configure(version uint64, routes []Route) {
	type routeDocument struct {
		Name, Hostname, Prefix, RouteType string
		TimeoutMs, TargetLatencyMs        int64
		Priority                          int
		Service                           string
		MaxAttempts                       int
	}
	type serviceDocument struct {
		Name, HealthCheckPath string
		MaxConnections        int
	}
	document := struct {
		Version  uint64
		Routes   []routeDocument
		Services []serviceDocument
		Limits   struct{ IdleTimeoutMs int64 }
	}{Version: version, Services: []serviceDocument{{Alerts, "/health", 2000}, {Bulletins, "/health", 2000}}}
	document.Limits.IdleTimeoutMs = IdleTimeout.Milliseconds()
	for _, r := range routes {
		document.Routes = append(document.Routes, routeDocument{
			Name: r.Name, Hostname: r.Address.AddrPort().Addr().String(), Prefix: fmt.Sprintf("/%d/", r.Address.Port),
			RouteType: r.Kind, TimeoutMs: r.Timeout.Milliseconds(), TargetLatencyMs: r.Target.Milliseconds(),
			Priority: 1, Service: r.Service, MaxAttempts: 2,
		})
	}
	value, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	accepted := d.Store.Put("op/config", value, 0)
	d.Log.Line("operator writes configuration version %d with %d routes, acknowledged: %v", version, len(routes), accepted)
}

// Close ends everything that was started.
func (d *Deployment) Close() {
	select {
	case <-d.done:
		return
	default:
		close(d.done)
	}
	for _, h := range d.Hosts {
		h.kill()
	}
	for _, c := range d.closers {
		c()
	}
	d.mu.Lock()
	for _, e := range d.endpoints {
		_ = e.conn.Close()
	}
	for _, c := range d.callers {
		_ = c.conn.Close()
	}
	d.mu.Unlock()
	d.wait.Wait()
}

// Host is a host's process.
type Host struct {
	Name string
	Zone string
	// Packets is the address to which routers send.
	Packets netip.AddrPort

	deployment *Deployment
	ready      netip.AddrPort
	settings   string
	output     *os.File

	mu         sync.Mutex
	process    *exec.Cmd
	exited     chan struct{}
	closed     bool
	misses     int
	inRotation bool
	probed     bool
	// harmedUntil is when the last fault ended.
	harmedUntil time.Duration
}

func (d *Deployment) addHost(zone, n int, store string) error {
	ip := netip.AddrFrom4([4]byte{127, 2, byte(zone + 1), byte(n)})
	at := func(offset int) netip.AddrPort { return netip.AddrPortFrom(ip, uint16(d.port+offset)) }
	h := &Host{
		Name: fmt.Sprintf("front-%s-%d", Zones[zone].Name, n), Zone: Zones[zone].Name,
		Packets: at(1), ready: at(2), deployment: d, inRotation: true,
	}
	seeds := make([]string, 0, len(Zones))
	for z := range Zones {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("127.2.%d.1:%d", z+1, d.port+3)))
	}
	h.settings = filepath.Join(d.dir, h.Name+".toml")
	// The text that platform/settings.toml.tmpl gives for the example of the platform's page.
	text := fmt.Sprintf(`name = %q
domain = %q
seeds = [%s]

[listen]
packets = %q
ready = %q
feed = %q
admin = %q

[store]
address = %q
history = "20s"
shortest_lease = "1000ms"

[bounds]
heartbeat = "%dms"
configuration = "%dms"
drain = "%dms"
stop = "%ds"
flow_lifetime = "60s"

[limits]
memory_mb = 544
cpu_share = 0.176
link_mbps = 2000.0

[placement]
spillover = true
`, h.Name, h.Zone, strings.Join(seeds, ","), at(1), at(2), at(3), at(4), store,
		Heartbeat.Milliseconds(), ConfigApply.Milliseconds(), Drain.Milliseconds(), int(Grace.Seconds()))
	if err := os.WriteFile(h.settings, []byte(text), 0o644); err != nil {
		return err
	}
	var err error
	if h.output, err = os.Create(filepath.Join(d.dir, h.Name+".log")); err != nil {
		return err
	}
	d.Hosts = append(d.Hosts, h)
	return h.Start()
}

// Start starts the host's process with the command of the deploy file.
func (h *Host) Start() error {
	process := exec.Command("target/toucangapd", "relay")
	process.Dir = h.deployment.root
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TOUCANGAP_NODE_FILE=" + h.settings}
	process.Stdout, process.Stderr = h.output, h.output
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.mu.Lock()
	h.process, h.exited = process, exited
	h.mu.Unlock()
	h.deployment.wait.Go(func() {
		err := process.Wait()
		close(exited)
		h.deployment.Log.Line("%s: process ended: %v", h.Name, err)
	})
	return nil
}

// Signal sends a signal to the host's process.
func (h *Host) Signal(signal syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.deployment.Log.Line("%s: %s", h.Name, signal)
	_ = h.process.Process.Signal(signal)
	h.harmedUntil = h.deployment.Now()
}

// Exited is closed when the present process has ended.
func (h *Host) Exited() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.exited
}

// InTouch reports whether the last signal was more than the stable window ago.
func (h *Host) InTouch() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.harmedUntil == 0 || h.deployment.Now() > h.harmedUntil+StableWindow
}

// InRotation reports whether routers send to the host.
func (h *Host) InRotation() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.inRotation
}

func (h *Host) probedOnce() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.probed
}

func (h *Host) kill() {
	h.mu.Lock()
	process, exited := h.process, h.exited
	h.mu.Unlock()
	if process == nil {
		return
	}
	_ = process.Process.Signal(syscall.SIGCONT)
	_ = process.Process.Kill()
	<-exited
	_ = h.output.Close()
}

// probe makes one readiness request, as routers do twice a second.
func (h *Host) probe() {
	client := http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + h.ready.String() + "/toucangap/readiness")
	ok := err == nil && response.StatusCode == http.StatusOK
	if err == nil {
		response.Body.Close()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	before := h.inRotation
	if ok {
		h.misses, h.inRotation, h.probed = 0, true, true
	} else if h.misses++; h.misses >= missesUntilOut && h.probed {
		h.inRotation = false
	}
	if h.inRotation != before {
		h.deployment.Log.Line("%s: in rotation: %v", h.Name, h.inRotation)
	}
}

// RouterTarget returns the host to which routers forward a packet of the flow of a caller in the
// zone: by rendezvous hashing over the zone's hosts in rotation, over all its hosts if fewer than
// half are in rotation, over those of other zones if none is.
func (d *Deployment) RouterTarget(f catalog.Flow, zone string) *Host {
	var all, ready, others []*Host
	for _, h := range d.Hosts {
		switch in := h.InRotation(); {
		case h.Zone == zone:
			all = append(all, h)
			if in {
				ready = append(ready, h)
			}
		case in:
			others = append(others, h)
		}
	}
	switch {
	case len(ready) == 0 && len(others) > 0:
		return topHost(f, others)
	case 2*len(ready) < len(all):
		return topHost(f, all)
	}
	return topHost(f, ready)
}

func topHost(f catalog.Flow, hosts []*Host) (found *Host) {
	var top uint64
	for i, h := range hosts {
		ip := h.Packets.Addr().As4()
		score := f.Hash() ^ uint64(ip[2])<<8 ^ uint64(ip[3])
		for range 2 {
			score = (score ^ score>>31) * 0x9e3779b97f4a7c15
		}
		if score ^= score >> 29; i == 0 || score > top {
			found, top = h, score
		}
	}
	return found
}

// Endpoint is an endpoint that registers in the store.
type Endpoint struct {
	ends.Endpoint
	ID      string
	Address netip.AddrPort

	deployment *Deployment
	Zone       string
	conn       *net.UDPConn
	born       int64
	sequence   int
	// Draining is the state that it reports; Silent stops its reports.
	Draining, Silent bool
	// Harmed is set once the endpoint has crashed.
	Harmed bool
	// Received counts the packets of each flow other than SYNs.
	Received map[catalog.Flow]int
}

// AddEndpoint starts an endpoint and registers it.
func (d *Deployment) AddEndpoint(service, zone string) (*Endpoint, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := len(d.endpoints) + 1
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 3, byte(n >> 8), byte(n)}), uint16(d.port+1))
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	e := &Endpoint{
		Endpoint: ends.Endpoint{Number: 0x7f3a0000 + uint64(n), Service: service, Slots: 2, Queue: 8, Key: d.Key, Ledger: d.ledger, WorkFactor: 1},
		ID:       fmt.Sprintf("i-%x", 0x7f3a0000+n), Address: address, deployment: d, Zone: zone, conn: conn, born: time.Now().UnixMilli(),
		Received: make(map[catalog.Flow]int),
	}
	d.endpoints = append(d.endpoints, e)
	e.Report()
	d.wait.Go(e.read)
	return e, nil
}

// Report writes the endpoint's entry in the store.
func (e *Endpoint) Report() {
	if e.Silent {
		return
	}
	state := "ready"
	if e.Draining {
		state = "draining"
	}
	value, err := json.Marshal(map[string]any{
		"Service": e.Service, "Address": e.Address.String(), "Zone": e.Zone, "Version": "v1", "Slots": e.Slots,
		"State": state, "ColdRemainingMs": 0, "Sequence": e.sequence, "born": e.born,
	})
	if err != nil {
		panic(err)
	}
	e.deployment.Store.Put("servers/"+e.ID, value, 3*Heartbeat)
}

// Crash makes the endpoint lose all state and ignore all packets, until Restore. It is for use
// under the lock.
func (e *Endpoint) Crash() {
	e.Restart()
	e.Down, e.Silent, e.Harmed = true, true, true
}

// Restore starts the endpoint again. It is for use under the lock.
func (e *Endpoint) Restore() {
	e.Down, e.Silent = false, false
	e.born, e.sequence = time.Now().UnixMilli(), 0
	e.Report()
}

func (d *Deployment) heartbeat() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.endpoints {
		e.Report()
	}
}

func (e *Endpoint) read() {
	b := make([]byte, 2048)
	for {
		n, err := e.conn.Read(b)
		if err != nil {
			return
		}
		if n < platform.RecipientBytes {
			continue
		}
		var recipient uint64
		for _, x := range b[:platform.RecipientBytes] {
			recipient = recipient<<8 | uint64(x)
		}
		packet := append([]byte(nil), b[platform.RecipientBytes:n]...)
		e.deployment.Locked(func() {
			if s, err := platform.Decode(packet); err == nil && !s.Syn && !s.Reset {
				e.Received[s.Flow]++
			}
			e.send(e.Receive(e.deployment.Now(), recipient, packet))
		})
	}
}

// send sends packets to the callers that they are for, directly.
func (e *Endpoint) send(packets [][]byte) {
	for _, p := range packets {
		s, err := platform.Decode(p)
		if err != nil {
			continue
		}
		caller := netip.AddrPortFrom(s.Flow.Destination.AddrPort().Addr(), uint16(e.deployment.port+1))
		_, _ = e.conn.WriteToUDPAddrPort(p, caller)
	}
}

// Holder returns the endpoint at which a flow is open, nil if there is none.
func (d *Deployment) Holder(f catalog.Flow) *Endpoint {
	for _, e := range d.endpoints {
		if e.Holds(f) {
			return e
		}
	}
	return nil
}

// Endpoints returns all endpoints.
func (d *Deployment) Endpoints() []*Endpoint { return d.endpoints }

// Sender names who has sent a packet from an address.
func (d *Deployment) Sender(from netip.AddrPort) string {
	for _, e := range d.endpoints {
		if e.Address == from {
			return "endpoint " + e.ID
		}
	}
	for _, h := range d.Hosts {
		if h.Packets == from {
			return "host " + h.Name
		}
	}
	return from.String()
}
