package endpoint

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/stretchr/testify/require"

	"toucangap/standin/exchange"
	"toucangap/standin/inner"
	"toucangap/standin/rotation"
	"toucangap/standin/topology"
)

var (
	advertised  = netip.MustParseAddrPort("10.96.0.1:5683")
	caller      = netip.MustParseAddrPort("10.0.0.1:20000")
	otherCaller = netip.MustParseAddrPort("10.0.0.2:20000")
)

// receiveTimeout limits the wait for an expected packet.
const receiveTimeout = 20 * time.Second

// fixture is an endpoint and the socket of its only host.
type fixture struct {
	*Endpoint
	host *net.UDPConn
}

func newFixture(t *testing.T, protocol topology.Protocol, config Config) fixture {
	host, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	hosts := rotation.New([]rotation.Member{{Traffic: host.LocalAddr().(*net.UDPAddr).AddrPort()}})
	id := Identity{Name: "alerts-1", Service: "alerts", Advertised: advertised, Protocol: protocol}
	e, err := Listen(id, netip.MustParseAddrPort("127.0.0.1:0"), config, hosts)
	require.NoError(t, err)
	go e.Serve(t.Context())
	t.Cleanup(func() { host.Close() })
	return fixture{e, host}
}

func fastConfig() Config {
	config := DefaultConfig()
	config.ServiceTime = time.Microsecond
	return config
}

// receivePacket delivers a caller's packet to the endpoint.
func (f fixture) receivePacket(t *testing.T, p inner.Packet) {
	data, err := inner.Encode(p)
	require.NoError(t, err)
	f.receive(data)
}

// next returns the next packet sent by the endpoint.
func (f fixture) next(t *testing.T) inner.Packet {
	buffer := make([]byte, inner.MaxSize)
	require.NoError(t, f.host.SetReadDeadline(time.Now().Add(receiveTimeout)))
	n, err := f.host.Read(buffer)
	require.NoError(t, err)
	p, err := inner.Decode(buffer[:n])
	require.NoError(t, err)
	require.Equal(t, advertised, p.Source)
	return p
}

// request delivers a CoAP request to the endpoint.
func (f fixture) request(t *testing.T, from netip.AddrPort, id uint16, service string, deadline time.Duration) {
	payload, err := exchange.EncodeCoAP(exchange.Message{
		Type: message.Confirmable, Code: codes.POST, MessageID: id, Token: []byte{1}, Deadline: deadline,
		Payload: exchange.Marshal(exchange.Request{ID: fmt.Sprintf("%s/%d", from, id), Service: service, Size: 10}),
	})
	require.NoError(t, err)
	f.receivePacket(t, inner.Packet{Kind: inner.Datagram, Source: from, Destination: advertised, Payload: payload})
}

// nextCode returns the code of the next CoAP message.
func (f fixture) nextCode(t *testing.T) codes.Code {
	m, err := exchange.DecodeCoAP(f.next(t).Payload)
	require.NoError(t, err)
	return m.Code
}

func TestDuplicateIsAnsweredAndNotRunAgain(t *testing.T) {
	f := newFixture(t, topology.UDP, fastConfig())
	f.request(t, caller, 1, "alerts", 0)
	require.Equal(t, codes.Changed, f.nextCode(t))
	f.request(t, caller, 1, "alerts", 0)
	require.Equal(t, codes.Changed, f.nextCode(t))
	f.request(t, otherCaller, 1, "alerts", 0)
	require.Equal(t, codes.Changed, f.nextCode(t))
	d := f.Dump(10)
	require.Equal(t, []Run{{ID: "10.0.0.1:20000/1", Count: 1}, {ID: "10.0.0.2:20000/1", Count: 1}}, d.Runs)
	require.Equal(t, 1, d.Counts.Duplicates)
	require.Equal(t, 2, d.Flows)
}

func TestOverloadShedsAndExpiredRequestsDontRun(t *testing.T) {
	f := newFixture(t, topology.UDP, Config{Slots: 1, Queue: 1, MaxFlows: 10, ServiceTime: time.Hour})
	f.request(t, caller, 1, "alerts", 0)
	const deadline = time.Millisecond
	f.request(t, caller, 2, "alerts", deadline)
	f.request(t, caller, 3, "alerts", 0)
	require.Equal(t, codes.ServiceUnavailable, f.nextCode(t))
	time.Sleep(2 * deadline)
	f.pool.finish(job{done: func(outcome) {}}, f.pool.generation)
	require.Equal(t, codes.ServiceUnavailable, f.nextCode(t))
	require.Equal(t, 1, f.Dump(10).Counts.Expired)
	require.Equal(t, 1, f.Dump(10).Counts.Sheds)
	require.Equal(t, []Run{{ID: "10.0.0.1:20000/1", Count: 1}}, f.Dump(10).Runs)
}

