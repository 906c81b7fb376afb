// Package balance chooses endpoints for new flows and tracks the endpoints'
// health as seen in callers' packets. It reads no clock: all times are passed
// in, from one monotonic clock.
package balance

import (
	"time"

	"toucangap/internal/catalog"
)

// Parameters of the choice.
const (
	// coldStartFactor multiplies the expected answer time of an endpoint that has
	// just started. Endpoints do not report how slow they are; with a factor of 2
	// a free warm endpoint is preferred.
	coldStartFactor = 2.0
	// busySlotCost times the usual answer time is added for each request in
	// progress, even while slots are free: other hosts may have sent some, too.
	busySlotCost = 0.15
	// remoteDomainCost is added for endpoints of other failure domains: a round
	// trip between domains and the price of its bytes, but less than a wait for
	// a slot.
	remoteDomainCost = 4 * time.Millisecond
	// minSlowness is the ratio to the service's usual answer time from which an
	// endpoint counts as slow; smaller differences are mostly random.
	minSlowness = 1.6
	// initialAnswerTime is assumed until answers have been seen.
	initialAnswerTime = 20 * time.Millisecond
)

// Parameters of suspicion and of considering an endpoint dead.
const (
	// initialSuspicion is how long an endpoint is avoided after an unanswered
	// SYN; it doubles with each further one up to maxSuspicion. It is short because
	// a new flow sent to a dead endpoint as a trial costs its caller only some
	// milliseconds until failover, and a dead endpoint should be detected before
	// the callers that wait for it give up.
	initialSuspicion = 30 * time.Millisecond
	maxSuspicion     = time.Second
	// suspectPenalty is how much faster a suspect endpoint must be to be preferred
	// to the others: several handshake timeouts. After a network partition most
	// endpoints are suspect though they work; the others must not be overloaded.
	suspectPenalty = 60 * time.Millisecond
	// deadAfterUnanswered is the number of consecutive unanswered packets after which
	// an endpoint is considered dead, and minUnansweredGap the least time between two
	// that count: networks often lose packets in bursts.
	deadAfterUnanswered = 4
	minUnansweredGap    = 20 * time.Millisecond
	// trialSpan is how long new flows test an endpoint for a request that waits there.
	// It is shorter than the time until the request's next copy, which starts it again.
	trialSpan = 400 * time.Millisecond
)

// Endpoint is one host's observations of an endpoint.
type Endpoint struct {
	Entry *catalog.Entry
	// Domain is the endpoint's failure domain; nil if it is not observed.
	Domain *Domain
	// Open counts the flows at the endpoint, Busy those that wait for an answer.
	Open int
	Busy int

	// unansweredSYNs counts unanswered SYNs since the endpoint was last alive.
	unansweredSYNs int
	// failedOverSYNs counts those whose flow another endpoint has accepted.
	failedOverSYNs int
	// unansweredAt holds when the latest unanswered packets were sent whose callers were
	// certainly waiting, the oldest first, and unansweredPackets their number since the
	// endpoint was last alive.
	unansweredAt      [deadAfterUnanswered]time.Duration
	unansweredPackets int
	// suspectUntil is when the suspicion expires. The next flow is then a trial,
	// and probing is set until it has a result.
	suspectUntil time.Duration
	probing      bool
	// trialsUntil is until when new flows test the endpoint one after the other.
	trialsUntil time.Duration
	// lastAlive is when the endpoint last showed that it is alive.
	lastAlive time.Duration
	// answerTime averages the times from requests to the first bytes of answers.
	answerTime decayingAverage
	// ownTally counts outcomes seen here, reportedTally those seen by other hosts.
	ownTally      Tally
	reportedTally Tally
	// sinceReported counts the outcomes seen here since other hosts report failures.
	sinceReported Tally
	// notifiedFailing is what FailingChanged has reported last.
	notifiedFailing bool
}

// Service is the host's observations of a service's endpoints together.
type Service struct {
	answerTime decayingAverage
	// samples counts the answers whose times are in answerTime.
	samples int
	tally   Tally
	trouble trouble
}

// Suspect reports whether new flows currently avoid the endpoint: SYNs to it were
// unanswered, and the suspicion has not expired or a trial flow has no result yet.
func (e *Endpoint) Suspect(now time.Duration) bool {
	return e.unansweredSYNs > 0 && (now < e.suspectUntil || e.probing)
}

// UnansweredSYNs returns the number of consecutive SYNs without a handshake ACK.
func (e *Endpoint) UnansweredSYNs() int { return e.unansweredSYNs }

