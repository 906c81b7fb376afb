//go:build review

package main

import (
	"fmt"
	"syscall"
	"time"
)

// frozenCase: requesters open flows and keep them, with a request every nine seconds. The
// machine of their zone freezes for some seconds and wakes again; meanwhile the routers send
// to machines of other zones.
func frozenCase(w *world, trouble bool) {
	const (
		frozenFor = 4 * time.Second
		before    = 2 * time.Second
		flows     = 150
		perSec    = 20
		pause     = 9 * time.Second
		budget    = time.Second
		work      = 5 * time.Millisecond
	)
	w.configure(2000)
	w.addUsual(2000)
	w.startMachines()
	var r *requester
	var frozen *machine
	w.do(func() {
		r = w.addRequester("mahebourg")
		for _, m := range w.machines {
			if m.zone == r.zone {
				frozen = m
			}
		}
	})
	for i := range 40 {
		w.do(func() { r.open(alertRoute.address, fmt.Sprintf("warm-%d", i), work, budget, closeFlow) })
		time.Sleep(50 * time.Millisecond)
	}
	begun := time.Now()
	if trouble {
		process := frozen.process.Process
		time.AfterFunc(before, func() {
			w.do(func() { w.record("%s freezes", frozen.name) })
			_ = process.Signal(syscall.SIGSTOP)
		})
		time.AfterFunc(before+frozenFor, func() {
			_ = process.Signal(syscall.SIGCONT)
			w.do(func() {
				w.record("%s wakes", frozen.name)
				frozen.harmedUntil = w.now()
			})
		})
	}
	var kept []*flow
	for i := range flows {
		time.Sleep(time.Until(begun.Add(time.Duration(i) * time.Second / perSec)))
		w.do(func() { kept = append(kept, r.open(alertRoute.address, fmt.Sprintf("f%d-0", i), work, budget, nil)) })
	}
	for i, f := range kept {
		time.Sleep(time.Until(begun.Add(pause + time.Duration(i)*time.Second/perSec)))
		w.do(func() {
			if f.state == open && f.request == "" {
				f.ask(fmt.Sprintf("f%d-1", i), work, budget)
			}
		})
	}
	time.Sleep(3 * time.Second)
}

func init() { cases["frozen"] = frozenCase }
