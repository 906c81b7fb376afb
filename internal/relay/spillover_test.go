package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/internal/catalog"
	"toucangap/internal/coldstart"
	"toucangap/internal/segment"
)

// newSpilloverHarness returns a relay of domain "d" with spillover and endpoints i-1 to
// i-n of service "s" there, and e-1 to e-n in domain "e".
func newSpilloverHarness(t testing.TB, home, remote int) *harness {
	r := newHarness(t, 0)
	r.relay = New(Options{Domain: "d", MaxFlows: 1000, FlowLifetime: lifetime, Output: discard{r}, Observer: discard{r}, Spillover: true, Hosts: func() int { return minSpilloverHosts }}, 0)
	for i := range home {
		r.addEndpoint(fmt.Sprintf("i-%d", i+1), "s")
	}
	for i := range remote {
		r.revision++
		e := &catalog.Endpoint{ID: fmt.Sprintf("e-%d", i+1), Recipient: 1, Service: "s", Domain: "e", Slots: 2}
		r.directory.PutEndpoint(r.now, e, catalog.Position{Revision: r.revision})
	}
	r.configureTarget(250 * ms)
	return r
}

// timedFlow plays a whole flow whose answer takes the given time by domain, and reports
// whether it left the home domain.
func (r *harness) timedFlow(port uint16, frame []byte, home, remote time.Duration) (left bool) {
	s := segment.Segment{Flow: flowOf(port), Sequence: 1000, Syn: true}
	r.relay.Packet(r.now, s, frame)
	e := r.relay.flows[s.Flow].endpoint
	left = e.Entry.Domain != "d"
	took := home
	if left {
		took = remote
	}
	for _, s := range []segment.Segment{
		{Acknowledgement: 1, DataBytes: 10}, {Acknowledgement: 500}, {Acknowledgement: 500, Fin: true},
	} {
		s.Flow, s.Token, s.Sequence, s.Ack = flowOf(port), e.Entry.Token(), 1001, true
		r.advance(ms)
		if s.Acknowledgement == 500 && !s.Fin {
			r.advance(took)
		}
		r.relay.Packet(r.now, s, frame)
	}
	return left
}

// TestSpilloverFollowsAnswerTimes guards against flows that stay in a domain whose
// endpoints answer later than others or leave one that does not, which happens if answers
// are not attributed to their domains, and against allocations for each flow.
func TestSpilloverFollowsAnswerTimes(t *testing.T) {
	r := newSpilloverHarness(t, 4, 4)
	var changes []bool
	r.relay.options.SpilloverChanged = func(_ time.Duration, s SpilloverState) { changes = append(changes, s.Share > 0) }
	frame := make([]byte, 40)
	port := uint16(0)
	play := func(flows int, home time.Duration) (left int) {
		for range flows {
			port++
			if r.timedFlow(port, frame, home, 20*ms) {
				left++
			}
		}
		return left
	}
	require.Zero(t, play(200, 20*ms))
	require.Greater(t, play(100, 100*ms), 20)
	require.Zero(t, testing.AllocsPerRun(200, func() { play(1, 100*ms) }))
	play(100, 20*ms)
	require.Zero(t, play(100, 20*ms))
	require.Equal(t, []bool{true, false}, changes)
	state := r.relay.Spillover(r.now)[0]
	require.Equal(t, 20*ms, state.Home.Round(5*ms))
	require.Equal(t, 20*ms, state.Remote.Round(5*ms))
	require.Greater(t, state.Left[DepartSpillover], int64(20))
	require.Less(t, state.HomeAge, time.Second)
}

// TestSpilloverWithoutHome guards against flows that are refused or kept at home where no
// endpoint is of use: none is listed, the SYNs to most of them are unanswered, all fail
// requests, or all are cold, as after an evacuation.
func TestSpilloverWithoutHome(t *testing.T) {
	r := newSpilloverHarness(t, 0, 4)
	require.True(t, r.timedFlow(1, make([]byte, 40), 0, 20*ms))
	require.Equal(t, int64(1), r.relay.Spillover(r.now)[0].Left[DepartNoHome])

	r = newSpilloverHarness(t, 4, 4)
	for i := range 3 {
		e := r.relay.endpoints[catalog.TokenOf(fmt.Sprintf("i-%d", i+1))]
		e.RecordUnansweredSYN(r.now, r.now, &r.relay.services["s"].observed)
	}
	left := 0
	for port := uint16(1); port <= 20; port++ {
		r.syn(port, 0)
		if r.relay.flows[flowOf(port)].endpoint.Entry.Domain == "e" {
			left++
		}
	}
	require.Greater(t, left, 8)
	require.Equal(t, int64(left), r.relay.Spillover(r.now)[0].Left[DepartSuspect])

	r = newSpilloverHarness(t, 2, 4)
	for _, e := range r.relay.endpoints {
		for range 20 {
			e.RecordOutcome(r.now, e.Entry.Domain == "d", &r.relay.services["s"].observed)
		}
	}
	require.True(t, r.timedFlow(1, make([]byte, 40), 0, 20*ms))
	require.Equal(t, int64(1), r.relay.Spillover(r.now)[0].Left[DepartFailing])

	r = newSpilloverHarness(t, 2, 4)
	for _, e := range r.relay.endpoints {
		if e.Entry.Domain == "d" {
			e.Entry.WarmAt = r.now + time.Second
		}
	}
	require.True(t, r.timedFlow(1, make([]byte, 40), 0, 20*ms))
	require.Equal(t, int64(1), r.relay.Spillover(r.now)[0].Left[DepartCold])
}

