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
	r.place(now, route, s, frame)
}

// handleRetransmittedSYN handles another copy of a flow's SYN.
func (r *Relay) handleRetransmittedSYN(now time.Duration, f *flow, route *catalog.Route, s segment.Segment, frame []byte) {
	r.stats.RetransmittedSYNs++
	f.lastSeen = now
	rerouted := !route.Allows(f.service.name) || r.leftDomain(f)
	duplicate := now-f.sentAt < duplicateWindow
	if f.state == stateOpen || (duplicate && !rerouted) {
		r.forward(f.endpoint.Entry, frame)
		return
	}
	if rerouted {
		// It was placed under an older configuration, or in a domain that was evacuated
		// since, and has no handshake ACK.
		r.removeFlow(f)
		r.place(now, route, s, frame)
		return
	}
	r.failOver(now, f, s.Retransmissions(), frame)
}

// leftDomain reports whether the flow's endpoint, which may have accepted its SYN, is in a
// failure domain that was evacuated since.
func (r *Relay) leftDomain(f *flow) bool {
	return f.endpoint != nil && r.view.Evacuated(f.endpoint.Entry.Domain)
}

// place forwards the SYN of a new flow, holds it, or rejects it.
func (r *Relay) place(now time.Duration, route *catalog.Route, s segment.Segment, frame []byte) {
	sv := r.serviceFor(route, s.Flow.Hash())
	if len(sv.candidates) == 0 {
		if r.lagging {
			r.drop(now, s.Flow, DropLagging)
			return
		}
		p := r.placement(s.Flow, route.Name, sv.name)
		p.Retransmissions = s.Retransmissions()
		r.reject(now, p, s.Acknowledgement, RejectNoEndpoint)
		return
	}
	f := r.newFlow(now, s.Flow)
	f.service, f.route, f.timeout, f.target = sv, route.Name, route.Timeout, route.TargetLatency
	f.sequence = s.Sequence
	f.dataEnd = s.Sequence
	f.retransmissions = s.Retransmissions()
	f.synLength = copy(f.synFrame[:], frame)
	if f.synLength < len(frame) {
		f.synLength = 0
	}
	if r.mustWait(now, sv) && f.synLength > 0 {
		r.hold(now, f, route)
		return
	}
	r.open(now, f, route, frame)
}

// open chooses the endpoint of a new or held flow and forwards its SYN, or rejects
// it.
func (r *Relay) open(now time.Duration, f *flow, route *catalog.Route, frame []byte) {
	p := r.placement(f.key, f.route, f.service.name)
	p.Retransmissions = f.retransmissions
	p.Waited = now - f.startedAt
	p.Choice = r.choose(now, f)
	p.Endpoint = p.Choice.Endpoint.Entry
	if !r.options.Disabled.Admission && !r.lagging && !balance.Admit(route, p.Choice) {
		r.removeFlow(f)
		r.reject(now, p, 0, RejectOverload)
		return
	}
	f.state = stateOpening
	f.waiting = true
	f.requestAt, f.progressAt = now, now
	r.tryEndpoint(now, f, p.Choice.Endpoint, frame)
	r.stats.Placed++
	if f.service.evacuated > 0 {
		r.stats.Diverted++
	}
	p.Try = f.tries
	r.options.Observer.Placed(now, p)
}

// serviceFor returns the service for a new flow: the one that its hash selects,
// or another service of the route if that one has no endpoint.
func (r *Relay) serviceFor(route *catalog.Route, hash uint64) *service {
	selected := r.service(route.Service(hash))
	if len(selected.candidates) > 0 {
		return selected
	}
	for _, share := range route.Shares {
		other := r.service(share.Service)
		if share.Weight > 0 && len(other.candidates) > 0 {
			return other
		}
	}
	return selected
}

// tryEndpoint forwards the SYN to an endpoint.
func (r *Relay) tryEndpoint(now time.Duration, f *flow, e *balance.Endpoint, frame []byte) {
	f.tried[f.tries], f.triedAt[f.tries] = e, now
	f.tries++
	f.attach(e)
	f.sentAt = now
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
		p.Choice = r.options.Choose(balance.Request{
			Now:         now,
			Hash:        f.key.Hash(),
			Domain:      r.options.Domain,
			FailureCost: f.timeout,
			Tried:       f.triedEndpoints(),
		}, &f.service.observed, f.service.candidates)
	}
	if p.Choice.Endpoint == nil && r.leftDomain(f) {
		r.drop(now, f.key, DropEvacuated)
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
	r.options.Output.Forward(e, frame)
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
