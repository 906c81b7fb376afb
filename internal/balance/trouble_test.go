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
