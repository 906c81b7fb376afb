package lab

import (
	"fmt"
	"math/rand/v2"
	"time"

	"toucangap/internal/config"
	"toucangap/internal/steer"
)

// Fault is a kind of failure or operator action that a schedule applies.
type Fault int

// Kinds of faults.
const (
	FaultKill Fault = iota
	FaultRestart
	FaultStop
	FaultPause
	FaultBlockOneWay
	FaultBlockBothWays
	FaultPartitionDomain
	FaultDrain
	FaultUndrain
	FaultSlow
	FaultBlackholeFlow
	FaultRollout
	FaultOverload
	faultCount
)

// faultNames holds the names that reports of schedules print, by Fault.
var faultNames = [faultCount]string{
	"kill", "restart", "stop", "pause", "cut-one-way", "cut", "cut-domain",
	"drain", "undrain", "slow", "forget", "rollout", "overload",
}

// String returns the fault's name.
func (f Fault) String() string { return faultNames[f] }

// Step is one scheduled fault.
type Step struct {
	At    time.Duration
	Fault Fault
	// Target and Other are indexes, modulo the count: Target selects a host, or a
	// service for FaultRollout, and Other a second host or an endpoint.
	Target, Other int
	ActiveFor     time.Duration
}

// String formats the step on one line.
func (s Step) String() string {
	return fmt.Sprintf("%v %v target=%d other=%d for=%v", s.At, s.Fault, s.Target, s.Other, s.ActiveFor)
}

// maxFaultDuration bounds the random part of a fault's duration, which is added
// to one second.
const maxFaultDuration = 60 * time.Second

// RandomSchedule returns count random faults within the given period.
func RandomSchedule(seed uint64, count int, over time.Duration) []Step {
	rng := rand.New(rand.NewPCG(seed, 0x666175))
	steps := make([]Step, count)
	for i := range steps {
		steps[i] = Step{
			At:        time.Duration(rng.Int64N(int64(over))),
			Fault:     Fault(rng.IntN(int(faultCount))),
			Target:    rng.IntN(64),
			Other:     rng.IntN(64),
			ActiveFor: time.Second + time.Duration(rng.Int64N(int64(maxFaultDuration))/int64(1+rng.IntN(30))),
		}
	}
	return steps
}

// Apply schedules the steps relative to the current time.
func (sim *Simulation) Apply(steps []Step) {
	for _, s := range steps {
		sim.clock.after(s.At, func() { sim.applyFault(s) })
	}
}

func (sim *Simulation) applyFault(s Step) {
	h := sim.hosts[s.Target%len(sim.hosts)]
	other := sim.hosts[s.Other%len(sim.hosts)]
	switch s.Fault {
	case FaultKill:
		sim.Kill(h)
	case FaultRestart:
		sim.startIfStopped(h)
	case FaultStop:
		sim.beginGracefulShutdown(h)
	case FaultPause:
		sim.Pause(h, s.ActiveFor)
	case FaultBlockOneWay:
		sim.Block(h.Name, other.Name, s.ActiveFor)
	case FaultBlockBothWays:
		sim.Block(h.Name, other.Name, s.ActiveFor)
		sim.Block(other.Name, h.Name, s.ActiveFor)
	case FaultPartitionDomain:
		sim.PartitionDomain(h.Domain, s.ActiveFor)
	case FaultDrain, FaultUndrain:
		sim.mark(h, s.Other, s.Fault == FaultDrain)
	case FaultSlow:
		e := sim.orderedEndpoints[s.Other%len(sim.orderedEndpoints)]
		e.Slow = 3
		sim.clock.after(s.ActiveFor, func() { e.Slow = 1 })
	case FaultBlackholeFlow:
		sim.blackholeFlow(s.Other)
	case FaultRollout:
		sim.rollout(s)
	case FaultOverload:
		sim.overload()
	}
}

