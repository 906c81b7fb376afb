package relay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/internal/balance"
	"toucangap/internal/catalog"
	"toucangap/internal/segment"
	"toucangap/platform"
)

const (
	ms       = time.Millisecond
	lifetime = time.Minute
)

var (
	caller  = catalog.Address{IP: 0x64400007, Port: 40001}
	target  = catalog.Address{IP: 0xc6120001, Port: 443}
	theFlow = catalog.Flow{Caller: caller, Service: target}
)

// rig is a relay with what it sent and decided.
type rig struct {
	t         testing.TB
	relay     *Relay
	now       time.Duration
	directory *catalog.Directory
	revision  uint64
	// sent are the ids of endpoints that packets went to, "reset" for resets.
	sent  []string
	notes []string
}

// newRig returns a relay with endpoints i-1 to i-n of service "s".
func newRig(t testing.TB, n int) *rig {
	r := &rig{t: t, directory: catalog.NewDirectory(0, lifetime), now: 2 * lifetime}
	r.relay = New(Options{Domain: "d", MaxFlows: 1000, FlowLifetime: lifetime, Output: r, Observer: r}, 0)
	for i := range n {
		r.list(fmt.Sprintf("i-%d", i+1), "s")
	}
	r.configure("s")
	return r
}

func (r *rig) list(id, service string) {
	r.revision++
	r.directory.PutEndpoint(r.now, &catalog.Endpoint{ID: id, Number: 1, Service: service, Domain: "d", Slots: 2}, r.revision)
	r.publish()
}

// configure makes a version in force whose one route goes to the service; no
// service removes the route.
func (r *rig) configure(services ...string) {
	r.revision++
	c := &catalog.Configuration{Version: r.revision, Services: map[string]int{"s": 1, "other": 1}, IdleTimeout: 10 * time.Second}
	for _, s := range services {
		c.Routes = append(c.Routes, catalog.Route{
			Name: "r", Address: target, Timeout: time.Second, Shares: []catalog.Share{{Service: s, Weight: 1}},
		})
	}
	r.directory.SetConfiguration(c, r.revision)
	r.publish()
}

func (r *rig) publish() { r.relay.SetView(r.now, r.directory.View(r.now)) }

func (r *rig) Forward(e *catalog.Entry, _ []byte)         { r.sent = append(r.sent, e.ID) }
func (r *rig) Reset(catalog.Flow, uint32)                 { r.sent = append(r.sent, "reset") }
func (r *rig) Placed(_ time.Duration, p Placement)        { r.note("placed") }
func (r *rig) Accepted(time.Duration)                     {}
func (r *rig) Answered(time.Duration)                     {}
func (r *rig) Recovered(time.Duration, *balance.Endpoint) { r.note("recovered") }
func (r *rig) Ended(_ time.Duration, e Ending)            { r.note("ended " + e.Cause) }
func (r *rig) Dropped(_ time.Duration, _ catalog.Flow, d Drop) {
	r.note("dropped " + d.String())
}
func (r *rig) Rejected(_ time.Duration, _ Placement, reason Rejection) {
	r.note("rejected " + reason.String())
}
func (r *rig) Adopted(time.Duration, catalog.Flow, *catalog.Entry) { r.note("adopted") }
func (r *rig) Contested(time.Duration, catalog.Flow, *catalog.Entry, catalog.Token) {
	r.note("contested")
}
func (r *rig) Suspected(_ time.Duration, _ catalog.Flow, e *balance.Endpoint, _ time.Duration) {
	r.note("suspected")
}
func (r *rig) note(text string) { r.notes = append(r.notes, text) }

// take returns what was sent and noted since the last call.
func (r *rig) take() (sent, notes []string) {
	sent, notes = r.sent, r.notes
	r.sent, r.notes = nil, nil
	return sent, notes
}

// packet gives the relay a packet of a flow.
func (r *rig) packet(s segment.Segment) {
	frame := make([]byte, platform.IntendedBytes)
	r.relay.Packet(r.now, s, platform.Append(frame, s, make([]byte, s.DataBytes)))
}

