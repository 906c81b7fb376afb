// Package soak injects random faults into a small deployment of real daemons and
// checks what callers, endpoints and the store observe. A seed determines the
// schedule of faults.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"time"

	"toucangap/standin/kv"
	"toucangap/standin/site"
)

// drawColdStarts is the switch for drawn schedules in which endpoints start cold: with it,
// the kinds of coldKinds are drawn, and all endpoints that start during a run are cold and
// checked. Seeds before the switch was turned on mean other schedules (docs/SOAK.md).
const drawColdStarts = true

// Fault is one fault of a schedule.
type Fault struct {
	// At is the time since the start of the load.
	At   time.Duration `json:"at"`
	Kind string        `json:"kind"`
	// Target selects the host, endpoint or domain, modulo their number; Span is the
	// duration.
	Target int           `json:"target"`
	Span   time.Duration `json:"span"`
	// Level is the severity, from 0 to 99.
	Level int `json:"level"`
}

// String returns a description of the fault.
func (f Fault) String() string {
	return fmt.Sprintf("%s of %d for %s, level %d", f.Kind, f.Target, f.Span, f.Level)
}

// kind is a kind of fault with the function that injects it.
type kind struct {
	name string
	// suspendsBounds means that checks with time bounds are suspended during the
	// fault and for some time after it.
	suspendsBounds bool
	inject         func(s *site.Site, f Fault)
}

// kinds lists the kinds of faults that are always drawn. Append new ones: the schedule of
// a seed depends on the order, and also on the number.
var kinds = []kind{
	{"stop", false, stopHost},
	{"kill", true, func(s *site.Site, f Fault) { host(s, f).Signal(syscall.SIGKILL) }},
	{"pause", true, pauseHost},
	{"reload", false, func(s *site.Site, f Fault) { host(s, f).Signal(syscall.SIGHUP) }},
	{"store-cut", true, func(s *site.Site, f Fault) { host(s, f).Store.Set(site.Impairment{CutUp: true, CutDown: true}, f.Span) }},
	{"store-half-cut", true, func(s *site.Site, f Fault) { host(s, f).Store.Set(site.Impairment{CutDown: true}, f.Span) }},
	{"store-reset", true, func(s *site.Site, f Fault) { host(s, f).Store.Set(site.Impairment{Reset: true, Refuse: true}, f.Span) }},
	{"store-slow-link", true, func(s *site.Site, f Fault) {
		host(s, f).Store.Set(site.Impairment{Delay: time.Duration(f.Level) * 10 * time.Millisecond}, f.Span)
	}},
	{"store-busy", true, storeFault(func(Fault) kv.Faults { return kv.Faults{Busy: true} })},
	{"store-silent", true, storeFault(func(Fault) kv.Faults { return kv.Faults{Silent: true} })},
	{"store-slow", true, storeFault(func(f Fault) kv.Faults {
		return kv.Faults{Slow: time.Duration(f.Level) * 3 * time.Millisecond}
	})},
	{"store-loses", true, storeFault(func(f Fault) kv.Faults { return kv.Faults{LoseWrites: f.Level} })},
	{"store-forgets", true, func(s *site.Site, _ Fault) { s.Store.Compact() }},
	{"packets-harmed", true, func(s *site.Site, f Fault) {
		host(s, f).Packets.Set(site.Impairment{Loss: f.Level / 10, Duplicate: f.Level / 5, Reorder: f.Level / 5}, f.Span)
	}},
	{"packets-cut", true, func(s *site.Site, f Fault) { host(s, f).Packets.Set(site.Impairment{CutUp: true}, f.Span) }},
	{"endpoint-crash", true, endpointFault(func(e *site.Endpoint, f Fault) { e.Crash(f.Span) })},
	{"endpoint-drain", false, endpointFault(func(e *site.Endpoint, _ Fault) { e.Drain() })},
	{"endpoint-slow", false, endpointFault(func(e *site.Endpoint, f Fault) { e.SlowDown(1 + float64(f.Level)/20) })},
	{"endpoint-link", true, endpointFault(func(e *site.Endpoint, f Fault) {
		e.ImpairLink(site.Impairment{Loss: f.Level / 4, Duplicate: f.Level / 5, Reorder: f.Level / 5}, f.Span)
	})},
	{"endpoint-cut", true, endpointFault(func(e *site.Endpoint, f Fault) { e.ImpairLink(site.Impairment{CutUp: true}, f.Span) })},
	{"endpoint-added", false, addEndpoint},
	{"configure", false, func(s *site.Site, _ Fault) { s.Configure() }},
	{"configure-storm", false, configureStorm},
	{"kill-all", true, func(s *site.Site, _ Fault) {
		for _, h := range s.Hosts() {
			h.Signal(syscall.SIGKILL)
		}
	}},
	{"feed-cut", true, feedFault(site.Impairment{CutUp: true, CutDown: true})},
	{"feed-half-cut", true, feedFault(site.Impairment{CutDown: true})},
	{"feed-reset", true, feedFault(site.Impairment{Reset: true, Refuse: true})},
	{"feed-slow-link", true, func(s *site.Site, f Fault) {
		host(s, f).Feed.Set(site.Impairment{Delay: time.Duration(f.Level) * 10 * time.Millisecond}, f.Span)
	}},
	{"domain-cut", true, cutDomain},
	{"endpoint-errs", false, endpointFault(func(e *site.Endpoint, f Fault) { e.FailRequests(uint8(f.Level), 0, f.Span) })},
	{"endpoint-hangs", false, endpointFault(func(e *site.Endpoint, f Fault) { e.FailRequests(0, uint8(f.Level), f.Span) })},
	{"kill-again", true, killAgain},
	{"stop-all-in-turn", false, stopInTurn},
	{"store-restored", true, restoreStore},
	{"evacuate", false, func(s *site.Site, f Fault) { s.Evacuate(domain(s, f.Target), f.Span) }},
	{"evacuate-several", false, evacuateSeveral},
	{"evacuate-unknown", false, func(s *site.Site, f Fault) { s.Evacuate("no-such-domain", f.Span) }},
	{"evacuate-unstable", false, evacuateUnstable},
	{"callers-shift", false, func(s *site.Site, f Fault) {
		s.ShiftCallers(f.Target, float64(f.Level)/100, f.Span)
	}},
	{"route-burst", false, func(s *site.Site, f Fault) {
		s.Burst(f.Target, minBurst+float64(f.Level)/40, f.Span)
	}},
}

