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
	// Target and Other select hosts or endpoints by index, modulo their count.
	Target, Other int
	ActiveFor     time.Duration
}

// String formats the step on one line.
func (s Step) String() string {
	return fmt.Sprintf("%v %v target=%d other=%d for=%v", s.At, s.Fault, s.Target, s.Other, s.ActiveFor)
}

// maxFaultDuration bounds how long a fault lasts.
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
func (w *World) Apply(steps []Step) {
	for _, s := range steps {
		w.clock.after(s.At, func() { w.applyFault(s) })
	}
}

func (w *World) applyFault(s Step) {
	h := w.hosts[s.Target%len(w.hosts)]
	other := w.hosts[s.Other%len(w.hosts)]
	switch s.Fault {
	case FaultKill:
		w.Kill(h)
	case FaultRestart:
		w.startIfStopped(h)
	case FaultStop:
		w.beginGracefulShutdown(h)
	case FaultPause:
		w.Pause(h, s.ActiveFor)
	case FaultBlockOneWay:
		w.Cut(h.Name, other.Name, s.ActiveFor)
	case FaultBlockBothWays:
		w.Cut(h.Name, other.Name, s.ActiveFor)
		w.Cut(other.Name, h.Name, s.ActiveFor)
	case FaultPartitionDomain:
		w.CutDomain(h.Domain, s.ActiveFor)
	case FaultDrain, FaultUndrain:
		w.mark(h, s.Other, s.Fault == FaultDrain)
	case FaultSlow:
		e := w.orderedEndpoints[s.Other%len(w.orderedEndpoints)]
		e.Slow = 3
		w.clock.after(s.ActiveFor, func() { e.Slow = 1 })
	case FaultBlackholeFlow:
		w.blackholeFlow(s.Other)
	case FaultRollout:
		w.rollout(s)
	case FaultOverload:
		w.overload()
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
func (w *World) overload() {
	stream := Stream{
		Service:  ServiceNormal,
		Life:     burstFlowLifetime,
		Interval: burstInterval,
		Deadline: burstDeadline,
		Posts:    0.7,
	}
	w.load.Prefill(stream, burstFlows, time.Second)
}

// startIfStopped starts a host whose process does not run.
func (w *World) startIfStopped(h *Host) {
	if !h.alive {
		w.Start(h)
	}
}

// beginGracefulShutdown starts the graceful shutdown of a running host.
func (w *World) beginGracefulShutdown(h *Host) {
	if c := h.Core(); c != nil && h.alive && !h.paused {
		c.Leave()
	}
}

// Cut blocks traffic from one host to another for a time.
func (w *World) Cut(from, to string, d time.Duration) {
	if from == to {
		return
	}
	w.network.block(from, to)
	w.clock.after(d, func() { w.network.unblock(from, to) })
}

// CutDomain partitions a failure domain's hosts from all other hosts.
func (w *World) CutDomain(domain string, d time.Duration) {
	for _, a := range w.hosts {
		for _, b := range w.hosts {
			if a.Domain == domain && b.Domain != domain {
				w.Cut(a.Name, b.Name, d)
				w.Cut(b.Name, a.Name, d)
			}
		}
	}
}

// mark drains or undrains an endpoint by a command to one host.
func (w *World) mark(h *Host, number int, draining bool) {
	c := h.Core()
	if c == nil || !h.alive || h.paused {
		return
	}
	e := w.orderedEndpoints[number%len(w.orderedEndpoints)]
	c.Mark(steer.EndpointKey{Service: e.service.ID, Endpoint: e.config.ID}, draining)
}

// blackholeFlow drops one flow's packets at its endpoint in both directions.
func (w *World) blackholeFlow(number int) {
	e := w.orderedEndpoints[number%len(w.orderedEndpoints)]
	for _, f := range w.load.flowsInOrder() {
		if f.endpoint == e {
			e.blackholed[f.key] = true
			return
		}
	}
}

// rollout offers the hosts a bundle with one endpoint's weight changed, each
// host at a different time.
func (w *World) rollout(s Step) {
	next := *w.bundle
	next.Version++
	next.Services = make([]config.Service, len(w.bundle.Services))
	copy(next.Services, w.bundle.Services)
	service := &next.Services[s.Target%len(next.Services)]
	service.Endpoints = append([]config.Endpoint(nil), service.Endpoints...)
	e := &service.Endpoints[s.Other%len(service.Endpoints)]
	e.Weight = (e.Weight + 1) % 3
	w.Rollout(&next, s.ActiveFor/4)
}

// Rollout offers every host a bundle after a random delay of at most within.
func (w *World) Rollout(b *config.Bundle, within time.Duration) {
	w.bundle = b
	w.AddEndpoints(b)
	for _, h := range w.hosts {
		generation := h.generation
		w.clock.after(time.Duration(w.rng.Int64N(int64(within)+1)), func() {
			if o := h.operated(); o != nil && h.generation == generation {
				o.OfferBundle(b)
			}
		})
	}
}

// RestoreAll unblocks the network and starts every stopped host, so that a
// run can settle.
func (w *World) RestoreAll() {
	clear(w.network.blocked)
	for _, h := range w.hosts {
		w.startIfStopped(h)
	}
}
