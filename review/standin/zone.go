//go:build review

package main

import (
	"fmt"
	"time"
)

// zoneCase: the four backends that one service has in a zone fall silent for good. A request
// that may be repeated is in progress at the zone's backend of another service, which lives
// on.
func zoneCase(w *world, trouble bool) {
	const (
		zone  = "mahebourg"
		work  = 22 * time.Millisecond
		long  = 900 * time.Millisecond
		every = time.Second
		lost  = 6*time.Second + 200*time.Millisecond
		until = 12 * time.Second
	)
	w.configure(2000)
	w.addUsual(2000)
	w.startMachines()
	var rs []*requester
	w.do(func() {
		for range 4 {
			rs = append(rs, w.addRequester(zone))
		}
	})
	begun := time.Now()
	n, longs := 0, 0
	for time.Since(begun) < until {
		at := time.Since(begun)
		w.do(func() {
			r := rs[n%len(rs)]
			r.open(ackRoute.address, fmt.Sprintf("a%d", n), work, ackRoute.timeout, closeFlow)
			n++
			if at >= time.Duration(longs)*every {
				r.open(bulletin.address, fmt.Sprintf("b%d", longs), long, bulletin.timeout, closeFlow)
				longs++
			}
			if trouble && at >= lost {
				trouble = false
				for _, b := range w.backends {
					if b.service == "alertes" && b.zone == zone {
						b.loseForGood("bulletins")
					}
				}
			}
		})
		time.Sleep(9 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
}

func init() { cases["zone"] = zoneCase }
