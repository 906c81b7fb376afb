package balance

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucangap/internal/catalog"
)

const ms = time.Millisecond

// endpoints returns n endpoints with 2 slots each, alternating between the
// domains.
func endpoints(n int, domains ...string) []*Endpoint {
	var all []*Endpoint
	for i := range n {
		all = append(all, &Endpoint{Entry: &catalog.Entry{Endpoint: &catalog.Endpoint{
			ID:     fmt.Sprintf("i-%x", i+1),
			Slots:  2,
			Domain: domains[i%len(domains)],
		}}})
	}
	return all
}

func request(now time.Duration, hash uint64) Request {
	return Request{Now: now, Hash: hash, Domain: "here"}
}

// seedAnswerTimes sets the service's usual answer time.
func seedAnswerTimes(s *Service, all []*Endpoint, took time.Duration) {
	for range 50 {
		for _, e := range all {
			e.RecordAnswer(0, took, s)
		}
	}
}

func TestFreeSlotsNearbyComeFirst(t *testing.T) {
	all := endpoints(4, "here", "there")
	var s Service
	seedAnswerTimes(&s, all, 20*ms)
	near, far := all[0], all[1]
	all[2].Busy, all[3].Busy = 2, 2
	require.Same(t, near, Choose(request(0, 1), &s, all).Endpoint)
	near.Busy = 1
	require.Same(t, near, Choose(request(0, 1), &s, all).Endpoint, "one slot is free")
	near.Busy = 2
	require.Same(t, far, Choose(request(0, 1), &s, all).Endpoint, "a free slot in a remote domain is preferred to a queue")
}

// TestHostsAgreeAmongEquals: hosts that see the same loads make the same choice,
// so that a SYN and its retransmission through another host reach the same
// endpoint, and flows spread evenly.
func TestHostsAgreeAmongEquals(t *testing.T) {
	a, b := endpoints(10, "here"), endpoints(10, "here")
	var sa, sb Service
	counts := make(map[string]int)
	for hash := range uint64(5000) {
		ca := Choose(request(0, hash*0x9e3779b97f4a7c15), &sa, a)
		cb := Choose(request(0, hash*0x9e3779b97f4a7c15), &sb, b)
		require.Equal(t, ca.Endpoint.Entry.ID, cb.Endpoint.Entry.ID)
		counts[ca.Endpoint.Entry.ID]++
	}
	for id, n := range counts {
		require.InDelta(t, 500, n, 100, id)
	}
}

func TestColdEndpointsGetTheOverflow(t *testing.T) {
	all := endpoints(2, "here")
	var s Service
	seedAnswerTimes(&s, all, 20*ms)
	all[0].Entry.WarmAt = time.Second
	all[1].Busy = 1
	require.Same(t, all[1], Choose(request(0, 1), &s, all).Endpoint)
	all[1].Busy = 4
	require.Same(t, all[0], Choose(request(0, 1), &s, all).Endpoint, "a cold endpoint is preferred to a long queue")
	all[1].Busy = 1
	require.Same(t, all[0], Choose(request(time.Second, 1), &s, all).Endpoint, "warm by now")
}

func TestSlowEndpointsAreAvoidedAndTriedAgain(t *testing.T) {
	all := endpoints(5, "here")
	var s Service
	seedAnswerTimes(&s, all, 20*ms)
	slow := all[0]
	for range 3 {
		slow.RecordAnswer(0, 100*ms, &s)
	}
	require.Greater(t, slow.Slowness(0, &s), minSlowness)
	for hash := range uint64(200) {
		require.NotSame(t, slow, Choose(request(0, hash), &s, all).Endpoint)
	}
	later := 4 * averageHalfLife
	require.InDelta(t, 1, slow.Slowness(later, &s), 0.01)
}

// TestRandomVariationIsNotSlowness: ordinary variation of answer times makes no
// endpoint slow.
func TestRandomVariationIsNotSlowness(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := endpoints(5, "here")
		var s Service
		for range 200 {
			for _, e := range all {
				took := time.Duration(rapid.IntRange(15, 25).Draw(t, "ms")) * ms
				e.RecordAnswer(0, took, &s)
			}
		}
		for _, e := range all {
			if e.Slowness(0, &s) != 1 {
				t.Fatalf("%s is %.2f times slower", e.Entry.ID, e.Slowness(0, &s))
			}
		}
	})
}

