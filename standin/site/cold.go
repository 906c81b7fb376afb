package site

import (
	"fmt"
	"time"
)

// How endpoints start if Options.ColdStarts is set, and the bound of the new flows at a
// cold endpoint.
const (
	// coldFor is how long an endpoint is cold after its start, coldPerSecond the number
	// of requests a second that it bears meanwhile: so few that the limit is below
	// what each endpoint of either service gets at 150 requests a second.
	coldFor       = 3 * time.Second
	coldPerSecond = 1
	coldFactor    = 1.5
	coldAllowance = 2
)

// coldLimit returns the maximum number of new flows at a cold endpoint within a second.
func coldLimit() int {
	limit := coldPerSecond*coldFactor + coldAllowance
	return int(limit)
}

// coldStart tracks an endpoint that has started.
type coldStart struct {
	until time.Duration
	// opened holds the times of the new flows of the last second.
	opened   []time.Duration
	reported bool
}

// startCold makes the endpoint cold as of now if the site's endpoints start cold.
func (e *Endpoint) startCold() {
	e.cold = coldStart{}
	if e.site.Options.ColdStarts {
		e.cold.until = e.site.now() + coldFor
	}
}

// ExpectCold makes the check treat the endpoint as cold for a span; hosts are not told.
func (e *Endpoint) ExpectCold(span time.Duration) { e.cold = coldStart{until: e.site.now() + span} }

// coldRemaining returns how much longer the endpoint is cold.
func (e *Endpoint) coldRemaining() time.Duration { return max(0, e.cold.until-e.site.now()) }

// countNewFlow counts a new flow at the endpoint and records a violation if it is cold
// and has got too many within a second.
func (e *Endpoint) countNewFlow(now time.Duration) {
	c := &e.cold
	if now >= c.until {
		return
	}
	for len(c.opened) > 0 && c.opened[0] <= now-time.Second {
		c.opened = c.opened[1:]
	}
	c.opened = append(c.opened, now)
	if len(c.opened) > coldLimit() && !c.reported {
		c.reported = true
		e.site.Result.recordViolation(now, fmt.Sprintf("cold endpoint %s got %d new flows within a second", e.id, len(c.opened)))
	}
}

// RestartDomain ends all usable endpoints of a domain together, and starts them together
// after the span. Their entries are written up to the delay later.
func (s *Site) RestartDomain(domain string, span, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.endpoints {
		if e.domain == domain && e.Usable() {
			e.entryDelay = delay
			e.Crash(span)
		}
	}
}
