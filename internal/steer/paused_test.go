package steer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPausedFlowIsForwardedAgain: packets of a flow were lost while its endpoint was cut
// off, and its caller paused. The first packet after the pause must reach the endpoint,
// which may answer again; the flow ends if packets go unanswered from then on.
func TestPausedFlowIsForwardedAgain(t *testing.T) {
	for name, answersOthers := range map[string]bool{"endpoint is silent": false, "endpoint answers others": true} {
		t.Run(name, func(t *testing.T) {
			s, view, _, p := newTCPShard()
			now := time.Minute
			require.Equal(t, ActionForward, s.Packet(now, p).Action)
			e := s.flows.get(view.Fingerprint(p.Key))
			p.TCP.Flags, p.TCP.Payload = TCPAck, 100
			send := func() Verdict {
				if answersOthers {
					e.endpoint.noteAnswer(now)
				}
				return s.Packet(now, p)
			}
			for range silentMinPackets {
				now += time.Second / 2
				require.Equal(t, ActionForward, send().Action)
			}
			now += unansweredMemory + time.Second
			require.Equal(t, ActionForward, send().Action, "after the pause")
			// The intervals of TCP, from 200 ms.
			ended := false
			for gap := 200 * time.Millisecond; gap < 20*time.Second && !ended; gap *= 2 {
				now += gap
				ended = send().Action == ActionReply
			}
			require.True(t, ended, "the flow goes unanswered for longer than the limit")
		})
	}
}
