package site

import "time"

// callersPerDomain is the number of caller addresses in each domain.
const callersPerDomain = 4

// stallLimit is the delay of the site's own work beyond which the report names it: the
// checks run in the same process.
const stallLimit = 250 * time.Millisecond

// harmfulStall is the delay after which hosts do not count as in touch: their packets and the
// store's responses have waited as long.
const harmfulStall = time.Second

// demand holds the current changes of the load.
type demand struct {
	// shiftShare of the requests come from callers of shiftDomain until shiftEnd,
	// instead of from all callers alike.
	shiftDomain int
	shiftShare  float64
	shiftEnd    time.Duration
	// burstClass has burstFactor times its requests until burstEnd, of which due ones
	// are not started yet.
	burstClass  *class
	burstFactor float64
	burstEnd    time.Duration
	due         float64
}

// ShiftCallers makes a share of all requests come from callers of one domain for a span.
func (s *Site) ShiftCallers(domain int, share float64, span time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.demand.shiftDomain, s.demand.shiftShare, s.demand.shiftEnd = domain%s.Options.Domains, share, s.now()+span
}

// Burst multiplies the requests of one route for a span.
func (s *Site) Burst(route int, factor float64, span time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.demand.burstClass, s.demand.burstFactor, s.demand.burstEnd = &classes[route%len(classes)], factor, s.now()+span
}

// startRequests starts the requests that are due since the last call at the
// configured rate, if the load is on.
func (s *Site) startRequests(now time.Duration) {
	elapsed := now - s.lastTick
	if s.lastTick > 0 && elapsed > stallLimit {
		s.recordFault(now, "the soak's own process stalled for "+elapsed.String())
		if elapsed > harmfulStall {
			s.harmAll()
		}
	}
	s.lastTick = now
	if !s.loadOn {
		return
	}
	for s.dueRequests += elapsed.Seconds() * s.Options.Rate; s.dueRequests >= 1; s.dueRequests-- {
		s.startRequest(now, s.drawClass())
	}
	d := &s.demand
	if now >= d.burstEnd {
		return
	}
	for d.due += elapsed.Seconds() * s.Options.Rate * d.burstClass.share * (d.burstFactor - 1); d.due >= 1; d.due-- {
		s.startRequest(now, d.burstClass)
	}
}

// drawClass draws a class by the classes' shares.
func (s *Site) drawClass() *class {
	draw := s.rng.Float64()
	for i := range classes {
		if draw -= classes[i].share; draw < 0 {
			return &classes[i]
		}
	}
	return &classes[len(classes)-1]
}

func (s *Site) startRequest(now time.Duration, k *class) {
	s.requests++
	r := &request{class: k, id: s.requests, started: now}
	s.Result.started(now)
	s.drawCaller(now).startAttempt(r)
}

// drawCaller draws the caller of a request.
func (s *Site) drawCaller(now time.Duration) *caller {
	if now < s.demand.shiftEnd && s.rng.Float64() < s.demand.shiftShare {
		return s.callers[s.demand.shiftDomain*callersPerDomain+s.rng.IntN(callersPerDomain)]
	}
	return s.callers[s.rng.IntN(len(s.callers))]
}
