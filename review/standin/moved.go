//go:build review

package main

import (
	"fmt"
	"time"
)

func init() { cases["moved"] = movedCase }

// movedCase: requesters keep flows open and send a request every two seconds. For a few
// flows the network has lost one datagram, the SYN+ACK of the backend that was tried first.
// The machines are stopped and started in turn, so that flows move to other machines.
func movedCase(w *world, trouble bool) {
	const (
		flows  = 200
		lossOf = 50 // one SYN+ACK of the flows' first ones is lost
		budget = time.Second
		work   = 5 * time.Millisecond
		pause  = 2 * time.Second
		asks   = 6
		gap    = 2 * time.Second
	)
	w.configure(2000)
	w.addUsual(2000)
	w.startMachines()
	var r *requester
	chosen := make(map[flowKey]bool)
	w.do(func() {
		r = w.addRequester("port-louis")
		for _, b := range w.backends {
			b.dropSynAck = func(k flowKey) bool {
				lose := chosen[k]
				delete(chosen, k)
				return lose
			}
		}
	})
	for i := range 40 {
		w.do(func() { r.open(alertRoute.address, fmt.Sprintf("warm-%d", i), work, budget, closeFlow) })
		time.Sleep(50 * time.Millisecond)
	}
	var kept []*flow
	for i := range flows {
		w.do(func() {
			f := r.open(alertRoute.address, fmt.Sprintf("f%d-0", i), work, budget, nil)
			chosen[f.key] = i%lossOf == lossOf/2
			kept = append(kept, f)
		})
		time.Sleep(15 * time.Millisecond)
	}
	rolled := make(chan struct{})
	go func() {
		defer close(rolled)
		if !trouble {
			return
		}
		for _, m := range w.machines {
			w.roll(m)
			time.Sleep(gap)
		}
	}()
	begun := time.Now()
	for n := range asks {
		for i, f := range kept {
			time.Sleep(time.Until(begun.Add(time.Duration(n)*pause + time.Duration(i)*pause/flows)))
			w.do(func() {
				if f.state == open && f.request == "" {
					f.ask(fmt.Sprintf("f%d-%d", i, n+1), work, budget)
				}
			})
		}
	}
	<-rolled
	time.Sleep(2 * time.Second)
}
