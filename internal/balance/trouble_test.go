package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// troubled makes the first n endpoints leave a SYN unanswered at the given time.
func troubled(all []*Endpoint, s *Service, n int, at time.Duration) {
	for _, e := range all[:n] {
		e.RecordUnansweredSYN(at+10*ms, at, s)
	}
}

// TestProvenEndpointsArePreferredInTrouble: several endpoints have ended at once. The
// others may have too, except those that were alive since; these get the flows, until
// their queues cost more than a try.
func TestProvenEndpointsArePreferredInTrouble(t *testing.T) {
	all := endpoints(10, "here")
	var s Service
	seedAnswerTimes(&s, all, 20*ms)
	troubled(all, &s, troubledSYNs, time.Second)
	proven := all[9]
	proven.RecordAlive(time.Second + 5*ms)
	for hash := range uint64(50) {
		require.Same(t, proven, Choose(request(time.Second+15*ms, hash), &s, all).Endpoint)
	}
	for range 8 {
		Choose(request(time.Second+15*ms, 7), &s, all).Endpoint.Busy++
	}
	require.Less(t, proven.Busy, 6, "others are tried in the end")
	later := time.Second + 10*ms + troubleMemory + 1
	for _, e := range all {
		e.Busy = 0
	}
	counts := make(map[*Endpoint]int)
	for hash := range uint64(200) {
		counts[Choose(request(later, hash), &s, all[3:]).Endpoint]++
	}
	require.Len(t, counts, 7, "the trouble is over")
}

// TestLostPacketsAreNoTrouble: single unanswered SYNs change nothing for others.
func TestLostPacketsAreNoTrouble(t *testing.T) {
	all := endpoints(10, "here")
	var s Service
	for i := range 20 {
		at := time.Duration(i) * 2 * troubleMemory
		troubled(all, &s, troubledSYNs-1, at)
		all[9].RecordAlive(at + ms)
		counts := make(map[*Endpoint]int)
		for hash := range uint64(200) {
			counts[Choose(request(at+11*ms, hash), &s, all[troubledSYNs:]).Endpoint]++
		}
		require.Greater(t, len(counts), 5)
		for _, e := range all {
			e.Reset()
		}
	}
}

// TestTrialsFollowTheirSuccess: while many endpoints are suspect, few flows are trials.
// Once one succeeds, the next flows are trials too, so that endpoints that come back
// together are soon used.
func TestTrialsFollowTheirSuccess(t *testing.T) {
	all := endpoints(40, "here")
	var s Service
	troubled(all, &s, 20, time.Second)
	now := time.Second + 2*maxSuspicion
	trials := 0
	for i := range 10 * maxTrialInterval {
		if c := Choose(request(now, uint64(i)), &s, all); c.Trial {
			trials++
			c.Endpoint.RecordUnansweredSYN(now+10*ms, now, &s)
		}
	}
	require.Equal(t, 10, trials)
	s.RecordRecovery()
	for i := range 10 {
		c := Choose(request(now, uint64(i)), &s, all)
		require.True(t, c.Trial)
		c.Endpoint.RecordAlive(now)
	}
}

// TestFailoverIsNoTrial: a SYN that had no handshake ACK goes to an endpoint that is not
// suspect, if there is one.
func TestFailoverIsNoTrial(t *testing.T) {
	all := endpoints(5, "here")
	var s Service
	troubled(all, &s, 4, time.Second)
	r := request(time.Second+2*maxSuspicion, 1)
	r.Tried = all[:1]
	require.Same(t, all[4], Choose(r, &s, all).Endpoint)
}
