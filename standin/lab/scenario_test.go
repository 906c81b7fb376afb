package lab

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/internal/steer"
)

// logState logs the counts of each host, the traces of broken flows, and the
// callers' results.
func logState(t *testing.T, sim *Simulation) {
	t.Helper()
	for _, h := range sim.Hosts() {
		if c := h.Core(); c != nil {
			tot := c.Totals()
			t.Logf("%s %v alive=%v opened=%d exceptions=%d taken-over=%d moved=%d unknown=%d drops=%v replies=%v passed=%d", h.Name, c.State(), h.alive, tot.FlowsOpened, tot.Exceptions, tot.TakenOver, tot.RecordsMoved, tot.RecordsUnknown, h.Drops, h.Replies, h.Passed)
		}
	}
	r := sim.Callers().Result
	r.Latencies = nil
	for _, k := range sim.Callers().BrokenFlows {
		t.Logf("%v\n%s", k, strings.Join(sim.Trace(k, 25), "\n"))
	}
	t.Logf("%+v", r)
}

// TestScenarioDrain marks an endpoint as draining at one host. No flow may break,
// and 3 s later no host may place new flows there.
func TestScenarioDrain(t *testing.T) {
	sim := newLoadedSimulation(t, Solaris, 1, 6000, NewCore(Mutation{}))
	e := sim.Endpoints(ServiceSessions)[3]
	sim.Hosts()[1].Core().Mark(steer.EndpointKey{Service: ServiceSessions, Endpoint: 4}, true)
	at := sim.Now()
	sim.Run(60 * time.Second)
	logState(t, sim)
	t.Log(e.lastNewFlow - at)
	require.Zero(t, sim.Callers().Result.Broken)
	require.Less(t, e.lastNewFlow-at, 3*time.Second)
}

// TestScenarioStop gracefully stops one host, which hands over its flows first:
// none may break, and the process must end.
func TestScenarioStop(t *testing.T) {
	sim := newLoadedSimulation(t, Solaris, 1, 6000, NewCore(Mutation{}))
	sim.Hosts()[1].Core().Leave()
	sim.Run(60 * time.Second)
	logState(t, sim)
	require.Zero(t, sim.Callers().Result.Broken)
	require.False(t, sim.Hosts()[1].alive)
}

// TestScenarioKill kills one host: at most 6 of the 6,000 flows (0.1%) may break.
func TestScenarioKill(t *testing.T) {
	sim := newLoadedSimulation(t, Solaris, 1, 6000, NewCore(Mutation{}))
	sim.Kill(sim.Hosts()[1])
	sim.Run(60 * time.Second)
	logState(t, sim)
	require.LessOrEqual(t, sim.Callers().Result.Broken, 6)
}

// TestScenarioRolling gracefully stops and restarts every host, one at a time: no
// flow may break.
func TestScenarioRolling(t *testing.T) {
	sim := newLoadedSimulation(t, Solaris, 1, 6000, NewCore(Mutation{}))
	sim.KeepTrace()
	for i := range sim.Hosts() {
		h := sim.Hosts()[i]
		h.Core().Leave()
		sim.Run(15 * time.Second)
		require.False(t, h.alive)
		sim.Start(h)
		sim.Run(15 * time.Second)
		logState(t, sim)
	}
	sim.Run(30 * time.Second)
	logState(t, sim)
	require.Zero(t, sim.Callers().Result.Broken)
}
