package relay

import (
	"time"

	"toucangap/internal/balance"
	"toucangap/internal/catalog"
)

// addEvacuated notes an endpoint that is left out since its failure domain is evacuated.
func (r *Relay) addEvacuated(entry *catalog.Entry) {
	s := r.service(entry.Service)
	s.evacuated++
	if entry.Domain == r.options.Domain {
		s.evacuatedHome = append(s.evacuatedHome, r.endpoints[entry.Token()])
	}
}

const (
	// isolationSilence is how long no endpoint of the other domains may have shown that it
	// is alive, and isolationSYNs the number of those that left SYNs unanswered, from which
	// they count as unreachable. Hosts get answers of a domain many times a second.
	isolationSilence = 500 * time.Millisecond
	isolationSYNs    = 3
)

// lastResort returns the evacuated endpoints of the host's domain if a new flow may go
// there, else nil. It answers a domain that is cut off after it was evacuated: its callers
// reach only its own hosts, and these only its own endpoints. An evacuation binds hosts in
// contact with the store; one that has lost it, and that no other domain answers, serves
// what it can.
func (r *Relay) lastResort(now time.Duration, sv *service) []*balance.Endpoint {
	if len(sv.evacuatedHome) == 0 || len(sv.candidates) == 0 || r.options.Isolated == nil {
		return nil
	}
	unanswered := 0
	for _, e := range sv.candidates {
		if e.AliveSince(now - isolationSilence) {
			return nil
		}
		if e.UnansweredSYNs() > 0 {
			unanswered++
		}
	}
	if unanswered < min(isolationSYNs, len(sv.candidates)) || !r.options.Isolated(!sv.preview) {
		return nil
	}
	return sv.evacuatedHome
}

// recordEvacuation counts a new flow of a service with evacuated endpoints.
func (r *Relay) recordEvacuation(e *balance.Endpoint) {
	if r.view.Evacuated(e.Entry.Domain) {
		r.stats.LastResort++
		return
	}
	r.stats.Diverted++
}