// TestSpilloverKeepsTheIntervalOfTrials guards against flows that count twice towards the
// next trial of a suspect endpoint, which they did while the host's domain was full.
func TestSpilloverKeepsTheIntervalOfTrials(t *testing.T) {
	untilTrial := func(spillover bool) int {
		r := newSpilloverHarness(t, 1, 2)
		r.relay.options.Disabled = Features{Holding: true, Admission: true}
		sv := r.relay.services["s"]
		if !spillover {
			sv.spill = nil
		}
		suspect, dead := r.relay.endpoints[catalog.TokenOf("e-1")], r.relay.endpoints[catalog.TokenOf("e-2")]
		suspect.RecordUnansweredSYN(r.now, r.now, &sv.observed)
		for suspect.Suspect(r.now) {
			r.now += 10 * ms
		}
		for range 8 {
			dead.RecordUnansweredSYN(r.now, r.now, &sv.observed)
		}
		r.relay.endpoints[catalog.TokenOf("i-1")].Busy = 2
		for port := uint16(1); ; port++ {
			r.syn(port, 0)
			if r.relay.flows[flowOf(port)].endpoint == suspect {
				return int(port)
			}
		}
	}
	require.Equal(t, untilTrial(false), untilTrial(true))
}

// limitCold lets another host own all cold endpoints of a harness.
func (r *harness) limitCold() {
	var registry coldstart.Registry
	registry.Put(0, coldstart.Host{Name: "other", Domain: "d"})
	hosts := registry.Snapshot()
	r.relay.options.Cold = coldstart.Rules{
		Host: coldstart.Host{Name: "self", Domain: "d"}, Hosts: func() *coldstart.Hosts { return hosts },
		ViewAge: func() time.Duration { return 0 }, MaxViewAge: 2 * time.Second, Bounds: coldstart.Bounds{Factor: 1, Allowance: 1},
	}
	r.directory.Configuration().ColdStarts = map[string]catalog.ColdStart{"s": {For: lifetime, PerSecond: 3}}
}

// TestSpilloverWhileAnEndpointIsCold guards against flows that stay in a congested domain,
// or that are not counted, for as long as any endpoint of the service is cold, and against
// a domain whose few warm endpoints get all of its flows.
func TestSpilloverWhileAnEndpointIsCold(t *testing.T) {
	frame := make([]byte, 40)
	r := newSpilloverHarness(t, 4, 4)
	r.limitCold()
	r.report("i-4", 1, lifetime)
	left := int64(0)
	for port := range uint16(300) {
		home := 20 * ms
		if port >= 200 {
			home = 100 * ms
		}
		if r.timedFlow(port, frame, home, 20*ms) {
			left++
		}
	}
	state := r.relay.Spillover(r.now)[0]
	require.Greater(t, state.Left[DepartSpillover], int64(20))
	require.Equal(t, left, state.Left[DepartSpillover])

	for cold := 3; cold <= 4; cold++ {
		r = newSpilloverHarness(t, 4, 4)
		r.limitCold()
		for i := range cold {
			r.report(fmt.Sprintf("i-%d", i+1), 1, lifetime)
		}
		for port := range uint16(8) {
			r.syn(port, 0)
		}
		require.Positive(t, r.relay.Spillover(r.now)[0].Left[DepartCold], "%d cold", cold)
	}
}

// TestSpilloverNeedsManyHosts: with few hosts, spillover took the choice over all endpoints
// from hosts that know most of the load.
func TestSpilloverNeedsManyHosts(t *testing.T) {
	r := spilloverHarness(t)
	sv := r.relay.services["s"]
	require.True(t, r.relay.spills(sv))
	r.relay.options.Hosts = func() int { return minSpilloverHosts - 1 }
	require.False(t, r.relay.spills(sv))
	for port := uint16(1); port < 20; port++ {
		r.syn(port, 0)
	}
	require.Zero(t, sv.spill.left)
	require.Zero(t, sv.spill.overflow("far").inFlight)
	require.InDelta(t, 4.0/(minSpilloverHosts-1), r.relay.slotShare(r.now, sv), 0.01, "the slots of all domains")
}
