package relay

import (
	"time"

	"toucangap/internal/balance"
	"toucangap/internal/catalog"
	"toucangap/internal/segment"
)

// repeatWindow is the time in which a copy of a first packet is a duplicate of
// the network rather than a caller's repetition, which comes after 200 ms.
const repeatWindow = 50 * time.Millisecond

// first decides on a packet that opens a flow.
func (r *Relay) first(now time.Duration, s segment.Segment, frame []byte) {
	route := r.view.Route(s.Flow.Service)
	f := r.flows[s.Flow]
	if f != nil && (f.state == stateEnded || f.sequence != s.Sequence || f.adopted) {
		// The port was used before.
		r.forget(f)
		f = nil
	}
	if route == nil {
		if f != nil {
			r.forget(f)
		}
		r.reject(now, Placement{Flow: s.Flow, Copy: s.Copy()}, s.Acknowledgement, RejectNoRoute)
		return
	}
	if f != nil {
		r.again(now, f, route, s, frame)
		return
	}
	r.place(now, route, s, frame)
}

// again decides on a copy of a first packet.
func (r *Relay) again(now time.Duration, f *flow, route *catalog.Route, s segment.Segment, frame []byte) {
	r.stats.Repeated++
	f.lastSeen = now
	moved := !route.Allows(f.service.name)
	fresh := now-f.sentAt < repeatWindow
	if f.state == stateOpen || (fresh && !moved) {
		r.forward(f.endpoint.Entry, frame)
		return
	}
	if moved {
		// Decided under an older configuration; nothing was heard of it since.
		r.forget(f)
		r.place(now, route, s, frame)
		return
	}
	r.sendOn(now, f, s.Copy(), frame)
}

// place chooses the endpoint of a new flow.
func (r *Relay) place(now time.Duration, route *catalog.Route, s segment.Segment, frame []byte) {
	hash := s.Flow.Hash()
	sv := r.serviceFor(route, hash)
	p := r.placement(s.Flow, route.Name, sv.name)
	p.Copy = s.Copy()
	if len(sv.candidates) == 0 {
		r.reject(now, p, s.Acknowledgement, RejectNoEndpoint)
		return
	}
	p.Choice = r.options.Choose(balance.Request{Now: now, Hash: hash, Domain: r.options.Domain, FailureCost: route.Timeout}, &sv.seen, sv.candidates)
	p.Endpoint = p.Choice.Endpoint.Entry
	if !r.options.Without.Admission && !r.behind && !balance.Admit(route, p.Choice) {
		r.reject(now, p, s.Acknowledgement, RejectOverload)
		return
	}
	f := r.newFlow(now, s.Flow)
	f.service, f.route, f.timeout, f.target = sv, route.Name, route.Timeout, route.Target
	f.sequence = s.Sequence
	f.sent = s.Sequence
	f.firstLength = copy(f.firstPacket[:], frame)
	if f.firstLength < len(frame) {
		f.firstLength = 0
	}
	f.waiting = true
	f.requestAt = now
	r.try(now, f, p.Choice.Endpoint, frame)
	r.stats.Placed++
	p.Try = f.tries
	r.options.Observer.Placed(now, p)
}

// serviceFor returns the service of a new flow: the one that its hash selects,
// or another one of the route if that has no endpoint.
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

// try forwards the first packet to an endpoint.
func (r *Relay) try(now time.Duration, f *flow, e *balance.Endpoint, frame []byte) {
	f.tried[f.tries], f.triedAt[f.tries] = e, now
	f.tries++
	f.attach(e)
	f.sentAt = now
	r.schedule(f, now+r.patience.wait())
	r.forward(e.Entry, frame)
}

// sendOn gives a first packet that had no reaction to another endpoint. When
// all tries are used up it goes to the last one again.
func (r *Relay) sendOn(now time.Duration, f *flow, copies uint32, frame []byte) {
	p := r.placement(f.key, f.route, f.service.name)
	p.Copy = copies
	p.Waited = now - f.begun
	if f.tries < maxTries && !r.options.Without.SendingOn {
		p.Choice = r.options.Choose(balance.Request{
			Now:         now,
			Hash:        f.key.Hash(),
			Domain:      r.options.Domain,
			FailureCost: f.timeout,
			Tried:       f.candidatesTried(),
		}, &f.service.seen, f.service.candidates)
	}
	if p.Choice.Endpoint == nil {
		f.sentAt = now
		r.forward(f.endpoint.Entry, frame)
		return
	}
	f.detach()
	r.try(now, f, p.Choice.Endpoint, frame)
	r.stats.SentOn++
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
		Revision: r.view.Revision,
	}
}

func (r *Relay) forward(e *catalog.Entry, frame []byte) {
	r.stats.Forwarded++
	r.options.Output.Forward(e, frame)
}

// reject resets a flow that is not open.
func (r *Relay) reject(now time.Duration, p Placement, acknowledgement uint32, reason Rejection) {
	r.stats.Rejections[reason]++
	if p.Version == 0 {
		p.Version, p.Revision = r.view.Configuration.Version, r.view.Revision
	}
	r.options.Output.Reset(p.Flow, acknowledgement)
	r.options.Observer.Rejected(now, p, reason)
}
