package steer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/internal/flow"
)

// hashRankedAbove returns the hash of a host that ranks above another for a
// flow.
func hashRankedAbove(fp flow.Fingerprint, other flow.NodeHash) flow.NodeHash {
	for i := 0; ; i++ {
		if h := flow.HashName(fmt.Sprint("h", i)); flow.Score(fp, h) > flow.Score(fp, other) {
			return h
		}
	}
}

// TestRequestAfterDefaultWasDrained sends a non-idempotent request on an unknown
// flow that may have begun on another host, at an endpoint drained since. The
// request may already have run there: it is dropped if records may be missing and
// the drain began recently enough for it to be a retransmission.
func TestRequestAfterDefaultWasDrained(t *testing.T) {
	const now = testNow
	const post = 2 // the CoAP code 0.02
	for _, c := range []struct {
		name string
		// drainedFor is how long ago the default endpoint began to drain.
		drainedFor    time.Duration
		recordsLost   bool
		passedByOwner bool
		want          Action
		wantKnown     bool
	}{
		{"drained just now", 2 * drainReplicationTime, true, false, ActionDrop, true},
		{"drained long ago", drainReplicationTime + RetransmitWindow, true, false, ActionForward, true},
		{"all records handed over", 2 * drainReplicationTime, false, false, ActionForward, true},
		{"passed by the owner", 2 * drainReplicationTime, true, true, ActionDrop, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, view, table, p := newTCPShard()
			table.Service.Protocol = flow.UDP
			view.Bundle.Services[0].Protocol = flow.UDP
			p.Key.Protocol = flow.UDP
			view.Index()
			s.shared.SetContactUntil(0, now+time.Hour)
			departed := Departed{Host: Host{Index: 3, Name: "gone"}, At: now - 10*time.Second, HandedOver: !c.recordsLost}
			departed.Hash = hashRankedAbove(view.Fingerprint(p.Key), view.Self.Hash)
			view.Departed = []Departed{departed}
			if c.passedByOwner {
				other := Host{Index: 2, Name: "b", Hash: flow.HashName("b")}
				view.Owners = []Host{other}
				p.Hop = HopToFormer
			}
			s.shared.SetNonIdempotentUntil(now + time.Hour)
			p.HasCoAP = true
			p.CoAP = CoAP{Code: post, MessageID: 1}
			table.Default(view.Fingerprint(p.Key)).SetLife(now-c.drainedFor, LifeDraining)

			require.Equal(t, c.want, s.Packet(now, p).Action)
			require.Equal(t, c.wantKnown, s.flows.get(view.Fingerprint(p.Key)) != nil)
			if c.want == ActionDrop {
				require.Equal(t, int64(1), s.Counts.Drops[ReasonUnconfirmed])
			}
		})
	}
}
