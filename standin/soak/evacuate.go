package soak

import (
	"fmt"
	"slices"
	"time"

	"toucangap/standin/kv"
	"toucangap/standin/site"
)

// Evacuations last minEvacuation to maxEvacuation; the spans of other faults are drawn
// from minSpan to maxSpan.
const (
	minEvacuation = 2 * time.Second
	maxEvacuation = 8 * time.Second
	minSpan       = 200 * time.Millisecond
	maxSpan       = 4 * time.Second
)

// minBurst is the least factor of a burst of requests of one route.
const minBurst = 2.5

// coldKinds lists the kinds of faults in which endpoints start cold; see drawColdStarts.
var coldKinds = []kind{
	{"domain-restarted", true, func(s *site.Site, f Fault) {
		s.RestartDomain(domain(s, f.Target), f.Span, entryDelay(f))
	}},
	{"evacuate-restart", true, evacuateAndRestart},
}

// entryDelay returns the time from the start of endpoints to their entries, up to 2 s.
func entryDelay(f Fault) time.Duration { return time.Duration(f.Level) * 20 * time.Millisecond }

// coldStarts reports whether endpoints start cold in the schedule.
func (s *Schedule) coldStarts() bool {
	return drawColdStarts || slices.ContainsFunc(s.Faults, func(f Fault) bool {
		return slices.ContainsFunc(coldKinds, func(k kind) bool { return k.name == f.Kind })
	})
}

// evacuationSpan converts the drawn span of a fault to that of an evacuation.
func evacuationSpan(drawn time.Duration) time.Duration {
	share := float64(drawn-minSpan) / float64(maxSpan-minSpan)
	return minEvacuation + time.Duration(share*float64(maxEvacuation-minEvacuation))
}

// domain returns the name of the domain with the number, modulo their number.
func domain(s *site.Site, n int) string { return fmt.Sprintf("d%d", n%s.Options.Domains) }

// evacuateSeveral evacuates all domains but one, or also that one.
func evacuateSeveral(s *site.Site, f Fault) {
	for i := range s.Options.Domains - 1 + f.Level%2 {
		s.Evacuate(domain(s, f.Target+i), f.Span)
	}
}

// evacuateUnstable evacuates a domain for three quarters of the span. For a third of the
// span the store is silent, busy or slow: before it accepts the key, just after that, or
// when the key is to be removed.
func evacuateUnstable(s *site.Site, f Fault) {
	faults := []kv.Faults{{Silent: true}, {Busy: true}, {Slow: 300 * time.Millisecond}}[f.Level%3]
	away := f.Span / 3
	disturb := func() {
		s.SuspendBounds(away)
		for _, h := range s.Hosts() {
			h.SuspendEvacuations(away)
			h.Harm(away)
		}
		s.Store.SetFaults(faults)
		time.AfterFunc(away, func() { s.Store.SetFaults(kv.Faults{}) })
	}
	switch f.Target % 3 {
	case 0:
		disturb()
	case 1:
		time.AfterFunc(100*time.Millisecond, disturb)
	case 2:
		time.AfterFunc(f.Span-away, disturb)
	}
	s.Evacuate(domain(s, f.Target/3), 3*f.Span/4)
}

// evacuateAndRestart evacuates a domain whose endpoints end meanwhile, and come back cold
// just before the evacuation ends.
func evacuateAndRestart(s *site.Site, f Fault) {
	name := domain(s, f.Target)
	s.Evacuate(name, f.Span)
	time.AfterFunc(f.Span/2, func() { s.RestartDomain(name, f.Span/2-200*time.Millisecond, entryDelay(f)/4) })
}

// separated returns the hosts that a fault pauses or separates from the store. The bound
// of evacuations does not bind these; it binds hosts that are killed, start, or have bad
// links to callers, endpoints and other hosts.
func separated(s *site.Site, f Fault) []*site.Host {
	switch f.Kind {
	case "pause", "store-cut", "store-half-cut", "store-reset", "store-slow-link":
		return []*site.Host{host(s, f)}
	case "store-busy", "store-silent", "store-slow", "store-loses", "store-restored", "store-deaf", "store-cuts":
		return s.Hosts()
	case "domain-cut":
		return slices.DeleteFunc(slices.Clone(s.Hosts()), func(h *site.Host) bool {
			return h.Domain() != f.Target%s.Options.Domains
		})
	}
	return nil
}
