package relayd

import (
	"time"

	"toucangap/internal/follow"
)

// staleReason is why a host's state of the store is old; empty if it is not.
type staleReason string

const (
	// reasonApplyingBusy: the control goroutine is in one task, so that nothing is applied.
	reasonApplyingBusy staleReason = "applying_busy"
	// reasonUnreadable: the store answers, but not in its format.
	reasonUnreadable staleReason = "answers_unreadable"
	// reasonOutdated: the store answers with the state of another incarnation than the
	// host waits for, or without the history that the host needs.
	reasonOutdated staleReason = "answers_outdated"
	// reasonRejected: the store refuses the calls.
	reasonRejected staleReason = "store_rejects"
	// reasonSourceSilent: the source sends nothing.
	reasonSourceSilent staleReason = "source_silent"
	// reasonSourceOld: the host that feeds this one sends updates, but they are old.
	reasonSourceOld staleReason = "source_old"
	// reasonNotReading: no call to the store has begun.
	reasonNotReading staleReason = "not_reading"
	// reasonNotApplied: calls succeed, but the state does not become more current.
	reasonNotApplied staleReason = "answers_not_applied"
)

// stateSnapshot is what a host knows of its state of the store and of the work on it.
// The times are on the boot-time clock.
type stateSnapshot struct {
	now time.Duration
	// asOf is the time as of which the state is current.
	asOf time.Duration
	// task is the control goroutine's task in progress, key that of the change that it
	// applies.
	task   runningTask
	key    string
	source sourceState
	store  follow.Health
	// answeredAt is when an answer of the store was last read, 0 if none was.
	answeredAt time.Duration
	// attemptAt is when the syncer began to wait for the source that it uses now, 0 if it
	// does not wait; receivedAt is when something of an answer arrived last since.
	attemptAt  time.Duration
	receivedAt time.Duration
}

func (s *stateSnapshot) age() time.Duration { return s.now - s.asOf }

// busyFor returns how long the control goroutine's task in progress has taken.
func (s *stateSnapshot) busyFor() time.Duration {
	if s.task.name == "" {
		return 0
	}
	return s.now - s.task.since
}

// staleChange is what has become of a host's state since the last check.
type staleChange int

const (
	staleUnchanged staleChange = iota
	// staleBegun: the state has become old, or is so for another reason.
	staleBegun
	staleEnded
)

// stalenessDetector decides whether a host's state is old, and why. It makes no calls and
// reads no clocks.
type stalenessDetector struct {
	// bound is the time within which changes must be in force.
	bound   time.Duration
	timings follow.Timings
	// reason is empty while the state is current. reported is the one reported last,
	// reportedAt when it was, and oldSince when the state's age reached the bound.
	reason     staleReason
	reported   staleReason
	reportedAt time.Duration
	oldSince   time.Duration
	// checkedAt is the time of the last check, paused the time for which the process was
	// paused since the state was current, and resumedAt when that was noticed last.
	checkedAt time.Duration
	paused    time.Duration
	resumedAt time.Duration
	// transferLimit is how long a source may send while the state stays old; interruptedAt
	// is when one was interrupted last, 0 if none was.
	transferLimit time.Duration
	interruptedAt time.Duration
}

// update reports what has changed since the last check. While the reason changes often, it
// is reported once per bound.
func (d *stalenessDetector) update(s *stateSnapshot) staleChange {
	d.notePause(s)
	if s.age() <= d.bound+d.paused {
		if d.reason == "" || s.age() > d.bound {
			return staleUnchanged
		}
		return staleEnded
	}
	if d.reason == "" {
		d.oldSince = s.asOf + d.bound
	}
	d.reason = d.reasonOf(s)
	if d.reason == d.reported || d.reported != "" && s.now-d.reportedAt < d.bound {
		return staleUnchanged
	}
	d.reported, d.reportedAt = d.reason, s.now
	return staleBegun
}

// ended forgets the reason, and returns the one reported last and for how long the state
// was old.
func (d *stalenessDetector) ended(now time.Duration) (reported staleReason, oldFor time.Duration) {
	reported, d.reported, d.reason = d.reported, "", ""
	return reported, now - d.oldSince
}

// maxStaleTransfer is how long another host may send a complete state, which takes seconds
// over a link that many hosts share, while this host's state is old.
const maxStaleTransfer = 10 * time.Second

// interrupts reports whether the syncer's attempt must end, so that it tries the next
// source: the attempt lasts for longer than one without changes does, and has not made the
// state current. An answer that arrives is waited for; calls to the store bound that by
// themselves. It reports so at most once per bound, as reaching a source takes time.
func (d *stalenessDetector) interrupts(s *stateSnapshot) bool {
	switch {
	case d.reason == "", d.reason == reasonApplyingBusy, s.asOf == 0, s.attemptAt == 0,
		s.now-s.attemptAt <= d.timings.MaxAge,
		d.interruptedAt > 0 && s.now-d.interruptedAt < d.bound:
		return false
	}
	if s.now-s.receivedAt <= d.timings.SilenceTimeout &&
		(s.source.name == storeSource || min(s.now-s.attemptAt, s.age()-d.bound) <= d.transferLimit) {
		return false
	}
	d.interruptedAt = s.now
	return true
}

// notePause detects that the process did not run. The time of a pause does not count for
// as long as the sources need to bring the state up to date afterwards.
func (d *stalenessDetector) notePause(s *stateSnapshot) {
	if s.asOf > d.resumedAt || s.now-d.resumedAt > d.timings.MaxAge {
		d.paused = 0
	}
	if gap := s.now - d.checkedAt; d.checkedAt > 0 && gap > stalenessInterval+pauseThreshold {
		d.paused += gap
		d.resumedAt = s.now
	}
	d.checkedAt = s.now
}

// reasonOf returns why an old state is old.
func (d *stalenessDetector) reasonOf(s *stateSnapshot) staleReason {
	// Tasks take milliseconds, so one that takes as long as a call explains the age.
	if s.busyFor() > d.timings.CallTimeout {
		return reasonApplyingBusy
	}
	if s.source.name != storeSource && s.source.name != "" {
		switch {
		case s.source.updatedAt == 0 && s.store.Err != nil:
			// The other host is being connected since the store failed.
			return d.storeReason(s)
		case s.source.updatedAt == 0 || s.now-s.source.updatedAt > d.timings.SilenceTimeout:
			return reasonSourceSilent
		}
		return reasonSourceOld
	}
	if s.now-max(s.store.BegunAt, s.answeredAt, s.source.since) > d.bound {
		return reasonNotReading
	}
	return d.storeReason(s)
}

// storeReason returns why a state that comes from the store is old.
func (d *stalenessDetector) storeReason(s *stateSnapshot) staleReason {
	switch s.store.Outcome {
	case follow.OutcomeRejected:
		return reasonRejected
	case follow.OutcomeUnreadable:
		return reasonUnreadable
	case follow.OutcomeOutdated:
		return reasonOutdated
	case follow.OutcomeSucceeded:
		if s.now-s.answeredAt <= d.bound {
			return reasonNotApplied
		}
	}
	return reasonSourceSilent
}