// syn opens the flow of a caller's port; copies counts those sent before.
func (r *rig) syn(port uint16, copies uint32) {
	r.packet(segment.Segment{Flow: flowOf(port), Sequence: 1000, Acknowledgement: copies, Syn: true})
}

func flowOf(port uint16) catalog.Flow {
	return catalog.Flow{Caller: catalog.Address{IP: caller.IP, Port: port}, Service: target}
}

// ack sends a packet that names an endpoint.
func (r *rig) ack(port uint16, id string, acknowledgement uint32, data int) {
	r.packet(segment.Segment{
		Flow: flowOf(port), Token: catalog.TokenOf(id), Sequence: 1001,
		Acknowledgement: acknowledgement, Ack: true, DataBytes: data,
	})
}

// wait lets time pass with the ticks that are due.
func (r *rig) wait(d time.Duration) {
	end := r.now + d
	for {
		due, ok := r.relay.NextDue()
		if !ok || due > end {
			r.now = end
			return
		}
		r.now = max(r.now, due)
		r.relay.Tick(r.now)
	}
}

// place opens a flow and returns its endpoint.
func (r *rig) place(port uint16) string {
	r.syn(port, 0)
	sent, _ := r.take()
	require.Len(r.t, sent, 1)
	return sent[0]
}

func TestPacketsFollowTheToken(t *testing.T) {
	r := newRig(t, 4)
	id := r.place(1)
	r.now += 6 * ms
	r.ack(1, id, 1, 10)
	r.ack(1, id, 500, 0)
	sent, notes := r.take()
	require.Equal(t, []string{id, id}, sent)
	require.Empty(t, notes)
	for i := range 4 {
		require.Zero(t, r.relay.Endpoints(r.now)[i].Busy, "answered")
	}
	require.Equal(t, 1, r.relay.OpenFlows())
	r.packet(segment.Segment{Flow: flowOf(1), Token: catalog.TokenOf(id), Sequence: 1011, Acknowledgement: 500, Ack: true, Fin: true})
	_, notes = r.take()
	require.Equal(t, []string{"ended fin"}, notes)
	require.Zero(t, r.relay.OpenFlows())
}

// TestAnyHostForwards: a host that has never seen the flow forwards it.
func TestAnyHostForwards(t *testing.T) {
	r := newRig(t, 4)
	for _, id := range []string{"i-3", "i-1"} {
		r.ack(uint16(id[2]), id, 77, 10)
		sent, notes := r.take()
		require.Equal(t, []string{id}, sent)
		require.Equal(t, []string{"adopted"}, notes)
	}
}

func TestDropsByReason(t *testing.T) {
	r := newRig(t, 2)
	r.list("i-9", "other")
	known := segment.Segment{Flow: theFlow, Token: catalog.TokenOf("i-1"), Ack: true, DataBytes: 5}
	cases := []struct {
		name   string
		change func(s *segment.Segment)
		sent   []string
		note   string
	}{
		{"passed on before", func(s *segment.Segment) { s.Forwarded = true }, nil, "dropped looped"},
		{"no token", func(s *segment.Segment) { s.Token = 0 }, nil, "dropped no_token"},
		{"forged token", func(s *segment.Segment) { s.Token = 12345 }, nil, "dropped unknown_endpoint"},
		{"token of another service", func(s *segment.Segment) { s.Token = catalog.TokenOf("i-9") }, nil, "dropped foreign_service"},
		{"no route, data", func(s *segment.Segment) { s.Flow.Service.Port = 1 }, []string{"reset"}, "rejected route_removed"},
		{"no route, no data", func(s *segment.Segment) { s.Flow.Service.Port, s.DataBytes = 1, 0 }, nil, "dropped no_route"},
		{"a reset without a route", func(s *segment.Segment) { s.Flow.Service.Port, s.Reset = 1, true }, nil, "dropped no_route"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := known
			c.change(&s)
			r.packet(s)
			sent, notes := r.take()
			require.Equal(t, c.sent, sent)
			require.Equal(t, []string{c.note}, notes)
		})
	}
	blank := New(Options{Output: r, Observer: r, MaxFlows: 1}, 0)
	blank.Packet(0, known, nil)
	_, notes := r.take()
	require.Equal(t, []string{"dropped no_configuration"}, notes)
}

