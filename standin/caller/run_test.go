package caller

import (
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/stretchr/testify/require"

	"toucangap/standin/endpoint"
	"toucangap/standin/exchange"
	"toucangap/standin/fabric"
	"toucangap/standin/inner"
)

func TestCleanRun(t *testing.T) {
	t.Parallel()
	s := newTestbed(t, byHash, fabric.Impairment{}).run(t, nil)
	require.Empty(t, s.Violations)
	for _, v := range s.Services {
		require.Positive(t, v.Answers, v.Name)
		require.Equal(t, v.Requests, v.Answers, v.Name)
		require.GreaterOrEqual(t, v.FlowImbalance.Max, 1.0, v.Name)
	}
}

func TestSeedDeterminesTheRequests(t *testing.T) {
	t.Parallel()
	plan := func(seed uint64) map[string]request {
		b := newTestbed(t, byHash, fabric.Impairment{})
		o := DefaultOptions()
		o.Seed, o.Duration, o.Rate = seed, 500*time.Millisecond, 1000
		r := newRecorder(&o)
		for _, s := range b.topology.Services {
			r.services[s.Name] = &serviceRecord{balance: newBalance(len(s.Endpoints))}
		}
		go b.fabric.Serve(t.Context())
		runWorkers(t.Context(), b.topology, &o, b.fabric, r)
		return r.requests
	}
	compare := func(a, b map[string]request) (same, different int) {
		for id := range a {
			other, both := b[id]
			switch {
			case both && other.kind == a[id].kind:
				same++
			case both:
				different++
			}
		}
		return same, different
	}
	first := plan(1)
	same, different := compare(first, plan(1))
	require.Greater(t, same, 100)
	require.Zero(t, different)
	_, different = compare(first, plan(2))
	require.Positive(t, different)
}

func TestImpairedRun(t *testing.T) {
	t.Parallel()
	s := newTestbed(t, byHash, fabric.Impairment{
		Delay: time.Millisecond, Jitter: time.Millisecond, Loss: 0.03,
		Duplication: 0.2, Reordering: 0.2, ReorderDelay: 30 * time.Millisecond,
	}).run(t, func(o *Options) { o.AckTimeout = 100 * time.Millisecond })
	require.Empty(t, s.Violations)
	require.Positive(t, s.Fabric.Lost)
	require.Positive(t, s.Fabric.Duplicated)
	require.Positive(t, s.Fabric.Reordered)
}

// TestPacketsOfOneFlowSpreadOverEndpoints: a host that forwards packets of one flow
// to several endpoints is detected by broken flows.
func TestPacketsOfOneFlowSpreadOverEndpoints(t *testing.T) {
	t.Parallel()
	byPayloadLength := func(b *testbed, p inner.Packet) (netip.AddrPort, *inner.Packet) {
		s := b.service(p.Destination)
		return s.Endpoints[len(p.Payload)%len(s.Endpoints)].Address, nil
	}
	s := newTestbed(t, byPayloadLength, fabric.Impairment{}).run(t, nil)
	require.Positive(t, s.BrokenFlows)
	reasons := map[Reason]bool{}
	for _, f := range s.Broken {
		reasons[f.Reason] = true
	}
	require.True(t, reasons[BrokenMoved], "CoAP flows are answered by another endpoint")
	require.True(t, reasons[BrokenReset], "TCP flows are reset")
}

// TestDuplicateReachesSecondEndpoint: a host that forwards each request to two
// endpoints is detected by requests that ran twice.
func TestDuplicateReachesSecondEndpoint(t *testing.T) {
	t.Parallel()
	twice := func(b *testbed, p inner.Packet) (netip.AddrPort, *inner.Packet) {
		s := b.service(p.Destination)
		data, _ := inner.Encode(p)
		if p.Kind == inner.Datagram {
			c, _ := net.Dial("udp", s.Endpoints[0].Address.String())
			defer c.Close()
			c.Write(data)
			return s.Endpoints[1].Address, nil
		}
		return byHash(b, p)
	}
	s := newTestbed(t, twice, fabric.Impairment{}).run(t, nil)
	require.Positive(t, s.RunTwice)
	require.Positive(t, s.RepeatedIdempotent)
	require.NotEmpty(t, s.Violations)
}

// TestWrongService: a host that forwards requests to an endpoint of another service
// is detected.
func TestWrongService(t *testing.T) {
	t.Parallel()
	crossed := func(b *testbed, p inner.Packet) (netip.AddrPort, *inner.Packet) {
		if p.Destination == b.topology.Services[0].Address {
			return b.topology.Services[1].Endpoints[0].Address, nil
		}
		return byHash(b, p)
	}
	s := newTestbed(t, crossed, fabric.Impairment{}).run(t, nil)
	require.Positive(t, s.WrongService)
	require.Contains(t, s.Violations, "alerts: no answers")
}

// TestRefusedButRun: a host that refuses a request and forwards it all the same is
// detected.
func TestRefusedButRun(t *testing.T) {
	t.Parallel()
	refuses := func(b *testbed, p inner.Packet) (netip.AddrPort, *inner.Packet) {
		to, _ := byHash(b, p)
		m, err := exchange.DecodeCoAP(p.Payload)
		if p.Kind != inner.Datagram || err != nil {
			return to, nil
		}
		payload, _ := exchange.EncodeCoAP(exchange.Message{
			Type: message.Acknowledgement, Code: codes.ServiceUnavailable,
			MessageID: m.MessageID, Token: m.Token, MaxAge: time.Second,
		})
		return to, &inner.Packet{Kind: inner.Datagram, Source: p.Destination, Destination: p.Source, Payload: payload}
	}
	s := newTestbed(t, refuses, fabric.Impairment{}).run(t, nil)
	require.Positive(t, s.RefusedButRun)
}