func TestFlowLimitDrainAndWrongService(t *testing.T) {
	config := fastConfig()
	config.MaxFlows = 1
	f := newFixture(t, topology.UDP, config)
	f.request(t, caller, 1, "alerts", 0)
	require.Equal(t, codes.Changed, f.nextCode(t))
	f.request(t, otherCaller, 1, "alerts", 0)
	require.Equal(t, codes.ServiceUnavailable, f.nextCode(t), "flow limit reached")
	require.NoError(t, f.Apply(Command{Verb: Drain}))
	f.request(t, caller, 2, "alerts", 0)
	require.Equal(t, codes.Changed, f.nextCode(t), "open flows are served")
	f.request(t, caller, 3, "bulletins", 0)
	require.Equal(t, codes.NotFound, f.nextCode(t))
	require.Equal(t, 1, f.Dump(0).Counts.Misdirected)
}

func TestSilenceAndCrash(t *testing.T) {
	f := newFixture(t, topology.UDP, fastConfig())
	require.NoError(t, f.Apply(Command{Verb: Silence, Flow: caller}))
	f.request(t, caller, 1, "alerts", 0)
	f.request(t, otherCaller, 1, "alerts", 0)
	require.Equal(t, otherCaller, f.next(t).Destination)
	require.NoError(t, f.Apply(Command{Verb: Crash}))
	f.request(t, otherCaller, 2, "alerts", 0)
	require.NoError(t, f.Apply(Command{Verb: Restart}))
	require.Zero(t, f.Dump(0).Flows)
	f.request(t, otherCaller, 3, "alerts", 0)
	require.Equal(t, codes.Changed, f.nextCode(t))
	require.Equal(t, 2, f.Dump(0).Counts.Runs)
	require.ErrorIs(t, f.Apply(Command{Verb: "dance"}), ErrUnknownCommand)
}

func TestConnectionLifecycle(t *testing.T) {
	f := newFixture(t, topology.TCP, fastConfig())
	segment := func(flags inner.Flags, sequence uint32, payload []byte) inner.Packet {
		f.receivePacket(t, inner.Packet{
			Kind: inner.Segment, Source: caller, Destination: advertised,
			Flags: flags, Sequence: sequence, Payload: payload,
		})
		return f.next(t)
	}
	require.NotZero(t, segment(inner.Ack, 5, []byte("x")).Flags&inner.Reset, "unknown connection")
	accepted := segment(inner.Syn, 99, nil)
	require.Equal(t, inner.Syn|inner.Ack, accepted.Flags)
	require.Equal(t, accepted, segment(inner.Syn, 99, nil), "duplicate")
	data := exchange.Marshal(exchange.Request{ID: "a", Service: "alerts"})
	answer := segment(inner.Ack, 100, data)
	require.Equal(t, accepted.Sequence+1, answer.Sequence)
	require.Equal(t, 100+uint32(len(data)), answer.Acknowledgment)
	require.Equal(t, answer, segment(inner.Ack, 100, data), "duplicate")
	require.Equal(t, 1, f.Dump(0).Flows)
	require.Equal(t, inner.Fin|inner.Ack, segment(inner.Fin|inner.Ack, answer.Acknowledgment, nil).Flags)
	require.Equal(t, []Run{{ID: "a", Count: 1}}, f.Dump(1).Runs)
	require.Zero(t, f.Dump(0).Flows)
}

func TestControlInterface(t *testing.T) {
	f := newFixture(t, topology.UDP, fastConfig())
	server := httptest.NewServer((&Group{endpoints: []*Endpoint{f.Endpoint}}).Handler())
	defer server.Close()
	for body, want := range map[string]int{
		`{"service":"alerts","endpoint":"alerts-1","verb":"slow","factor":4}`: http.StatusNoContent,
		`{"service":"alerts","verb":"dance"}`:                                 http.StatusUnprocessableEntity,
		`{"service":"bulletins","verb":"die"}`:                                http.StatusUnprocessableEntity,
		`{`:                                                                   http.StatusBadRequest,
	} {
		response, err := http.Post(server.URL+PathCommand, "application/json", strings.NewReader(body))
		require.NoError(t, err)
		response.Body.Close()
		require.Equal(t, want, response.StatusCode, body)
	}
	require.InDelta(t, 4, f.Dump(0).Condition.Factor, 0)
}
