package relay

import (
	"time"

	"toucangap/internal/balance"
	"toucangap/internal/catalog"
	"toucangap/internal/segment"
)

const (
	// domainObservation is how long a host observes before it considers a failure domain
	// unreachable, from its start and from the end of a time in which it lagged or was
	// paused.
	domainObservation = time.Second
	// firstRepeat is the time after which a caller repeats data that was not acknowledged;
	// the time doubles with each further copy. repeatMargin allows for delays.
	firstRepeat  = 200 * time.Millisecond
	repeatMargin = 50 * time.Millisecond
	// minRepeatGap tells the second and later copies from the first one. Endpoints
	// acknowledge a copy at once, but a single packet only with its answer, so that a first
	// copy shows no more than that the answer takes longer than firstRepeat.
	minRepeatGap = 300 * time.Millisecond
	// domainResetInterval is the least time between searches of the flow table for flows
	// of one unreachable domain.
	domainResetInterval = 50 * time.Millisecond
)

// domain is the state of a failure domain.
type domain struct {
	balance.Domain
	// searchedAt is when its flows were last searched for.
	searchedAt time.Duration
}

// DomainState describes a failure domain that has become unreachable or reachable.
type DomainState struct {
	Domain      string
	Unreachable bool
	// Since is the time since the first unanswered packet, Endpoints the number of
	// endpoints that left packets unanswered (at most 8), Reset the number of waiting
	// requests that were reset at once; all only for Unreachable.
	Since     time.Duration
	Endpoints int
	Reset     int
}

// domainNamed returns the state of a failure domain, created if necessary.
func (r *Relay) domainNamed(name string) *domain {
	d := r.domains[name]
	if d == nil {
		d = &domain{Domain: balance.Domain{Name: name}}
		r.domains[name] = d
	}
	return d
}

// joinDomain assigns an endpoint to its failure domain.
func (r *Relay) joinDomain(e *balance.Endpoint) {
	e.Domain = &r.domainNamed(e.Entry.Domain).Domain
	e.Domain.Endpoints++
}

// setEntry replaces an endpoint's entry.
func (r *Relay) setEntry(e *balance.Endpoint, entry *catalog.Entry) {
	moved := e.Entry.Domain != entry.Domain
	if moved {
		r.leaveDomain(e)
	}
	e.Entry = entry
	if moved {
		r.joinDomain(e)
	}
}

// leaveDomain removes an endpoint from its failure domain.
func (r *Relay) leaveDomain(e *balance.Endpoint) {
	e.Domain.Endpoints--
	if e.Domain.Endpoints == 0 {
		delete(r.domains, e.Domain.Name)
	}
}

// resetDomains discards the evidence on all failure domains, after a time in which the
// host itself could not have received packets.
func (r *Relay) resetDomains(now time.Duration) {
	for _, d := range r.domains {
		if d.Unreachable() {
			r.notifyDomain(now, DomainState{Domain: d.Name})
		}
		d.Reset()
	}
	r.domainsFrom = now + domainObservation
}

func (r *Relay) notifyDomain(now time.Duration, s DomainState) {
	if r.options.DomainChanged != nil {
		r.options.DomainChanged(now, s)
	}
}

// recordDomainAlive notes a sign of life of an endpoint, on a flow or, if that is nil, by
// the entry of a new process.
func (r *Relay) recordDomainAlive(now time.Duration, e *balance.Endpoint, f *flow) {
	if !e.Domain.RecordAlive(now) {
		return
	}
	r.notifyDomain(now, DomainState{Domain: e.Domain.Name})
	// All of the domain's endpoints may have restarted, those also that were avoided.
	for _, other := range r.endpoints {
		if other.Domain == e.Domain {
			r.endSilence(now, r.service(other.Entry.Service), other, f)
		}
	}
}

// repeatsData reports whether a packet has only data that the flow's caller has sent
// before.
func (f *flow) repeatsData(s segment.Segment) bool {
	return s.DataBytes > 0 && !segment.After(s.End(), f.dataEnd)
}

// recordData notes a packet with data. A caller repeats data that the endpoint has not
// acknowledged.
func (r *Relay) recordData(now time.Duration, f *flow, repeated bool) {
	sent := f.dataAt
	if repeated && now-sent < duplicateWindow {
		return
	}
	f.dataAt, f.repeatGap = now, 0
	if !repeated {
		return
	}
	f.repeatGap = now - sent
	if f.copyUnanswered() {
		e := f.endpoint
		r.testEndpoint(now, f)
		r.recordUnanswered(now, e, sent)
		r.recordDomainUnanswered(now, e, sent)
	}
}