// restoreStore makes the store silent for a part of the span and then brings it back
// from a copy that is up to 5 s old. A store that states no incarnation loses nothing.
func restoreStore(s *site.Site, f Fault) {
	s.Store.SetFaults(kv.Faults{Silent: true, Pause: true})
	time.AfterFunc(f.Span/4, func() {
		if !s.Store.StatesIncarnation() {
			s.Store.SetFaults(kv.Faults{})
			return
		}
		s.RestoreStore(time.Duration(f.Level) * 50 * time.Millisecond)
		s.Store.SetFaults(kv.Faults{})
	})
}

// feedFault impairs the feeds from other hosts to a host.
func feedFault(imp site.Impairment) func(*site.Site, Fault) {
	return func(s *site.Site, f Fault) { host(s, f).Feed.Set(imp, f.Span) }
}

// cutDomain blocks the connections of a domain's hosts to the store and the feeds
// that other hosts open to them; callers and endpoints still reach them.
func cutDomain(s *site.Site, f Fault) {
	cut := site.Impairment{CutUp: true, CutDown: true}
	for _, h := range s.Hosts() {
		if h.Domain() == f.Target%s.Options.Domains {
			h.Store.Set(cut, f.Span)
			h.Feed.Set(cut, f.Span)
		}
	}
}

// killAgain kills a host several times, including during startup.
func killAgain(s *site.Site, f Fault) {
	h := host(s, f)
	for i := range 2 + f.Level/25 {
		time.AfterFunc(time.Duration(i)*(100+time.Duration(f.Level))*time.Millisecond, func() { h.Signal(syscall.SIGKILL) })
	}
}

// stopInTurn shuts down the hosts of a domain gracefully, 500 ms after each other.
func stopInTurn(s *site.Site, f Fault) {
	for i, h := range s.Hosts() {
		if h.Domain() == f.Target%s.Options.Domains {
			time.AfterFunc(time.Duration(i)*500*time.Millisecond, func() { stopHost(s, Fault{Target: i}) })
		}
	}
}

// kindNamed returns the kind with the name. It panics if there is none.
func kindNamed(name string) kind {
	all := slices.Concat(kinds, coldKinds, storeKinds)
	i := slices.IndexFunc(all, func(k kind) bool { return k.name == name })
	return all[i]
}

