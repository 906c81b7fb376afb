package emu

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// burstLoad is the load of two routes of one service, both of 0.35 of its capacity or, of
// priority 1 beside 0, of 0.23 and 0.47.
type burstLoad struct {
	seed uint64
	// hostsPerDomain is the number of hosts in each of three domains; 0 means a single
	// host and domain.
	hostsPerDomain   int
	endpoints        int
	steady, bursting int // priorities
	shares           bool
}

func (l burstLoad) emulator(burst bool) *Emulator {
	c := Default(l.seed)
	c.Hosts = l.hostsPerDomain
	if c.Hosts == 0 {
		c.Domains, c.Hosts = 1, 1
	}
	c.Groups = []EndpointGroup{{"s", l.endpoints, 2, 8}}
	capacity := float64(l.endpoints) * 2 / 0.04
	steady := Class{Name: "steady", Service: "s", Rate: 0.35 * capacity, Work: 40 * time.Millisecond, AnswerBytes: 1000,
		Target: 300 * time.Millisecond, Timeout: 1500 * time.Millisecond, Priority: l.steady, Worth: 1, LateWorth: 0.3}
	bursting := steady
	bursting.Name, bursting.Priority = "bursting", l.bursting
	if l.steady > l.bursting {
		// Its share is a third.
		steady.Rate, bursting.Rate = capacity*0.7/3, capacity*1.4/3
	}
	c.Classes = []Class{steady, bursting}
	c.Options.RouteShares = l.shares
	em := New(c)
	if burst {
		em.At(time.Second, func() { em.Config.Classes[1].Rate *= 2.5 })
	}
	return em
}

// outcome is what callers of a route got, as shares of their requests.
type outcome struct{ inTarget, late, failed float64 }

// from returns the outcome of a class's requests that started in or after a second.
func (r *Result) from(class string, second int) outcome {
	var c Counts
	for _, s := range r.ClassSeconds[class][second:] {
		c.add(s)
	}
	n := float64(c.Requests)
	return outcome{float64(c.InTarget) / n, float64(c.Late) / n, float64(c.Failed) / n}
}

// TestBurstLeavesOtherRouteItsShare: a burst of 2.5 of one route takes the load to 1.2 or
// 1.4 of the capacity. The route beside it stays below its share, so what it gets must not
// depend on the burst; in one queue for both, it is late and refused alike.
func TestBurstLeavesOtherRouteItsShare(t *testing.T) {
	for _, load := range []burstLoad{
		{1, 0, 6, 1, 1, true}, {2, 0, 6, 0, 1, true},
		{1, 1, 30, 1, 1, true}, {1, 1, 30, 0, 1, true}, {1, 1, 30, 1, 0, true},
		{1, 10, 120, 1, 1, true},
	} {
		const span, second = 3 * time.Second, 1
		run := func(load burstLoad, burst bool) *Result {
			r := load.emulator(burst).Run(span)
			require.Empty(t, r.Violations())
			return r
		}
		quiet, with := run(load, false), run(load, true)
		oneQueue := load
		oneQueue.shares = false
		without := run(oneQueue, true)
		t.Logf("%+v: steady route without the burst %.3f; with it %.3f, bursting %.3f, worth %.3f; in one queue %.3f, bursting %.3f, worth %.3f",
			load, quiet.from("steady", second), with.from("steady", second), with.from("bursting", second), with.Total().Share(),
			without.from("steady", second), without.from("bursting", second), without.Total().Share())
		require.GreaterOrEqual(t, with.from("steady", second).inTarget, quiet.from("steady", second).inTarget-0.02)
		require.Greater(t, with.from("steady", second).inTarget, without.from("steady", second).inTarget)
	}
}

// TestSharesAfterRestarts: credits are lost when all hosts restart during the burst, and
// when half of them die the others get their load. Each host must give the steady route its
// share from what it sees itself.
func TestSharesAfterRestarts(t *testing.T) {
	for name, fault := range map[string]func(em *Emulator){
		"all restarted": func(em *Emulator) {
			for _, h := range em.Hosts() {
				h.Kill(300 * time.Millisecond)
			}
		},
		"half killed": func(em *Emulator) {
			for i, h := range em.Hosts() {
				if i%2 == 0 {
					h.Kill(0)
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			run := func(burst bool) *Result {
				em := burstLoad{1, 2, 30, 1, 1, true}.emulator(burst)
				em.At(2*time.Second, func() { fault(em) })
				r := em.Run(6 * time.Second)
				require.Empty(t, r.Violations())
				return r
			}
			// Routers detect the fault within 1 s, and callers that it held up have a
			// timeout of 1.5 s.
			quiet, burst := run(false).from("steady", 4), run(true)
			t.Logf("steady route without the burst %.3f, with it %.3f, bursting %.3f", quiet, burst.from("steady", 4), burst.from("bursting", 4))
			require.GreaterOrEqual(t, burst.from("steady", 4).inTarget, quiet.inTarget-0.02)
		})
	}
}
