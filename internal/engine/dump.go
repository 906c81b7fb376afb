package engine

import (
	"toucangap/internal/adminapi"
	"toucangap/internal/packet"
	"toucangap/internal/steer"
)

// addTrafficCounters adds the counters of the packet path to a dump.
func (e *Engine) addTrafficCounters(d *adminapi.Dump) {
	c := e.plane.Counters()
	d.Totals["packets_received"] = c.Received
	d.Totals["packets_forwarded"] = c.Forwarded
	d.Totals["packets_returned"] = c.Returned
	d.Totals["packets_passed"] = c.Passed
	d.Totals["packets_replied"] = c.Replied
	d.Totals["packets_queue_full"] = c.QueueFull
	d.Totals["read_errors"] = c.ReadErrors
	d.Totals["send_errors"] = c.SendErrors
	for _, r := range steer.Reasons() {
		if n := c.Drops[r]; n > 0 {
			d.DropsByReason[r.String()] = n
		}
	}
	for i, n := range c.Defects {
		if n > 0 {
			d.DropsByReason[packet.Defect(i).String()] = n
		}
	}
}