// Schedule lists the faults of one seed in order of time.
type Schedule struct {
	Seed   uint64  `json:"seed"`
	Faults []Fault `json:"faults"`
	// Conditions are those of the store during the whole run.
	Conditions Conditions `json:"conditions"`
}

// maxFaults is the maximum number of faults in a schedule.
const maxFaults = 14

// NewSchedule draws faults from the seed. They start within the span, which begins
// 1 s after the start of the load, and may overlap. With storeKinds a seed means another
// schedule than without, as more kinds are drawn, and conditions of the store.
func NewSchedule(seed uint64, span time.Duration, storeKinds bool) Schedule {
	rng := rand.New(rand.NewPCG(seed, 4))
	s := Schedule{Seed: seed}
	drawn := drawnKinds(storeKinds)
	for range 3 + rng.IntN(maxFaults-2) {
		f := Fault{
			At:     time.Second + time.Duration(rng.Int64N(int64(span))),
			Kind:   drawn[rng.IntN(len(drawn))].name,
			Target: rng.IntN(1000),
			Span:   time.Duration(200+rng.IntN(3800)) * time.Millisecond,
			Level:  rng.IntN(100),
		}
		if strings.HasPrefix(f.Kind, "evacuate") {
			f.Span = evacuationSpan(f.Span)
		}
		s.Faults = append(s.Faults, f)
	}
	slices.SortFunc(s.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	if storeKinds {
		s.Conditions = drawConditions(seed)
	}
	return s
}

// drawnKinds returns the kinds of which schedules are drawn.
func drawnKinds(withStoreKinds bool) []kind {
	drawn := kinds
	if drawColdStarts {
		drawn = slices.Concat(drawn, coldKinds)
	}
	if withStoreKinds {
		drawn = slices.Concat(drawn, storeKinds)
	}
	return drawn
}

// host returns the host that the fault selects.
func host(s *site.Site, f Fault) *site.Host { return s.Hosts()[f.Target%len(s.Hosts())] }

// stopHost shuts the host down gracefully, unless it is already stopping or paused,
// and records a violation if that takes longer than site.StopBound.
func stopHost(s *site.Site, f Fault) {
	h := host(s, f)
	h.Harm(0)
	go func() {
		if h.Running() && !h.Stop() {
			s.RecordViolation("graceful shutdown of " + h.Name + " took too long")
		}
	}()
}

func pauseHost(s *site.Site, f Fault) {
	h := host(s, f)
	h.Pause(f.Span)
}

// storeFault injects faults into the store, for all hosts, for a span.
func storeFault(faults func(Fault) kv.Faults) func(*site.Site, Fault) {
	return func(s *site.Site, f Fault) {
		s.Store.SetFaults(faults(f))
		time.AfterFunc(f.Span, func() { s.Store.SetFaults(kv.Faults{}) })
	}
}

// minUsableEndpoints is the number of usable endpoints that endpointFault leaves to
// each service.
const minUsableEndpoints = 2

// endpointFault injects a fault into an endpoint unless its service would have too
// few usable ones left.
func endpointFault(inject func(*site.Endpoint, Fault)) func(*site.Site, Fault) {
	return func(s *site.Site, f Fault) {
		var usable []*site.Endpoint
		byService := make(map[string]int)
		s.Endpoints(func(e *site.Endpoint) {
			if e.Usable() {
				usable = append(usable, e)
				byService[e.Service]++
			}
		})
		if len(usable) == 0 {
			return
		}
		e := usable[f.Target%len(usable)]
		if byService[e.Service] <= minUsableEndpoints {
			return
		}
		s.Locked(func() { inject(e, f) })
	}
}

// addEndpoint starts an endpoint of a service and in a domain that the fault selects.
func addEndpoint(s *site.Site, f Fault) {
	services := []string{"main", "other"}
	if _, err := s.AddEndpoint(services[f.Target%2], domain(s, f.Level)); err != nil {
		s.RecordViolation("endpoint failed to start: " + err.Error())
	}
}

// configureStorm writes 5 to 14 configurations, 100 ms after each other.
func configureStorm(s *site.Site, f Fault) {
	for i := range 5 + f.Level/10 {
		time.AfterFunc(time.Duration(i)*100*time.Millisecond, s.Configure)
	}
}
