package relay

import (
	"time"

	"toucangap/internal/balance"
	"toucangap/internal/catalog"
	"toucangap/internal/coldstart"
)

const (
	// reportDelay is how long an entry may be on its way. One that arrives later after
	// an unanswered SYN was written after it: the store removes an endpoint's entry
	// after three heartbeat intervals of 1.2 s without a new one.
	reportDelay = 4 * time.Second
	// silenceTimeout is how long an endpoint that was silent counts as cold if no entry
	// arrives: the time until its entry is removed, and that of a late entry of its next
	// process.
	silenceTimeout = 2 * reportDelay
)

// coldService limits the new flows to the cold endpoints of a service.
type coldService struct {
	start catalog.ColdStart
	// limit is how many new flows a cold endpoint may get within a second.
	limit int
	// until is the time from which none of the endpoints is cold, as far as is known.
	until time.Duration
	// endpoints holds those that are or were cold of late.
	endpoints map[catalog.Token]*coldEndpoint
	// allowed is the reused result of Relay.allowed.
	allowed []*balance.Endpoint
}

// coldEndpoint is the state of an endpoint that is, or was of late, cold or silent. It is
// silent from a SYN without a handshake ACK whose caller was certainly waiting until it
// responds: it may have restarted meanwhile.
type coldEndpoint struct {
	gate  coldstart.Gate
	entry *catalog.Entry
	// presumedUntil is until when it counts as cold by what this host has observed.
	presumedUntil time.Duration
	silent        bool
	// silentSince is when the first unanswered SYN was sent, silentAt when the last one
	// was found unanswered or, once it has responded, when it did. silentEntry is the last
	// entry that may have been written before silentAt.
	silentSince time.Duration
	silentAt    time.Duration
	silentEntry *catalog.Entry
}

// until returns the time from which the endpoint is warm.
func (c *coldEndpoint) until() time.Duration { return max(c.entry.WarmAt, c.presumedUntil) }

// update takes a new entry. What this host has observed of the endpoint no longer applies
// if the entry is that of another process, or was written after the observation.
func (c *coldEndpoint) update(now time.Duration, entry *catalog.Entry) {
	c.entry = entry
	if c.silentEntry == nil || entry.Position == c.silentEntry.Position {
		return
	}
	if entry.StartedUnixMs == c.silentEntry.StartedUnixMs && now < c.silentAt+reportDelay {
		c.silentEntry = entry
		return
	}
	c.silent, c.silentEntry, c.presumedUntil = false, nil, 0
}

// updateCold takes the view's cold starts and endpoints.
func (r *Relay) updateCold(now time.Duration, v *catalog.View) {
	for name, sv := range r.services {
		var start catalog.ColdStart
		if v.Configuration != nil && r.options.Cold.Hosts != nil {
			start = v.Configuration.ColdStarts[name]
		}
		if start.PerSecond <= 0 {
			sv.cold = nil
			continue
		}
		if sv.cold == nil {
			sv.cold = &coldService{endpoints: make(map[catalog.Token]*coldEndpoint)}
		}
		sv.cold.start = start
		sv.cold.limit = r.options.Cold.Bounds.Limit(start.PerSecond)
		sv.cold.add(now, sv.candidates)
		sv.cold.add(now, sv.evacuatedHome)
		sv.cold.update(now, v)
		r.rejectHeldOfCold(now, sv)
	}
}

// rejectHeldOfCold rejects the held flows of a service whose endpoints are all cold and not
// allowed at this host.
func (r *Relay) rejectHeldOfCold(now time.Duration, sv *service) {
	for len(sv.held) > 0 && len(sv.candidates) > 0 && len(r.candidates(now, sv)) == 0 {
		r.release(now, sv.held[0])
	}
}

// add adds the cold ones of the endpoints.
func (s *coldService) add(now time.Duration, endpoints []*balance.Endpoint) {
	for _, e := range endpoints {
		if now < e.Entry.WarmAt {
			s.get(e)
		}
	}
}