// Slowness returns the ratio of the endpoint's answer time to that of its
// service, at least 1.
func (e *Endpoint) Slowness(now time.Duration, s *Service) float64 {
	usual := s.answerTime.value
	if usual == 0 || e.answerTime.value < minSlowness*usual {
		// Since its last value the average has only come closer to the usual one.
		return 1
	}
	ratio := e.answerTime.at(now, usual) / usual
	if ratio < minSlowness {
		return 1
	}
	return ratio
}

// RecordAlive records a caller's packet that only a working endpoint can have
// caused. It reports whether SYNs were unanswered before.
func (e *Endpoint) RecordAlive(now time.Duration) (recovered bool) {
	recovered = e.unansweredSYNs > 0
	e.unansweredSYNs, e.failedOverSYNs, e.unansweredPackets = 0, 0, 0
	e.probing = false
	e.trialsUntil = 0
	e.lastAlive = now
	return recovered
}

// RecordRecovery records that an endpoint of the service with unanswered SYNs has shown
// that it is alive.
func (s *Service) RecordRecovery() { s.trouble.recovered() }

// AliveSince reports whether the endpoint was alive after the given time.
func (e *Endpoint) AliveSince(since time.Duration) bool { return e.lastAlive > since }

// RecordAnswer records the time from a request to the first bytes of its answer.
func (e *Endpoint) RecordAnswer(now, took time.Duration, s *Service) {
	e.answerTime.add(now, float64(took), endpointSmoothing)
	s.answerTime.add(now, float64(took), serviceSmoothing)
	s.samples++
}

// RecordTimeout records a request that had no answer until its caller gave up.
// It counts as an answer that took this long, so that an endpoint that accepts
// flows but does not answer some of their requests is avoided like a slow one.
func (e *Endpoint) RecordTimeout(now, waited time.Duration) {
	e.answerTime.add(now, float64(waited), endpointSmoothing)
}

// RecordUnansweredSYN records that a SYN sent at the given time had no handshake
// ACK.
func (e *Endpoint) RecordUnansweredSYN(now, sent time.Duration, s *Service) {
	if sent < e.lastAlive {
		// The endpoint was alive for others since; this packet was lost.
		return
	}
	s.trouble.unanswered(now)
	e.unansweredSYNs++
	e.probing = false
	pause := min(initialSuspicion<<min(e.unansweredSYNs-1, 8), maxSuspicion)
	if now < e.trialsUntil {
		pause = initialSuspicion
	}
	e.suspectUntil = now + pause
}

// RecordFailover records that another endpoint has accepted a flow whose SYN, sent here at
// the given time, is unanswered.
func (e *Endpoint) RecordFailover(sent time.Duration) {
	if sent >= e.lastAlive && e.failedOverSYNs < e.unansweredSYNs {
		e.failedOverSYNs++
	}
}

// MayRefuse reports whether SYNs are unanswered whose callers have gone: the endpoint may
// have answered them with resets.
func (e *Endpoint) MayRefuse() bool { return e.unansweredSYNs > e.failedOverSYNs }

// RecordUnanswered records that a packet, sent here at the given time, was unanswered
// although its caller was certainly waiting: another endpoint has accepted its flow, or
// the caller has sent it again. It reports whether the endpoint now counts as dead for
// flows that have waited long enough; see DeadSince.
func (e *Endpoint) RecordUnanswered(sent time.Duration) (dead bool) {
	n := e.unansweredPackets
	if sent < e.lastAlive || n > 0 && sent < e.unansweredAt[n-1]+minUnansweredGap {
		return false
	}
	if n == deadAfterUnanswered {
		copy(e.unansweredAt[:], e.unansweredAt[1:])
		n--
	}
	e.unansweredAt[n] = sent
	e.unansweredPackets = n + 1
	if e.unansweredPackets < deadAfterUnanswered {
		return false
	}
	e.trialsUntil = 0
	return true
}

// StartTrials makes the next new flows trials, one at a time and with short pauses,
// for trialSpan or until the endpoint is alive or considered dead. A request that
// waits there may be lost, and what is known of the endpoint may be older than it.
func (e *Endpoint) StartTrials(now time.Duration) {
	e.trialsUntil = now + trialSpan
	if !e.probing {
		e.suspectUntil = min(e.suspectUntil, now)
	}
}

// trialDue reports whether the next new flow tests the endpoint, unless its SYNs were
// unanswered too recently.
func (e *Endpoint) trialDue(now time.Duration) bool {
	return e.unansweredSYNs > 0 || now < e.trialsUntil && !e.probing || e.Domain.Unreachable()
}

// DeadSince reports whether the endpoint is considered dead by packets that were all sent
// at the given time or later. Earlier ones say nothing of that time: the endpoint may have
// been cut off and be reachable again, without a packet that shows it.
func (e *Endpoint) DeadSince(since time.Duration) bool {
	return e.unansweredPackets == deadAfterUnanswered && e.unansweredAt[0] >= since
}

