package relayd

import (
	"testing"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/stretchr/testify/require"

	"toucangap/internal/follow"
)

// staleBound is the bound on changes of these tests; with it, a call takes 1.6 s at most.
const staleBound = 4800 * time.Millisecond

func newStalenessDetector() *stalenessDetector {
	return &stalenessDetector{bound: staleBound, timings: follow.NewTimings(staleBound), transferLimit: maxStaleTransfer}
}

// oldSnapshot is that of a host whose state is 10 s old and whose last call to the store
// got no answer.
func oldSnapshot() stateSnapshot {
	return stateSnapshot{
		now:    100 * time.Second,
		asOf:   90 * time.Second,
		source: sourceState{name: storeSource, since: time.Second},
		store: follow.Health{
			BegunAt: 99 * time.Second, Running: true, Outcome: follow.OutcomeSilent, Err: merry.New("timed out"),
		},
		answeredAt: 90 * time.Second,
	}
}

// TestReasonsForAnOldState guards against a line that blames the store for a fault of the
// host or of a peer, or the reverse: the operator would look in the wrong place.
func TestReasonsForAnOldState(t *testing.T) {
	answered := func(o follow.Outcome) func(s *stateSnapshot) {
		return func(s *stateSnapshot) { s.store.Outcome = o }
	}
	peer := sourceState{name: "b", since: 92 * time.Second, updatedAt: 99 * time.Second}
	for _, c := range []struct {
		name   string
		want   staleReason
		change func(s *stateSnapshot)
	}{
		{"no answer", reasonSourceSilent, func(*stateSnapshot) {}},
		{"no call has ended", reasonSourceSilent, func(s *stateSnapshot) { s.store.Outcome, s.store.Err = follow.OutcomeNone, nil }},
		{"call refused", reasonRejected, answered(follow.OutcomeRejected)},
		{"answer unreadable", reasonUnreadable, answered(follow.OutcomeUnreadable)},
		{"answer of another incarnation", reasonOutdated, answered(follow.OutcomeOutdated)},
		{"answers ignored", reasonNotApplied, func(s *stateSnapshot) {
			s.store = follow.Health{BegunAt: s.now, Running: true, Outcome: follow.OutcomeSucceeded}
			s.answeredAt = s.now
		}},
		{"the last call succeeded, the next one is silent", reasonSourceSilent, func(s *stateSnapshot) {
			s.store.Outcome, s.store.Err = follow.OutcomeSucceeded, nil
		}},
		{"no call begun", reasonNotReading, func(s *stateSnapshot) { s.store.BegunAt = s.now - staleBound - 1 }},
		{"call has just begun after a feed", reasonSourceSilent, func(s *stateSnapshot) {
			s.store.BegunAt, s.source.since = time.Second, s.now
		}},
		{"pages arrive in a long call", reasonSourceSilent, func(s *stateSnapshot) {
			s.store.BegunAt, s.answeredAt = time.Second, s.now
		}},
		{"peer is old", reasonSourceOld, func(s *stateSnapshot) { s.source = peer }},
		{"peer is silent", reasonSourceSilent, func(s *stateSnapshot) {
			s.source = peer
			s.source.updatedAt = s.now - 2*time.Second
		}},
		{"peer is silent, store was refusing before", reasonSourceSilent, func(s *stateSnapshot) {
			s.source, s.store.Outcome = peer, follow.OutcomeRejected
			s.source.updatedAt = s.now - 2*time.Second
		}},
		{"peer is being connected since the store refuses", reasonRejected, func(s *stateSnapshot) {
			s.source, s.store.Outcome = peer, follow.OutcomeRejected
			s.source.updatedAt = 0
		}},
		{"peer is being connected", reasonSourceSilent, func(s *stateSnapshot) {
			s.source, s.store = peer, follow.Health{Outcome: follow.OutcomeSucceeded}
			s.source.updatedAt = 0
		}},
		{"control goroutine is busy", reasonApplyingBusy, func(s *stateSnapshot) {
			s.task = runningTask{"apply", s.now - 2*time.Second}
			s.store.Outcome = follow.OutcomeRejected
		}},
		{"control goroutine has begun a task", reasonSourceSilent, func(s *stateSnapshot) {
			s.task = runningTask{"apply", s.now - time.Millisecond}
		}},
	} {
		d, s := newStalenessDetector(), oldSnapshot()
		c.change(&s)
		require.Equal(t, staleBegun, d.update(&s), c.name)
		require.Equal(t, c.want, d.reason, c.name)
	}
}

