package sighting

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucangap/internal/catalog"
)

func TestOthersExcludesTheRequestingHost(t *testing.T) {
	b := NewBoard()
	b.Put(0, "a", []Sighting{{1, 4, 2}, {2, 1, 1}})
	b.Put(0, "b", []Sighting{{1, 6, 3}})
	require.Equal(t, []Sighting{{1, 10, 5}, {2, 1, 1}}, b.Others(0, "c"))
	require.Equal(t, []Sighting{{1, 6, 3}}, b.Others(0, "a"))
	b.Put(0, "b", nil)
	require.Empty(t, b.Others(0, "a"))
}

// TestReportsAreNotCountedTwice forwards reports along a chain of hosts and back.
func TestReportsAreNotCountedTwice(t *testing.T) {
	names := []string{"a", "b", "c"}
	boards := map[string]*Board{}
	for _, n := range names {
		boards[n] = NewBoard()
		boards[n].Put(0, n, []Sighting{{1, 1, 1}})
	}
	exchange := func(from, to string) { boards[to].Put(0, from, boards[from].Others(0, to)) }
	for range 5 {
		exchange("a", "b")
		exchange("b", "c")
		exchange("c", "b")
		exchange("b", "a")
	}
	for _, n := range names {
		require.Equal(t, []Sighting{{1, 2, 2}}, boards[n].Others(0, n), n)
	}
}

func TestExpiredReportsAreIgnored(t *testing.T) {
	b := NewBoard()
	b.Put(0, "a", []Sighting{{1, 1, 1}})
	require.NotEmpty(t, b.Others(reportLifetime, "b"))
	require.Empty(t, b.Others(reportLifetime+time.Nanosecond, "b"))
}

func TestAddedSignalsNewEndpointsOnly(t *testing.T) {
	b := NewBoard()
	signaled := func(list ...Sighting) bool {
		added := b.Added("other")
		b.Put(0, "a", list)
		select {
		case <-added:
			return true
		default:
			return false
		}
	}
	require.True(t, signaled(Sighting{1, 1, 1}))
	require.False(t, signaled(Sighting{1, 5, 2}))
	require.True(t, signaled(Sighting{1, 5, 2}, Sighting{2, 1, 1}))
	require.False(t, signaled(Sighting{2, 1, 1}))
	require.False(t, signaled())
}

// TestHostIsNotSignaledForOwnReports: only other hosts' reports wake a host.
func TestHostIsNotSignaledForOwnReports(t *testing.T) {
	b := NewBoard()
	own, other := b.Added("a"), b.Added("b")
	b.Put(0, "a", []Sighting{{1, 1, 1}})
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
		b := NewBoard()
		current := make(map[string]hostReports)
		now := time.Duration(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(reportLifetime)).Draw(t, "gap"))
			name := rapid.SampledFrom(names).Draw(t, "host")
			var reports []Sighting
			for e := range rapid.IntRange(0, 4).Draw(t, "endpoints") {
				failed := float64(rapid.IntRange(1, 5).Draw(t, "failed"))
				reports = append(reports, Sighting{catalog.Token(e), 2 * failed, failed})
			}
			b.Put(now, name, reports)
			current[name] = hostReports{reports, now}
			asker := rapid.SampledFrom(names).Draw(t, "asker")
			want := make(map[catalog.Token]Sighting)
			for host, l := range current {
				if host == asker || now-l.receivedAt > reportLifetime {
					continue
				}
				for _, s := range l.reports {
					w := want[s.Endpoint]
					want[s.Endpoint] = Sighting{s.Endpoint, w.Answers + s.Answers, w.Failed + s.Failed}
				}
			}
			got := make(map[catalog.Token]Sighting)
			for _, s := range b.Others(now, asker) {
				got[s.Endpoint] = s
			}
			require.Equal(t, want, got)
		}
	})
}
