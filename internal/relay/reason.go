package relay

import (
	"time"

	"toucangap/internal/balance"
)

// Reason is why an endpoint takes no new flow, or why others may be preferred to it.
type Reason string

// The reasons in explanations.
const (
	// ReasonRemoved: the endpoint's entry has left the store.
	ReasonRemoved Reason = "removed"
	// ReasonDraining: the endpoint is about to stop.
	ReasonDraining Reason = "draining"
	// ReasonEvacuated: its failure domain is evacuated.
	ReasonEvacuated Reason = "evacuated"
	// ReasonUnknownService: the configuration does not name its service.
	ReasonUnknownService Reason = "unknown_service"
	// ReasonIsolated: no other domain answers, and the host, which has lost contact with the
	// store, sends flows to evacuated endpoints of its own domain.
	ReasonIsolated Reason = "isolated"
	// ReasonColdLimit: it is cold, and this host may send it no flow now: another host
	// owns it, or its limit is reached.
	ReasonColdLimit Reason = "cold_limit"
	// ReasonSuspect: SYNs to it were unanswered, and no flow may test it now.
	ReasonSuspect Reason = "suspect"
	// ReasonTrial: SYNs to it or copies of a request were unanswered, or its failure domain
	// is unreachable, and one flow may test it.
	ReasonTrial Reason = "trial"
	// ReasonUnreachable: its failure domain is unreachable from this host.
	ReasonUnreachable Reason = "unreachable_domain"
	// ReasonCold: it has just started, or its failure domain's evacuation has ended.
	ReasonCold Reason = "cold"
	// ReasonSlow: it takes longer to answer than its service usually does.
	ReasonSlow Reason = "slow"
	// ReasonFailing: it fails more requests than its service.
	ReasonFailing Reason = "failing"
	// ReasonNoSlot: as far as this host knows, a request would wait for a slot.
	ReasonNoSlot Reason = "no_free_slot"
	// ReasonOtherDomain: it is in another failure domain than the host.
	ReasonOtherDomain Reason = "other_domain"
	// ReasonSpillover: it would take the flow, but spillover decides that the flow stays in
	// the host's domain, or leaves it, or that it avoids the endpoint's domain.
	ReasonSpillover Reason = "spillover"
)

// reasonRule tells whether a reason applies to an endpoint.
type reasonRule struct {
	reason  Reason
	applies func(r *Relay, now time.Duration, sv *service, k *balance.Rank) bool
}

// reasonRules are the rules in the order of explanations: first those of endpoints that
// take no new flow. A decision that leaves an endpoint out, or makes it cost more, needs a
// rule here; ReasonSpillover depends on the flow, see Relay.explainCandidates.
var reasonRules = []reasonRule{
	{ReasonRemoved, func(r *Relay, _ time.Duration, _ *service, k *balance.Rank) bool {
		return !k.Endpoint.Entry.Listed || r.view.ByToken(k.Endpoint.Entry.Token()) != k.Endpoint.Entry
	}},
	{ReasonDraining, func(_ *Relay, _ time.Duration, _ *service, k *balance.Rank) bool {
		return k.Endpoint.Entry.Draining
	}},
	{ReasonEvacuated, func(r *Relay, _ time.Duration, _ *service, k *balance.Rank) bool {
		return r.view.Evacuated(k.Endpoint.Entry.Domain)
	}},
	{ReasonUnknownService, func(r *Relay, _ time.Duration, sv *service, _ *balance.Rank) bool {
		_, known := r.view.Configuration.Services[sv.name]
		return !known
	}},
	{ReasonIsolated, func(r *Relay, now time.Duration, sv *service, k *balance.Rank) bool {
		return !r.view.Evacuated(k.Endpoint.Entry.Domain) && len(r.allowed(now, sv, r.lastResort(now, sv))) > 0
	}},
	{ReasonColdLimit, func(r *Relay, now time.Duration, sv *service, k *balance.Rank) bool {
		c := r.coldState(now, sv, k.Endpoint)
		return c != nil && !r.coldAllows(now, sv, c)
	}},
	{ReasonSuspect, func(_ *Relay, _ time.Duration, _ *service, k *balance.Rank) bool { return k.Suspect }},
	{ReasonTrial, func(_ *Relay, _ time.Duration, _ *service, k *balance.Rank) bool { return k.Trial }},
	{ReasonUnreachable, func(_ *Relay, _ time.Duration, _ *service, k *balance.Rank) bool {
		return k.Endpoint.Domain.Unreachable()
	}},
	{ReasonCold, func(r *Relay, now time.Duration, sv *service, k *balance.Rank) bool {
		return now < k.Endpoint.Entry.WarmAt || r.coldState(now, sv, k.Endpoint) != nil
	}},
	{ReasonSlow, func(_ *Relay, now time.Duration, sv *service, k *balance.Rank) bool {
		return k.Endpoint.Slowness(now, &sv.observed) > 1
	}},
	{ReasonFailing, func(_ *Relay, _ time.Duration, _ *service, k *balance.Rank) bool { return k.Failures > 0 }},
	{ReasonNoSlot, func(_ *Relay, _ time.Duration, _ *service, k *balance.Rank) bool { return !k.Endpoint.Free() }},
	{ReasonOtherDomain, func(_ *Relay, _ time.Duration, _ *service, k *balance.Rank) bool { return k.OtherDomain > 0 }},
}

// reasons returns the reasons that apply to an endpoint of the service.
func (r *Relay) reasons(now time.Duration, sv *service, k *balance.Rank) []Reason {
	var all []Reason
	for _, rule := range reasonRules {
		if rule.applies(r, now, sv, k) {
			all = append(all, rule.reason)
		}
	}
	return all
}
