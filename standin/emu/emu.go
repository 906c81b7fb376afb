// Package emu emulates the platform's protocol in virtual time. Real relays
// (package relay) run between emulated callers and endpoints, with network delay,
// packet loss and faults. A run is reproducible from its seed.
package emu

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"toucangap/internal/catalog"
	"toucangap/internal/relay"
	"toucangap/platform"
	"toucangap/standin/ends"
)

// Class describes one kind of request.
type Class struct {
	Name    string
	Service string
	// Rate is the mean number of requests per second.
	Rate float64
	// AtMostOnce means that a request must not run twice.
	AtMostOnce bool
	// Work is the mean time that a request occupies a slot of an endpoint.
	Work        time.Duration
	AnswerBytes int
	// Target is the time within which a request should be answered, Timeout the
	// time after which its caller gives up.
	Target  time.Duration
	Timeout time.Duration
	// Priority is 0 for the most urgent requests.
	Priority int
	// Worth is the value of an answer within Target, LateWorth that of a later one.
	Worth     float64
	LateWorth float64
}

// EndpointGroup describes endpoints of one service, spread over the domains.
type EndpointGroup struct {
	Service string
	Count   int
	// Slots is the number of requests that an endpoint runs at a time, Queue the
	// number that may wait for a slot.
	Slots int
	Queue int
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
	// AcceptanceLoss is the fraction of SYN-ACKs that are lost besides.
	AcceptanceLoss float64
	// Retries is the maximum number of retries of a request.
	Retries int
	// Pause, if not 0, makes callers keep each flow open after its answer for between one and
	// two times as long, and then send a second request on it.
	Pause time.Duration
	// ShareFailureReports makes the hosts of a domain exchange failure reports.
	ShareFailureReports bool
	// NoNotices keeps hosts from exchanging notices on flows. NoticeLoss is the fraction of the
	// notices that are lost if that is above Loss, NoticeDelay how long they take longer.
	NoNotices   bool
	NoticeLoss  float64
	NoticeDelay time.Duration
	// HashMod makes routers spread flows by the number of hosts in rotation, so that nearly all
	// flows move with each change. OtherDomains makes them use the hosts of other domains while
	// none of a domain is in rotation, in place of that domain's hosts that are down.
	HashMod, OtherDomains bool
	// ColdStarts holds the services whose endpoints are cold after their start.
	ColdStarts map[string]catalog.ColdStart
	// Options configure the relays; the domain and the output are set per host.
	Options relay.Options
}

// Default returns a deployment of the size of the first real ones, with three
// classes of requests.
func Default(seed uint64) Config {
	return Config{
		Seed:    seed,
		Domains: 3,
		Hosts:   1,
		Groups:  []EndpointGroup{{"alerts", 14, 2, 8}, {"bulletins", 4, 2, 8}},
		Classes: []Class{
			{Name: "ack", Service: "alerts", Rate: 290, Work: 22 * time.Millisecond, AnswerBytes: 1000,
				Target: 120 * time.Millisecond, Timeout: 800 * time.Millisecond, Priority: 2, Worth: 1, LateWorth: 0.3},
			{Name: "alert", Service: "alerts", Rate: 83, AtMostOnce: true, Work: 29 * time.Millisecond, AnswerBytes: 600,
				Target: 150 * time.Millisecond, Timeout: time.Second, Priority: 1, Worth: 2, LateWorth: 0.6},
			{Name: "bulletin", Service: "bulletins", Rate: 25, Work: 5 * time.Millisecond, AnswerBytes: 20_000,
				Target: 500 * time.Millisecond, Timeout: 3 * time.Second, Priority: 2, Worth: 1, LateWorth: 0.3},
		},
		SameDomainDelay: 100 * time.Microsecond, CrossDomainDelay: 500 * time.Microsecond, CallerDelay: 3 * time.Millisecond,
		Retries: 2,
	}
}