func TestRejectsAtOnce(t *testing.T) {
	r := newRig(t, 0)
	r.syn(1, 0)
	sent, notes := r.take()
	require.Equal(t, []string{"reset"}, sent)
	require.Equal(t, []string{"rejected no_endpoint"}, notes)
	r.configure()
	r.syn(2, 0)
	sent, notes = r.take()
	require.Equal(t, []string{"reset"}, sent)
	require.Equal(t, []string{"rejected no_route"}, notes)
	require.Zero(t, r.relay.Stats().Flows)
}

// TestOverload: what would be answered after the caller's timeout is rejected.
func TestOverload(t *testing.T) {
	r := newRig(t, 1)
	port := uint16(1)
	for r.relay.Stats().Rejections[RejectOverload] == 0 {
		require.Less(t, port, uint16(200))
		r.syn(port, 0)
		port++
	}
	// Two slots, 20 ms of usual work, one second.
	require.InDelta(t, 100, int(port), 5)
}

// TestSentOn: without a reaction the first packet goes to other endpoints, each
// once, and then to the last one when the caller repeats it.
func TestSentOn(t *testing.T) {
	r := newRig(t, 5)
	first := r.place(1)
	r.wait(4 * firstPatience)
	sent, _ := r.take()
	require.Len(t, sent, maxTries-1)
	seen := map[string]bool{first: true}
	for _, id := range sent {
		require.False(t, seen[id], "%s twice", id)
		seen[id] = true
	}
	r.wait(100 * ms)
	r.syn(1, 1)
	again, _ := r.take()
	require.Equal(t, sent[len(sent)-1:], again)
}

// TestTwoAcceptances plays both orders in which two endpoints accept one flow:
// the one that the caller's first packet names holds it, whatever it names
// later.
func TestTwoAcceptances(t *testing.T) {
	for _, firstWins := range []bool{true, false} {
		r := newRig(t, 5)
		first := r.place(1)
		r.wait(firstPatience)
		sent, _ := r.take()
		require.Len(t, sent, 1)
		holder, other := first, sent[0]
		if !firstWins {
			holder, other = other, holder
		}
		r.ack(1, holder, 1, 10)
		r.ack(1, other, 1, 0)
		r.ack(1, other, 300, 0)
		sent, notes := r.take()
		require.Equal(t, []string{holder, holder, holder}, sent)
		require.Contains(t, notes, "contested")
	}
}

// TestAcceptanceThroughAnotherHost: this host sent the first packet to one
// endpoint, another host a copy to a second one that won.
func TestAcceptanceThroughAnotherHost(t *testing.T) {
	r := newRig(t, 5)
	first := r.place(1)
	other := "i-1"
	if first == other {
		other = "i-2"
	}
	r.ack(1, other, 1, 10)
	sent, _ := r.take()
	require.Equal(t, []string{other}, sent)
	open := 0
	for _, e := range r.relay.Endpoints(r.now) {
		open += e.Open
		if e.ID == other {
			require.Equal(t, 1, e.Busy)
		}
	}
	require.Equal(t, 1, open)
}

// TestCopies: a network's duplicate follows the first packet, also after the
// flow is open; a caller's repetition goes elsewhere if nothing was heard.
func TestCopies(t *testing.T) {
	r := newRig(t, 5)
	id := r.place(1)
	r.now += ms
	r.syn(1, 0)
	sent, _ := r.take()
	require.Equal(t, []string{id}, sent)
	r.ack(1, id, 1, 10)
	r.now += 300 * ms
	r.syn(1, 1)
	sent, _ = r.take()
	require.Equal(t, []string{id, id}, sent)
}

// TestCopiesFollowTheConfiguration: a repetition after a change of the route
// goes where the new version says.
func TestCopiesFollowTheConfiguration(t *testing.T) {
	r := newRig(t, 3)
	r.list("i-9", "other")
	r.place(1)
	r.configure("other")
	r.now += 10 * ms
	r.syn(1, 1)
	sent, _ := r.take()
	require.Equal(t, []string{"i-9"}, sent)
	r.configure()
	r.now += 100 * ms
	r.syn(1, 2)
	sent, notes := r.take()
	require.Equal(t, []string{"reset"}, sent)
	require.Equal(t, "rejected no_route", notes[len(notes)-1])
}

