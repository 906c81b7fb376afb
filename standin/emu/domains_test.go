package emu

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/internal/catalog"
)

// load returns the numbers of flows, open or not, and of requests at the endpoints of a
// domain.
func (em *Emulator) load(domain string) (flows, requests int) {
	for _, e := range em.endpoints {
		if e.domain == domain {
			flows += e.Flows()
			requests += e.Load()
		}
	}
	return flows, requests
}

// placed returns the number of requests placed by the hosts of a domain.
func (em *Emulator) placed(domain string) (n int64) {
	for _, h := range em.hosts {
		if h.Domain == domain {
			n += h.Stats().Placed
		}
	}
	return n
}

// TestDomainEvacuated: a domain is evacuated for 4 s, and comes back. If new flows still
// went there, it would not be idle a second later; if open flows were broken or the other
// domains not used, callers would see failures; if the end were missed, it would stay idle.
func TestDomainEvacuated(t *testing.T) {
	em := New(Default(1))
	em.At(2*time.Second, func() { em.Evacuate("d1") })
	idle, used, flows := 0, 0, -1
	for at := 3 * time.Second; at < 6*time.Second; at += 100 * time.Millisecond {
		em.At(at, func() {
			n, requests := em.load("d1")
			if flows < 0 {
				flows = n // ended ones that have not been discarded
			}
			if n <= flows && requests == 0 {
				idle++
			}
		})
	}
	em.At(6*time.Second, func() { em.EndEvacuation("d1") })
	for at := 7 * time.Second; at < 9*time.Second; at += 100 * time.Millisecond {
		em.At(at, func() {
			if _, requests := em.load("d1"); requests > 0 {
				used++
			}
		})
	}
	r := em.Run(9 * time.Second)
	require.Empty(t, r.Violations())
	t.Logf("of %d: failed %d, late %d; p99 %s; idle %d of 30, used %d of 20", r.Total().Requests, r.Total().Failed, r.Total().Late, r.Quantile(0.99), idle, used)
	require.Equal(t, 30, idle)
	require.Greater(t, used, 10)
	require.Zero(t, r.Total().Failed)
	require.Equal(t, r.Total().Requests, r.Total().InTarget)
}

// TestDomainComesBackCold: the endpoints of an evacuated domain are replaced and come back
// cold just before the evacuation ends, when work takes them eight times as long. If hosts
// took them for warm and free, the first callers would get late answers.
func TestDomainComesBackCold(t *testing.T) {
	play := func(known bool) Counts {
		c := Default(1)
		c.ColdStarts = map[string]catalog.ColdStart{"alerts": {For: 3 * time.Second}, "bulletins": {For: 3 * time.Second}}
		em := New(c)
		em.At(2*time.Second, func() { em.Evacuate("d1") })
		em.At(4*time.Second, func() {
			em.RestartDomain("d1", 3600*time.Millisecond, 2*time.Second, 8)
			if !known {
				em.hideColdStarts()
			}
		})
		em.At(6100*time.Millisecond, func() { em.EndEvacuation("d1") })
		r := em.Run(11 * time.Second)
		require.Empty(t, r.Violations())
		require.Zero(t, r.Total().Failed)
		after := r.between(10, 11)
		require.Equal(t, after.Requests, after.InTarget)
		return r.between(6, 9)
	}
	with, without := play(true), play(false)
	t.Logf("of %d: late %d; where hosts do not know of cold starts, %d", with.Requests, with.Late, without.Late)
	require.Less(t, 5*with.Late, without.Late)
}

// hideColdStarts removes from entries and configuration what hosts know of cold starts.
func (em *Emulator) hideColdStarts() {
	em.directory.Configuration().ColdStarts = nil
	for _, e := range em.endpoints {
		warm := *e.entry
		warm.ColdFor = 0
		e.entry = &warm
	}
}

// TestWave: demand oscillates by 0.55 with a period of 13 s, and stays below what the
// endpoints can do. If limits and estimates follow it too late, answers of the crest are
// late or refused.
func TestWave(t *testing.T) {
	em := New(LongRequests(1))
	em.Wave(0.55, 13*time.Second)
	r := em.Run(26 * time.Second)
	require.Empty(t, r.Violations())
	crest, trough := r.between(15, 18), r.between(21, 24)
	t.Logf("crest: of %d failed %d, late %d; trough: of %d failed %d, late %d",
		crest.Requests, crest.Failed, crest.Late, trough.Requests, trough.Failed, trough.Late)
	require.Greater(t, crest.Requests, 2*trough.Requests)
	require.Zero(t, r.Total().Failed)
	require.Less(t, 100*crest.Late, crest.Requests)
	require.Zero(t, trough.Late)
}

// TestCallersMoveToOneDomain: three quarters of the callers of one domain move to another
// one at once. If its hosts kept their requests among the endpoints of their own domain,
// these would be congested while others are free.
func TestCallersMoveToOneDomain(t *testing.T) {
	em := New(ManyHosts(1))
	var before, after [2]int64
	count := func(n *[2]int64) { n[0], n[1] = em.placed("d0"), em.placed("d1") }
	em.At(3*time.Second, func() {
		count(&before)
		em.MoveCallers("d0", "d1", 0.75)
	})
	r := em.Run(9 * time.Second)
	count(&after)
	require.Empty(t, r.Violations())
	during := r.between(3, 9)
	t.Logf("of %d: failed %d, late %d; placed in d0 %d, in d1 %d", during.Requests, during.Failed, during.Late, after[0]-before[0], after[1]-before[1])
	require.Greater(t, after[1]-before[1], 5*(after[0]-before[0]))
	require.Zero(t, during.Failed)
	require.Less(t, 100*during.Late, during.Requests)
}
