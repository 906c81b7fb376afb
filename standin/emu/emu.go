// Package emu emulates the platform's protocol in virtual time: real relays
// between emulated callers and endpoints, with network delay, packet loss and
// faults. A run is reproducible from its seed.
package emu

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"toucangap/internal/catalog"
	"toucangap/internal/relay"
	"toucangap/standin/ends"
)

// Class describes one kind of request.
type Class struct {
	Name        string
	Service     string
	Rate        float64
	AtMostOnce  bool
	Work        time.Duration
	AnswerBytes int
	Target      time.Duration
	Timeout     time.Duration
	Priority    int
	Worth       float64
	Late        float64
}

// EndpointGroup describes endpoints of one service, spread over the domains.
type EndpointGroup struct {
	Service string
	Count   int
	Slots   int
	Queue   int
}

// Config describes a deployment and its load.
type Config struct {
	Seed    uint64
	Domains int
	// Hosts is the number of hosts in each domain.
	Hosts   int
	Groups  []EndpointGroup
	Classes []Class
	// SameDomainDelay, CrossDomainDelay and CallerDelay are one-way delays within
	// a domain, between domains and to callers.
	SameDomainDelay, CrossDomainDelay, CallerDelay time.Duration
	// Loss is the fraction of datagrams that are lost.
	Loss float64
	// Retries is the maximum number of retries of a request.
	Retries int
	// ShareFailureReports makes the hosts of a domain exchange failure reports.
	ShareFailureReports bool
	// Options configure the relays; the domain and the output are set per host.
	Options relay.Options
}

// Default returns a small deployment with three classes of requests.
func Default(seed uint64) Config {
	return Config{
		Seed:    seed,
		Domains: 3,
		Hosts:   1,
		Groups:  []EndpointGroup{{"alerts", 14, 2, 8}, {"bulletins", 4, 2, 8}},
		Classes: []Class{
			{Name: "ack", Service: "alerts", Rate: 290, Work: 22 * time.Millisecond, AnswerBytes: 1000,
				Target: 120 * time.Millisecond, Timeout: 800 * time.Millisecond, Priority: 2, Worth: 1, Late: 0.3},
			{Name: "alert", Service: "alerts", Rate: 83, AtMostOnce: true, Work: 29 * time.Millisecond, AnswerBytes: 600,
				Target: 150 * time.Millisecond, Timeout: time.Second, Priority: 1, Worth: 2, Late: 0.6},
			{Name: "bulletin", Service: "bulletins", Rate: 25, Work: 5 * time.Millisecond, AnswerBytes: 20_000,
				Target: 500 * time.Millisecond, Timeout: 3 * time.Second, Priority: 2, Worth: 1, Late: 0.3},
		},
		SameDomainDelay: 100 * time.Microsecond, CrossDomainDelay: 500 * time.Microsecond, CallerDelay: 3 * time.Millisecond,
		Retries: 2,
	}
}

// callersPerDomain is the number of caller addresses in each domain.
const callersPerDomain = 40

// drainLimit bounds the time emulated after the load has ended; it exceeds all
// timeouts of the protocol.
const drainLimit = time.Minute

// World is a running emulation.
type World struct {
	Config Config
	Ledger *ends.Ledger
	Result *Result

	now       time.Duration
	events    eventHeap
	sequence  int
	rng       *rand.Rand
	key       ends.Key
	hosts     []*Host
	endpoints []*Endpoint
	directory *catalog.Directory
	revision  uint64
	version   uint64
	callers   []*caller
	byIP      map[uint32]*caller
	nextID    uint64
	stopAt    time.Duration
	rate      float64
}

