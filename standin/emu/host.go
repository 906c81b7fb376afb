package emu

import (
	"time"

	"toucangap/internal/balance"
	"toucangap/internal/catalog"
	"toucangap/internal/relay"
	"toucangap/platform"
	"toucangap/standin/ends"
)

// Host is an emulated host with its relay.
type Host struct {
	world  *World
	index  int
	Domain string
	relay  *relay.Relay
	up     bool
	// inRotation reports whether routers send to the host.
	inRotation bool
	frozen     bool
	backlog    [][]byte
	timer      timer
}

func (w *World) addHost(domain string) *Host {
	h := &Host{world: w, index: len(w.hosts), Domain: domain, inRotation: true}
	h.timer.world = w
	w.hosts = append(w.hosts, h)
	h.boot()
	return h
}

// Hosts returns all hosts.
func (w *World) Hosts() []*Host { return w.hosts }

// boot starts the host's relay with no state but the view.
func (h *Host) boot() {
	o := h.world.Config.Options
	o.Domain = h.Domain
	o.Output = h
	if o.Observer == nil {
		o.Observer = NopObserver{}
	}
	if o.MaxFlows == 0 {
		o.MaxFlows = 100_000
	}
	if o.FlowLifetime == 0 {
		o.FlowLifetime = time.Minute
	}
	h.relay = relay.New(o, h.world.now)
	h.relay.SetView(h.world.now, h.world.directory.View(h.world.now))
	h.up = true
}

// Stats returns the counters of the host's relay.
func (h *Host) Stats() relay.Stats { return h.relay.Stats() }

// rotationDelay is the time until routers detect that a host has stopped.
const rotationDelay = time.Second

// Kill stops the host's relay; routers detect it after rotationDelay. The relay
// restarts after the span if that is above 0.
func (h *Host) Kill(span time.Duration) {
	h.up = false
	w := h.world
	w.At(w.now+rotationDelay, func() { h.inRotation = h.up })
	if span <= 0 {
		return
	}
	w.At(w.now+span, func() {
		h.boot()
		w.At(w.now+rotationDelay/2, func() { h.inRotation = h.up })
	})
}

// Freeze suspends the host for a span and queues packets that arrive meanwhile.
func (h *Host) Freeze(span time.Duration) {
	h.frozen = true
	h.world.At(h.world.now+span, func() {
		h.frozen = false
		h.relay.Resume(h.world.now)
		backlog := h.backlog
		h.backlog = nil
		for _, p := range backlog {
			h.receive(p)
		}
		h.schedule()
	})
}

// route returns the host that routers select for a flow of a domain.
func (w *World) route(f catalog.Flow, domain string) *Host {
	if h := w.best(f, func(h *Host) bool { return h.Domain == domain && h.inRotation }); h != nil {
		return h
	}
	return w.best(f, func(h *Host) bool { return h.inRotation })
}

