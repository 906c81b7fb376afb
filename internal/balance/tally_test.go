package balance

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestUndersizedAnswers(t *testing.T) {
	sizes := func(usual ...uint32) *AnswerSizes {
		z := new(AnswerSizes)
		for range 10 {
			for _, u := range usual {
				z.RecordSize(u)
			}
		}
		return z
	}
	for _, c := range []struct {
		name  string
		usual []uint32
		size  uint32
		want  bool
	}{
		{"an error among answers of one size", []uint32{800, 800, 800}, 170, true},
		{"an error among answers of varied size", []uint32{600, 1000, 1500, 1100, 900}, 170, true},
		{"a smaller answer among varied ones", []uint32{600, 1000, 1500, 1100, 900}, 450, false},
		{"half of the usual size", []uint32{800, 800, 800}, 401, false},
		{"one of two usual sizes", []uint32{170, 20_000}, 170, false},
		{"a larger answer", []uint32{800, 800, 800}, 100_000, false},
		{"nothing is known yet", nil, 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want, sizes(c.usual...).RecordSize(c.size))
		})
	}
}

// TestSmallerAnswersBecomeUsual: when a service's answers become smaller
// permanently, they cease to count as failures after a while.
func TestSmallerAnswersBecomeUsual(t *testing.T) {
	var z AnswerSizes
	for range 100 {
		z.RecordSize(1000)
	}
	small := 0
	for range 400 {
		if z.RecordSize(200) {
			small++
		}
	}
	require.Positive(t, small)
	require.False(t, z.RecordSize(200))
}

// TestFailingEndpointIsAvoided: an endpoint that fails half of its requests gets
// no more after a few of them; later its failures no longer count.
func TestFailingEndpointIsAvoided(t *testing.T) {
	all := endpoints(4, "here")
	var s Service
	seedAnswerTimes(&s, all, 20*ms)
	bad := all[0]
	failed := 0
	for i := range 200 {
		r := request(time.Duration(i)*10*ms, uint64(i)*0x9e3779b97f4a7c15)
		r.FailureCost = time.Second
		e := Choose(r, &s, all).Endpoint
		fails := e == bad && i%2 == 0
		if fails {
			failed++
		}
		e.RecordOutcome(r.Now, fails, &s)
	}
	require.Less(t, failed, 5)
	late := request(time.Minute, 0)
	require.Zero(t, bad.ExcessFailureShare(late.Now, &s))
}

// TestSingleFailureIsTolerated: an endpoint with a good history does not count as
// failing after one failure, nor one that fails like all others.
func TestSingleFailureIsTolerated(t *testing.T) {
	all := endpoints(3, "here")
	var s Service
	for range 20 {
		for _, e := range all {
			e.RecordOutcome(0, false, &s)
		}
	}
	all[0].RecordOutcome(0, true, &s)
	require.Zero(t, all[0].ExcessFailureShare(0, &s))

	var worse Service
	for i := range 60 {
		all[1].RecordOutcome(0, i%2 == 0, &worse)
		all[2].RecordOutcome(0, i%2 == 0, &worse)
	}
	require.Less(t, all[1].ExcessFailureShare(0, &worse), 0.05)
}

// TestFailureReportsCount: other hosts' failure reports count until they are
// replaced.
func TestFailureReportsCount(t *testing.T) {
	e := endpoints(1, "here")[0]
	var s Service
	e.SetReported(0, Tally{Answers: 20, Failed: 10})
	require.Greater(t, e.ExcessFailureShare(0, &s), 0.3)
	e.SetReported(0, Tally{})
	require.Zero(t, e.ExcessFailureShare(0, &s))
}

func TestFailingChangeIsReportedOnce(t *testing.T) {
	e := endpoints(1, "here")[0]
	var s Service
	for range 10 {
		e.RecordOutcome(0, true, &Service{})
	}
	failing, changed := e.FailingChanged(0, &s)
	require.True(t, failing && changed)
	_, changed = e.FailingChanged(0, &s)
	require.False(t, changed)
	failing, changed = e.FailingChanged(time.Minute, &s)
	require.True(t, !failing && changed)
}

// TestTallyStaysBounded: shares stay between 0 and 1, and a tally does not
// exceed its limit.
func TestTallyStaysBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tally Tally
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "answers") {
			now += time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "gap"))
			tally.add(now, rapid.Bool().Draw(t, "failed"))
			tally.limit(maxTallyAnswers)
			share := tally.share()
			require.False(t, math.IsNaN(share))
			require.True(t, share >= 0 && share <= 1)
			require.LessOrEqual(t, tally.Answers, maxTallyAnswers+1e-9)
			require.LessOrEqual(t, tally.Failed, tally.Answers+1e-9)
		}
	})
}

// TestOverloadDoesNotExcludeUnluckyEndpoints: in an overload all endpoints fail a
// third of their requests. After one calm second at most one in ten is still
// avoided because more of its requests failed by chance.
func TestOverloadDoesNotExcludeUnluckyEndpoints(t *testing.T) {
	all := endpoints(40, "here")
	var s Service
	rng := rand.New(rand.NewPCG(1, 1))
	now := time.Duration(0)
	for range 400 {
		now += 5 * ms
		all[rng.IntN(len(all))].RecordOutcome(now, rng.IntN(3) == 0, &s)
	}
	for range 100 {
		now += 10 * ms
		all[rng.IntN(len(all)/2)].RecordOutcome(now, false, &s)
	}
	avoided := 0
	for _, e := range all {
		if e.ExcessFailureShare(now, &s) > 0.1 {
			avoided++
		}
	}
	require.LessOrEqual(t, avoided, len(all)/10)
}
