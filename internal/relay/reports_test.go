package relay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/internal/catalog"
	"toucangap/internal/outlier"
)

// TestChanceFailuresOfManyHosts: with eighteen hosts and work of which some parts per
// hundred count as overdue, reports that lacked the answers of hosts without a failure
// marked most endpoints as failing, and the few others queued. One endpoint really fails.
func TestChanceFailuresOfManyHosts(t *testing.T) {
	const (
		hosts, endpoints = 18, 30
		answersPerSecond = 20
		chance, failing  = 0.045, 0.4
	)
	rng := rand.New(rand.NewPCG(1, 1))
	all := make([]*harness, hosts)
	for i := range all {
		all[i] = newHarness(t, endpoints)
	}
	bad := catalog.TokenOf("i-1")
	marked, detected := 0, 0
	rounds := 0
	for step := range 60 * 10 {
		exchange := outlier.NewAggregator()
		for i, h := range all {
			h.now += 100 * ms
			for range answersPerSecond / 10 {
				id := fmt.Sprintf("i-%d", 1+rng.IntN(endpoints))
				e := h.relay.endpoints[catalog.TokenOf(id)]
				share := chance
				if id == "i-1" {
					share = failing
				}
				e.RecordOutcome(h.now, rng.Float64() < share, &h.relay.service("s").observed)
			}
			exchange.SetReports(0, fmt.Sprint(i), h.relay.FailureReports(h.now))
		}
		for i, h := range all {
			h.relay.SetFailureReports(h.now, exchange.ReportsOfOthers(0, fmt.Sprint(i)))
		}
		if step < 200 || step%10 > 0 {
			continue
		}
		for _, h := range all {
			rounds++
			for token, e := range h.relay.endpoints {
				failing := e.ExcessFailureShare(h.now, &h.relay.service("s").observed) > 0
				switch {
				case failing && token == bad:
					detected++
				case failing:
					marked++
				}
			}
		}
	}
	require.Less(t, float64(marked)/float64(rounds*(endpoints-1)), 0.02, "endpoints in order that count as failing")
	require.Greater(t, float64(detected)/float64(rounds), 0.95)
}

// TestAnswersAreReportedWhileOthersReportFailures: reports without failures must begin and
// end with the failures of others, and not keep each other alive.
func TestAnswersAreReportedWhileOthersReportFailures(t *testing.T) {
	a, b := newHarness(t, 1), newHarness(t, 1)
	token := catalog.TokenOf("i-1")
	observed := func(h *harness, failed bool) {
		h.relay.endpoints[token].RecordOutcome(h.now, failed, &h.relay.service("s").observed)
	}
	for range 20 {
		observed(a, false)
		observed(b, false)
	}
	require.Empty(t, b.relay.FailureReports(b.now))
	observed(a, true)
	b.relay.SetFailureReports(b.now, a.relay.FailureReports(a.now))
	require.Empty(t, b.relay.FailureReports(b.now), "answers from before would hide the failures")
	for range 5 {
		observed(b, false)
	}
	require.Equal(t, []outlier.Report{{Endpoint: token, Answers: 5}}, b.relay.FailureReports(b.now))
	a.relay.SetFailureReports(a.now, b.relay.FailureReports(b.now))
	a.now += 20 * time.Second
	require.Empty(t, a.relay.FailureReports(a.now))
}
