package balance

import (
	"slices"
	"time"

	"toucangap/internal/rendezvous"
)

// Costs are the parts of a candidate's cost.
type Costs struct {
	// Expected is the expected time to answer, with the wait for a slot.
	Expected time.Duration
	// InProgress is the cost of the requests in progress, OtherDomain that of another
	// failure domain, Failures that of the requests which the endpoint fails.
	InProgress  time.Duration
	OtherDomain time.Duration
	Failures    time.Duration
}

// Rank is what decides a candidate's place among the others for one flow.
type Rank struct {
	Endpoint *Endpoint
	Costs
	// Cost is the sum of the costs.
	Cost time.Duration
	// Suspect is set if the endpoint is suspect, or if its suspicion has expired and
	// no flow may test it now; Trial is set if the flow may test it.
	Suspect bool
	Trial   bool
	// Unreachable is set if the endpoint's failure domain is considered unreachable, and
	// the flow may not test it.
	Unreachable bool
	// hash breaks ties.
	hash uint64
}

// rank returns the candidate's rank; mayTry is the result of Request.mayTry.
func rank(e *Endpoint, r *Request, s *Service, mayTry bool) Rank {
	k := Rank{Endpoint: e, hash: rendezvous.Score(r.Hash, uint64(e.Entry.Token()))}
	k.Suspect = e.Suspect(r.Now) || e.unansweredSYNs > 0 && !mayTry
	if e.Domain.Unreachable() {
		k.Unreachable = k.Suspect || !mayTry || len(r.Tried) > 0 || e.Domain.Avoided(r.Now)
		k.Suspect = k.Unreachable
	}
	k.Trial = e.trialDue(r.Now) && !k.Suspect
	k.Expected = e.Expected(r.Now, s)
	k.InProgress = time.Duration(busySlotCost * float64(s.UsualAnswerTime()) * float64(e.Busy))
	if e.Entry.Domain != r.Domain {
		k.OtherDomain = remoteDomainCost
	}
	k.Failures = time.Duration(e.ExcessFailureShare(r.Now, s) * float64(r.FailureCost))
	k.Cost = k.Expected + k.InProgress + k.OtherDomain + k.Failures
	return k
}

// mayTry reports whether the flow may go to an endpoint whose suspicion has expired.
func (r *Request) mayTry(s *Service) bool {
	return s.trouble.allowsTrial(r.Now, len(r.Tried) > 0)
}

// preferredTo reports whether k is preferred to the other rank, if both are suspect or
// neither is: those of unreachable domains last, trials first, then the lower cost, then
// the lower rendezvous hash.
func (k *Rank) preferredTo(other *Rank) bool {
	if k.Unreachable != other.Unreachable {
		return other.Unreachable
	}
	if k.Trial != other.Trial {
		// An endpoint whose suspicion has expired gets the next flow: without a
		// flow, its suspicion could never be cleared.
		return k.Trial
	}
	if k.Cost != other.Cost {
		return k.Cost < other.Cost
	}
	return k.hash < other.hash
}

// replaces reports whether the best suspect endpoint is chosen instead of the best other
// one. Either may be missing.
func (k *Rank) replaces(best *Rank) bool {
	if k.Endpoint == nil || best.Endpoint == nil {
		return best.Endpoint == nil
	}
	return !k.Unreachable && k.Cost+suspectPenalty < best.Cost
}

// Ranking returns the ranks of all endpoints in the order in which Choose would pick
// them if those before were missing. It changes nothing.
func Ranking(r Request, s *Service, endpoints []*Endpoint) []Rank {
	var suspects, others []Rank
	mayTry := r.mayTry(s)
	for _, e := range endpoints {
		if k := rank(e, &r, s, mayTry); k.Suspect {
			suspects = append(suspects, k)
		} else {
			others = append(others, k)
		}
	}
	slices.SortFunc(suspects, compareRanks)
	slices.SortFunc(others, compareRanks)
	all := make([]Rank, 0, len(endpoints))
	for len(suspects) > 0 && len(others) > 0 {
		if suspects[0].replaces(&others[0]) {
			all, suspects = append(all, suspects[0]), suspects[1:]
		} else {
			all, others = append(all, others[0]), others[1:]
		}
	}
	return append(append(all, suspects...), others...)
}

func compareRanks(a, b Rank) int {
	switch {
	case a.preferredTo(&b):
		return -1
	case b.preferredTo(&a):
		return 1
	}
	return 0
}
