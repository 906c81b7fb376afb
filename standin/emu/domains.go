package emu

import (
	"math"
	"time"

	"toucangap/internal/catalog"
)

// Evacuate publishes an operator's request to evacuate a failure domain to all hosts at
// once, EndEvacuation its removal.
func (em *Emulator) Evacuate(domain string) {
	em.revision++
	em.directory.Evacuate(domain, catalog.Position{Revision: em.revision})
	em.publish()
}

// EndEvacuation publishes the removal of a request to evacuate a failure domain.
func (em *Emulator) EndEvacuation(domain string) {
	em.revision++
	em.directory.EndEvacuation(em.now, domain, catalog.Position{Revision: em.revision})
	em.publish()
}

// RestartDomain ends all endpoints of a domain together and starts them after the span.
// They are cold then, as Config.ColdStarts states, and work is slowdown times as long
// meanwhile. Entries expire as with Crash.
func (em *Emulator) RestartDomain(domain string, expiry, span time.Duration, slowdown float64) {
	for _, e := range em.endpoints {
		if e.domain != domain || e.Down {
			continue
		}
		cold, factor := em.Config.ColdStarts[e.Service].For, e.WorkFactor
		restarted := *e.entry
		restarted.ColdFor, restarted.StartedUnixMs = cold, (em.now + span).Milliseconds()
		e.Crash(expiry, span)
		e.entry = &restarted
		e.WorkFactor = factor * slowdown
		em.At(em.now+span+cold, func() { e.WorkFactor = factor })
	}
}

// waveSteps is the number of steps in which a wave is played.
const waveSteps = 64

// Wave makes the load factor oscillate around 1 by the amplitude, from now until the load
// ends.
func (em *Emulator) Wave(amplitude float64, period time.Duration) {
	start := em.now
	var step func()
	step = func() {
		phase := 2 * math.Pi * float64(em.now-start) / float64(period)
		em.SetLoadFactor(1 + amplitude*math.Sin(phase))
		if em.now < em.stopAt {
			em.At(em.now+period/waveSteps, step)
		}
	}
	em.At(start, step)
}

// moved is a share of the demand of one domain that has moved to another one.
type moved struct {
	to    string
	share float64
}

// MoveCallers makes a share of the requests that callers of one domain would start come
// from callers of another one from now on; 0 ends it.
func (em *Emulator) MoveCallers(from, to string, share float64) {
	em.moved[from] = moved{to, share}
}

// drawCaller draws the caller of a request.
func (em *Emulator) drawCaller() *caller {
	i := em.rng.IntN(len(em.callers))
	c := em.callers[i]
	m := em.moved[c.domain]
	if m.share == 0 || em.rng.Float64() >= m.share {
		return c
	}
	for d := range em.Config.Domains {
		if domainName(d) == m.to {
			return em.callers[d*callersPerDomain+i%callersPerDomain]
		}
	}
	return c
}
