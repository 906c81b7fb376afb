// Package balance chooses endpoints for new flows and judges endpoints by what
// the packets of callers show. It is pure: times come in, choices go out. Times
// are on one steady clock.
package balance

import (
	"time"

	"toucangap/internal/catalog"
)

// The parameters of the choice.
const (
	// coldFactor multiplies the expected work of an endpoint that has just
	// started; endpoints do not say how slow they are, and a factor of 2 makes
	// a free warm one win.
	coldFactor = 2.0
	// occupiedShare of the expected work is added for each request in progress
	// while slots are free: other hosts may have sent some, too.
	occupiedShare = 0.15
	// distanceCost is added for endpoints of other failure domains: a round trip
	// between domains and the price of its bytes, but less than a wait for a
	// slot.
	distanceCost = 4 * time.Millisecond
	// noticeableSlowness is the ratio to the service's usual time from which an
	// endpoint counts as slow; below it, differences are mostly luck.
	noticeableSlowness = 1.6
	// usualWork is assumed until answers have been seen.
	usualWork = 20 * time.Millisecond
)

// The parameters of suspicion.
const (
	// firstSuspicion is how long an endpoint is passed over after an unanswered
	// first packet; it doubles with each one up to longestSuspicion. A trial costs
	// one caller some milliseconds, since its packet is sent on, and a dead
	// endpoint should be known before those who wait for it give up.
	firstSuspicion   = 30 * time.Millisecond
	longestSuspicion = time.Second
	// suspectCost is what a suspect endpoint has to be faster by to be preferred
	// to the others: several waits for a reaction. When a cut has made nearly all
	// endpoints suspect, the few others must not drown while these are back.
	suspectCost = 60 * time.Millisecond
	// deadAfter is the number of flows in a row that an endpoint has to leave to
	// others to be held for dead, and deadSpan the least time between the first
	// and the last of them: what the network loses is often lost at one moment.
	deadAfter = 3
	deadSpan  = 40 * time.Millisecond
)

// Endpoint is what one host has seen of an endpoint.
type Endpoint struct {
	Entry *catalog.Entry
	// Open counts the flows at the endpoint, Busy those among them that wait for
	// an answer.
	Open int
	Busy int

	// unanswered counts first packets without a reaction since the last one.
	unanswered int
	// left counts those whose callers then reacted to another endpoint, and
	// firstLeft and lastLeft are when the first and the last were sent here.
	left         int
	firstLeft    time.Duration
	lastLeft     time.Duration
	suspectUntil time.Duration
	trial        bool
	lastLife     time.Duration
	answer       average
	// own and heard tell how requests ended, as seen by this host and by others.
	own   Tally
	heard Tally
	// saidFailing is what Turned has reported last.
	saidFailing bool
}

// Service gathers what endpoints of one service have in common.
type Service struct {
	answer average
	// answers counts those that the average is of.
	answers int
	tally   Tally
}

// Suspect reports whether the endpoint is passed over for now.
func (e *Endpoint) Suspect(now time.Duration) bool {
	return e.unanswered > 0 && (now < e.suspectUntil || e.trial)
}

// SilentFlows returns the number of flows in a row that got no reaction.
func (e *Endpoint) SilentFlows() int { return e.unanswered }

// Slowness returns the ratio of the endpoint's time to answer to that of its
// service, at least 1.
func (e *Endpoint) Slowness(now time.Duration, s *Service) float64 {
	usual := s.answer.value
	if usual == 0 || e.answer.value < noticeableSlowness*usual {
		// Time only draws the average to the usual value.
		return 1
	}
	ratio := e.answer.at(now, usual) / usual
	if ratio < noticeableSlowness {
		return 1
	}
	return ratio
}

// Alive takes note of a sign of life: a caller's packet that only an endpoint
// that works can have caused.
func (e *Endpoint) Alive(now time.Duration) (recovered bool) {
	recovered = e.unanswered > 0
	e.unanswered, e.left = 0, 0
	e.trial = false
	e.lastLife = now
	return recovered
}

// AliveSince reports whether the endpoint has given a sign of life after the
// given time.
func (e *Endpoint) AliveSince(since time.Duration) bool { return e.lastLife > since }

// Answered takes the time from a request to the first bytes of its answer.
func (e *Endpoint) Answered(now, took time.Duration, s *Service) {
	e.answer.add(now, float64(took), endpointShare)
	s.answer.add(now, float64(took), serviceShare)
	s.answers++
}

// Unanswered takes note of a request that had no answer until its caller gave
// up. It counts as an answer of that time: an endpoint that accepts flows and
// leaves some of their requests undone is passed over like a slow one.
func (e *Endpoint) Unanswered(now, waited time.Duration) {
	e.answer.add(now, float64(waited), endpointShare)
}

// Silent takes note of a first packet, sent at the given time, that has had no
// reaction.
func (e *Endpoint) Silent(now, sent time.Duration) {
	if sent < e.lastLife {
		// The endpoint reacted to others since; this packet was lost.
		return
	}
	e.unanswered++
	e.trial = false
	pause := min(firstSuspicion<<min(e.unanswered-1, 8), longestSuspicion)
	e.suspectUntil = now + pause
}

// Left takes note of a flow whose first packet, sent here at the given time, had
// no reaction until another endpoint accepted the flow. Only then is it certain
// that the caller was there to react. It reports whether the endpoint is held
// for dead now.
func (e *Endpoint) Left(sent time.Duration) (dead bool) {
	if sent < e.lastLife || e.unanswered == 0 {
		return false
	}
	if e.left == 0 {
		e.firstLeft, e.lastLeft = sent, sent
	}
	e.left++
	e.firstLeft, e.lastLeft = min(e.firstLeft, sent), max(e.lastLeft, sent)
	return e.Dead()
}