// update takes the view's entries, and deletes the state of endpoints that are warm.
func (s *coldService) update(now time.Duration, v *catalog.View) {
	s.until = 0
	for token, c := range s.endpoints {
		entry := v.ByToken(token)
		if entry != nil {
			c.update(now, entry)
		}
		if now >= c.until() && c.gate.Idle(now) && (entry == nil || !c.silent) {
			delete(s.endpoints, token)
			continue
		}
		s.until = max(s.until, c.until())
	}
}

// get returns the state of an endpoint, created if necessary.
func (s *coldService) get(e *balance.Endpoint) *coldEndpoint {
	token := e.Entry.Token()
	c := s.endpoints[token]
	if c == nil {
		c = &coldEndpoint{entry: e.Entry}
		s.endpoints[token] = c
	}
	return c
}

// presume lets an endpoint count as cold for a span.
func (s *coldService) presume(c *coldEndpoint, until time.Duration) {
	c.presumedUntil = max(c.presumedUntil, until)
	s.until = max(s.until, until)
}

// coldState returns the state of an endpoint if it is cold and its service is limited,
// else nil.
func (r *Relay) coldState(now time.Duration, sv *service, e *balance.Endpoint) *coldEndpoint {
	if sv.cold == nil || now >= sv.cold.until {
		return nil
	}
	if c := sv.cold.endpoints[e.Entry.Token()]; c != nil && now < c.until() {
		return c
	}
	return nil
}

// candidates returns the service's endpoints that a new flow may go to now. The result is
// valid until the next call.
func (r *Relay) candidates(now time.Duration, sv *service) []*balance.Endpoint {
	if evacuated := r.allowed(now, sv, r.lastResort(now, sv)); len(evacuated) > 0 {
		return evacuated
	}
	return r.allowed(now, sv, sv.candidates)
}

// allowed leaves out the cold endpoints that this host may not send flows to.
func (r *Relay) allowed(now time.Duration, sv *service, list []*balance.Endpoint) []*balance.Endpoint {
	if len(list) == 0 || sv.cold == nil || now >= sv.cold.until {
		return list
	}
	allowed := sv.cold.allowed[:0]
	for _, e := range list {
		if c := r.coldState(now, sv, e); c == nil || r.coldAllows(now, sv, c) {
			allowed = append(allowed, e)
		}
	}
	sv.cold.allowed = allowed
	return allowed
}

func (r *Relay) coldAllows(now time.Duration, sv *service, c *coldEndpoint) bool {
	return c.gate.Allows(now, &r.options.Cold, c.entry.ID, c.entry.Domain, sv.cold.limit)
}

// warmSlots returns the number of the candidates' slots without those of cold endpoints if
// these are limited: few flows go there, so that the others would wait at the warm ones.
func (r *Relay) warmSlots(now time.Duration, sv *service, candidates []*balance.Endpoint) (slots int) {
	limited := sv.cold != nil && now < sv.cold.until
	if !limited && len(candidates) == len(sv.candidates) {
		return max(sv.slots, 1)
	}
	for _, e := range candidates {
		if !limited || r.coldState(now, sv, e) == nil {
			slots += max(e.Entry.Slots, 1)
		}
	}
	// The time that a queue takes is divided by the slots.
	return max(slots, 1)
}

// noCandidate returns why a service has no endpoint for a new flow.
func (sv *service) noCandidate() Rejection {
	if len(sv.candidates) > 0 {
		return RejectCold
	}
	return RejectNoEndpoint
}

// recordColdFlow counts a SYN that is sent to an endpoint, if that is cold.
func (r *Relay) recordColdFlow(now time.Duration, sv *service, e *balance.Endpoint) {
	if c := r.coldState(now, sv, e); c != nil {
		c.gate.Record(now)
		r.stats.PlacedCold++
	}
}

// mayRepeat reports whether another copy of a SYN without a handshake ACK may go to the
// endpoint tried last. If that has restarted, the copy opens a new flow there.
func (r *Relay) mayRepeat(now time.Duration, f *flow) bool {
	c := r.coldState(now, f.service, f.endpoint)
	if c == nil {
		return true
	}
	if !r.coldAllows(now, f.service, c) {
		return false
	}
	c.gate.Record(now)
	return true
}

