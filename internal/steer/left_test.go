package steer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/internal/flow"
)

// ownerOf returns the hash of some host that ranks above another for the flow.
func ownerOf(fp flow.Fingerprint, other flow.NodeHash) flow.NodeHash {
	for i := 0; ; i++ {
		if h := flow.HashName(fmt.Sprint("h", i)); flow.Score(fp, h) > flow.Score(fp, other) {
			return h
		}
	}
}

// TestRequestAfterDefaultWasDrained sends a request that must run once on a
// flow that is unknown, and may have begun elsewhere at an endpoint that has
// been drained since.
func TestRequestAfterDefaultWasDrained(t *testing.T) {
	const now = testNow
	const post = 2 // the CoAP code 0.02
	for _, c := range []struct {
		name string
		// drainedFor is how long ago the default endpoint began to drain.
		drainedFor time.Duration
		lost       bool
		asked      bool
		want       Action
		known      bool
	}{
		{"drained just now", 2 * drainSettle, true, false, ActionDrop, true},
		{"drained long ago", drainSettle + RetransmitWindow, true, false, ActionForward, true},
		{"nothing was lost", 2 * drainSettle, false, false, ActionForward, true},
		{"asked by the owner", 2 * drainSettle, true, true, ActionDrop, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, view, table, p := sessionsShard()
			table.Service.Protocol = flow.UDP
			view.Bundle.Services[0].Protocol = flow.UDP
			p.Key.Protocol = flow.UDP
			view.Index()
			s.shared.SetContactUntil(0, now+time.Hour)
			gone := Departed{Host: Host{Index: 3, Name: "gone"}, At: now - 10*time.Second, HandedOver: !c.lost}
			gone.Hash = ownerOf(view.Fingerprint(p.Key), view.Self.Hash)
			view.Departed = []Departed{gone}
			if c.asked {
				other := Host{Index: 2, Name: "b", Hash: flow.HashName("b")}
				view.Owners = []Host{other}
				p.Hop = HopFormer
			}
			s.shared.SetOnceUntil(now + time.Hour)
			p.HasCoAP = true
			p.CoAP = CoAP{Code: post, MessageID: 1}
			table.Default(view.Fingerprint(p.Key)).SetLife(now-c.drainedFor, LifeDraining)

			require.Equal(t, c.want, s.Packet(now, p).Action)
			require.Equal(t, c.known, s.flows.get(view.Fingerprint(p.Key)) != nil)
			if c.want == ActionDrop {
				require.Equal(t, int64(1), s.Counts.Drops[ReasonUnconfirmed])
			}
		})
	}
}