// Dead reports whether the endpoint is held for dead: it left several flows to
// others over some time and gave no sign of life in between.
func (e *Endpoint) Dead() bool {
	return e.left >= deadAfter && e.lastLeft-e.firstLeft >= deadSpan
}

// DeadSince reports whether the endpoint is held for dead, and has left a flow to
// others that began after the given time. It may have come back since: nothing
// is known of flows that were opened later.
func (e *Endpoint) DeadSince(alive time.Duration) bool {
	return e.Dead() && e.lastLeft > alive
}

// Forgive drops what is known of the endpoint's behaviour, after a time in which
// the host itself could not have heard anything, or for another process.
func (e *Endpoint) Forgive() {
	e.unanswered, e.left = 0, 0
	e.trial = false
	e.own, e.heard = Tally{}, Tally{}
	e.answer = average{}
}

// Expected returns how long an answer of the endpoint to one more request is
// expected to take, from its requests in progress and its former times.
func (e *Endpoint) Expected(now time.Duration, s *Service) time.Duration {
	work := s.Usual()
	factor := e.Slowness(now, s)
	if now < e.Entry.WarmAt {
		factor = max(factor, coldFactor)
	}
	work = time.Duration(float64(work) * factor)
	return work + e.wait(work)
}

// Free reports whether a slot is free, as far as this host knows.
func (e *Endpoint) Free() bool { return e.Busy < max(e.Entry.Slots, 1) }

// wait returns the expected time until a slot is free.
func (e *Endpoint) wait(work time.Duration) time.Duration {
	if e.Free() {
		return 0
	}
	slots := max(e.Entry.Slots, 1)
	ahead := e.Busy - slots + 1
	return work * time.Duration(ahead) / time.Duration(slots)
}

// Usual returns the service's usual time to answer.
func (s *Service) Usual() time.Duration {
	if s.answer.value == 0 {
		return usualWork
	}
	return time.Duration(s.answer.value)
}

// Choice is the outcome of a choice, with the figures that decided it.
type Choice struct {
	Endpoint *Endpoint
	// Cost is the expected time to answer with all additions, Expected without.
	Cost     time.Duration
	Expected time.Duration
	// Candidates counts the endpoints that were considered, Suspects those of
	// them that were passed over.
	Candidates int
	Suspects   int
	// Trial tells that the endpoint was suspect and gets this flow to show
	// whether it is back.
	Trial bool
}

// Request is what a choice is made for.
type Request struct {
	Now    time.Duration
	Hash   uint64
	Domain string
	// FailureCost is what a failed request costs its caller: the time that it has
	// for all its tries.
	FailureCost time.Duration
	// Tried are endpoints that did not react to this flow before.
	Tried []*Endpoint
}

// Choose picks the endpoint with the least expected time to answer for a new
// flow. Among equal ones the flow's hash decides, alike on all hosts. The load
// that it answers is many short requests over endpoints with few slots: queues
// at single endpoints while others are free, cold and slow endpoints, endpoints
// that fail part of their requests or have died without a sign. The choice is empty if there is no candidate.
func Choose(r Request, s *Service, candidates []*Endpoint) Choice {
	best := Choice{Candidates: len(candidates)}
	var spare Choice
	var rank uint64
	var spareRank uint64
	for _, e := range candidates {
		if tried(r.Tried, e) {
			continue
		}
		suspect := e.Suspect(r.Now)
		c := Choice{Endpoint: e, Expected: e.Expected(r.Now, s), Trial: e.unanswered > 0 && !suspect}
		c.Cost = c.Expected + additions(e, r, s)
		score := mix(r.Hash, uint64(e.Entry.Token()))
		if suspect {
			best.Suspects++
			if spare.Endpoint == nil || c.better(spare, score, spareRank) {
				spare, spareRank = c, score
			}
			continue
		}
		if best.Endpoint == nil || c.better(best, score, rank) {
			c.Candidates, c.Suspects = best.Candidates, best.Suspects
			best, rank = c, score
		}
	}
	if best.Endpoint == nil || spare.Endpoint != nil && spare.Cost+suspectCost < best.Cost {
		spare.Candidates, spare.Suspects = best.Candidates, best.Suspects
		best = spare
	}
	if best.Trial {
		best.Endpoint.trial = true
	}
	return best
}

// better compares by cost, then by the flow's rank of the endpoint.
func (c Choice) better(other Choice, rank, otherRank uint64) bool {
	if c.Trial != other.Trial {
		// An endpoint whose suspicion has run out gets one flow as soon as there
		// is one: without it, it would never be cleared.
		return c.Trial
	}
	if c.Cost != other.Cost {
		return c.Cost < other.Cost
	}
	return rank < otherRank
}

// additions returns the cost of requests in free slots, of distance and of
// failures.
func additions(e *Endpoint, r Request, s *Service) time.Duration {
	cost := time.Duration(occupiedShare * float64(s.Usual()) * float64(e.Busy))
	if e.Entry.Domain != r.Domain {
		cost += distanceCost
	}
	return cost + time.Duration(e.Failing(r.Now, s)*float64(r.FailureCost))
}

func tried(list []*Endpoint, e *Endpoint) bool {
	for _, t := range list {
		if t == e {
			return true
		}
	}
	return false
}

// mix ranks an endpoint for a flow (rendezvous hashing, with the finalizer of
// SplitMix64).
func mix(hash, token uint64) uint64 {
	x := hash ^ token*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
