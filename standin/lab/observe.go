package lab

import (
	"net/netip"
	"time"

	"toucangap/internal/config"
	"toucangap/internal/steer"
)

// After runs a callback after a virtual delay.
func (sim *Simulation) After(d time.Duration, run func()) { sim.clock.after(d, run) }

// Bundle returns the newest bundle of the run.
func (sim *Simulation) Bundle() *config.Bundle { return sim.bundle }

// Alive reports whether the host's process exists; it may be paused.
func (h *Host) Alive() bool { return h.alive }

// Packets returns the address at which the host receives packets.
func (h *Host) Packets() netip.AddrPort { return h.packets }

// Key identifies the endpoint across bundle versions.
func (e *Endpoint) Key() steer.EndpointKey {
	return steer.EndpointKey{Service: e.service.ID, Endpoint: e.config.ID}
}

// OpenRequests returns the number of running and queued requests.
func (e *Endpoint) OpenRequests() int { return e.openRequests() }

// NewFlows returns the number of flows that have opened at the endpoint.
func (e *Endpoint) NewFlows() int { return e.newFlows }

// OutcomeCounts returns the request outcomes by service and second.
func (c *Callers) OutcomeCounts() *OutcomeCounts { return c.outcomeCounts }
