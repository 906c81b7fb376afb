package steer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/internal/config"
	"toucangap/internal/flow"
)

// newUDPShard returns a shard that owns a UDP service with one endpoint.
func newUDPShard() (*Shard, *Endpoint, *Packet) {
	endpoint := config.Endpoint{ID: 1, Name: "a", Address: netip.MustParseAddrPort("10.2.0.1:6080"), Weight: 1}
	service := &config.Service{
		ID:        1,
		Protocol:  flow.UDP,
		Address:   netip.MustParseAddrPort("192.0.2.1:5683"),
		Endpoints: []config.Endpoint{endpoint},
	}
	e := NewEndpoint(service.ID, endpoint)
	self := Host{Index: 1, Name: "h1", Hash: flow.HashName("h1")}
	v := &View{
		Epoch:      1,
		Bundle:     &config.Bundle{Version: 1, Limits: config.Limits{FlowIdle: 5 * time.Minute}},
		Current:    Tables{service.ID: NewTable(service, []*Endpoint{e})},
		Baseline:   1,
		Self:       self,
		Owners:     []Host{self},
		FirstOwner: true,
	}
	v.Index()
	shared := NewShared()
	shared.Register(e)
	shared.SetContactUntil(0, time.Hour)
	s := NewShard(shared, 1, 100)
	s.SetView(v)
	key := flow.Key{Protocol: flow.UDP, Caller: netip.MustParseAddrPort("10.128.0.1:1000"), Service: service.Address}
	return s, e, &Packet{Direction: FromCaller, Key: key, Length: 100}
}

// TestIdleDatagramFlowDoesNotCount: callers do not announce the end of a UDP flow,
// so it stops counting as load when it is idle, before its entry expires.
func TestIdleDatagramFlowDoesNotCount(t *testing.T) {
	s, e, p := newUDPShard()
	require.Equal(t, ActionForward, s.Packet(time.Second, p).Action)
	s.Tick(2 * time.Second)
	require.EqualValues(t, 1, e.Load.Flows.Load())

	s.Tick(2*time.Second + dormantTimeout)
	require.Zero(t, e.Load.Flows.Load(), "an idle flow does not count as load")

	require.Equal(t, ActionForward, s.Packet(time.Minute, p).Action)
	require.EqualValues(t, 1, e.Load.Flows.Load(), "the next packet must count the flow again")

	for now := time.Minute; now < 8*time.Minute; now += time.Second {
		s.Tick(now)
	}
	require.Zero(t, e.Load.Flows.Load())
	require.Zero(t, s.flows.len(), "the flow must expire")
}
