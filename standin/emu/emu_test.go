package emu

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/internal/relay"
)

var (
	schedules = flag.Int("emu-schedules", 6, "random schedules to play")
	firstSeed = flag.Uint64("emu-seed", 1, "seed of the first one")
)

func play(seed uint64, options relay.Options, span time.Duration, faults func(w *World)) *Result {
	c := Default(seed)
	c.Options = options
	w := New(c)
	if faults != nil {
		faults(w)
	}
	return w.Run(span)
}

// TestCalm: without faults every request is answered in time, and a seed
// repeats its run.
func TestCalm(t *testing.T) {
	r := play(1, relay.Options{}, 5*time.Second, nil)
	require.Empty(t, r.Violations())
	require.Equal(t, r.Total().Asked, r.Total().InTarget)
	require.Equal(t, r, play(1, relay.Options{}, 5*time.Second, nil))
}

// TestDarkEndpoint plays endpoints that fall silent while their entries last
// for 3.6 s: callers hardly notice with first packets sent on and dead flows
// ended; without, a share of the service's worth is lost.
func TestDarkEndpoint(t *testing.T) {
	dark := func(w *World) {
		w.At(time.Second, func() {
			for _, e := range w.Endpoints("alerts")[:2] {
				e.Crash(3600*time.Millisecond, 0)
			}
		})
	}
	r := play(1, relay.Options{}, 5*time.Second, dark)
	bare := play(1, relay.Options{Without: relay.Parts{SendingOn: true, Death: true}, Choose: LeastOpen}, 5*time.Second, dark)
	t.Logf("worth %.4f, bare %.4f", r.Total().Share(), bare.Total().Share())
	require.Empty(t, r.Violations())
	require.Greater(t, r.Total().Share(), 0.99)
	require.Less(t, 3*(1-r.Total().Share()), 1-bare.Total().Share())
}

// TestDeathSavesSafeRequests: requests in progress at an endpoint that dies are
// tried again at once when the flow is reset, instead of at their deadline.
func TestDeathSavesSafeRequests(t *testing.T) {
	dark := func(w *World) {
		for i := range 28 {
			w.At(time.Duration(i+1)*200*time.Millisecond, func() {
				w.Endpoints("alerts")[i%14].Crash(3600*time.Millisecond, 1500*time.Millisecond)
			})
		}
	}
	with := play(3, relay.Options{}, 7*time.Second, dark)
	without := play(3, relay.Options{Without: relay.Parts{Death: true}}, 7*time.Second, dark)
	t.Logf("failed %d, without %d", with.Classes["ack"].Failed, without.Classes["ack"].Failed)
	require.Empty(t, with.Violations())
	require.Less(t, with.Classes["ack"].Failed, without.Classes["ack"].Failed)
}

// TestSlowEndpoints plays endpoints that take five times as long: they get
// little, and the target is met more often than by open flows alone.
func TestSlowEndpoints(t *testing.T) {
	slow := func(w *World) {
		w.At(time.Second, func() {
			for _, e := range w.Endpoints("alerts")[:3] {
				e.Slow = 5
			}
		})
	}
	r := play(1, relay.Options{}, 6*time.Second, slow)
	base := play(1, relay.Options{Choose: LeastOpen}, 6*time.Second, slow)
	t.Logf("late %d, baseline %d", r.Total().Late, base.Total().Late)
	require.Empty(t, r.Violations())
	require.Less(t, r.Total().Late*2, base.Total().Late)
}

// TestGreyEndpoints plays endpoints that accept all flows and leave a quarter of
// their requests unanswered: they get fewer.
func TestGreyEndpoints(t *testing.T) {
	grey := func(w *World) {
		for _, e := range w.Endpoints("alerts")[:2] {
			e.Fails = 64
		}
	}
	r := play(1, relay.Options{}, 6*time.Second, grey)
	random := play(1, relay.Options{Choose: Random}, 6*time.Second, grey)
	t.Logf("failed %d, by chance %d", r.Total().Failed, random.Total().Failed)
	require.Empty(t, r.Violations())
	require.Less(t, 4*r.Total().Failed, random.Total().Failed)
}