// LongRequests is a deployment of four hosts whose requests take long and use half of
// the endpoints' slots.
func LongRequests(seed uint64) Config {
	c := Default(seed)
	c.Domains, c.Hosts = 2, 2
	c.Groups = []EndpointGroup{{"alerts", 14, 3, 8}, {"bulletins", 4, 3, 8}}
	for i := range c.Classes[:2] {
		c.Classes[i].Work = []time.Duration{55, 72}[i] * time.Millisecond
		c.Classes[i].Target = []time.Duration{250, 300}[i] * time.Millisecond
		c.Classes[i].Timeout = []time.Duration{2500, 3000}[i] * time.Millisecond
	}
	return c
}

// ManyHosts is a deployment of 24 hosts and 72 endpoints, of which each host sends few
// requests to each.
func ManyHosts(seed uint64) Config {
	c := LongRequests(seed)
	c.Domains, c.Hosts = 3, 8
	c.Groups = []EndpointGroup{{"alerts", 56, 3, 8}, {"bulletins", 16, 3, 8}}
	for i := range c.Classes {
		c.Classes[i].Rate *= 3
	}
	return c
}

// callersPerDomain is the number of caller addresses in each domain.
const callersPerDomain = 40

// drainLimit bounds the time emulated after the load has ended; it exceeds all
// timeouts of the protocol.
const drainLimit = time.Minute

// Emulator emulates one deployment with its callers.
type Emulator struct {
	Config Config
	Ledger *ends.Ledger
	Result *Result

	now        time.Duration
	events     eventHeap
	sequence   int
	rng        *rand.Rand
	noticeRNG  *rand.Rand // separate, so that notices change no other draws
	key        ends.Key
	hosts      []*Host
	endpoints  []*Endpoint
	directory  *catalog.Directory
	revision   uint64
	version    uint64
	callers    []*caller
	byIP       map[uint32]*caller
	nextID     uint64
	stopAt     time.Duration
	loadFactor float64
	moved      map[string]moved // by the domain that callers have left
	// disturbedUntil is until when hosts are affected by kills and pauses of some.
	disturbedUntil time.Duration
}

// New builds a deployment without running it.
func New(c Config) *Emulator {
	em := &Emulator{
		Config:     c,
		Ledger:     ends.NewLedger(),
		rng:        rand.New(rand.NewPCG(c.Seed, 1)),
		noticeRNG:  rand.New(rand.NewPCG(c.Seed, 2)),
		key:        ends.Key(c.Seed*2 + 1),
		directory:  catalog.NewDirectory(0, time.Minute),
		byIP:       make(map[uint32]*caller),
		loadFactor: 1,
		moved:      make(map[string]moved),
	}
	em.Result = newResult(c.Classes)
	for d := range c.Domains {
		for range c.Hosts {
			em.addHost(domainName(d))
		}
		for i := range callersPerDomain {
			// Callers have the addresses 100.64+d.0.i+1.
			c := &caller{
				emulator: em, domain: domainName(d), ip: 0x64400000 + uint32(d)<<16 + uint32(i) + 1, port: 1024,
				flows: make(map[catalog.Flow]*attempt),
			}
			em.callers = append(em.callers, c)
			em.byIP[c.ip] = c
		}
	}
	n := 0
	for _, g := range c.Groups {
		for range g.Count {
			em.AddEndpoint(g, domainName(n%c.Domains))
			n++
		}
	}
	em.Configure(c.Classes)
	return em
}

func domainName(i int) string { return fmt.Sprintf("d%d", i) }

// At schedules a function at a virtual time, or now if that time has passed.
func (em *Emulator) At(at time.Duration, run func()) {
	em.sequence++
	heap.Push(&em.events, event{at: max(at, em.now), sequence: em.sequence, run: run})
}

// Now returns the virtual time.
func (em *Emulator) Now() time.Duration { return em.now }

