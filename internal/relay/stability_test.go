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

// TestFlowsAndCountsEndWithTimeouts: after the timeouts no flow and no count
// remains, in whichever state the callers left their flows.
func TestFlowsAndCountsEndWithTimeouts(t *testing.T) {
	r := newHarness(t, 4)
	rng := rand.New(rand.NewPCG(1, 1))
	for port := uint16(1); port < 500; port++ {
		r.advance(time.Duration(rng.IntN(10)) * ms)
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
	r.advance(2 * lifetime)
	require.Zero(t, r.relay.Stats().Flows)
	for _, e := range r.relay.Endpoints(r.now) {
		require.Zero(t, e.Open, e.ID)
		require.Zero(t, e.Busy, e.ID)
	}
}

// TestFlowsAreBounded: a full flow table evicts old flows; their packets are
// still forwarded.
func TestFlowsAreBounded(t *testing.T) {
	r := newHarness(t, 4)
	r.relay.options.MaxFlows = 50
	r.relay.options.Disabled.Admission = true
	for port := uint16(1); port < 500; port++ {
		r.syn(port, 0)
	}
	require.Equal(t, int64(50), r.relay.Stats().Flows)
	r.drain()
	r.ack(1, "i-2", 1, 10)
	sent, _ := r.drain()
	require.Equal(t, []string{"i-2"}, sent)
}

func TestHandshakeTimeoutAdapts(t *testing.T) {
	h := newHandshakeTimeout()
	require.Equal(t, initialHandshakeTimeout, h.current())
	for range 200 {
		h.addSample(7 * ms)
	}
	require.Less(t, h.current(), 12*ms)
	for range 200 {
		h.addSample(500 * ms)
	}
	require.Equal(t, maxHandshakeTimeout, h.current())
}

// discard is an observer and output that does nothing, for benchmarks.
type discard struct{ *harness }

func (discard) Forward(*catalog.Entry, catalog.Token, []byte) {}

func (discard) Reset(catalog.Flow, uint32) {}

func (discard) Placed(time.Duration, Placement) {}

func (discard) Ended(time.Duration, Ending) {}

func (discard) Recovered(time.Duration, *balance.Endpoint) {}

func (discard) PresumedCold(time.Duration, *balance.Endpoint, time.Duration, bool) {}

func newDiscardHarness(t testing.TB) *harness {
	r := newHarness(t, 14)
	d := discard{r}
	r.relay.options.Output, r.relay.options.Observer = d, d
	return r
}

// cycle runs a whole flow of four packets.
func (r *harness) cycle(port uint16, frame []byte) {
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

// TestSteadyPathAllocatesNothing: once the tables have grown, opening and closing
// flows does not allocate.
func TestSteadyPathAllocatesNothing(t *testing.T) {
	r := newDiscardHarness(t)
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
	r := newDiscardHarness(b)
	frame := make([]byte, 40)
	b.ReportAllocs()
	for i := range b.N {
		r.cycle(uint16(i%1000), frame)
	}
}

// FuzzPackets passes arbitrary datagrams to the relay, which must not panic or
// keep a flow past its timeouts.
func FuzzPackets(f *testing.F) {
	syn := platform.Append(nil, segment.Segment{Flow: theFlow, Sequence: 1, Syn: true}, nil)
	data := platform.Append(nil, segment.Segment{Flow: theFlow, Token: catalog.TokenOf("i-1"), Ack: true}, []byte("x"))
	f.Add(syn, data)
	f.Add(data, syn)
	f.Fuzz(func(t *testing.T, a, b []byte) {
		r := newHarness(t, 2)
		for _, datagram := range [][]byte{a, b, a} {
			s, err := platform.DecodePacket(datagram)
			if err != nil {
				continue
			}
			r.relay.Packet(r.now, s, append(make([]byte, platform.RecipientBytes), datagram...))
			r.advance(50 * ms)
		}
		r.advance(2 * lifetime)
		if n := r.relay.Stats().Flows; n != 0 {
			t.Fatalf("%d flows remain", n)
		}
	})
}
