package relay

import (
	"time"

	"toucangap/internal/balance"
	"toucangap/internal/catalog"
	"toucangap/internal/segment"
)

// duplicateWindow is the time in which another copy of a SYN is taken for a
// network duplicate; callers retransmit only after 200 ms.
const duplicateWindow = 50 * time.Millisecond

// handleSYN handles a packet that opens a flow.
func (r *Relay) handleSYN(now time.Duration, s segment.Segment, frame []byte) {
	route := r.view.Route(s.Flow.Destination)
	f := r.flows[s.Flow]
	if f != nil && f.openedBy(now, s) {
		r.drop(now, s.Flow, DropMoved)
		return
	}
	if f != nil && (f.state == stateEnded || f.sequence != s.Sequence || f.takenOver) {
		// The state is taken to be of an earlier flow from this port.
		r.removeFlow(f)
		f = nil
	}
	if route == nil {
		if f != nil {
			r.removeFlow(f)
		}
		r.reject(now, Placement{Flow: s.Flow, Retransmissions: s.Retransmissions()}, s.Acknowledgement, RejectNoRoute)
		return
	}
	if f != nil && f.state == stateHeld {
		f.retransmissions = s.Retransmissions()
		f.lastSeen = now
		return
	}
	if f != nil {
		r.handleRetransmittedSYN(now, f, route, s, frame)
		return
	}
	if r.openAtOther(now, s.Flow, s.Sequence) {
		r.drop(now, s.Flow, DropMoved)
		return
	}
	r.place(now, route, s, frame)
}

// handleRetransmittedSYN handles another copy of a flow's SYN.
func (r *Relay) handleRetransmittedSYN(now time.Duration, f *flow, route *catalog.Route, s segment.Segment, frame []byte) {
	r.stats.RetransmittedSYNs++
	f.lastSeen = now
	rerouted := !route.Allows(f.service.name) || r.leftDomain(now, f)
	duplicate := now-f.sentAt < duplicateWindow
	if f.state == stateOpen || (duplicate && !rerouted) {
		r.forward(f.endpoint.Entry, frame)
		return
	}
	if rerouted {
		// It was placed under an older configuration, or in a domain that was evacuated
		// since, and has no handshake ACK.
		if r.leftDomain(now, f) && len(r.candidates(now, r.serviceFor(route, s.Flow.Hash()))) == 0 {
			r.drop(now, f.key, DropEvacuated)
			return
		}
		r.removeFlow(f)
		r.place(now, route, s, frame)
		return
	}
	for n := range f.timedOutTries {
		r.recordSilence(now, f, n)
	}
	r.failOver(now, f, s.Retransmissions(), frame)
}

// leftDomain reports whether the flow's endpoint, which may have accepted its SYN, is in a
// failure domain that was evacuated since. That of the host does not count as long as new
// flows go there as the last resort.
func (r *Relay) leftDomain(now time.Duration, f *flow) bool {
	if f.endpoint == nil || !r.view.Evacuated(f.endpoint.Entry.Domain) {
		return false
	}
	return f.endpoint.Entry.Domain != r.options.Domain || len(r.lastResort(now, f.service)) == 0
}

// place forwards the SYN of a new flow, holds it, or rejects it.
func (r *Relay) place(now time.Duration, route *catalog.Route, s segment.Segment, frame []byte) {
	sv := r.serviceFor(route, s.Flow.Hash())
	if len(r.candidates(now, sv)) == 0 {
		if r.lagging {
			r.drop(now, s.Flow, DropLagging)
			return
		}
		p := r.placement(s.Flow, route.Name, sv.name)
		p.Retransmissions = s.Retransmissions()
		r.reject(now, p, s.Acknowledgement, sv.noCandidate())
		return
	}
	f := r.newFlow(now, s.Flow)
	f.service, f.route, f.timeout, f.target = sv, route.Name, route.Timeout, route.TargetLatency
	f.sequence = s.Sequence
	f.dataEnd = s.Sequence
	f.retransmissions = s.Retransmissions()
	r.losses.Record(now, f.retransmissions > 0)
	f.synLength = copy(f.synFrame[:], frame)
	if f.synLength < len(frame) {
		f.synLength = 0
	}
	if r.mustWait(now, sv) && f.synLength > 0 {
		if len(sv.held) == 0 {
			f.overflow = r.overflowWithRoom(now, sv)
		}
		if f.overflow == nil {
			r.hold(now, f, route)
			return
		}
	}
	r.open(now, f, route, frame)
}

