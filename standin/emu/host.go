package emu

import (
	"time"

	"toucangap/internal/balance"
	"toucangap/internal/catalog"
	"toucangap/internal/holders"
	"toucangap/internal/relay"
	"toucangap/platform"
	"toucangap/standin/ends"
)

// Host is an emulated host with its relay.
type Host struct {
	emulator *Emulator
	index    int
	Domain   string
	relay    *relay.Relay
	up       bool
	// inRotation reports whether routers send to the host.
	inRotation bool
	paused     bool
	backlog    [][]byte // packets received while paused
	// notices exchanges notices with the other hosts; waitingNotices were received while
	// paused.
	notices        *holders.Exchange
	waitingNotices []func()
	registered     bool
	timer          timer
}

func (em *Emulator) addHost(domain string) *Host {
	h := &Host{emulator: em, index: len(em.hosts), Domain: domain, inRotation: true}
	h.timer.emulator = em
	em.hosts = append(em.hosts, h)
	h.boot()
	return h
}

// Hosts returns all hosts.
func (em *Emulator) Hosts() []*Host { return em.hosts }

// boot starts a new relay, which knows the current view and no flows.
func (h *Host) boot() {
	o := h.emulator.Config.Options
	o.Domain = h.Domain
	o.Output = h
	if o.Observer == nil {
		o.Observer = NopObserver{}
	}
	o.Hosts = func() int { return len(h.emulator.hosts) }
	if o.MaxFlows == 0 {
		o.MaxFlows = 100_000
	}
	if o.FlowLifetime == 0 {
		o.FlowLifetime = time.Minute
	}
	h.notices = holders.NewExchange(noticeOutput{h})
	if !h.emulator.Config.NoNotices {
		o.Holders = h.notices
		h.list()
		h.emulator.At(h.emulator.now+registrationDelay, func() { h.register(true) })
	}
	h.relay = relay.New(o, h.emulator.now)
	h.relay.SetView(h.emulator.now, h.emulator.directory.View(h.emulator.now))
	h.up = true
}

// Stats returns the counters of the host's relay.
func (h *Host) Stats() relay.Stats { return h.relay.Stats() }

// stableWindow is how long after a fault of a host hosts do not count as undisturbed.
const stableWindow = 4 * time.Second

// disturb notes a fault of a host that lasts for a span.
func (em *Emulator) disturb(span time.Duration) {
	em.disturbedUntil = max(em.disturbedUntil, em.now+span+stableWindow)
}

// rotationDelay is the time until routers detect that a host has stopped; they
// detect that it has restarted in half of it.
const rotationDelay = time.Second

// Kill stops the host's relay; routers detect it after rotationDelay. The relay
// restarts after the span if that is above 0.
func (h *Host) Kill(span time.Duration) {
	h.up = false
	em := h.emulator
	em.disturb(span)
	em.At(em.now+rotationDelay, func() { h.inRotation = h.up })
	if span <= 0 {
		return
	}
	em.At(em.now+span, func() {
		h.boot()
		em.At(em.now+rotationDelay/2, func() { h.inRotation = h.up })
	})
}

// Pause suspends the host for a span; it processes the packets that arrive
// meanwhile when it resumes.
func (h *Host) Pause(span time.Duration) {
	h.paused = true
	h.emulator.disturb(span)
	h.emulator.At(h.emulator.now+span, func() {
		h.paused = false
		h.relay.ResumeAfterPause(h.emulator.now, span)
		backlog := h.backlog
		h.backlog = nil
		for _, n := range h.waitingNotices {
			n()
		}
		h.waitingNotices = nil
		for _, p := range backlog {
			h.receive(p)
		}
		h.schedule()
	})
}

// route returns the host that routers select for a flow of a domain among the domain's hosts
// in rotation, or all hosts of the domain if fewer than half of them are: by rendezvous
// hashing, or as Config.HashMod and Config.OtherDomains say.
func (em *Emulator) route(f catalog.Flow, domain string) *Host {
	all, ready := 0, 0
	for _, h := range em.hosts {
		if h.Domain == domain {
			all++
			if h.inRotation {
				ready++
			}
		}
	}
	useAll := 2*ready < all
	usable := func(h *Host) bool { return h.Domain == domain && (useAll || h.inRotation) }
	if em.Config.OtherDomains && ready == 0 {
		usable = func(h *Host) bool { return h.inRotation }
	}
	if em.Config.HashMod {
		return em.modHost(f, usable)
	}
	return em.rendezvousHost(f, usable)
}

