package lab

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/internal/steer"
)

func logState(t *testing.T, w *World) {
	t.Helper()
	for _, h := range w.Hosts() {
		if c := h.Core(); c != nil {
			tot := c.Totals()
			t.Logf("%s %v alive=%v begun=%d exc=%d adopted=%d moved=%d unknown=%d drops=%v replies=%v passed=%d", h.Name, c.State(), h.alive, tot.FlowsBegun, tot.Exceptions, tot.TakenOver, tot.RecordsMoved, tot.RecordsUnknown, h.Drops, h.Replies, h.Passed)
		}
	}
	r := w.Load().Result
	r.Latencies = nil
	for _, k := range w.Load().BrokenFlows {
		t.Logf("%v\n%s", k, strings.Join(w.Trace(k, 25), "\n"))
	}
	t.Logf("%+v", r)
}

func TestScenarioDrain(t *testing.T) {
	w := newLoadedWorld(t, Solaris, 1, 6000, NewCore(Weakening{}))
	e := w.Endpoints(ServiceSessions)[3]
	w.Hosts()[1].Core().Mark(steer.EndpointKey{Service: ServiceSessions, Endpoint: 4}, true)
	at := w.Now()
	w.Run(60 * time.Second)
	logState(t, w)
	t.Log(e.lastNewFlow - at)
	require.Zero(t, w.Load().Result.Broken)
	require.Less(t, e.lastNewFlow-at, 3*time.Second)
}

func TestScenarioStop(t *testing.T) {
	w := newLoadedWorld(t, Solaris, 1, 6000, NewCore(Weakening{}))
	w.Hosts()[1].Core().Leave()
	w.Run(60 * time.Second)
	logState(t, w)
	require.Zero(t, w.Load().Result.Broken)
	require.False(t, w.Hosts()[1].alive)
}

func TestScenarioKill(t *testing.T) {
	w := newLoadedWorld(t, Solaris, 1, 6000, NewCore(Weakening{}))
	w.Kill(w.Hosts()[1])
	w.Run(60 * time.Second)
	logState(t, w)
	require.LessOrEqual(t, w.Load().Result.Broken, 6)
}

func TestScenarioRolling(t *testing.T) {
	w := newLoadedWorld(t, Solaris, 1, 6000, NewCore(Weakening{}))
	w.KeepTrace()
	for i := range w.Hosts() {
		h := w.Hosts()[i]
		h.Core().Leave()
		w.Run(15 * time.Second)
		require.False(t, h.alive)
		w.Start(h)
		w.Run(15 * time.Second)
		logState(t, w)
	}
	w.Run(30 * time.Second)
	logState(t, w)
	require.Zero(t, w.Load().Result.Broken)
}