// open chooses the endpoint of a new or held flow and forwards its SYN, or rejects
// it.
func (r *Relay) open(now time.Duration, f *flow, route *catalog.Route, frame []byte) {
	p := r.placement(f.key, f.route, f.service.name)
	p.Retransmissions = f.retransmissions
	p.Waited = now - f.startedAt
	p.Held, p.Class = f.state == stateHeld, f.class
	candidates := r.candidates(now, f.service)
	if len(candidates) == 0 {
		r.removeFlow(f)
		r.reject(now, p, 0, RejectCold)
		return
	}
	p.Choice, _ = r.choose(now, f, candidates, r.options.Choose)
	r.notifySpillover(now, f.service)
	p.Endpoint = p.Choice.Endpoint.Entry
	f.overflow = r.overflowOf(f.service, p.Choice.Endpoint)
	if !r.admits(route, p.Choice) {
		r.removeFlow(f)
		r.reject(now, p, 0, RejectOverload)
		return
	}
	f.state = stateOpening
	f.waiting = true
	f.requestAt, f.progressAt = now, now
	r.tryEndpoint(now, f, p.Choice.Endpoint, frame)
	r.stats.Placed++
	if p.Held {
		r.stats.Released[p.Class]++
	}
	if f.service.evacuated > 0 {
		r.recordEvacuation(p.Choice.Endpoint)
	}
	p.Try = f.tries
	r.options.Observer.Placed(now, p)
}

// request returns the request to choose an endpoint for a flow.
func (r *Relay) request(now time.Duration, f *flow) balance.Request {
	return balance.Request{Now: now, Hash: f.key.Hash(), Domain: r.options.Domain, FailureCost: f.timeout}
}

// admits reports whether a new flow may be forwarded to the chosen endpoint.
func (r *Relay) admits(route *catalog.Route, c balance.Choice) bool {
	return r.options.Disabled.Admission || r.lagging || balance.Admit(route, c)
}

// serviceFor returns the service for a new flow, created if necessary.
func (r *Relay) serviceFor(route *catalog.Route, hash uint64) *service {
	if sv := r.knownService(route, hash); sv != nil {
		return sv
	}
	return r.service(route.Service(hash))
}

// knownService returns the service for a new flow: the one that its hash selects, or
// another service of the route if that one has no endpoint. It is nil if there is no
// state of the service.
func (r *Relay) knownService(route *catalog.Route, hash uint64) *service {
	selected := r.services[route.Service(hash)]
	if selected.takesFlows() {
		return selected
	}
	for _, share := range route.Shares {
		if other := r.services[share.Service]; share.Weight > 0 && other.takesFlows() {
			return other
		}
	}
	return selected
}

// takesFlows reports whether the service, which may be nil, has endpoints for new flows.
func (s *service) takesFlows() bool { return s != nil && len(s.candidates) > 0 }

// tryEndpoint forwards the SYN to an endpoint.
func (r *Relay) tryEndpoint(now time.Duration, f *flow, e *balance.Endpoint, frame []byte) {
	f.tried[f.tries], f.triedAt[f.tries] = e, now
	f.tries++
	f.attach(e)
	f.sentAt = now
	r.recordColdFlow(now, f.service, e)
	r.schedule(f, now+r.handshakeTimeout.current())
	r.forward(e.Entry, frame)
}

// failOver forwards a SYN that had no handshake ACK to another endpoint. If no
// endpoint is left or maxTries is reached, it goes to the last one again.
func (r *Relay) failOver(now time.Duration, f *flow, retransmissions uint32, frame []byte) {
	p := r.placement(f.key, f.route, f.service.name)
	p.Retransmissions = retransmissions
	p.Waited = now - f.startedAt
	if f.tries < maxTries && !r.options.Disabled.Failover {
		request := r.request(now, f)
		request.Tried = f.triedEndpoints()
		p.Choice = r.options.Choose(request, &f.service.observed, r.candidates(now, f.service))
	}
	if p.Choice.Endpoint == nil && r.leftDomain(now, f) {
		r.drop(now, f.key, DropEvacuated)
		return
	}
	if p.Choice.Endpoint == nil && !r.mayRepeat(now, f) {
		r.drop(now, f.key, DropCold)
		return
	}
	if p.Choice.Endpoint == nil {
		f.sentAt = now
		r.forward(f.endpoint.Entry, frame)
		return
	}
	f.detach()
	r.tryEndpoint(now, f, p.Choice.Endpoint, frame)
	r.stats.FailedOver++
	f.service.spill.count(f.endpoint, DepartFailover)
	p.Try = f.tries
	p.Endpoint = p.Choice.Endpoint.Entry
	r.options.Observer.Placed(now, p)
}

func (r *Relay) placement(f catalog.Flow, route, service string) Placement {
	return Placement{
		Flow:     f,
		Route:    route,
		Service:  service,
		Version:  r.view.Configuration.Version,
		Position: r.view.Position,
	}
}

func (r *Relay) forward(e *catalog.Entry, frame []byte) {
	r.stats.Forwarded++
	r.options.Output.Forward(e, e.Token(), frame)
}

// reject sends a reset to the caller and notifies the observer of the reason.
func (r *Relay) reject(now time.Duration, p Placement, acknowledgement uint32, reason Rejection) {
	r.stats.Rejections[reason]++
	if p.Version == 0 {
		p.Version, p.Position = r.view.Configuration.Version, r.view.Position
	}
	r.options.Output.Reset(p.Flow, acknowledgement)
	r.options.Observer.Rejected(now, p, reason)
}