// recordSilence notes that an endpoint did not answer the flow's n-th try while the caller
// was waiting: another endpoint accepted the flow, or the caller has sent another copy of
// the SYN, which it does not after a refusal.
func (r *Relay) recordSilence(now time.Duration, f *flow, n int) {
	sv, e := f.service, f.tried[n]
	if sv.cold == nil || r.lagging || e.UnansweredSYNs() == 0 || e.AliveSince(f.triedAt[n]) {
		return
	}
	r.presumeSilent(now, sv, e, f.triedAt[n])
	domain := e.Entry.Domain
	for _, other := range sv.candidates {
		if other.Entry.Domain == domain && other.AliveSince(f.triedAt[n]) {
			return
		}
	}
	for _, other := range sv.candidates {
		if other.Entry.Domain == domain {
			r.presumeSilent(now, sv, other, f.triedAt[n])
		}
	}
}

// presumeSilent lets an endpoint count as silent since the given time. While no endpoint
// of its domain has shown that it is alive since, those that were not tried count as
// silent, too: they often restart together, and would get all flows that the others don't.
func (r *Relay) presumeSilent(now time.Duration, sv *service, e *balance.Endpoint, since time.Duration) {
	c := sv.cold.get(e)
	if !c.silent {
		c.silent, c.silentSince = true, since
		r.stats.PresumedCold++
		r.options.Observer.PresumedCold(now, e, silenceTimeout, false)
	}
	c.silentSince = min(c.silentSince, since)
	c.silentAt, c.silentEntry = now, e.Entry
	sv.cold.presume(c, now+silenceTimeout)
}

// endSilence notes that an endpoint has responded on a flow, nil if that is unknown. A
// flow that is older than the silence would not have survived a restart; otherwise the
// endpoint counts as cold from now on.
func (r *Relay) endSilence(now time.Duration, sv *service, e *balance.Endpoint, f *flow) {
	if sv.cold == nil {
		return
	}
	c := sv.cold.endpoints[e.Entry.Token()]
	if c == nil || !c.silent {
		return
	}
	c.silent, c.presumedUntil = false, 0
	if f != nil && f.sentTo(e) <= c.silentSince {
		c.silentEntry = nil
		return
	}
	c.silentAt, c.silentEntry = now, c.entry
	sv.cold.presume(c, now+sv.cold.start.For)
	r.options.Observer.PresumedCold(now, e, sv.cold.start.For, true)
}

// sentTo returns when the flow's SYN was sent to an endpoint or, if that is unknown, when
// the host first saw the flow.
func (f *flow) sentTo(e *balance.Endpoint) time.Duration {
	for i, t := range f.triedEndpoints() {
		if t == e {
			return f.triedAt[i]
		}
	}
	return f.startedAt
}

// forgetSilence discards what was observed of endpoints that were silent, after a time in
// which the host itself could not have received packets.
func (r *Relay) forgetSilence() {
	for _, sv := range r.services {
		if sv.cold == nil {
			continue
		}
		for _, c := range sv.cold.endpoints {
			if c.silent {
				c.silent, c.silentEntry, c.presumedUntil = false, nil, 0
			}
		}
	}
}

// coldInDump returns whether an endpoint is cold, and the name of its owner if its service
// is limited.
func (r *Relay) coldInDump(now time.Duration, e *balance.Endpoint) (cold bool, owner string) {
	c := r.coldState(now, r.service(e.Entry.Service), e)
	if c == nil {
		return now < e.Entry.WarmAt, ""
	}
	return true, c.gate.Owner(now, &r.options.Cold, c.entry.ID, c.entry.Domain).Name
}

// ColdEndpoints returns how many candidates of limited services are cold, and how many of
// those this host owns.
func (r *Relay) ColdEndpoints(now time.Duration) (cold, owned int64) {
	for _, sv := range r.services {
		if sv.cold == nil || now >= sv.cold.until {
			continue
		}
		for _, e := range sv.candidates {
			if c := r.coldState(now, sv, e); c != nil {
				cold++
				if c.gate.Owner(now, &r.options.Cold, c.entry.ID, c.entry.Domain) == r.options.Cold.Host {
					owned++
				}
			}
		}
	}
	return cold, owned
}
