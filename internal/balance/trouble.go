package balance

import "time"

const (
	// troubleMemory is how long after an unanswered SYN a trouble lasts.
	troubleMemory = 3 * time.Second
	// troubledSYNs is the number of unanswered SYNs from which it is one: single ones
	// are lost packets.
	troubledSYNs = 3
	// maxTrialInterval is the highest number of new flows of which one is a trial.
	maxTrialInterval = 8
)

// trouble is a time in which SYNs to endpoints of one service are unanswered. It answers
// many endpoints that end together while the store can't tell: they look free, a
// refusal ends a caller's attempt at once, and each host would try each of them again
// and again, before all others. Of several new flows only one tests a suspect endpoint,
// fewer while the tests fail.
type trouble struct {
	// last is when an unanswered SYN was recorded last, count their number since the
	// trouble began.
	last  time.Duration
	count int
	// trialInterval is the number of new flows of which one may be a trial, up to
	// maxTrialInterval; sinceTrial counts those after the last trial.
	trialInterval, sinceTrial int
}

func (t *trouble) unanswered(now time.Duration) {
	if now > t.last+troubleMemory {
		t.count = 0
	}
	t.last = now
	t.count++
	t.trialInterval = min(max(1, 2*t.trialInterval), maxTrialInterval)
}

// recovered makes the next flow a trial: endpoints that went together often come back
// together.
func (t *trouble) recovered() { t.trialInterval = 1 }

// allowsTrial reports whether a flow may go to an endpoint whose suspicion has expired.
// A SYN that fails over has waited already and is no trial.
func (t *trouble) allowsTrial(now time.Duration, failover bool) bool {
	if t.count < troubledSYNs || now > t.last+troubleMemory {
		return true
	}
	return !failover && t.sinceTrial+1 >= t.trialInterval
}

// chosen records a choice.
func (t *trouble) chosen(trial, failover bool) {
	switch {
	case trial:
		t.sinceTrial = 0
	case !failover:
		t.sinceTrial++
	}
}