func TestSilentFlowCountsAsBroken(t *testing.T) {
	t.Parallel()
	b := newTestbed(t, byHash, fabric.Impairment{})
	timer := time.AfterFunc(700*time.Millisecond, func() {
		_ = b.group.Apply(endpoint.Command{Service: "alerts", Verb: endpoint.Silence})
	})
	defer timer.Stop()
	s := b.run(t, func(o *Options) { o.Deadline, o.FlowRequests = 300*time.Millisecond, 100 })
	require.Positive(t, s.BrokenFlows)
	require.Equal(t, BrokenSilent, s.Broken[0].Reason)
	require.Equal(t, s.Services[0].Requests, s.Services[0].Answers+s.Services[0].Unknown)
	require.Positive(t, s.Services[0].Unknown)
}

func TestUnestablishedFlowDoesNotCountAsBroken(t *testing.T) {
	t.Parallel()
	b := newTestbed(t, byHash, fabric.Impairment{})
	require.NoError(t, b.group.Apply(endpoint.Command{Service: "alerts", Verb: endpoint.Silence}))
	s := b.run(t, func(o *Options) { o.Deadline = 300 * time.Millisecond })
	require.Zero(t, s.BrokenFlows)
	require.Zero(t, s.Services[0].Answers)
	require.Equal(t, s.Services[0].Requests, s.Services[0].Unknown)
	require.Equal(t, s.Services[0].Flows, s.Services[0].RefusedFlows)
	require.Contains(t, s.Violations, "alerts: no answers")
}

func TestSheddingEndpointsRefuseWithoutRunning(t *testing.T) {
	t.Parallel()
	b := newTestbed(t, byHash, fabric.Impairment{})
	require.NoError(t, b.group.Apply(endpoint.Command{Service: "alerts", Verb: endpoint.Shed}))
	s := b.run(t, nil)
	require.Equal(t, s.Services[0].Requests, s.Services[0].Refusals)
	require.Equal(t, []string{"alerts: no answers"}, s.Violations)
}

func TestRestartedEndpointResetsItsConnections(t *testing.T) {
	t.Parallel()
	b := newTestbed(t, byHash, fabric.Impairment{})
	timer := time.AfterFunc(700*time.Millisecond, func() {
		_ = b.group.Apply(endpoint.Command{Service: "alerts-stream", Verb: endpoint.Crash})
		_ = b.group.Apply(endpoint.Command{Service: "alerts-stream", Verb: endpoint.Restart})
	})
	defer timer.Stop()
	s := b.run(t, nil)
	require.Positive(t, s.BrokenFlows)
	require.Equal(t, BrokenReset, s.Broken[0].Reason)
	require.Equal(t, "alerts-stream", s.Broken[0].Service)
}

func TestSlowEndpointAnswersSeparately(t *testing.T) {
	t.Parallel()
	b := newTestbed(t, byHash, fabric.Impairment{Loss: 0.05})
	require.NoError(t, b.group.Apply(endpoint.Command{Service: "alerts", Verb: endpoint.Slow, Factor: 60}))
	s := b.run(t, func(o *Options) { o.AckTimeout = 100 * time.Millisecond })
	require.Empty(t, s.Violations)
	require.Greater(t, s.Services[0].P99Ms, 50.0)
	require.Equal(t, s.Services[0].Requests, s.Services[0].Answers+s.Services[0].Refusals)
}

func TestDrainedEndpointMustGetNoNewFlows(t *testing.T) {
	t.Parallel()
	s := newTestbed(t, byHash, fabric.Impairment{}).run(t, func(o *Options) {
		o.FlowRequests = 1
		o.Drained = []Drained{{Service: "alerts", Endpoint: "alerts-1", From: 500 * time.Millisecond}}
	})
	require.NotEmpty(t, s.FlowAfterDrain)
	require.Len(t, s.Violations, 1)
}

func TestBrokenFlowsBeforeUnplannedFaultsAreViolations(t *testing.T) {
	t.Parallel()
	b := newTestbed(t, byHash, fabric.Impairment{})
	periods := make([]BlockPeriod, testbedHosts)
	for i := range periods {
		b.topology.Hosts[i].Name = fmt.Sprintf("host-%d", i)
		periods[i] = BlockPeriod{Host: b.topology.Hosts[i].Name, From: 300 * time.Millisecond, Length: time.Minute}
	}
	s := b.run(t, func(o *Options) {
		o.BlockPeriods, o.Deadline, o.PlannedUntil = periods, 100*time.Millisecond, time.Minute
		o.BrokenLimit, o.UnknownLimit = 1000, 1000
	})
	require.Equal(t, s.BrokenFlows, s.BrokenBeforeFault)
	require.Positive(t, s.UnknownBeforeFault)
	require.NotEmpty(t, s.UnknownRequests)
	require.Len(t, s.Violations, 2)
}

func TestParseFaults(t *testing.T) {
	t.Parallel()
	d, err := ParseDrained("alerts/alerts-1@2s")
	require.NoError(t, err)
	require.Equal(t, Drained{Service: "alerts", Endpoint: "alerts-1", From: 2 * time.Second}, d)
	c, err := ParseBlockPeriod("mu-1@2s+500ms")
	require.NoError(t, err)
	require.Equal(t, BlockPeriod{Host: "mu-1", From: 2 * time.Second, Length: 500 * time.Millisecond}, c)
	for _, text := range []string{"", "alerts@2s", "alerts/alerts-1", "alerts/alerts-1@soon"} {
		_, err := ParseDrained(text)
		require.ErrorIs(t, err, ErrDrained, text)
		_, err = ParseBlockPeriod(text)
		require.ErrorIs(t, err, ErrBlockPeriod, text)
	}
}