func TestUnresponsiveEndpointsAreAvoided(t *testing.T) {
	all := endpoints(3, "here")
	var s Service
	unresponsive := all[0]
	unresponsive.RecordUnansweredSYN(10*ms, 0, &s)
	for hash := range uint64(100) {
		c := Choose(request(11*ms, hash), &s, all)
		require.NotSame(t, unresponsive, c.Endpoint)
		require.Equal(t, 1, c.Suspects)
	}
	// When the suspicion expires, a single flow at a time tries the endpoint.
	c := Choose(request(10*ms+initialSuspicion, 1), &s, all)
	require.Same(t, unresponsive, c.Endpoint)
	require.True(t, c.Trial)
	require.NotSame(t, unresponsive, Choose(request(10*ms+initialSuspicion, 2), &s, all).Endpoint)
	require.True(t, unresponsive.RecordAlive(12*ms+initialSuspicion))
	require.False(t, unresponsive.Suspect(12*ms+initialSuspicion))
}

func TestSuspicionGrowsToItsBound(t *testing.T) {
	var s Service
	all := endpoints(1, "here")
	now := time.Duration(0)
	pause := initialSuspicion
	for range 10 {
		all[0].RecordUnansweredSYN(now, now, &s)
		require.True(t, all[0].Suspect(now+pause-1))
		require.False(t, all[0].Suspect(now+pause))
		now += pause
		pause = min(2*pause, maxSuspicion)
	}
}

// TestSuspectsAreUsedWithoutAlternative: if all endpoints are suspect, they still
// take flows.
func TestSuspectsAreUsedWithoutAlternative(t *testing.T) {
	all := endpoints(2, "here")
	var s Service
	for _, e := range all {
		e.RecordUnansweredSYN(0, 0, &s)
	}
	require.NotNil(t, Choose(request(1, 1), &s, all).Endpoint)
	require.Nil(t, Choose(request(1, 1), &s, nil).Endpoint)
	require.Nil(t, Choose(Request{Tried: all}, &s, all).Endpoint)
}

// TestSuspectsTakeFlowsFromALongQueue: at the end of a network partition all
// endpoints but one are suspect, and that one must not get all flows.
func TestSuspectsTakeFlowsFromALongQueue(t *testing.T) {
	all := endpoints(10, "here")
	var s Service
	seedAnswerTimes(&s, all, 20*ms)
	for _, e := range all[1:] {
		e.RecordUnansweredSYN(0, 0, &s)
	}
	for range 40 {
		Choose(request(ms, 7), &s, all).Endpoint.Busy++
	}
	require.Less(t, all[0].Busy, 10)
	require.Greater(t, all[0].Busy, 2)
}

// TestConsideredDeadAfterUnansweredPackets: an endpoint is considered dead after
// deadAfterUnanswered unanswered packets in a row that are spread over time, until it is
// seen alive.
func TestConsideredDeadAfterUnansweredPackets(t *testing.T) {
	var s Service
	e := endpoints(1, "here")[0]
	for i := range deadAfterUnanswered {
		require.False(t, e.DeadSince(0))
		require.Equal(t, i == deadAfterUnanswered-1, e.RecordUnanswered(time.Duration(i*30)*ms))
	}
	require.True(t, e.DeadSince(0))
	e.RecordAlive(100 * ms)
	require.False(t, e.DeadSince(0))
	e.RecordUnansweredSYN(110*ms, 90*ms, &s)
	require.False(t, e.RecordUnanswered(90*ms))
	require.Zero(t, e.UnansweredSYNs(), "its SYN was sent before the endpoint was last alive")
	for i := range deadAfterUnanswered {
		require.False(t, e.DeadSince(0))
		e.RecordUnanswered(time.Duration(100+i*30) * ms)
	}
	require.True(t, e.DeadSince(0))
}

// TestOlderPacketsDoNotCount: packets that were unanswered before a flow's request was
// sent, however many, say nothing about that request. Only as many later ones do.
func TestOlderPacketsDoNotCount(t *testing.T) {
	e := endpoints(1, "here")[0]
	for i := range 10 {
		e.RecordUnanswered(time.Duration(i) * 30 * ms)
	}
	asked := time.Second
	for i := range deadAfterUnanswered {
		require.False(t, e.DeadSince(asked))
		e.RecordUnanswered(asked + time.Duration(i)*30*ms)
	}
	require.True(t, e.DeadSince(asked))
	require.False(t, e.DeadSince(asked+ms))
}

