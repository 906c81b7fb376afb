package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// unansweredBy records packets of endpoints, sent one every 20 ms from the given time, and
// returns the number of endpoints after which the evidence suffices, 0 if it does not.
func unansweredBy(d *Domain, from time.Duration, endpoints []Endpoint) int {
	for i := range endpoints {
		sent := from + time.Duration(i)*20*time.Millisecond
		if d.RecordUnanswered(sent+time.Second, sent, &endpoints[i]) {
			return i + 1
		}
	}
	return 0
}

// TestDomainEvidence guards against domains that are taken for lost by bursts of lost packets,
// by packets of one endpoint, sent before a sign of life or long apart, or by usual losses.
func TestDomainEvidence(t *testing.T) {
	all := make([]Endpoint, 12)
	d := &Domain{}
	require.Equal(t, 4, unansweredBy(d, time.Second, all))
	d = &Domain{}
	for i := range 8 {
		require.False(t, d.RecordUnanswered(time.Second, time.Second+time.Duration(i)*time.Millisecond, &all[i]), "burst")
	}
	d = &Domain{}
	for i := range 8 {
		require.False(t, d.RecordUnanswered(time.Second, time.Duration(i)*time.Second, &all[i%2]), "two endpoints")
	}
	d = &Domain{}
	for i := range 8 {
		require.False(t, d.RecordUnanswered(time.Minute, time.Duration(i)*time.Minute, &all[i]), "far apart")
	}
	d = &Domain{}
	d.RecordAlive(2 * time.Second)
	require.Zero(t, unansweredBy(d, time.Second, all))
	d = &Domain{}
	for i := range 1000 {
		d.RecordReached(time.Duration(i))
		if i%7 == 0 {
			d.RecordUnanswered(0, 0, &all[0])
		}
	}
	require.Greater(t, unansweredBy(d, time.Second, all), 6)
}

// TestUnreachableDomainIsChosenLast guards against flows to a lost domain that looks free
// while the others have queues, and against several trials at once.
func TestUnreachableDomainIsChosenLast(t *testing.T) {
	d := &Domain{}
	all := endpoints(2, "there")
	all[0].Domain = d
	all[1].Busy = 50
	d.SetUnreachable(0)
	var s Service
	pick := func(now time.Duration, tried ...*Endpoint) Choice {
		r := request(now, 7)
		r.Tried = tried
		return Choose(r, &s, all)
	}
	require.Same(t, all[1], pick(0).Endpoint)
	require.Same(t, all[0], pick(0, all[1]).Endpoint, "there is no other")
	c := pick(domainTrialInterval)
	require.Same(t, all[0], c.Endpoint)
	require.True(t, c.Trial)
	require.Same(t, all[1], pick(domainTrialInterval).Endpoint)
}