// modHost returns the usable host at the position of the flow's hash modulo their number.
func (em *Emulator) modHost(f catalog.Flow, usable func(*Host) bool) *Host {
	var list []*Host
	for _, h := range em.hosts {
		if usable(h) {
			list = append(list, h)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return list[f.Hash()%uint64(len(list))]
}

// rendezvousHost returns the usable host with the highest score for the flow.
func (em *Emulator) rendezvousHost(f catalog.Flow, usable func(*Host) bool) (best *Host) {
	var top uint64
	for _, h := range em.hosts {
		score := (f.Hash() ^ uint64(h.index+1)*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
		score ^= score >> 29
		if usable(h) && (best == nil || score > top) {
			best, top = h, score
		}
	}
	return best
}

// fromCaller delivers a caller's packet to the host that routers select.
func (em *Emulator) fromCaller(c *caller, f catalog.Flow, packet []byte) {
	if em.lost() {
		return
	}
	em.At(em.now+em.Config.CallerDelay, func() {
		if h := em.route(f, c.domain); h != nil && h.up {
			h.receive(packet)
		}
	})
}

func (h *Host) receive(packet []byte) {
	if h.paused {
		h.backlog = append(h.backlog, packet)
		return
	}
	if !h.up {
		return
	}
	frame := append(make([]byte, platform.RecipientBytes), packet...)
	s, err := platform.DecodePacket(packet)
	if err != nil {
		return
	}
	h.relay.Packet(h.emulator.now, s, frame)
	h.schedule()
}

func (h *Host) schedule() {
	due, ok := h.relay.NextDue()
	h.timer.schedule(max(due, h.emulator.now), ok, func() {
		if h.up && !h.paused {
			h.relay.Tick(h.emulator.now)
			h.schedule()
		}
	})
}

// Forward implements relay.Output.
func (h *Host) Forward(e *catalog.Entry, token catalog.Token, frame []byte) {
	em := h.emulator
	datagram := append([]byte(nil), frame...)
	platform.AddressFrame(datagram, e.Recipient, token)
	if em.lost() {
		return
	}
	to := em.endpointAt(e.Address)
	if to == nil {
		return
	}
	em.At(em.now+em.delay(h.Domain, to.domain), func() { to.receive(datagram) })
}

// Reset implements relay.Output.
func (h *Host) Reset(f catalog.Flow, lastAcknowledgement uint32) {
	h.emulator.toCaller(platform.AppendReset(nil, f, lastAcknowledgement))
}

// Endpoint is an emulated endpoint with its domain and catalog entry.
type Endpoint struct {
	ends.Endpoint
	emulator *Emulator
	domain   string
	entry    *catalog.Endpoint
	timer    timer
}

// AddEndpoint starts an endpoint and announces it to all hosts at once.
func (em *Emulator) AddEndpoint(g EndpointGroup, domain string) *Endpoint {
	n := uint64(len(em.endpoints) + 1)
	e := &Endpoint{emulator: em, domain: domain}
	e.timer.emulator = em
	e.Endpoint = ends.Endpoint{Number: n, Service: g.Service, Slots: g.Slots, Queue: g.Queue, Key: em.key, Ledger: em.Ledger, WorkFactor: 1}
	e.entry = &catalog.Endpoint{
		ID: endpointID(n), Recipient: n, Service: g.Service, Slots: g.Slots, Domain: domain,
		Address: catalog.Address{IP: 0x0a000000 + uint32(n), Port: 80},
	}
	em.endpoints = append(em.endpoints, e)
	em.putEntry(e)
	return e
}

// putEntry writes the endpoint's catalog entry, which all hosts receive at once.
func (em *Emulator) putEntry(e *Endpoint) {
	em.revision++
	em.directory.PutEndpoint(em.now, e.entry, catalog.Position{Revision: em.revision})
	em.publish()
}

// Endpoints returns the endpoints of a service.
func (em *Emulator) Endpoints(service string) []*Endpoint {
	var found []*Endpoint
	for _, e := range em.endpoints {
		if e.Service == service {
			found = append(found, e)
		}
	}
	return found
}

// Crash discards the endpoint's flows and makes it ignore all packets. Its entry
// expires after the given time unless the endpoint has restarted by then, which it
// does after the span if that is above 0.
func (e *Endpoint) Crash(expiry, span time.Duration) {
	em := e.emulator
	e.Restart()
	e.Down = true
	em.At(em.now+expiry, func() {
		if e.Down || e.Refuses {
			em.revision++
			em.directory.RemoveEndpoint(em.now, e.entry.ID, catalog.Position{Revision: em.revision})
			em.publish()
		}
	})
	if span > 0 {
		em.At(em.now+span, func() {
			e.Down = false
			em.putEntry(e)
		})
	}
}

// CrashRefusing discards the endpoint's flows and makes it answer with resets until
// it restarts; its entry expires and returns as with Crash.
func (e *Endpoint) CrashRefusing(expiry, span time.Duration) {
	e.Crash(expiry, span)
	e.Down, e.Refuses = false, true
	e.emulator.At(e.emulator.now+span, func() { e.Refuses = false })
}

// Drain marks the endpoint as draining; it continues to serve. Flows that start
// there after the bound are counted in the ledger.
func (e *Endpoint) Drain(bound time.Duration) {
	draining := *e.entry
	draining.Draining = true
	e.entry = &draining
	e.DrainDeadline = e.emulator.now + bound
	e.emulator.putEntry(e)
}

// endpointAt returns the endpoint with the address, or nil.
func (em *Emulator) endpointAt(a catalog.Address) *Endpoint {
	n := int(a.IP - 0x0a000000)
	if n < 1 || n > len(em.endpoints) {
		return nil
	}
	return em.endpoints[n-1]
}

func (e *Endpoint) receive(datagram []byte) {
	em := e.emulator
	e.send(e.Receive(em.now, recipient(datagram), datagram[platform.RecipientBytes:]))
	e.schedule()
}

func (e *Endpoint) schedule() {
	due, ok := e.NextDue()
	e.timer.schedule(max(due, e.emulator.now), ok, func() {
		e.send(e.Tick(e.emulator.now))
		e.schedule()
	})
}

func (e *Endpoint) send(packets [][]byte) {
	for _, p := range packets {
		if !e.emulator.lost() && !e.emulator.acceptanceLost(p) {
			e.emulator.toCaller(p)
		}
	}
}

// recipient returns the endpoint number that a datagram starts with.
func recipient(datagram []byte) (n uint64) {
	for _, b := range datagram[:platform.RecipientBytes] {
		n = n<<8 | uint64(b)
	}
	return n
}

// endpointID returns an ID with the number in hexadecimal.
func endpointID(n uint64) string {
	const digits = "0123456789abcdef"
	b := []byte("i-00000000")
	for i := len(b) - 1; n > 0; i-- {
		b[i] = digits[n%16]
		n /= 16
	}
	return string(b)
}

// NopObserver is a relay.Observer that does nothing.
type NopObserver struct{}

// The methods of relay.Observer.

func (NopObserver) Placed(time.Duration, relay.Placement)                     {}
func (NopObserver) Rejected(time.Duration, relay.Placement, relay.Rejection)  {}
func (NopObserver) Dropped(time.Duration, catalog.Flow, relay.Drop)           {}
func (NopObserver) Ended(time.Duration, relay.Ending)                         {}
func (NopObserver) TakenOver(time.Duration, catalog.Flow, *catalog.Entry)     {}
func (NopObserver) OpenElsewhere(time.Duration, catalog.Flow, *catalog.Entry) {}
func (NopObserver) Contested(time.Duration, catalog.Flow, *catalog.Entry, catalog.Token) {
}
func (NopObserver) Suspected(time.Duration, catalog.Flow, *balance.Endpoint, time.Duration) {}
func (NopObserver) Recovered(time.Duration, *balance.Endpoint)                              {}
func (NopObserver) PresumedCold(time.Duration, *balance.Endpoint, time.Duration, bool)      {}
func (NopObserver) FailingChanged(time.Duration, *balance.Endpoint, bool, float64)          {}
func (NopObserver) Accepted(time.Duration)                                                  {}
func (NopObserver) Answered(time.Duration)                                                  {}
