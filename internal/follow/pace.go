package follow

import (
	"errors"
	"time"

	"toucangap/platform"
)

// pace is how fast the store answers. Calls get their time by it: with fixed limits, a store
// that answers a little later than these would never be read. The limits stay as short as
// the store permits, since a call whose answer was lost delays the next one.
type pace struct {
	// response is the time that the last answer took, beyond the wait of a watch, former
	// that of the one before.
	response, former time.Duration
	// stalled counts the listings and probes in a row that got no answer in their time.
	stalled int
}

// stalledPerStep is the number of unanswered calls after which the next ones get more time.
const stalledPerStep = 2

// callLimit returns how long a listing or a probe waits for the store's answer to begin.
func (p *pace) callLimit(t Timings) time.Duration {
	steps := 1 + p.stalled/stalledPerStep
	return min(max(t.CallTimeout*time.Duration(steps), 2*p.response), t.longestCall())
}

// watchLimits returns for how long a watch may wait for changes, at most the given time, and
// how much longer for the answer to begin. What answers take longer than usual shortens the
// wait, so that the state does not get older than usual. One late answer is no reason.
func (p *pace) watchLimits(t Timings, longest time.Duration) (wait, slack time.Duration) {
	slackFor := func(response time.Duration) time.Duration {
		return min(max(t.WatchSlack, 2*response), t.longestCall())
	}
	extra := slackFor(min(p.response, p.former)) - t.WatchSlack
	return max(min(longest, t.WatchWait-extra), minWait), slackFor(p.response)
}

// called records how long a listing or a probe took to answer, or that it was not answered.
func (p *pace) called(took time.Duration, err error) {
	if errors.Is(err, platform.ErrStalled) {
		p.stalled++
		return
	}
	p.stalled, p.response, p.former = 0, took, took
}

// watched records an answered watch. One with changes may have been answered before the
// end of its wait.
func (p *pace) watched(took, wait time.Duration, changed bool) {
	response := max(0, took-wait)
	if changed {
		response = min(max(p.response, response), took)
	}
	p.response, p.former = response, p.response
}