// TestChangedRouteLeavesOpenFlows: known flows, and for a flow's life also
// unknown ones, go on at the former service.
func TestChangedRouteLeavesOpenFlows(t *testing.T) {
	r := newRig(t, 3)
	r.list("i-9", "other")
	id := r.place(1)
	r.ack(1, id, 1, 10)
	r.configure("other")
	r.ack(1, id, 400, 20)
	r.ack(2, "i-1", 400, 20)
	sent, _ := r.take()
	require.Equal(t, []string{id, id, "i-1"}, sent)
	r.now += lifetime + 1
	r.ack(3, "i-1", 400, 20)
	_, notes := r.take()
	require.Equal(t, "dropped foreign_service", notes[len(notes)-1])
}

// TestYoungHostTrustsTokens: a host that has just started can't know which
// services the routes had.
func TestYoungHostTrustsTokens(t *testing.T) {
	r := newRig(t, 1)
	r.list("i-9", "other")
	r.now = lifetime - 1
	r.ack(1, "i-9", 1, 10)
	sent, _ := r.take()
	require.Equal(t, []string{"i-9"}, sent)
}

// TestRemovedRoute: answers in progress still arrive, new data is refused.
func TestRemovedRoute(t *testing.T) {
	r := newRig(t, 2)
	id := r.place(1)
	r.ack(1, id, 1, 10)
	r.configure()
	r.ack(1, id, 900, 0)
	sent, _ := r.take()
	require.Equal(t, []string{id, id}, sent)
	r.packet(segment.Segment{Flow: flowOf(1), Token: catalog.TokenOf(id), Sequence: 1011, Acknowledgement: 900, Ack: true, DataBytes: 10})
	sent, notes := r.take()
	require.Equal(t, []string{"reset"}, sent)
	require.Equal(t, []string{"rejected route_removed"}, notes)
	r.ack(1, id, 900, 10)
	sent, _ = r.take()
	require.Equal(t, []string{"reset"}, sent, "the reset may have been lost")
}

// TestDeadEndpoint: flows that wait there are reset once it is certain, flows
// elsewhere are not touched.
func TestDeadEndpoint(t *testing.T) {
	r := newRig(t, 2)
	victim := r.place(1)
	r.ack(1, victim, 1, 10)
	healthy := "i-1"
	if victim == healthy {
		healthy = "i-2"
	}
	r.ack(500, healthy, 1, 10)
	r.take()
	resets := 0
	for port := uint16(10); resets == 0 && port < 100; port++ {
		r.now += 20 * ms
		r.syn(port, 0)
		sent, _ := r.take()
		if sent[0] != healthy {
			r.wait(mostPatience)
			sent, _ = r.take()
			require.Equal(t, healthy, sent[0])
		} else {
			r.now += 6 * ms
		}
		r.ack(port, healthy, 1, 10)
		r.ack(port, healthy, 300, 0)
		sent, _ = r.take()
		for _, s := range sent {
			if s == "reset" {
				resets++
			}
		}
	}
	require.Equal(t, 1, resets)
	require.False(t, r.relay.flows[flowOf(1)].waiting)
}

// TestFlowOfAReturnedEndpoint: an endpoint that was held for dead may have come
// back; a flow that another host opened there since is forwarded.
func TestFlowOfAReturnedEndpoint(t *testing.T) {
	r := newRig(t, 2)
	e := r.relay.endpoints[catalog.TokenOf("i-1")]
	for i := range 5 {
		sent := r.now + time.Duration(i)*50*ms
		e.Silent(sent+10*ms, sent)
		e.Left(sent)
	}
	require.True(t, e.Dead())
	r.now += time.Second
	r.ack(1, "i-1", 1, 10)
	r.ack(1, "i-1", 1, 10)
	sent, _ := r.take()
	require.Equal(t, []string{"i-1", "i-1"}, sent)
	e.Silent(r.now+50*ms, r.now+40*ms)
	e.Left(r.now + 40*ms)
	r.now += 200 * ms
	r.ack(1, "i-1", 1, 10)
	sent, _ = r.take()
	require.Equal(t, []string{"reset"}, sent, "it has left another flow since")
}

