package balance

import (
	"math"
	"time"
)

const (
	// tallyHalfLife is the half-life of an answer's weight in a tally: an endpoint
	// that fails requests for some seconds is detected within a few answers, and
	// tried again some time after it has recovered.
	tallyHalfLife = 6 * time.Second
	// maxTallyAnswers limits the answers of a tally, so that a long history of
	// successes or failures does not hide a change.
	maxTallyAnswers = 24.0
	// priorGoodAnswers is the number of good answers assumed of each endpoint, so
	// that a single failed answer does not mark it as failing.
	priorGoodAnswers = 4.0
	// overdueFactor is the multiple of the service's usual answer time after which
	// a request counts as failed before its caller gives up: endpoints that accept
	// flows without answering requests must not continue to attract others.
	overdueFactor = 4
	// minAnswerSamples is the number of answers needed to know the usual answer
	// time. Until then no request is overdue: overdueNever is longer than any
	// request waits.
	minAnswerSamples = 20
	overdueNever     = time.Hour
	// serviceFailureFactor is the multiple of the whole service's share of failed
	// requests that an endpoint may have: while many fail, in overload or after an
	// outage, differences are random, and excluding the unlucky endpoints would
	// overload the others.
	serviceFailureFactor = 1.5
	// toleratedFailureShare is the share of failed requests, beyond that multiple,
	// that is attributed to chance.
	toleratedFailureShare = 0.05
)

// Tally counts answers and the failed ones among them; both decay over time.
type Tally struct {
	Answers float64
	Failed  float64
	updated time.Duration
}

// At returns the tally decayed to the given time.
func (t Tally) At(now time.Duration) Tally {
	weight := math.Exp2(-float64(now-t.updated) / float64(tallyHalfLife))
	return Tally{Answers: t.Answers * weight, Failed: t.Failed * weight, updated: now}
}

// add counts an answer.
func (t *Tally) add(now time.Duration, failed bool) {
	*t = t.At(now)
	t.Answers++
	if failed {
		t.Failed++
	}
}

// limit scales the tally down to at most the given number of answers; the share
// of failed ones stays.
func (t *Tally) limit(most float64) {
	if excess := t.Answers / most; excess > 1 {
		t.Answers /= excess
		t.Failed /= excess
	}
}

// share returns the share of failed answers, counting priorGoodAnswers more good
// ones.
func (t Tally) share() float64 { return t.Failed / (t.Answers + priorGoodAnswers) }

// RecordOutcome records whether a request at the endpoint failed.
func (e *Endpoint) RecordOutcome(now time.Duration, failed bool, s *Service) {
	e.ownTally.add(now, failed)
	e.ownTally.limit(maxTallyAnswers)
	if e.reportedTally.Failed < minReportedFailures {
		e.sinceReported = Tally{}
	} else {
		e.sinceReported.add(now, failed)
		e.sinceReported.limit(maxTallyAnswers)
	}
	// The service's tally has no limit: the failures of all endpoints together
	// must count for as long as those of each endpoint.
	s.tally.add(now, failed)
}

// OverdueAfter returns how long an answer may be outstanding before its request
// counts as failed; overdueNever while too few answers have been seen.
func (s *Service) OverdueAfter() time.Duration {
	if s.samples < minAnswerSamples {
		return overdueNever
	}
	return overdueFactor * s.UsualAnswerTime()
}

// SetReported replaces the sum of the failure reports on the endpoint from the
// other hosts of the failure domain.
func (e *Endpoint) SetReported(now time.Duration, t Tally) {
	t.updated = now
	e.reportedTally = t
}

// minReportedFailures is the decayed number of failed answers from which an
// endpoint is in the failure reports to other hosts.
const minReportedFailures = 0.25

// maxServiceFailureShare is the share of failed requests of a whole service above
// which a host sends no failure reports: when so many fail, the host's own link
// or processor may be the cause.
const maxServiceFailureShare = 0.1

// FailureTally returns this host's tally of the endpoint for a failure report; ok
// is false if there is nothing to report. Failures that have decayed below
// minReportedFailures are cleared.
func (e *Endpoint) FailureTally(now time.Duration, s *Service) (t Tally, ok bool) {
	if e.ownTally.Failed == 0 || s.tally.share() > maxServiceFailureShare {
		return Tally{}, false
	}
	t = e.ownTally.At(now)
	if t.Failed < minReportedFailures {
		// Too little to matter on this host as well.
		e.ownTally.Failed = 0
		return Tally{}, false
	}
	return t, true
}

// AnswerTally returns this host's tally of an endpoint that other hosts report, for a
// failure report; ok is false if it has none, or other hosts report no failures. Without
// the answers of hosts that saw no failure, the failures of few hosts would be compared
// with the answers of these alone: with twenty hosts and heavy-tailed work, endpoints in
// order would count as failing. Only answers since the first report count, since those
// from before an endpoint began to fail would hide it for seconds.
func (e *Endpoint) AnswerTally(now time.Duration, s *Service) (t Tally, ok bool) {
	if e.reportedTally.Failed < minReportedFailures || s.tally.share() > maxServiceFailureShare {
		return Tally{}, false
	}
	t = e.sinceReported.At(now)
	return t, t.Answers > 0
}

// The shares from which an endpoint is reported as failing, and below which as
// recovered.
const (
	failingThreshold   = 0.15
	recoveredThreshold = 0.02
)

// FailingChanged returns whether the endpoint is failing requests, and whether
// that has changed since the last call.
func (e *Endpoint) FailingChanged(now time.Duration, s *Service) (failing, changed bool) {
	share := e.ExcessFailureShare(now, s)
	if e.notifiedFailing && share >= recoveredThreshold || !e.notifiedFailing && share < failingThreshold {
		return e.notifiedFailing, false
	}
	e.notifiedFailing = !e.notifiedFailing
	return e.notifiedFailing, true
}

// ExcessFailureShare returns the share of requests that the endpoint fails in
// excess of its service's share and of random variation. When all endpoints of a
// service fail alike, none is worse.
func (e *Endpoint) ExcessFailureShare(now time.Duration, s *Service) float64 {
	if e.ownTally.Failed == 0 && e.reportedTally.Failed == 0 {
		return 0
	}
	if e.ownTally.share()+e.reportedTally.share() <= toleratedFailureShare {
		// Shares only fall as tallies decay, so the exact one is lower still. This
		// shortcut covers nearly all endpoints, and each choice visits all of them.
		return 0
	}
	return max(0, e.CombinedTally(now).share()-serviceFailureFactor*s.tally.At(now).share()-toleratedFailureShare)
}

// CombinedTally returns the endpoint's tally over all hosts of the domain.
func (e *Endpoint) CombinedTally(now time.Duration) Tally {
	ownTally, reportedTally := e.ownTally.At(now), e.reportedTally.At(now)
	return Tally{Answers: ownTally.Answers + reportedTally.Answers, Failed: ownTally.Failed + reportedTally.Failed, updated: now}
}
