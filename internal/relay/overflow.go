package relay

import (
	"time"

	"toucangap/internal/balance"
)

// overflow is the state of a service's flows to one other failure domain.
type overflow struct {
	domain string
	limit  balance.Overflow
	// inFlight counts the flows there whose request waits for its answer.
	inFlight int
	// endpoints are the service's candidates there.
	endpoints []*balance.Endpoint
}

// updateOverflows sorts the candidates by domain. Records of domains without candidates
// stay, since flows refer to them.
func (p *spill) updateOverflows(candidates []*balance.Endpoint) {
	for _, o := range p.overflows {
		o.endpoints = o.endpoints[:0]
	}
	for _, e := range candidates {
		if p.controller.Home(e.Entry.Domain) {
			continue
		}
		o := p.overflow(e.Entry.Domain)
		if o == nil {
			o = &overflow{domain: e.Entry.Domain}
			p.overflows = append(p.overflows, o)
		}
		o.endpoints = append(o.endpoints, e)
	}
}

// overflow returns the record of another domain, or nil.
func (p *spill) overflow(domain string) *overflow {
	for _, o := range p.overflows {
		if o.domain == domain {
			return o
		}
	}
	return nil
}

// overflowOf returns the record that a flow to the endpoint counts in, nil if it counts in
// the service: with spillover off, at home, or if all flows leave for lack of a home.
func (r *Relay) overflowOf(sv *service, e *balance.Endpoint) *overflow {
	if !r.spills(sv) {
		return nil
	}
	return sv.spill.overflow(e.Entry.Domain)
}

// overflowWithRoom returns the other domain to which a flow of the service goes that would
// have to wait in the host's domain: the one with most room, nil if none has any.
func (r *Relay) overflowWithRoom(now time.Duration, sv *service) *overflow {
	if !r.spills(sv) || r.holdsNothing() {
		return nil
	}
	if sv.cold != nil && now < sv.cold.until {
		// Some endpoints may take no flow of this host.
		return nil
	}
	var best *overflow
	most := 0.0
	for _, o := range sv.spill.overflows {
		if !o.limit.Room(now, o.inFlight) || sv.spill.controller.CutOff(now, o.domain) || !mostlyAnswer(now, o.endpoints) {
			continue
		}
		if room := o.limit.Limit(now) - float64(o.inFlight); best == nil || room > most {
			best, most = o, room
		}
	}
	return best
}

// mayLeaveFor reports whether a flow that would not have to wait at home may go to the
// endpoint: while the endpoints at home are congested, those of other domains may be, too.
func (r *Relay) mayLeaveFor(now time.Duration, sv *service, e *balance.Endpoint) bool {
	o := r.overflowOf(sv, e)
	return o == nil || !sv.window.Closed() || o.limit.Room(now, o.inFlight)
}

// recordOverflowAnswer records the time to an answer of another domain.
func (r *Relay) recordOverflowAnswer(now time.Duration, f *flow) {
	sv := f.service
	wait := sv.window.Congested(f.answerTime-sv.spill.controller.Distance(f.overflow.domain), f.valuable())
	f.overflow.limit.RecordAnswer(now, wait, f.overflow.inFlight)
}
