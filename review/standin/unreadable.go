//go:build review

package main

import (
	"bytes"
	"fmt"
	"time"
)

func init() { cases["unreadable"] = unreadableCase }

// unreadableCase: another writer stores entries that can't be read, of the size that the
// store allows. A backend reports soon after that it is draining.
func unreadableCase(w *world, trouble bool) {
	const (
		entries = 4
		size    = 1048576 // ValueBytes
		budget  = time.Second
		work    = 5 * time.Millisecond
	)
	w.configure(2000)
	w.addUsual(2000)
	w.startMachines()
	var rs []*requester
	w.do(func() {
		for _, z := range zones {
			rs = append(rs, w.addRequester(z.name))
		}
	})
	i := 0
	load := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); i++ {
			w.do(func() { rs[i%len(rs)].open(ackRoute.address, fmt.Sprintf("r%d", i), work, budget, closeFlow) })
			time.Sleep(10 * time.Millisecond)
		}
	}
	load(2 * time.Second)
	if trouble {
		for n := range entries {
			w.store.Put(fmt.Sprintf("servers/other-%d", n), bytes.Repeat([]byte{0xff}, size), 0)
		}
		w.do(func() { w.record("another writer has stored %d entries of %d bytes that can't be read", entries, size) })
	}
	load(500 * time.Millisecond)
	w.do(func() { w.backends[0].drain() })
	load(8 * time.Second)
	time.Sleep(2 * time.Second)
}
