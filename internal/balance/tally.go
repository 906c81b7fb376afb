package balance

import (
	"math"
	"time"
)

const (
	// tallyHalfLife is the time in which an answer's weight in a tally halves: an
	// endpoint that fails requests for some seconds is found within a few answers,
	// and tried again some time after it has got better.
	tallyHalfLife = 6 * time.Second
	// mostAnswers bounds the answers of a tally, so that a long good record does
	// not hide a change and a long bad one is outlived.
	mostAnswers = 24.0
	// assumedGood is how many good answers are assumed of an endpoint that little
	// is known of; one bad answer alone does not condemn it.
	assumedGood = 4.0
	// overdueFactor is the multiple of the service's usual time to answer from
	// which a request counts as failed before its caller gives up: endpoints that
	// accept flows and leave requests undone must not go on drawing others.
	overdueFactor = 4
	// answersNeeded is the number of answers after which the usual time is known,
	// and never is longer than any request waits.
	answersNeeded = 20
	never         = time.Hour
	// commonFailures is the multiple of the whole service's share of failed
	// requests that an endpoint may have: while many fail, in a crowd or after an
	// outage, differences are luck, and to leave out those that had less of it
	// would drown the others.
	commonFailures = 1.5
	// tolerableFailures is the share of failed requests beyond that which is put
	// down to luck.
	tolerableFailures = 0.05
)

// Tally counts answers and the failed ones among them; both fade.
type Tally struct {
	Answers float64
	Failed  float64
	updated time.Duration
}

// At returns the tally as it has faded until now.
func (t Tally) At(now time.Duration) Tally {
	left := math.Exp2(-float64(now-t.updated) / float64(tallyHalfLife))
	return Tally{Answers: t.Answers * left, Failed: t.Failed * left, updated: now}
}

// add counts one more answer.
func (t *Tally) add(now time.Duration, failed bool) {
	*t = t.At(now)
	t.Answers++
	if failed {
		t.Failed++
	}
}

// limit bounds the answers that count.
func (t *Tally) limit(most float64) {
	if excess := t.Answers / most; excess > 1 {
		t.Answers /= excess
		t.Failed /= excess
	}
}

// share returns the share of failed answers.
func (t Tally) share() float64 { return t.Failed / (t.Answers + assumedGood) }

// Judged takes whether a request of the endpoint ended well.
func (e *Endpoint) Judged(now time.Duration, failed bool, s *Service) {
	e.own.add(now, failed)
	e.own.limit(mostAnswers)
	// The service's tally has no bound: what all endpoints went through must be
	// remembered for as long as what each of them did.
	s.tally.add(now, failed)
}

// Overdue returns the time from which an answer has been outstanding for too
// long; never while too few answers have been seen.
func (s *Service) Overdue() time.Duration {
	if s.answers < answersNeeded {
		return never
	}
	return overdueFactor * s.Usual()
}

// Hear takes what the other hosts of the failure domain have seen of the
// endpoint, all of them together.
func (e *Endpoint) Hear(now time.Duration, t Tally) {
	t.updated = now
	e.heard = t
}

// leastTold is the number of failed answers, as faded, from which other hosts
// are told of an endpoint.
const leastTold = 0.25

// mostCommon is the share of all requests of a service that fail at a host from
// which it tells the others nothing: when so many fail, its own link or processor
// may be the cause.
const mostCommon = 0.1

// Tell returns what this host has seen of the endpoint; ok is false if there is
// nothing that others should know. What has faded is forgotten.
func (e *Endpoint) Tell(now time.Duration, s *Service) (t Tally, ok bool) {
	if e.own.Failed == 0 || s.tally.share() > mostCommon {
		return Tally{}, false
	}
	t = e.own.At(now)
	if t.Failed < leastTold {
		// It is too little to matter here as well.
		e.own.Failed = 0
		return Tally{}, false
	}
	return t, true
}

// The shares from which an endpoint is said to fail, and below which to be well
// again.
const (
	failingFrom  = 0.15
	failingUntil = 0.02
)

// Turned reports whether the endpoint has begun or ceased to fail requests
// noticeably since the last call.
func (e *Endpoint) Turned(now time.Duration, s *Service) (failing, turned bool) {
	share := e.Failing(now, s)
	if e.saidFailing && share >= failingUntil || !e.saidFailing && share < failingFrom {
		return e.saidFailing, false
	}
	e.saidFailing = !e.saidFailing
	return e.saidFailing, true
}

// Failing returns the share of requests that the endpoint fails beyond what its
// service as a whole does and what may be luck. When all endpoints of a service
// fail alike there is nothing to choose.
func (e *Endpoint) Failing(now time.Duration, s *Service) float64 {
	if e.own.Failed == 0 && e.heard.Failed == 0 {
		return 0
	}
	if e.own.share()+e.heard.share() <= tolerableFailures {
		// Shares fall as tallies fade, so that the exact one is lower still. Choices
		// go over all endpoints of a service, and nearly all end here.
		return 0
	}
	return max(0, e.Record(now).share()-commonFailures*s.tally.At(now).share()-tolerableFailures)
}

// Record returns what all hosts of the domain have seen of the endpoint.
func (e *Endpoint) Record(now time.Duration) Tally {
	own, heard := e.own.At(now), e.heard.At(now)
	return Tally{Answers: own.Answers + heard.Answers, Failed: own.Failed + heard.Failed, updated: now}
}
