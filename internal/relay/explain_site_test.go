package relay

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"toucangap/internal/balance"
	"toucangap/internal/catalog"
	"toucangap/internal/coldstart"
	"toucangap/internal/segment"
)

// site is a harness to which random events happen. Two sites to which the same events
// happen are alike unless a query changes one of them.
type site struct {
	*harness
	features siteFeatures
	ports    uint16
	// second is set if the next SYN goes to the address of the second route.
	second   bool
	hosts    int
	isolated bool
	// probes counts the questions for which the store may be probed.
	probes   int
	viewAge  time.Duration
	registry coldstart.Registry
	known    *coldstart.Hosts
}

// siteFeatures are what a configuration or settings enable.
type siteFeatures struct{ coldLimit, spillover, shares, isolation bool }

func drawFeatures(t *rapid.T) siteFeatures {
	return siteFeatures{
		rapid.Bool().Draw(t, "cold limit"), rapid.Bool().Draw(t, "spillover"),
		rapid.Bool().Draw(t, "shares"), rapid.Bool().Draw(t, "isolation"),
	}
}

// secondTarget is the address of a route of less urgent flows.
var secondTarget = catalog.Address{IP: target.IP, Port: target.Port + 1}

func newSite(t testing.TB, features siteFeatures) *site {
	s := &site{harness: newHarness(t, 0), features: features, hosts: 1}
	o := Options{
		Domain: "d", MaxFlows: 1000, FlowLifetime: lifetime, Output: s, Observer: s,
		Hosts: func() int { return s.hosts }, Spillover: features.spillover, RouteShares: features.shares,
	}
	if features.isolation {
		o.Isolated = func(probe bool) bool {
			if probe {
				s.probes++
			}
			return s.isolated
		}
	}
	if features.coldLimit {
		o.Cold = coldstart.Rules{
			Host: siteHost(0), Hosts: func() *coldstart.Hosts { return s.known },
			ViewAge: func() time.Duration { return s.viewAge }, MaxViewAge: 2 * time.Second, Bounds: coldstart.Bounds{Factor: 1, Allowance: 1},
		}
		s.register(0, siteHost(0))
		s.register(0, siteHost(1))
	}
	s.relay = New(o, 0)
	s.configure("s")
	return s
}

func siteHost(n int) coldstart.Host {
	return coldstart.Host{Name: fmt.Sprintf("host-%d", n), Domain: "d"}
}

func (s *site) register(now time.Duration, h coldstart.Host) {
	s.registry.Put(now, h)
	s.known = s.registry.Snapshot()
}

// configure publishes a configuration whose services limit flows to cold endpoints, with
// a second route to the last service.
func (s *site) configure(services ...string) {
	s.harness.configure(services...)
	c := s.directory.Configuration()
	c.ColdStarts = map[string]catalog.ColdStart{"s": {For: coldFor, PerSecond: 3}}
	if len(c.Routes) > 0 {
		second := c.Routes[len(c.Routes)-1]
		second.Name, second.Address, second.Priority = "less urgent", secondTarget, 3
		c.Routes = append(c.Routes, second)
	}
	s.publish()
}

// flow returns the key of a port's flow to the route that the next SYN goes to.
func (s *site) flow(port uint16) catalog.Flow {
	key := flowOf(port)
	if s.second {
		key.Destination = secondTarget
	}
	return key
}

// action is a random event.
type action struct {
	kind  string
	n     int
	port  uint16
	after time.Duration
}

var stepKinds = []string{
	"syn", "syn", "syn", "syn", "syn", "answer", "answer", "answer", "advance", "advance", "put", "put", "drain", "remove",
	"evacuate", "end evacuation", "fail", "report", "lag", "resume", "hosts", "configure", "remove route", "stop holding",
	"load", "load", "isolate", "isolate", "unanswered", "register", "age",
}

func drawStep(t *rapid.T) action {
	return action{
		kind:  rapid.SampledFrom(stepKinds).Draw(t, "kind"),
		n:     rapid.IntRange(0, 5).Draw(t, "n"),
		port:  uint16(rapid.IntRange(0, 40).Draw(t, "port")),
		after: time.Duration(rapid.SampledFrom([]int{1, 5, 26, 60, 300, 1500}).Draw(t, "after")) * ms,
	}
}

func (s *site) endpoint(n int) catalog.Endpoint {
	e := catalog.Endpoint{ID: fmt.Sprintf("i-%d", n), Domain: []string{"d", "d", "far"}[n%3], Slots: 1 + n%2}
	if n == 4 {
		e.ColdFor = time.Second
	}
	return e
}