// New builds a deployment without running it.
func New(c Config) *World {
	w := &World{
		Config:    c,
		Ledger:    ends.NewLedger(),
		rng:       rand.New(rand.NewPCG(c.Seed, 1)),
		key:       ends.Key(c.Seed*2 + 1),
		directory: catalog.NewDirectory(0, time.Minute),
		byIP:      make(map[uint32]*caller),
		rate:      1,
	}
	w.Result = newResult(c.Classes)
	for d := range c.Domains {
		for range c.Hosts {
			w.addHost(domainName(d))
		}
		for i := range callersPerDomain {
			c := &caller{
				world: w, domain: domainName(d), ip: 0x64400000 + uint32(d)<<16 + uint32(i) + 1, port: 1024,
				flows: make(map[catalog.Flow]*attempt),
			}
			w.callers = append(w.callers, c)
			w.byIP[c.ip] = c
		}
	}
	n := 0
	for _, g := range c.Groups {
		for range g.Count {
			w.AddEndpoint(g, domainName(n%c.Domains))
			n++
		}
	}
	w.Configure(c.Classes)
	return w
}

func domainName(i int) string { return fmt.Sprintf("d%d", i) }

// At schedules a function at a virtual time.
func (w *World) At(at time.Duration, run func()) {
	w.sequence++
	heap.Push(&w.events, event{at: max(at, w.now), sequence: w.sequence, run: run})
}

// Now returns the virtual time.
func (w *World) Now() time.Duration { return w.now }

// Run generates load for the span and continues until no event is pending.
func (w *World) Run(span time.Duration) *Result {
	w.stopAt = w.now + span
	if w.Config.ShareFailureReports {
		w.exchangeReports()
	}
	for i := range w.Config.Classes {
		w.arrive(&w.Config.Classes[i])
	}
	for len(w.events) > 0 && w.now < w.stopAt+drainLimit {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
	w.Result.RanTwice = len(w.Ledger.RanTwice)
	w.Result.WrongService = len(w.Ledger.WrongService)
	w.Result.Forged = w.Ledger.Forged
	return w.Result
}

// Rate sets the factor by which the load is multiplied from now on.
func (w *World) Rate(factor float64) { w.rate = factor }

// arrive schedules the next request of a class.
func (w *World) arrive(c *Class) {
	gap := time.Duration(w.rng.ExpFloat64() / (c.Rate * w.rate) * float64(time.Second))
	w.At(w.now+gap, func() {
		if w.now >= w.stopAt {
			return
		}
		w.callers[w.rng.IntN(len(w.callers))].startRequest(c)
		w.arrive(c)
	})
}

// Configure publishes a new configuration with a route for each class to all
// hosts at once.
func (w *World) Configure(classes []Class) {
	w.version++
	w.revision++
	c := &catalog.Configuration{Version: w.version, Services: make(map[string]int), IdleTimeout: 15 * time.Second}
	for _, g := range w.Config.Groups {
		c.Services[g.Service] = 2000
	}
	for i, class := range classes {
		c.Routes = append(c.Routes, catalog.Route{
			Name: class.Name, Address: routeAddress(i), Idempotent: !class.AtMostOnce, Timeout: class.Timeout,
			Target: class.Target, Priority: class.Priority, Shares: []catalog.Share{{Service: class.Service, Weight: 1}},
		})
	}
	w.directory.SetConfiguration(c, w.revision)
	w.publish()
}

func routeAddress(i int) catalog.Address {
	return catalog.Address{IP: 0xc6120001, Port: uint16(443 + i)}
}

// publish sends the current view to all running hosts.
func (w *World) publish() {
	for _, h := range w.hosts {
		if h.up {
			h.relay.SetView(w.now, w.directory.View(w.now))
			h.schedule()
		}
	}
}

// lost decides at random whether a datagram is lost.
func (w *World) lost() bool { return w.Config.Loss > 0 && w.rng.Float64() < w.Config.Loss }

// delay returns the one-way delay between domains with up to 50 µs of jitter.
func (w *World) delay(a, b string) time.Duration {
	d := w.Config.CrossDomainDelay
	if a == b {
		d = w.Config.SameDomainDelay
	}
	return d + time.Duration(w.rng.Int64N(int64(50*time.Microsecond)))
}

// event is a function scheduled at a virtual time.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// timer runs one function at the earliest of the times requested.
type timer struct {
	world *World
	at    time.Duration
	set   bool
}

func (t *timer) schedule(due time.Duration, ok bool, run func()) {
	if !ok || t.set && t.at <= due {
		return
	}
	t.at, t.set = due, true
	t.world.At(due, func() {
		if t.set && t.at == due {
			t.set = false
			run()
		}
	})
}