// Run generates load for the span and continues until no event is pending, for at
// most drainLimit.
func (em *Emulator) Run(span time.Duration) *Result {
	em.stopAt = em.now + span
	if em.Config.ShareFailureReports {
		em.exchangeReports()
	}
	for i := range em.Config.Classes {
		em.scheduleArrival(&em.Config.Classes[i])
	}
	for len(em.events) > 0 && em.now < em.stopAt+drainLimit {
		e := heap.Pop(&em.events).(event)
		em.now = e.at
		e.run()
	}
	em.Result.RanTwice = len(em.Ledger.RanTwice)
	em.Result.WrongService = len(em.Ledger.WrongService)
	em.Result.Forged = em.Ledger.Forged
	return em.Result
}

// SetLoadFactor sets the factor by which the rates of all classes are multiplied
// from now on.
func (em *Emulator) SetLoadFactor(factor float64) { em.loadFactor = factor }

// scheduleArrival schedules the next request of a class. Requests arrive as a
// Poisson process.
func (em *Emulator) scheduleArrival(c *Class) {
	gap := time.Duration(em.rng.ExpFloat64() / (c.Rate * em.loadFactor) * float64(time.Second))
	em.At(em.now+gap, func() {
		if em.now >= em.stopAt {
			return
		}
		em.drawCaller().startRequest(c)
		em.scheduleArrival(c)
	})
}

// Configure publishes a new configuration with a route for each class to all
// hosts at once.
func (em *Emulator) Configure(classes []Class) {
	em.version++
	em.revision++
	c := &catalog.Configuration{Version: em.version, Services: make(map[string]int), ColdStarts: em.Config.ColdStarts, IdleTimeout: 15 * time.Second}
	for _, g := range em.Config.Groups {
		c.Services[g.Service] = 2000
	}
	for i, class := range classes {
		c.Routes = append(c.Routes, catalog.Route{
			Name: class.Name, Address: routeAddress(i), Idempotent: !class.AtMostOnce, Timeout: class.Timeout,
			TargetLatency: class.Target, Priority: class.Priority, Shares: []catalog.Share{{Service: class.Service, Weight: 1}},
		})
	}
	em.directory.SetConfiguration(c)
	em.publish()
}

// routeAddress returns the address that callers of class i send to.
func routeAddress(i int) catalog.Address {
	return catalog.Address{IP: 0xc6120001, Port: uint16(443 + i)}
}

// publish sends the current view to all running hosts.
func (em *Emulator) publish() {
	for _, h := range em.hosts {
		if h.up {
			h.relay.SetView(em.now, em.directory.View(em.now))
			h.schedule()
		}
	}
}

// lost decides at random whether a datagram is lost.
func (em *Emulator) lost() bool { return em.Config.Loss > 0 && em.rng.Float64() < em.Config.Loss }

// acceptanceLost decides at random whether a packet of an endpoint is a SYN-ACK that is lost.
func (em *Emulator) acceptanceLost(packet []byte) bool {
	if em.Config.AcceptanceLoss == 0 {
		return false
	}
	s, err := platform.Decode(packet)
	return err == nil && s.Syn && em.rng.Float64() < em.Config.AcceptanceLoss
}

// delay returns the one-way delay between domains with up to 50 µs of jitter.
func (em *Emulator) delay(a, b string) time.Duration { return em.delayBy(em.rng, a, b) }

func (em *Emulator) delayBy(rng *rand.Rand, a, b string) time.Duration {
	d := em.Config.CrossDomainDelay
	if a == b {
		d = em.Config.SameDomainDelay
	}
	return d + time.Duration(rng.Int64N(int64(50*time.Microsecond)))
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

// timer runs a function at the earliest of the times requested.
type timer struct {
	emulator *Emulator
	at       time.Duration
	set      bool
}

// schedule requests a run at the given time; it does nothing if ok is false.
func (t *timer) schedule(due time.Duration, ok bool, run func()) {
	if !ok || t.set && t.at <= due {
		return
	}
	t.at, t.set = due, true
	t.emulator.At(due, func() {
		if t.set && t.at == due {
			t.set = false
			run()
		}
	})
}