// TestLivingEndpointIsNeverCut: however many reactions to first packets are
// lost, an endpoint keeps its open flow while that goes on between them.
func TestLivingEndpointIsNeverCut(t *testing.T) {
	for seed := range uint64(200) {
		r := newRig(t, 3)
		rng := rand.New(rand.NewPCG(seed, 1))
		id := r.place(1)
		r.ack(1, id, 1, 10)
		acknowledged := uint32(1)
		for port := uint16(2); port < 60; port++ {
			r.wait(time.Duration(rng.IntN(30)) * ms)
			r.syn(port, 0)
			if rng.IntN(3) > 0 {
				r.ack(port, r.sent[len(r.sent)-1], 1, 10)
			}
			for range rng.IntN(2) + 1 {
				acknowledged += 100
				r.ack(1, id, acknowledged, 10)
			}
		}
		f := r.relay.flows[flowOf(1)]
		require.False(t, f.cut, "seed %d", seed)
		require.Equal(t, stateOpen, f.state, "seed %d", seed)
	}
}

// TestResume: what did not react while the host stood still is not to blame.
func TestResume(t *testing.T) {
	r := newRig(t, 3)
	r.place(1)
	r.now += 5 * time.Second
	r.relay.Resume(r.now)
	r.relay.Tick(r.now)
	sent, notes := r.take()
	require.Empty(t, sent)
	require.Empty(t, notes)
}

// TestNewIncarnation: an endpoint that has started again under its id is not
// held for silent.
func TestNewIncarnation(t *testing.T) {
	r := newRig(t, 1)
	r.place(1)
	r.wait(firstPatience)
	require.True(t, r.relay.Endpoints(r.now)[0].Suspect)
	r.revision++
	r.directory.PutEndpoint(r.now, &catalog.Endpoint{ID: "i-1", Number: 1, Service: "s", Domain: "d", Slots: 2, StartedUnixMs: 5}, r.revision)
	r.publish()
	require.False(t, r.relay.Endpoints(r.now)[0].Suspect)
}

// TestNothingIsLeftOver: after their timeouts no flow and no count remains, in
// whichever state flows were left by their callers.
func TestNothingIsLeftOver(t *testing.T) {
	r := newRig(t, 4)
	rng := rand.New(rand.NewPCG(1, 1))
	for port := uint16(1); port < 500; port++ {
		r.wait(time.Duration(rng.IntN(10)) * ms)
		r.syn(port, 0)
		id := r.sent[len(r.sent)-1]
		if id == "reset" || rng.IntN(4) == 0 {
			continue
		}
		r.ack(port, id, 1, 10)
		if rng.IntN(2) == 0 {
			r.ack(port, id, 500, 0)
		}
		if rng.IntN(2) == 0 {
			r.packet(segment.Segment{Flow: flowOf(port), Token: catalog.TokenOf(id), Acknowledgement: 500, Ack: true, Fin: true})
		}
	}
	r.wait(2 * lifetime)
	require.Zero(t, r.relay.Stats().Flows)
	for _, e := range r.relay.Endpoints(r.now) {
		require.Zero(t, e.Open, e.ID)
		require.Zero(t, e.Busy, e.ID)
	}
}

// TestFlowsAreBounded: past the bound, old flows make room; their packets are
// forwarded all the same.
func TestFlowsAreBounded(t *testing.T) {
	r := newRig(t, 4)
	r.relay.options.MaxFlows = 50
	r.relay.options.Without.Admission = true
	for port := uint16(1); port < 500; port++ {
		r.syn(port, 0)
	}
	require.Equal(t, int64(50), r.relay.Stats().Flows)
	r.take()
	r.ack(1, "i-2", 1, 10)
	sent, _ := r.take()
	require.Equal(t, []string{"i-2"}, sent)
}

