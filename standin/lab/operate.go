package lab

import (
	"time"

	"toucangap/internal/config"
	"toucangap/internal/steer"
)

// Operable is a Policy that accepts operators' commands.
type Operable interface {
	Policy
	// Mark drains or undrains an endpoint.
	Mark(key steer.EndpointKey, draining bool)
	// Leave begins a graceful shutdown.
	Leave()
	// OfferBundle offers a bundle to activate.
	OfferBundle(b *config.Bundle)
}

// operable returns the host's Policy if it accepts commands, or nil.
func (h *Host) operable() Operable {
	o, _ := h.policy.(Operable)
	return o
}

// Drain sets or clears an endpoint's drain mark by a command to one host.
func (sim *Simulation) Drain(through *Host, e *Endpoint, draining bool) {
	if o := through.operable(); o != nil && through.alive {
		o.Mark(e.Key(), draining)
	}
}

// GracefulShutdown begins a host's graceful shutdown.
func (sim *Simulation) GracefulShutdown(h *Host) {
	if o := h.operable(); o != nil && h.alive {
		o.Leave()
	}
}

// reportPeriod is the interval of an endpoint's load reports.
const reportPeriod = time.Second

// MisreportLoad makes an endpoint report a fixed load to every host, regardless
// of its open requests, until the end of the run; 1 means full.
func (sim *Simulation) MisreportLoad(e *Endpoint, load float64) {
	sim.clock.after(reportPeriod, func() {
		for _, h := range sim.hosts {
			if c := h.Core(); c != nil && h.alive && !h.paused {
				c.reportLoad(e.Key(), load)
			}
		}
		sim.MisreportLoad(e, load)
	})
}

// reportLoad delivers an endpoint's load report to this host.
func (c *Core) reportLoad(key steer.EndpointKey, load float64) {
	if e := c.shared.Endpoint(key); e != nil {
		e.Report(c.now(), load)
	}
}
