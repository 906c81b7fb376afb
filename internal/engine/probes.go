package engine

import (
	"context"
	"time"

	"toucangap/internal/membership/udp"
)

// receiveProbes passes membership probes to the control goroutine, and closes the
// socket when the context ends.
func (e *Engine) receiveProbes(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return e.probes.Close()
		case p := <-e.probes.Packets():
			e.post(ctx, probeReceived{p})
		}
	}
}

// probeReceived is a membership probe from another host.
type probeReceived struct {
	udp.Packet
}

func (p probeReceived) apply(e *Engine, now time.Duration) {
	e.probes.Send(e.members.Receive(now, p.From, p.Probe))
}