// recordDomainUnanswered notes that an endpoint left a packet, sent at the given time,
// unanswered, although its caller was waiting. Once that is true of several endpoints of
// the failure domain, and none has shown that it is alive, the requests that wait there
// and may be repeated are reset.
func (r *Relay) recordDomainUnanswered(now time.Duration, e *balance.Endpoint, sent time.Duration) {
	d := r.domains[e.Entry.Domain]
	if r.lagging || now < r.domainsFrom || d == nil || d.Endpoints < balance.MinDomainEndpoints {
		return
	}
	if r.options.Disabled.DeathDetection || r.options.Disabled.DomainDetection {
		return
	}
	if !d.RecordUnanswered(now, sent, e) {
		return
	}
	if d.Unreachable() {
		if now >= d.searchedAt+domainResetInterval {
			r.resetUnreachable(now, d)
		}
		return
	}
	if !r.reachesOther(d) {
		return
	}
	if r.acknowledges(now, d) {
		d.Reset()
		return
	}
	d.SetUnreachable(now)
	r.stats.DomainsLost++
	first, endpoints := d.Since()
	r.silenceDomain(now, d, first)
	reset := r.resetUnreachable(now, d)
	r.notifyDomain(now, DomainState{Domain: d.Name, Unreachable: true, Since: now - first, Endpoints: endpoints, Reset: reset})
}

// reachesOther reports whether another failure domain has answered a packet sent since the
// evidence on this one began.
func (r *Relay) reachesOther(d *domain) bool {
	for _, other := range r.domains {
		if other != d && other.ReachedSince(&d.Domain) {
			return true
		}
	}
	return false
}

// acknowledges reports whether most packets of waiting requests, sent to the failure domain
// since the evidence began, were not repeated by their callers in time: its endpoints take
// long to answer, but acknowledge data, which hosts don't see.
func (r *Relay) acknowledges(now time.Duration, d *domain) bool {
	first, _ := d.Since()
	unanswered, acknowledged := 0, 0
	for _, f := range r.flows {
		if f.state != stateOpen || !f.waiting || f.endpoint.Domain != &d.Domain || f.dataAt < first {
			continue
		}
		switch {
		case f.startUnknown && f.repeatGap == 0:
			// The packet may have been a later copy, so that the next one takes longer.
		case now >= f.dataAt+max(firstRepeat, 2*f.repeatGap)+repeatMargin:
			acknowledged++
		case f.repeatGap >= minRepeatGap:
			unanswered++
		}
	}
	return acknowledged > unanswered
}

// silenceDomain notes that the endpoints of a failure domain may have restarted when they
// respond again: since new flows avoid them, no SYNs show that.
func (r *Relay) silenceDomain(now time.Duration, d *domain, since time.Duration) {
	for _, e := range r.endpoints {
		sv := r.service(e.Entry.Service)
		if e.Domain != &d.Domain || sv.cold == nil {
			continue
		}
		c := sv.cold.get(e)
		if !c.silent {
			c.silent, c.silentSince = true, since
		}
		c.silentAt, c.silentEntry = now, e.Entry
		sv.cold.presume(c, now+silenceTimeout)
	}
}

// resetUnreachable resets the flows that wait for answers of an unreachable domain, and
// returns their number.
func (r *Relay) resetUnreachable(now time.Duration, d *domain) (n int) {
	d.searchedAt = now
	for _, f := range r.flows {
		if f.state == stateOpen && f.waiting && f.endpoint.Domain == &d.Domain && r.isUnreachable(now, f) {
			r.resetFlow(now, f, RejectUnreachableDomain)
			n++
		}
	}
	return n
}

// isUnreachable reports whether the flow's endpoint is in an unreachable failure domain and
// its requests may be repeated elsewhere.
func (r *Relay) isUnreachable(now time.Duration, f *flow) bool {
	if !f.endpoint.Domain.UnreachableSince(now, f.progressAt) {
		return false
	}
	route := r.view.Route(f.key.Destination)
	return route != nil && route.Idempotent
}

// UnreachableDomains returns the number of failure domains that are considered unreachable.
func (r *Relay) UnreachableDomains() (n int64) {
	for _, d := range r.domains {
		if d.Unreachable() {
			n++
		}
	}
	return n
}