// apply makes an event other than a SYN happen.
func (s *site) apply(e action) {
	id, domain := fmt.Sprintf("i-%d", e.n), []string{"d", "far"}[e.n%2]
	known := s.relay.endpoints[catalog.TokenOf(id)]
	switch e.kind {
	case "answer":
		s.answer(e.port)
	case "advance":
		s.advance(e.after)
	case "put":
		s.put(s.endpoint(e.n))
	case "drain":
		draining := s.endpoint(e.n)
		draining.Draining = true
		s.put(draining)
	case "remove":
		s.remove(id)
	case "evacuate":
		s.evacuate(domain)
	case "end evacuation":
		s.endEvacuation(domain)
	case "fail":
		for range 8 {
			if known != nil {
				known.RecordOutcome(s.now, true, &s.relay.service("s").observed)
			}
		}
	case "report":
		if known != nil {
			known.SetReported(s.now, balance.Tally{Answers: 10, Failed: float64(e.port % 10)})
		}
	case "lag":
		s.relay.SetLagging(s.now, e.n == 0)
	case "resume":
		s.relay.Resume(s.now)
	case "hosts":
		s.hosts = 1 + e.n
	case "configure":
		s.configure([]string{"s", "other"}[min(e.n/5, 1)])
	case "remove route":
		if e.n == 0 {
			s.configure()
		}
	case "stop holding":
		if e.n == 0 && e.port == 0 {
			s.relay.StopHolding(s.now)
		}
	default:
		s.applyToFeatures(e, domain)
	}
}

// applyToFeatures makes an event happen that matters to one of the features.
func (s *site) applyToFeatures(e action, domain string) {
	switch e.kind {
	case "load":
		s.load(domain, e.after)
	case "isolate":
		s.isolated = e.n > 1
	case "unanswered":
		for _, known := range s.relay.endpoints {
			if known.Entry.Domain == domain {
				known.RecordUnansweredSYN(s.now, s.now, &s.relay.service("s").observed)
			}
		}
	case "register":
		if s.features.coldLimit {
			s.register(s.now, siteHost(e.n))
		}
	case "age":
		s.viewAge = time.Duration(e.n/4) * 3 * time.Second
	}
}

// load records answers of one domain's endpoints that take the given time, and short ones
// of the other domain, for long enough to change the share that leaves.
func (s *site) load(domain string, took time.Duration) {
	spill := s.relay.service("s").spill
	if spill == nil {
		return
	}
	for range 5 {
		s.advance(60 * ms)
		for _, d := range []string{"d", "far"} {
			answer := 20 * ms
			if d == domain {
				answer = took
			}
			for range 8 {
				spill.controller.RecordAnswer(s.now, d, answer, time.Second)
			}
		}
		spill.controller.Leaves(s.now, 0)
	}
}

// answer completes the handshake of a port's flow and its request.
func (s *site) answer(port uint16) {
	f := s.relay.flows[s.flow(port)]
	if f == nil || f.endpoint == nil {
		return
	}
	packet := segment.Segment{Flow: f.key, Token: f.endpoint.Entry.Token(), Sequence: 1001, Acknowledgement: 5001, Ack: true, DataBytes: 10}
	s.packet(packet)
	s.advance(8 * ms)
	packet.Acknowledgement, packet.DataBytes = 6001, 0
	s.packet(packet)
	packet.Sequence, packet.Fin = 1011, true
	s.packet(packet)
}

// state returns a copy of what decisions depend on.
func (s *site) state() map[any]any {
	all := map[any]any{"probes": s.probes}
	for name, sv := range s.relay.services {
		c := *sv
		c.spill, c.shares = sv.spill.clone(), sv.shares.Clone()
		if c.cold = nil; sv.cold != nil {
			all[name+" is cold until"] = sv.cold.until
			for token, e := range sv.cold.endpoints {
				// Whether the gate has changed shows in what it allows afterwards.
				all[fmt.Sprint(name, " ", token)] = coldEndpoint{
					entry: e.entry, presumedUntil: e.presumedUntil, silent: e.silent,
					silentSince: e.silentSince, silentAt: e.silentAt, silentEntry: e.silentEntry,
				}
			}
		}
		all[name] = c
	}
	for token, e := range s.relay.endpoints {
		all[token] = *e
	}
	for key, f := range s.relay.flows {
		all[key] = *f
	}
	return all
}

// nextSYN sends the SYN of a new flow and returns what was sent and recorded.
func (s *site) nextSYN() (sent, events []string) {
	s.drain()
	s.packet(segment.Segment{Flow: s.flow(s.ports), Sequence: 1000, Syn: true})
	return s.drain()
}
