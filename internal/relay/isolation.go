package relay

import (
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

// lastResort returns the evacuated endpoints of the host's domain if a new flow may go
// there, else nil. It answers a domain that is cut off after it was evacuated: its callers
// reach only its own hosts, and these only its own endpoints. An evacuation binds hosts in
// contact with the store; one that has lost it, and whose SYNs to the other domains are
// unanswered, serves what it can.
func (r *Relay) lastResort(sv *service) []*balance.Endpoint {
	if len(sv.evacuatedHome) == 0 || len(sv.candidates) == 0 || r.options.Isolated == nil || !r.options.Isolated() {
		return nil
	}
	if mostlyAnswer(sv.candidates) {
		return nil
	}
	return sv.evacuatedHome
}

// mostlyAnswer reports whether at least half of the endpoints have no unanswered SYN.
func mostlyAnswer(list []*balance.Endpoint) bool {
	answering := 0
	for _, e := range list {
		if e.UnansweredSYNs() == 0 {
			answering++
		}
	}
	return answering > 0 && 2*answering >= len(list)
}

// recordEvacuation counts a new flow of a service with evacuated endpoints.
func (r *Relay) recordEvacuation(e *balance.Endpoint) {
	if r.view.Evacuated(e.Entry.Domain) {
		r.stats.LastResort++
		return
	}
	r.stats.Diverted++
}
