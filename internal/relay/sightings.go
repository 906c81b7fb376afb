package relay

import (
	"time"

	"toucangap/internal/balance"
	"toucangap/internal/sighting"
)

// Sightings returns what this host has seen of endpoints that fail requests, to
// tell the others of its failure domain.
func (r *Relay) Sightings(now time.Duration) []sighting.Sighting {
	var list []sighting.Sighting
	for token, e := range r.endpoints {
		if t, ok := e.Tell(now, &r.service(e.Entry.Service).seen); ok {
			list = append(list, sighting.Sighting{Endpoint: token, Answers: t.Answers, Failed: t.Failed})
		}
	}
	return list
}

// Hear takes what the other hosts of the domain have seen, all together. What is
// not in the list any more counts no longer.
func (r *Relay) Hear(now time.Duration, list []sighting.Sighting) {
	for _, former := range r.heard {
		if e := r.endpoints[former.Endpoint]; e != nil {
			e.Hear(now, balance.Tally{})
		}
	}
	r.heard = list
	for _, s := range list {
		if e := r.endpoints[s.Endpoint]; e != nil {
			e.Hear(now, balance.Tally{Answers: s.Answers, Failed: s.Failed})
			r.noteTurn(now, e)
		}
	}
}

// noteTurn reports an endpoint that has begun or ceased to fail requests.
func (r *Relay) noteTurn(now time.Duration, e *balance.Endpoint) {
	s := &r.service(e.Entry.Service).seen
	if failing, turned := e.Turned(now, s); turned {
		r.options.Observer.Turned(now, e, failing, e.Failing(now, s))
	}
}
