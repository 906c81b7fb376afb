//go:build review

package main

import (
	"fmt"
	"time"
)

func init() { cases["idle"] = idleCase }

// idleCase: one backend is partitioned from all machines for a few seconds. A requester
// whose flow is open there pauses meanwhile. Its next request comes later than the stable
// window after the partition has ended.
func idleCase(w *world, trouble bool) {
	const (
		cutFor   = 5500 * time.Millisecond
		interval = 2500 * time.Millisecond
		budget   = 3 * time.Second
		work     = 5 * time.Millisecond
	)
	w.configure(2000)
	w.addUsual(2000)
	w.startMachines()
	var r *requester
	var kept []*flow
	w.do(func() { r = w.addRequester("curepipe") })
	// A few requests, so that the machine knows usual times.
	for i := range 20 {
		w.do(func() { r.open(reportRoute.address, fmt.Sprintf("warm-%d", i), work, budget, closeFlow) })
		time.Sleep(100 * time.Millisecond)
	}
	// Requesters that keep their flows open.
	for i := range 5 {
		w.do(func() {
			kept = append(kept, r.open(reportRoute.address, fmt.Sprintf("kept-%d-a", i), work, budget, nil))
		})
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	var at *backend
	w.do(func() {
		at = kept[0].backend
		if at == nil {
			return
		}
		if trouble {
			at.setCut(true)
		}
	})
	if at == nil {
		w.fail("the flow did not open")
	}
	begun := time.Now()
	// Few callers are left: one opens a flow every 2.5 s.
	after := func(d time.Duration) { time.Sleep(time.Until(begun.Add(d))) }
	n := 0
	next := 300 * time.Millisecond
	caller := func() {
		w.do(func() { r.open(reportRoute.address, fmt.Sprintf("new-%d", n), work, budget, closeFlow) })
		n++
		next += interval
	}
	for next < cutFor {
		after(next)
		caller()
	}
	after(cutFor)
	if trouble {
		w.do(func() { at.setCut(false) })
	}
	second := cutFor + stableWindow + 200*time.Millisecond
	for next < second {
		after(next)
		caller()
	}
	for i, f := range kept {
		after(second + time.Duration(i)*20*time.Millisecond)
		w.do(func() {
			if f.state == open {
				f.ask(fmt.Sprintf("kept-%d-b", i), work, budget)
			}
		})
	}
	time.Sleep(4 * time.Second)
}

// closeFlow ends a flow once its request has its answer.
func closeFlow(f *flow, outcome string) {
	if outcome == "answered" {
		f.close()
	}
}