// erring makes three endpoints answer part of their requests with errors.
func erring(w *World) {
	w.At(time.Second, func() {
		for _, e := range w.Endpoints("alerts")[:3] {
			e.Errs = 128
		}
	})
}

// TestErringEndpoints plays endpoints that answer half of their requests at once
// with a short error. They look fast and free, and would get more than their
// share; requests that must run once can't be tried again.
func TestErringEndpoints(t *testing.T) {
	r := play(1, relay.Options{}, 6*time.Second, erring)
	blind := play(1, relay.Options{Choose: WithoutFailures}, 6*time.Second, erring)
	t.Logf("worth %.4f, failed %d; without failures %.4f, %d",
		r.Total().Share(), r.Total().Failed, blind.Total().Share(), blind.Total().Failed)
	require.Empty(t, r.Violations())
	require.Less(t, 5*r.Total().Failed, blind.Total().Failed)
	require.Greater(t, r.Total().Share(), 0.98)
}

// TestHostsTellOfErringEndpoints spreads the same load over many hosts, each of
// which sees few requests of an endpoint: they find out together.
func TestHostsTellOfErringEndpoints(t *testing.T) {
	play := func(exchange bool) *Result {
		c := Default(2)
		c.Hosts, c.Exchange = 8, exchange
		w := New(c)
		erring(w)
		return w.Run(6 * time.Second)
	}
	with, without := play(true), play(false)
	t.Logf("failed %d, each for itself %d", with.Total().Failed, without.Total().Failed)
	require.Empty(t, with.Violations())
	require.Less(t, 2*with.Total().Failed, without.Total().Failed)
}

// TestAllEndpointsErr: when all endpoints fail alike none is passed over.
func TestAllEndpointsErr(t *testing.T) {
	r := play(1, relay.Options{}, 4*time.Second, func(w *World) {
		for _, e := range w.Endpoints("alerts") {
			e.Errs = 40
		}
	})
	blind := play(1, relay.Options{Choose: WithoutFailures}, 4*time.Second, func(w *World) {
		for _, e := range w.Endpoints("alerts") {
			e.Errs = 40
		}
	})
	require.Empty(t, r.Violations())
	require.InDelta(t, blind.Total().Share(), r.Total().Share(), 0.02)
}

// TestRefusingEndpoints plays endpoints that have crashed on hosts that run: they
// answer first packets with resets, which end a caller's try at once. Its packet
// then reaches another endpoint that nobody reacts to any more; that one must not
// be blamed, or the load of all falls on fewer and fewer.
func TestRefusingEndpoints(t *testing.T) {
	for seed := range uint64(4) {
		r := play(seed, relay.Options{}, 6*time.Second, func(w *World) {
			w.Rate(1.4)
			w.At(time.Second, func() {
				for _, e := range w.Endpoints("alerts")[:4] {
					e.CrashRefusing(3600*time.Millisecond, 5*time.Second)
				}
			})
		})
		t.Logf("failed %d of %d", r.Total().Failed, r.Total().Asked)
		require.Empty(t, r.Violations())
		require.Less(t, r.Total().Failed, r.Total().Asked/200, "seed %d", seed)
	}
}

// TestCrowd plays five times the load for 1.5 s: what can't be answered in time is
// rejected, the urgent class is served more of its share than the others, and a
// second after the crowd everything is as before.
func TestCrowd(t *testing.T) {
	crowd := func(w *World) {
		w.At(time.Second, func() { w.Rate(5) })
		w.At(2500*time.Millisecond, func() { w.Rate(1) })
	}
	r := play(1, relay.Options{}, 6*time.Second, crowd)
	require.Empty(t, r.Violations())
	t.Logf("urgent %.3f, others %.3f", r.Classes["alert"].Share(), r.Classes["ack"].Share())
	require.Greater(t, r.Classes["alert"].Share(), r.Classes["ack"].Share())
	for s := 4; s < 6; s++ {
		require.Greater(t, r.Seconds[s].Share(), 0.99, "second %d", s)
	}
}

