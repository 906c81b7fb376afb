package emu

import (
	"flag"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/internal/relay"
)

var deadSeeds = flag.Uint64("dead-seeds", 2, "number of seeds of TestCallersLearnOfDeadEndpoints")

// resetTimes records how long flows had waited that were reset for a dead endpoint.
type resetTimes struct {
	NopObserver
	waited []time.Duration
}

func (o *resetTimes) Rejected(_ time.Duration, p relay.Placement, reason relay.Rejection) {
	if reason == relay.RejectDeadEndpoint {
		o.waited = append(o.waited, p.RequestWaited)
	}
}

// quantile returns the quantile q, from 0 to 1, of the times.
func (o *resetTimes) quantile(q float64) time.Duration {
	slices.Sort(o.waited)
	return o.waited[int(q*float64(len(o.waited)-1))]
}

// crashInTurn crashes an endpoint of the service every 200 ms, for 1.5 s each.
func (em *Emulator) crashInTurn(service string, times int) {
	all := em.Endpoints(service)
	for i := range times {
		em.At(time.Duration(i+1)*200*time.Millisecond, func() {
			all[i%len(all)].Crash(3600*time.Millisecond, 1500*time.Millisecond)
		})
	}
}

// TestCallersLearnOfDeadEndpoints: endpoints crash one after the other, and requests in
// progress there get no answer. Callers must learn of it before they give up, so that
// fewer requests fail than without resets, and no flow at a living endpoint is reset.
func TestCallersLearnOfDeadEndpoints(t *testing.T) {
	for name, deployment := range map[string]func(uint64) Config{
		"few hosts": Default, "long requests": LongRequests, "many hosts": ManyHosts,
	} {
		t.Run(name, func(t *testing.T) {
			var times resetTimes
			play := func(seed uint64, disabled bool) *Result {
				c := deployment(seed)
				c.Options.Disabled.DeathDetection = disabled
				c.Options.Observer = &times
				em := New(c)
				em.crashInTurn("alerts", 28)
				return em.Run(7 * time.Second)
			}
			failed, late, without := 0, 0, 0
			for seed := range *deadSeeds {
				r := play(seed+1, false)
				require.Empty(t, r.Violations())
				failed, late = failed+r.Total().Failed, late+r.Total().Late
				without += play(seed+1, true).Total().Failed
			}
			t.Logf("failed %d, late %d, failed without resets %d; reset %d after %s, %s and %s (a tenth, half and nine tenths)",
				failed, late, without, len(times.waited), times.quantile(0.1), times.quantile(0.5), times.quantile(0.9))
			require.Less(t, failed, without)
		})
	}
}
