//go:build review

package main

import (
	"fmt"
	"time"
)

func init() { cases["full"] = fullCase }

// fullCase: requesters of one zone keep flows open until the zone's backend holds as many
// as it may, and sends nothing to further SYNs. The machine of another zone, which has no
// backend of the service, has a few flows there and gets new requesters.
func fullCase(w *world, trouble bool) {
	const (
		limit  = 2000
		perSec = 200
		budget = 3 * time.Second
		work   = 2 * time.Millisecond
		pause  = 10 * time.Second
		few    = 20
	)
	// Without the disruption, the backend stays below the limit.
	target := limit
	if !trouble {
		target = limit - 200
	}
	w.configure(limit)
	var b *backend
	w.do(func() {
		b = w.addBackend("bulletins", "port-louis", limit)
		w.addBackend("bulletins", "mahebourg", limit)
		w.addBackend("alertes", "curepipe", limit)
	})
	w.startMachines()
	var near []*requester
	var far *requester
	w.do(func() {
		far = w.addRequester("curepipe")
		for range 10 {
			near = append(near, w.addRequester("port-louis"))
		}
	})
	// Each open flow sends a request every ten seconds, well within the idle timeout.
	type caller struct {
		flow *flow
		next time.Duration
		n    int
	}
	var callers []*caller
	keep := func(r *requester, name string) {
		c := &caller{next: w.now() + pause}
		c.flow = r.open(reportRoute.address, name+"-0", work, budget, nil)
		callers = append(callers, c)
	}
	names := make(map[*caller]string)
	w.background(5*time.Millisecond, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, c := range callers {
			if now := w.now(); now >= c.next && c.flow.state == open && c.flow.request == "" {
				c.n++
				c.next += pause
				c.flow.ask(fmt.Sprintf("%s-%d", names[c], c.n), work, budget)
			}
		}
	})
	keepNamed := func(r *requester, name string) {
		keep(r, name)
		names[callers[len(callers)-1]] = name
	}
	for i := range few {
		w.do(func() { keepNamed(far, fmt.Sprintf("far%d", i)) })
		time.Sleep(100 * time.Millisecond)
	}
	begun := time.Now()
	for i := range 3 * limit {
		time.Sleep(time.Until(begun.Add(time.Duration(i) * time.Second / perSec)))
		held := 0
		w.do(func() {
			if held = b.held(); held < target {
				keepNamed(near[i%len(near)], fmt.Sprintf("near%d", i))
			}
		})
		if held >= target {
			break
		}
	}
	w.do(func() {
		w.record("backend %s holds %d flows of at most %d", b.id, b.held(), b.maxConnections)
		if b.held() < target {
			w.record("the backend did not get as many flows as planned")
		}
	})
	// New requesters in the other zone, ten a second, each with one request.
	for i := range 150 {
		w.do(func() { far.open(reportRoute.address, fmt.Sprintf("new%d", i), work, budget, closeFlow) })
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	w.do(func() { w.record("backend %s holds %d flows; %d SYNs got no answer", b.id, b.held(), b.refused) })
}
