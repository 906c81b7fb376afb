package emu

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucangap/internal/relay"
)

// unreachable returns how many flows hosts have reset since their endpoint's failure domain
// was unreachable, and how often a domain became unreachable.
func (em *Emulator) unreachable() (resets, domains int64) {
	for _, h := range em.hosts {
		s := h.Stats()
		resets += s.Rejections[relay.RejectUnreachableDomain]
		domains += s.DomainsLost
	}
	return resets, domains
}

// crashDomain ends all endpoints of a domain for a span; entries expire as with Crash.
func (em *Emulator) crashDomain(domain string, expiry, span time.Duration) {
	for _, e := range em.endpoints {
		if e.domain == domain {
			e.Crash(expiry, span)
		}
	}
}

// TestDomainWithoutPower: all endpoints of a domain end at once, and their entries last
// another 3.6 s. Each of 24 hosts has few flows at each of 24 endpoints: requests would wait
// for single endpoints to be considered dead, some until their deadline. Once the domain is
// back, it gets its share.
func TestDomainWithoutPower(t *testing.T) {
	play := func(off bool) (*Emulator, *Result, int) {
		c := ManyHosts(1)
		c.Options.Disabled.DomainDetection = off
		em := New(c)
		em.At(3*time.Second, func() { em.crashDomain("d1", 3600*time.Millisecond, 5*time.Second) })
		used := 0
		em.At(10*time.Second, func() { _, used = em.load("d1") })
		return em, em.Run(11 * time.Second), used
	}
	em, with, used := play(false)
	resets, domains := em.unreachable()
	_, without, usedWithout := play(true)
	waited, waitedWithout := with.Quantile(0.999), without.Quantile(0.999)
	t.Logf("reset %d, domains %d, busy after return %d and %d; failed %d, late %d, 0.999 %s; by single endpoints: failed %d, late %d, 0.999 %s",
		resets, domains, used, usedWithout, with.Total().Failed, with.Total().Late, waited, without.Total().Failed, without.Total().Late, waitedWithout)
	require.Empty(t, with.Violations())
	require.Positive(t, resets)
	require.Positive(t, used)
	require.Less(t, with.Total().Failed+with.Total().Late, without.Total().Failed+without.Total().Late)
}

// TestLivingDomainsAreNeverReset: 5% of packets are lost, answers of a domain take up to 60
// times as long, and endpoints restart, several at once but never half of a domain. No domain
// may be taken for unreachable.
func TestLivingDomainsAreNeverReset(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := LongRequests(rapid.Uint64().Draw(t, "seed"))
		c.Domains = rapid.IntRange(2, 3).Draw(t, "domains")
		c.Hosts = rapid.IntRange(1, 3).Draw(t, "hosts")
		c.Groups = []EndpointGroup{{"alerts", rapid.IntRange(12, 60).Draw(t, "endpoints"), 2, 8}, {"bulletins", 4, 2, 8}}
		c.CrossDomainDelay = time.Duration(rapid.IntRange(500, 3400).Draw(t, "delay")) * time.Microsecond
		c.Loss = 0.05
		c.Options.Spillover = rapid.Bool().Draw(t, "spillover")
		em := New(c)
		em.SetLoadFactor(rapid.Float64Range(0.02, 0.5).Draw(t, "load"))
		factor := rapid.Float64Range(1, 60).Draw(t, "slow")
		em.At(time.Second, func() {
			for _, e := range em.endpoints {
				if e.domain == "d1" {
					e.WorkFactor = factor
				}
			}
		})
		for range rapid.IntRange(0, len(em.endpoints)/c.Domains/2-1).Draw(t, "restarts") {
			e := em.endpoints[rapid.IntRange(0, len(em.endpoints)-1).Draw(t, "endpoint")]
			at := time.Duration(rapid.IntRange(500, 3000).Draw(t, "at")) * time.Millisecond
			em.At(at, func() { e.Crash(3600*time.Millisecond, time.Second) })
		}
		em.Run(4 * time.Second)
		if resets, domains := em.unreachable(); resets != 0 || domains != 0 {
			t.Fatalf("%d flows reset, %d domains taken for unreachable", resets, domains)
		}
	})
}