// TestNotDeadWithoutFailovers: flows without a handshake ACK from any endpoint
// say nothing about endpoints; their callers may have gone.
func TestNotDeadWithoutFailovers(t *testing.T) {
	var s Service
	e := endpoints(1, "here")[0]
	for i := range 20 {
		e.RecordUnansweredSYN(time.Duration(i+15)*ms, time.Duration(i)*10*ms, &s)
	}
	require.False(t, e.DeadSince(0))
}

// TestNotDeadAfterOneLossBurst: SYNs lost in one burst are no evidence that
// the endpoint is dead.
func TestNotDeadAfterOneLossBurst(t *testing.T) {
	var s Service
	e := endpoints(1, "here")[0]
	for i := range 10 {
		sent := time.Duration(i) * ms
		e.RecordUnansweredSYN(sent+15*ms, sent, &s)
		require.False(t, e.RecordUnanswered(sent))
	}
}

func TestReset(t *testing.T) {
	var s Service
	all := endpoints(1, "here")
	for i := range 5 {
		all[0].RecordUnansweredSYN(time.Duration(i), time.Duration(i), &s)
	}
	for i := range deadAfterUnanswered {
		all[0].RecordUnanswered(time.Duration(i) * 30 * ms)
	}
	require.True(t, all[0].DeadSince(0))
	all[0].Reset()
	require.False(t, all[0].Suspect(6))
	require.False(t, all[0].DeadSince(0))
}

func TestAdmission(t *testing.T) {
	urgent := &catalog.Route{Timeout: 800 * ms, Priority: 0}
	lesser := &catalog.Route{Timeout: 800 * ms, Priority: 2}
	e := endpoints(1, "here")[0]
	e.Busy = 2
	after := func(expected time.Duration) Choice { return Choice{Endpoint: e, Expected: expected} }
	require.True(t, Admit(urgent, after(800*ms)))
	require.False(t, Admit(urgent, after(801*ms)))
	require.True(t, Admit(lesser, after(450*ms)))
	require.False(t, Admit(lesser, after(451*ms)))
	e.Busy = 1
	require.True(t, Admit(lesser, after(time.Hour)), "a free slot has no queue")
}

func TestChooseAllocatesNothing(t *testing.T) {
	all := endpoints(20, "here", "there")
	var s Service
	require.Zero(t, testing.AllocsPerRun(100, func() { Choose(request(0, 7), &s, all) }))
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{14, 120} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			all := endpoints(n, "here", "there")
			var s Service
			seedAnswerTimes(&s, all, 20*ms)
			b.ReportAllocs()
			for i := range b.N {
				Choose(request(0, uint64(i)), &s, all)
			}
		})
	}
}

// TestRankingFollowsChoose guards against a ranking that differs from the choice: each
// endpoint of it is the one that a choice without those before returns. Preview must
// return the same and change nothing.
func TestRankingFollowsChoose(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := endpoints(rapid.IntRange(1, 8).Draw(t, "n"), "here", "there")
		var s Service
		now := time.Second
		for _, e := range all {
			e.Busy = rapid.IntRange(0, 12).Draw(t, "busy")
			if rapid.Bool().Draw(t, "cold") {
				e.Entry.WarmAt = 2 * now
			}
			for range rapid.IntRange(0, 3).Draw(t, "unanswered") {
				at := now - time.Duration(rapid.IntRange(0, 200).Draw(t, "before"))*ms
				e.RecordUnansweredSYN(at, at, &s)
			}
			e.SetReported(now, Tally{Answers: 10, Failed: float64(rapid.IntRange(0, 10).Draw(t, "failed"))})
		}
		r := request(now, rapid.Uint64().Draw(t, "hash"))
		r.FailureCost = time.Second
		ranking, service := Ranking(r, &s, all), s
		require.Len(t, ranking, len(all))
		for i := range ranking {
			first := ranking[i].Endpoint
			endpoint := *first
			preview := Preview(r, &s, all)
			require.Equal(t, endpoint, *first)
			require.Equal(t, service, s)
			require.Same(t, first, preview.Endpoint)
			require.Equal(t, ranking[i].Cost, preview.Cost)
			require.Equal(t, preview, Choose(r, &s, all))
			s, first.probing = service, endpoint.probing
			all = slices.DeleteFunc(all, func(e *Endpoint) bool { return e == first })
		}
	})
}
