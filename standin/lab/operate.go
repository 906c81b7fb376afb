package lab

import (
	"time"

	"toucangap/internal/config"
	"toucangap/internal/steer"
)

// Operated is a Brain that accepts operators' commands.
type Operated interface {
	Brain
	// Mark drains or undrains an endpoint.
	Mark(key steer.EndpointKey, draining bool)
	// Leave begins a graceful shutdown.
	Leave()
	// OfferBundle offers a bundle to activate.
	OfferBundle(b *config.Bundle)
}

// operated returns the host's Brain if it accepts commands, or nil.
func (h *Host) operated() Operated {
	o, _ := h.brain.(Operated)
	return o
}

// Drain sets or clears an endpoint's drain mark by a command to one host.
func (w *World) Drain(through *Host, e *Endpoint, draining bool) {
	if o := through.operated(); o != nil && through.alive {
		o.Mark(e.Key(), draining)
	}
}

// PlannedStop begins a host's graceful shutdown.
func (w *World) PlannedStop(h *Host) {
	if o := h.operated(); o != nil && h.alive {
		o.Leave()
	}
}

// reportPeriod is the interval of an endpoint's load reports.
const reportPeriod = time.Second

// Lie makes an endpoint report a fixed load to every host, regardless of its
// open requests; 1 means full.
func (w *World) Lie(e *Endpoint, load float64) {
	w.clock.after(reportPeriod, func() {
		for _, h := range w.hosts {
			if c := h.Core(); c != nil && h.alive && !h.paused {
				c.reportLoad(e.Key(), load)
			}
		}
		w.Lie(e, load)
	})
}

// reportLoad delivers an endpoint's load report to this host.
func (c *Core) reportLoad(key steer.EndpointKey, load float64) {
	if e := c.shared.Endpoint(key); e != nil {
		e.Report(c.now(), load)
	}
}
