package relay

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/internal/balance"
	"toucangap/internal/catalog"
	"toucangap/internal/segment"
	"toucangap/platform"
)

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

func (quiet) Forward(*catalog.Entry, []byte) {}

func (quiet) Reset(catalog.Flow, uint32) {}

func (quiet) Placed(time.Duration, Placement) {}

func (quiet) Ended(time.Duration, Ending) {}

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