// TestOldStateIsReportedOnChange guards against a line for each check, and against an end
// that is reported while the state is still old.
func TestOldStateIsReportedOnChange(t *testing.T) {
	d, s := newStalenessDetector(), oldSnapshot()
	check := func(advance time.Duration) staleChange {
		s.now += advance
		s.store.BegunAt = s.now
		return d.update(&s)
	}
	s.now = s.asOf + staleBound
	require.Equal(t, staleUnchanged, check(0), "not older than the bound")
	require.Equal(t, staleBegun, check(stalenessInterval))
	require.Equal(t, staleUnchanged, check(stalenessInterval))
	s.store.Outcome = follow.OutcomeRejected
	require.Equal(t, staleUnchanged, check(stalenessInterval), "reasons that alternate are not reported each time")
	for range 20 {
		if check(stalenessInterval) == staleBegun {
			break
		}
	}
	require.Equal(t, reasonRejected, d.reason)
	s.asOf = s.now + stalenessInterval - staleBound
	require.Equal(t, staleEnded, check(stalenessInterval))
	reason, oldFor := d.ended(s.now)
	require.Equal(t, reasonRejected, reason)
	require.Equal(t, s.now-90*time.Second-staleBound, oldFor)
	require.Equal(t, staleUnchanged, check(0))
}

// TestPausedHostIsNotOld guards against a report of a host that was paused before its next
// call can have been answered, and against a pause that hides an old state for good.
func TestPausedHostIsNotOld(t *testing.T) {
	d, s := newStalenessDetector(), oldSnapshot()
	s.asOf = s.now - time.Second
	require.Equal(t, staleUnchanged, d.update(&s))
	s.now += time.Minute
	checks := 0
	for ; checks < 1000; checks++ {
		s.store.BegunAt = s.now
		if d.update(&s) == staleBegun {
			break
		}
		s.now += stalenessInterval
	}
	after := time.Duration(checks) * stalenessInterval
	require.Greater(t, after, d.timings.NormalAge(), "a call without changes takes that long")
	require.LessOrEqual(t, after, staleBound)
}

// TestPauseIsForgotten guards against a state that becomes old after a pause and is not
// reported for as long as the pause was.
func TestPauseIsForgotten(t *testing.T) {
	d, s := newStalenessDetector(), oldSnapshot()
	s.asOf = s.now
	require.Equal(t, staleUnchanged, d.update(&s))
	s.now += time.Minute
	require.Equal(t, staleUnchanged, d.update(&s))
	s.now += stalenessInterval
	s.asOf, s.store.BegunAt = s.now, s.now
	require.Equal(t, staleUnchanged, d.update(&s))
	for s.age() <= staleBound {
		s.now += stalenessInterval
		s.store.BegunAt = s.now
		if d.update(&s) == staleBegun {
			break
		}
	}
	require.Equal(t, reasonSourceSilent, d.reason)
}

// TestPausesDoNotHideAnOldState guards against a host that is paused again and again, whose
// state becomes old in the time that it runs.
func TestPausesDoNotHideAnOldState(t *testing.T) {
	d, s := newStalenessDetector(), oldSnapshot()
	s.asOf = s.now
	ran := time.Duration(0)
	for d.update(&s) != staleBegun {
		require.LessOrEqual(t, ran, 2*staleBound)
		for range 4 {
			s.now += stalenessInterval
			ran += stalenessInterval
			s.store.BegunAt = s.now
			if d.update(&s) == staleBegun {
				return
			}
		}
		s.now += 2 * time.Second
	}
}

// TestInterruptedSources guards against a host that waits for a source for ever, and against
// one that breaks off what its sources are sending, or calls that end by themselves.
func TestInterruptedSources(t *testing.T) {
	peer := sourceState{name: "b", since: 10 * time.Second}
	for _, c := range []struct {
		name   string
		want   bool
		change func(s *stateSnapshot)
	}{
		{"a call that should have ended", true, func(*stateSnapshot) {}},
		{"a call in an outage", false, func(s *stateSnapshot) { s.attemptAt = s.now - 3*time.Second }},
		{"no call in progress", false, func(s *stateSnapshot) { s.attemptAt = 0 }},
		{"a long answer arrives", false, func(s *stateSnapshot) { s.receivedAt = s.now - time.Second }},
		{"the first listing", false, func(s *stateSnapshot) { s.asOf = 0 }},
		{"the state is current", false, func(s *stateSnapshot) { s.asOf = s.now }},
		{"the control goroutine is busy", false, func(s *stateSnapshot) { s.task = runningTask{"apply", s.now - 2*time.Second} }},
		{"a silent feed", true, func(s *stateSnapshot) { s.source = peer }},
		{"a feed sends a large update", false, func(s *stateSnapshot) { s.source, s.receivedAt = peer, s.now }},
		{"a feed sends, but nothing current", true, func(s *stateSnapshot) {
			s.source, s.receivedAt, s.asOf = peer, s.now, s.now-staleBound-maxStaleTransfer-1
			s.attemptAt = peer.since
		}},
		{"a feed has begun to send", false, func(s *stateSnapshot) {
			s.source, s.receivedAt, s.asOf, s.attemptAt = peer, s.now, time.Second, s.now-9*time.Second
		}},
	} {
		d, s := newStalenessDetector(), oldSnapshot()
		s.attemptAt, s.receivedAt = 90*time.Second, 95*time.Second
		c.change(&s)
		d.update(&s)
		require.Equal(t, c.want, d.interrupts(&s), c.name)
		s.now += stalenessInterval
		d.update(&s)
		require.False(t, c.want && d.interrupts(&s), "%s: again at once", c.name)
	}
}