func TestPatienceFollowsReactions(t *testing.T) {
	p := newPatience()
	require.Equal(t, firstPatience, p.wait())
	for range 200 {
		p.add(7 * ms)
	}
	require.Less(t, p.wait(), 12*ms)
	for range 200 {
		p.add(500 * ms)
	}
	require.Equal(t, mostPatience, p.wait())
}

// quiet is an observer and output that does nothing, for benchmarks.
type quiet struct{ *rig }

func (quiet) Forward(*catalog.Entry, []byte)             {}
func (quiet) Reset(catalog.Flow, uint32)                 {}
func (quiet) Placed(time.Duration, Placement)            {}
func (quiet) Ended(time.Duration, Ending)                {}
func (quiet) Recovered(time.Duration, *balance.Endpoint) {}

func newQuiet(t testing.TB) *rig {
	r := newRig(t, 14)
	q := quiet{r}
	r.relay.options.Output, r.relay.options.Observer = q, q
	return r
}

// cycle plays a whole flow of four packets.
func (r *rig) cycle(port uint16, frame []byte) {
	token := catalog.TokenOf("i-1")
	r.relay.Packet(r.now, segment.Segment{Flow: flowOf(port), Sequence: 1000, Syn: true}, frame)
	if f := r.relay.flows[flowOf(port)]; f != nil {
		token = f.endpoint.Entry.Token()
	}
	for _, s := range []segment.Segment{
		{Acknowledgement: 1, DataBytes: 10}, {Acknowledgement: 500}, {Acknowledgement: 500, Fin: true},
	} {
		s.Flow, s.Token, s.Sequence, s.Ack = flowOf(port), token, 1001, true
		r.relay.Packet(r.now, s, frame)
	}
	r.now += 10 * ms
	r.relay.Tick(r.now)
}

// TestSteadyPathAllocatesNothing: once the tables have grown, flows come and go
// without allocations.
func TestSteadyPathAllocatesNothing(t *testing.T) {
	r := newQuiet(t)
	frame := make([]byte, 40)
	port := uint16(0)
	next := func() {
		port = (port + 1) % 1000
		r.cycle(port, frame)
	}
	for range 3000 {
		next()
	}
	require.Zero(t, testing.AllocsPerRun(1000, next))
}

func BenchmarkFlow(b *testing.B) {
	r := newQuiet(b)
	frame := make([]byte, 40)
	b.ReportAllocs()
	for i := range b.N {
		r.cycle(uint16(i%1000), frame)
	}
}

// FuzzPackets gives the relay arbitrary datagrams: no panic, and never a packet
// for an endpoint that does not exist.
func FuzzPackets(f *testing.F) {
	syn := platform.Append(nil, segment.Segment{Flow: theFlow, Sequence: 1, Syn: true}, nil)
	data := platform.Append(nil, segment.Segment{Flow: theFlow, Token: catalog.TokenOf("i-1"), Ack: true}, []byte("x"))
	f.Add(syn, data)
	f.Add(data, syn)
	f.Fuzz(func(t *testing.T, a, b []byte) {
		r := newRig(t, 2)
		for _, datagram := range [][]byte{a, b, a} {
			s, err := platform.DecodePacket(datagram)
			if err != nil {
				continue
			}
			r.relay.Packet(r.now, s, append(make([]byte, platform.IntendedBytes), datagram...))
			r.wait(50 * ms)
		}
		r.wait(2 * lifetime)
		if n := r.relay.Stats().Flows; n != 0 {
			t.Fatalf("%d flows left over", n)
		}
	})
}

// TestLateAcceptance: an endpoint whose acceptance comes after that of another
// shows by the token that the caller then returns; it is not held for dead.
func TestLateAcceptance(t *testing.T) {
	r := newRig(t, 2)
	late := r.place(1)
	r.wait(firstPatience)
	sent, _ := r.take()
	holder := sent[0]
	r.ack(1, holder, 1, 10)
	require.Equal(t, 1, r.unanswered(late))
	r.ack(1, late, 1, 10)
	require.Zero(t, r.unanswered(late))
	sent, _ = r.take()
	require.Equal(t, []string{holder, holder}, sent)
}

func (r *rig) unanswered(id string) int {
	return r.relay.endpoints[catalog.TokenOf(id)].SilentFlows()
}
