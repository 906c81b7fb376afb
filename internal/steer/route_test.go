package steer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/internal/config"
	"toucangap/internal/flow"
)

// newTCPShard returns a shard of the only owner, with one TCP service, and the
// SYN of a flow.
func newTCPShard() (*Shard, *View, *Table, *Packet) {
	table := newTestTable(config.BalanceSteady, 1, 1, 1)
	table.Service.Protocol = flow.TCP
	table.Service.Address = netip.MustParseAddrPort("192.0.2.1:80")
	self := Host{Index: 1, Name: "a", Hash: flow.HashName("a")}
	view := &View{
		Bundle:   &config.Bundle{Version: 1, Services: []config.Service{*table.Service}},
		Current:  Tables{table.Service.ID: table},
		Baseline: 1,
		Self:     self,
		Owners:   []Host{self},
	}
	view.Index()
	s := NewShard(NewShared(), 1, 10)
	s.SetView(view)
	s.shared.SetContactUntil(0, time.Hour)
	p := &Packet{Direction: FromCaller, Key: flow.Key{
		Protocol: flow.TCP,
		Caller:   netip.MustParseAddrPort("203.0.113.1:4000"),
		Service:  table.Service.Address,
	}}
	p.TCP.Flags = TCPSyn
	return s, view, table, p
}

// TestFlowLimits checks that the lower of the process's and the bundle's limit
// applies and that a flow beyond it is refused at once.
func TestFlowLimits(t *testing.T) {
	for _, c := range []struct{ bundle, want int }{{0, 10}, {4, 4}, {50, 10}} {
		s, view, _, p := newTCPShard()
		view.Bundle.Limits.FlowsPerHost = c.bundle
		for i := range 20 {
			p.Key.Caller = netip.AddrPortFrom(p.Key.Caller.Addr(), uint16(4000+i))
			v := s.Packet(time.Minute, p)
			if i < c.want {
				require.Equal(t, ActionForward, v.Action)
				continue
			}
			require.Equal(t, ReplyReset, v.Reply)
			require.Equal(t, ReasonFlowLimit, v.Reason)
		}
		require.Equal(t, c.want, s.flows.len())
	}
}

// TestReusedTupleReplacesClosedReplica checks that a new flow with the key of a
// closed one replaces that entry instead of adding a second one.
func TestReusedTupleReplacesClosedReplica(t *testing.T) {
	s, view, table, p := newTCPShard()
	fp := view.Fingerprint(p.Key)
	e := s.flows.insert(fp)
	e.endpoint = table.Endpoints[0]
	e.flags |= flagClosing

	require.Equal(t, ActionForward, s.Packet(time.Minute, p).Action)
	used := 0
	for i := range s.flows.slots {
		if s.flows.slots[i].has(flagUsed) {
			used++
		}
	}
	require.Equal(t, 1, used)
	require.Equal(t, 1, s.flows.len())
}