// Reset discards observations of the endpoint, after a time in which the host
// itself could not have received packets, or for a restarted endpoint process.
func (e *Endpoint) Reset() {
	e.unansweredSYNs, e.failedOverSYNs, e.unansweredPackets = 0, 0, 0
	e.probing = false
	e.trialsUntil = 0
	e.ownTally, e.reportedTally, e.sinceReported = Tally{}, Tally{}, Tally{}
	e.answerTime = decayingAverage{}
}

// Expected returns the expected time to answer one more request, from the
// endpoint's requests in progress and its answer times so far.
func (e *Endpoint) Expected(now time.Duration, s *Service) time.Duration {
	work := s.UsualAnswerTime()
	factor := e.Slowness(now, s)
	if now < e.Entry.WarmAt {
		factor = max(factor, coldStartFactor)
	}
	work = time.Duration(float64(work) * factor)
	return work + e.queueWait(work)
}

// Free reports whether a slot is free, as far as this host knows.
func (e *Endpoint) Free() bool { return e.Busy < max(e.Entry.Slots, 1) }

// queueWait returns the expected time until a slot is free.
func (e *Endpoint) queueWait(work time.Duration) time.Duration {
	if e.Free() {
		return 0
	}
	slots := max(e.Entry.Slots, 1)
	ahead := e.Busy - slots + 1
	return work * time.Duration(ahead) / time.Duration(slots)
}

// UsualAnswerTime returns the service's average time to answer.
func (s *Service) UsualAnswerTime() time.Duration {
	if s.answerTime.value == 0 {
		return initialAnswerTime
	}
	return time.Duration(s.answerTime.value)
}

// Measured reports whether UsualAnswerTime comes from answers.
func (s *Service) Measured() bool { return s.answerTime.value > 0 }

// Choice is a chosen endpoint with the figures that decided it.
type Choice struct {
	Endpoint *Endpoint
	// Cost is the expected time to answer with all extra costs, Expected without.
	Cost     time.Duration
	Expected time.Duration
	// Candidates counts the endpoints given to Choose, Suspects the suspect ones
	// among them that had not been tried.
	Candidates int
	Suspects   int
	// Trial is set if the endpoint was suspect and gets this flow to test
	// whether it is back.
	Trial bool
}

// Request describes the flow that an endpoint is chosen for.
type Request struct {
	Now time.Duration
	// Hash is the flow's hash, Domain the host's failure domain.
	Hash   uint64
	Domain string
	// FailureCost is the cost of a failed request to its caller: the time that it
	// has for all its tries.
	FailureCost time.Duration
	// Tried are endpoints that were already sent this flow's SYN and got no
	// handshake ACK; they are not chosen again.
	Tried []*Endpoint
}

// Choose picks the endpoint with the lowest cost, mainly its expected time to
// answer, for a new flow. Ties are broken by the flow's hash, identically on
// all hosts. A suspect endpoint is chosen only if it is cheaper than the others
// by more than suspectPenalty, or if there is no other; one whose suspicion has
// expired is chosen first, as a trial, as often as trials have succeeded of late; see
// trouble. An endpoint of an unreachable domain is chosen as a trial, or if there is no
// other. Choose is designed for many short
// requests to endpoints with few slots, some of which are queueing while others
// are free, cold, slow, failing part of their requests, or dead without notice.
// The choice has no Endpoint if there is no candidate or all were tried.
func Choose(r Request, s *Service, candidates []*Endpoint) Choice {
	best := Preview(r, s, candidates)
	if best.Trial {
		best.Endpoint.probing = true
		best.Endpoint.Domain.chosenForTrial(r.Now)
	}
	s.trouble.chosen(best.Trial, len(r.Tried) > 0)
	return best
}

// Preview returns what Choose would return now and changes nothing.
func Preview(r Request, s *Service, candidates []*Endpoint) Choice {
	var best, bestSuspect Rank
	suspects := 0
	mayTry := r.mayTry(s)
	for _, e := range candidates {
		if contains(r.Tried, e) {
			continue
		}
		k := rank(e, &r, s, mayTry)
		if k.Suspect {
			suspects++
			if bestSuspect.Endpoint == nil || k.preferredTo(&bestSuspect) {
				bestSuspect = k
			}
			continue
		}
		if best.Endpoint == nil || k.preferredTo(&best) {
			best = k
		}
	}
	if bestSuspect.replaces(&best) {
		best = bestSuspect
	}
	return Choice{
		Endpoint: best.Endpoint, Cost: best.Cost, Expected: best.Expected,
		Candidates: len(candidates), Suspects: suspects, Trial: best.Trial,
	}
}

func contains(list []*Endpoint, e *Endpoint) bool {
	for _, t := range list {
		if t == e {
			return true
		}
	}
	return false
}