// The burst of FaultOverload exceeds what the service's slots can run.
const (
	burstFlows        = 200
	burstInterval     = 200 * time.Millisecond
	burstDeadline     = 400 * time.Millisecond
	burstFlowLifetime = 8 * time.Second
)

// overload opens many flows with frequent requests and short deadlines.
func (sim *Simulation) overload() {
	stream := Stream{
		Service:           ServiceNormal,
		Lifetime:          burstFlowLifetime,
		Interval:          burstInterval,
		Deadline:          burstDeadline,
		NonIdempotentRate: 0.7,
	}
	sim.callers.Prefill(stream, burstFlows, time.Second)
}

// startIfStopped starts a host whose process does not run.
func (sim *Simulation) startIfStopped(h *Host) {
	if !h.alive {
		sim.Start(h)
	}
}

// beginGracefulShutdown starts the graceful shutdown of a running host.
func (sim *Simulation) beginGracefulShutdown(h *Host) {
	if c := h.Core(); c != nil && h.alive && !h.paused {
		c.Leave()
	}
}

// Block blocks traffic from one host to another for a time.
func (sim *Simulation) Block(from, to string, d time.Duration) {
	if from == to {
		return
	}
	sim.network.block(from, to)
	sim.clock.after(d, func() { sim.network.unblock(from, to) })
}

// PartitionDomain partitions a failure domain's hosts from all other hosts.
func (sim *Simulation) PartitionDomain(domain string, d time.Duration) {
	for _, a := range sim.hosts {
		for _, b := range sim.hosts {
			if a.Domain == domain && b.Domain != domain {
				sim.Block(a.Name, b.Name, d)
				sim.Block(b.Name, a.Name, d)
			}
		}
	}
}

// mark drains or undrains an endpoint by a command to one host.
func (sim *Simulation) mark(h *Host, number int, draining bool) {
	c := h.Core()
	if c == nil || !h.alive || h.paused {
		return
	}
	e := sim.orderedEndpoints[number%len(sim.orderedEndpoints)]
	c.Mark(steer.EndpointKey{Service: e.service.ID, Endpoint: e.config.ID}, draining)
}

// blackholeFlow drops the packets of an endpoint's oldest flow in both
// directions, as if a device on the path had lost its state for the flow.
func (sim *Simulation) blackholeFlow(number int) {
	e := sim.orderedEndpoints[number%len(sim.orderedEndpoints)]
	for _, f := range sim.callers.flowsInOrder() {
		if f.endpoint == e {
			e.blackholed[f.key] = true
			return
		}
	}
}

// rollout offers the hosts a bundle with one endpoint's weight changed, each
// host at a different time.
func (sim *Simulation) rollout(s Step) {
	next := *sim.bundle
	next.Version++
	next.Services = make([]config.Service, len(sim.bundle.Services))
	copy(next.Services, sim.bundle.Services)
	service := &next.Services[s.Target%len(next.Services)]
	service.Endpoints = append([]config.Endpoint(nil), service.Endpoints...)
	e := &service.Endpoints[s.Other%len(service.Endpoints)]
	e.Weight = (e.Weight + 1) % 3
	sim.Rollout(&next, s.ActiveFor/4)
}

// Rollout offers every host a bundle after a random delay of at most within.
func (sim *Simulation) Rollout(b *config.Bundle, within time.Duration) {
	sim.bundle = b
	sim.AddEndpoints(b)
	for _, h := range sim.hosts {
		generation := h.generation
		sim.clock.after(time.Duration(sim.rng.Int64N(int64(within)+1)), func() {
			if o := h.operable(); o != nil && h.generation == generation {
				o.OfferBundle(b)
			}
		})
	}
}

// RestoreAll unblocks the network and starts every stopped host, so that a
// run can settle.
func (sim *Simulation) RestoreAll() {
	clear(sim.network.blocked)
	for _, h := range sim.hosts {
		sim.startIfStopped(h)
	}
}