func (w *World) best(f catalog.Flow, usable func(*Host) bool) (best *Host) {
	var top uint64
	for _, h := range w.hosts {
		score := (f.Hash() ^ uint64(h.index+1)*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
		score ^= score >> 29
		if usable(h) && (best == nil || score > top) {
			best, top = h, score
		}
	}
	return best
}

// fromCaller delivers a caller's packet to the host that routers select.
func (w *World) fromCaller(c *caller, f catalog.Flow, packet []byte) {
	if w.lost() {
		return
	}
	w.At(w.now+w.Config.CallerDelay, func() {
		if h := w.route(f, c.domain); h != nil && h.up {
			h.receive(packet)
		}
	})
}

func (h *Host) receive(packet []byte) {
	if h.frozen {
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
	h.relay.Packet(h.world.now, s, frame)
	h.schedule()
}

func (h *Host) schedule() {
	due, ok := h.relay.NextDue()
	h.timer.schedule(max(due, h.world.now), ok, func() {
		if h.up && !h.frozen {
			h.relay.Tick(h.world.now)
			h.schedule()
		}
	})
}

// Forward implements relay.Output.
func (h *Host) Forward(e *catalog.Entry, frame []byte) {
	w := h.world
	datagram := append([]byte(nil), frame...)
	platform.AddressFrame(datagram, e.Number, e.Token())
	if w.lost() {
		return
	}
	to := w.endpointAt(e.Address)
	if to == nil {
		return
	}
	w.At(w.now+w.delay(h.Domain, to.domain), func() { to.receive(datagram) })
}

// Reset implements relay.Output.
func (h *Host) Reset(f catalog.Flow, lastAcknowledgement uint32) {
	h.world.toCaller(platform.AppendReset(nil, f, lastAcknowledgement))
}

// Endpoint is an emulated endpoint with its domain and catalog entry.
type Endpoint struct {
	ends.Endpoint
	world  *World
	domain string
	entry  *catalog.Endpoint
	timer  timer
}

// AddEndpoint starts an endpoint and announces it to all hosts at once.
func (w *World) AddEndpoint(g EndpointGroup, domain string) *Endpoint {
	n := uint64(len(w.endpoints) + 1)
	e := &Endpoint{world: w, domain: domain}
	e.timer.world = w
	e.Endpoint = ends.Endpoint{Number: n, Service: g.Service, Slots: g.Slots, Queue: g.Queue, Key: w.key, Ledger: w.Ledger, WorkFactor: 1}
	e.entry = &catalog.Endpoint{
		ID: endpointID(n), Number: n, Service: g.Service, Slots: g.Slots, Domain: domain,
		Address: catalog.Address{IP: 0x0a000000 + uint32(n), Port: 80},
	}
	w.endpoints = append(w.endpoints, e)
	w.putEntry(e)
	return e
}

func (w *World) putEntry(e *Endpoint) {
	w.revision++
	w.directory.PutEndpoint(w.now, e.entry, w.revision)
	w.publish()
}

// Endpoints returns the endpoints of a service.
func (w *World) Endpoints(service string) []*Endpoint {
	var found []*Endpoint
	for _, e := range w.endpoints {
		if e.Service == service {
			found = append(found, e)
		}
	}
	return found
}

// Crash makes the endpoint silent and discards its flows. Its entry expires after
// the given time; the endpoint restarts after the span if that is above 0.
func (e *Endpoint) Crash(expiry, span time.Duration) {
	w := e.world
	e.Restart()
	e.Down = true
	w.At(w.now+expiry, func() {
		if e.Down || e.Refuses {
			w.revision++
			w.directory.RemoveEndpoint(w.now, e.entry.ID, w.revision)
			w.publish()
		}
	})
	if span > 0 {
		w.At(w.now+span, func() {
			e.Down = false
			w.putEntry(e)
		})
	}
}

// CrashRefusing discards the endpoint's flows and makes it answer with resets until
// it restarts; its entry expires and returns as with Crash.
func (e *Endpoint) CrashRefusing(expiry, span time.Duration) {
	e.Crash(expiry, span)
	e.Down, e.Refuses = false, true
	e.world.At(e.world.now+span, func() { e.Refuses = false })
}

// Drain marks the endpoint as draining; it continues to serve.
func (e *Endpoint) Drain(bound time.Duration) {
	draining := *e.entry
	draining.Draining = true
	e.entry = &draining
	e.DrainDeadline = e.world.now + bound
	e.world.putEntry(e)
}

func (w *World) endpointAt(a catalog.Address) *Endpoint {
	n := int(a.IP - 0x0a000000)
	if n < 1 || n > len(w.endpoints) {
		return nil
	}
	return w.endpoints[n-1]
}

func (e *Endpoint) receive(datagram []byte) {
	w := e.world
	e.send(e.Receive(w.now, intended(datagram), datagram[platform.RecipientBytes:]))
	e.schedule()
}

func (e *Endpoint) schedule() {
	due, ok := e.NextDue()
	e.timer.schedule(max(due, e.world.now), ok, func() {
		e.send(e.Tick(e.world.now))
		e.schedule()
	})
}

func (e *Endpoint) send(packets [][]byte) {
	for _, p := range packets {
		if !e.world.lost() {
			e.world.toCaller(p)
		}
	}
}

func intended(datagram []byte) (n uint64) {
	for _, b := range datagram[:platform.RecipientBytes] {
		n = n<<8 | uint64(b)
	}
	return n
}

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

func (NopObserver) Placed(time.Duration, relay.Placement)                    {}
func (NopObserver) Rejected(time.Duration, relay.Placement, relay.Rejection) {}
func (NopObserver) Dropped(time.Duration, catalog.Flow, relay.Drop)          {}
func (NopObserver) Ended(time.Duration, relay.Ending)                        {}
func (NopObserver) Adopted(time.Duration, catalog.Flow, *catalog.Entry)      {}
func (NopObserver) Contested(time.Duration, catalog.Flow, *catalog.Entry, catalog.Token) {
}
func (NopObserver) Suspected(time.Duration, catalog.Flow, *balance.Endpoint, time.Duration) {}
func (NopObserver) Recovered(time.Duration, *balance.Endpoint)                              {}
func (NopObserver) FailingChanged(time.Duration, *balance.Endpoint, bool, float64)          {}
func (NopObserver) Accepted(time.Duration)                                                  {}
func (NopObserver) Answered(time.Duration)                                                  {}