// TestReplacedHosts plays a host that dies and a planned change of all routes'
// hosts while flows are open: no open flow is cut by the others.
func TestReplacedHosts(t *testing.T) {
	r := play(1, relay.Options{}, 6*time.Second, func(w *World) {
		for i, h := range w.Hosts() {
			w.At(time.Duration(i+1)*1500*time.Millisecond, func() { h.Kill(300 * time.Millisecond) })
		}
	})
	require.Empty(t, r.Violations())
	require.Zero(t, r.ResetAlive)
}

// TestLeavingEndpoints: none of the flows that begin after the report of a
// leaving endpoint goes there.
func TestLeavingEndpoints(t *testing.T) {
	var world *World
	r := play(1, relay.Options{}, 4*time.Second, func(w *World) {
		world = w
		w.At(time.Second, func() {
			for _, e := range w.Endpoints("alerts")[:6] {
				e.Leave(700 * time.Millisecond)
			}
		})
	})
	require.Empty(t, r.Violations())
	require.Zero(t, world.Ledger.LateOpenings)
	require.Equal(t, r.Total().Asked, r.Total().InTarget)
}

// allKinds is the number of kinds of faults, firstKinds that of those which
// former failures were drawn from.
const (
	firstKinds = 9
	allKinds   = 10
)

// randomFaults mixes faults of the first kinds, overlapping and repeated.
func randomFaults(w *World, rng *rand.Rand, kinds int) {
	w.Config.Loss = []float64{0, 0.001, 0.01}[rng.IntN(3)]
	span := func(most int) time.Duration { return time.Duration(rng.IntN(most)+1) * time.Millisecond }
	for range rng.IntN(12) + 3 {
		at := span(6000)
		h := w.Hosts()[rng.IntN(len(w.Hosts()))]
		e := w.endpoints[rng.IntN(len(w.endpoints))]
		switch rng.IntN(kinds) {
		case 0:
			w.At(at, func() { h.Kill(span(1500)) })
		case 1:
			w.At(at, func() { h.Freeze(span(3000)) })
		case 2:
			w.At(at, func() { e.Crash(span(3600), span(3000)) })
		case 3:
			w.At(at, func() { e.Slow = 1 + rng.Float64()*6 })
		case 4:
			w.At(at, func() { e.Slow = 1 })
		case 5:
			w.At(at, func() { e.Fails = uint8(rng.IntN(128)) })
		case 6:
			w.At(at, func() { e.Leave(span(3000) + time.Second) })
		case 7:
			w.At(at, func() { w.Rate(0.5 + rng.Float64()*4) })
		case 8:
			w.At(at, func() { w.AddEndpoint(Group{e.Service, 1, 2, 8}, e.domain) })
		case 9:
			w.At(at, func() { e.Errs = uint8(rng.IntN(200)) })
		}
	}
}

func playRandom(seed uint64, kinds int) *Result {
	c := Default(seed)
	rng := rand.New(rand.NewPCG(seed, 2))
	c.Hosts = 1 + rng.IntN(3)
	c.Exchange = kinds == allKinds
	w := New(c)
	randomFaults(w, rng, kinds)
	return w.Run(6 * time.Second)
}

// TestRandomSchedules plays random faults; nothing that must not happen does,
// whatever is lost.
func TestRandomSchedules(t *testing.T) {
	for i := range uint64(*schedules) {
		seed := *firstSeed + i
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := playRandom(seed, allKinds)
			require.Empty(t, r.Violations())
		})
	}
}

// formerFailures are schedules that reset open flows at living endpoints, with
// what the relay did wrong then.
var formerFailures = map[uint64]string{
	5:  "took reactions that routers had moved to another host for silence",
	20: "took callers that had given up for silent endpoints",
	25: "took reactions that routers had moved to another host for silence",
	33: "took reactions that routers had moved to another host for silence",
}

func TestFormerFailures(t *testing.T) {
	for seed, cause := range formerFailures {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			require.Empty(t, playRandom(seed, firstKinds).Violations(), cause)
		})
	}
}
