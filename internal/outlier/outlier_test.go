package outlier

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucangap/internal/catalog"
)

func TestOthersExcludesTheRequestingHost(t *testing.T) {
	a := NewAggregator()
	a.SetReports(0, "a", []Report{{1, 4, 2}, {2, 1, 1}})
	a.SetReports(0, "b", []Report{{1, 6, 3}})
	require.Equal(t, []Report{{1, 10, 5}, {2, 1, 1}}, a.ReportsOfOthers(0, "c"))
	require.Equal(t, []Report{{1, 6, 3}}, a.ReportsOfOthers(0, "a"))
	a.SetReports(0, "b", nil)
	require.Empty(t, a.ReportsOfOthers(0, "a"))
}

// TestReportsAreNotCountedTwice forwards reports along a chain of hosts and back.
func TestReportsAreNotCountedTwice(t *testing.T) {
	names := []string{"a", "b", "c"}
	aggregators := map[string]*Aggregator{}
	for _, n := range names {
		aggregators[n] = NewAggregator()
		aggregators[n].SetReports(0, n, []Report{{1, 1, 1}})
	}
	exchange := func(from, to string) { aggregators[to].SetReports(0, from, aggregators[from].ReportsOfOthers(0, to)) }
	for range 5 {
		exchange("a", "b")
		exchange("b", "c")
		exchange("c", "b")
		exchange("b", "a")
	}
	for _, n := range names {
		require.Equal(t, []Report{{1, 2, 2}}, aggregators[n].ReportsOfOthers(0, n), n)
	}
}

func TestExpiredReportsAreIgnored(t *testing.T) {
	a := NewAggregator()
	a.SetReports(0, "a", []Report{{1, 1, 1}})
	require.NotEmpty(t, a.ReportsOfOthers(reportLifetime, "b"))
	require.Empty(t, a.ReportsOfOthers(reportLifetime+time.Nanosecond, "b"))
}

func TestAddedSignalsNewEndpointsOnly(t *testing.T) {
	a := NewAggregator()
	signaled := func(list ...Report) bool {
		added := a.ReportAdded("other")
		a.SetReports(0, "a", list)
		select {
		case <-added:
			return true
		default:
			return false
		}
	}
	require.True(t, signaled(Report{1, 1, 1}))
	require.False(t, signaled(Report{1, 5, 2}))
	require.True(t, signaled(Report{1, 5, 2}, Report{2, 1, 1}))
	require.False(t, signaled(Report{2, 1, 1}))
	require.False(t, signaled())
}

// TestHostIsNotSignaledForOwnReports: only other hosts' reports wake a host.
func TestHostIsNotSignaledForOwnReports(t *testing.T) {
	a := NewAggregator()
	own, other := a.ReportAdded("a"), a.ReportAdded("b")
	a.SetReports(0, "a", []Report{{1, 1, 1}})
	select {
	case <-own:
		require.Fail(t, "signaled for its own reports")
	default:
	}
	<-other
}

// TestSumsMatchCurrentReports compares the sums with recomputed ones after
// arbitrary sequences of updates and expiries.
func TestSumsMatchCurrentReports(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	rapid.Check(t, func(t *rapid.T) {
		a := NewAggregator()
		current := make(map[string]hostReports)
		now := time.Duration(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(reportLifetime)).Draw(t, "gap"))
			name := rapid.SampledFrom(names).Draw(t, "host")
			var reports []Report
			for e := range rapid.IntRange(0, 4).Draw(t, "endpoints") {
				failed := float64(rapid.IntRange(1, 5).Draw(t, "failed"))
				reports = append(reports, Report{catalog.Token(e), 2 * failed, failed})
			}
			a.SetReports(now, name, reports)
			current[name] = hostReports{reports, now}
			requester := rapid.SampledFrom(names).Draw(t, "requester")
			want := make(map[catalog.Token]Report)
			for host, l := range current {
				if host == requester || now-l.receivedAt > reportLifetime {
					continue
				}
				for _, s := range l.reports {
					w := want[s.Endpoint]
					want[s.Endpoint] = Report{s.Endpoint, w.Answers + s.Answers, w.Failed + s.Failed}
				}
			}
			got := make(map[catalog.Token]Report)
			for _, s := range a.ReportsOfOthers(now, requester) {
				got[s.Endpoint] = s
			}
			require.Equal(t, want, got)
		}
	})
}

// TestSumsWithoutFailuresAreNotNegative guards against reports that peers discard, with the
// answers of all hosts in them, since a sum of failures is a little below 0 by rounding.
func TestSumsWithoutFailuresAreNotNegative(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := NewAggregator()
		failed := rapid.SampledFrom([]float64{0, 0.1, 0.3, 0.7, 1.1})
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			host := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "host")
			f := failed.Draw(t, "failed")
			a.SetReports(0, host, []Report{{1, f + failed.Draw(t, "good"), f}})
			for _, s := range a.ReportsOfOthers(0, rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "requester")) {
				require.GreaterOrEqual(t, s.Failed, 0.0)
				require.GreaterOrEqual(t, s.Answers, s.Failed)
			}
		}
	})
}
