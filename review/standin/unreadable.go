//go:build review

package main

import (
	"bytes"
	"fmt"
	"time"
)

// unreadableCase: another writer stores four entries of the size that the store allows.
func unreadableCase(w *world, trouble bool) {
	missedDrain(w, trouble, 4, bytes.Repeat([]byte{0xff}, 1048576))
}

// nestedCase: another writer stores one entry of 32 KB, which opens an array with each byte.
func nestedCase(w *world, trouble bool) {
	missedDrain(w, trouble, 1, bytes.Repeat([]byte{'['}, 32768))
}

// missedDrain has another writer store entries that can't be read. A backend reports soon
// after that it is draining.
func missedDrain(w *world, trouble bool, entries int, value []byte) {
	const (
		budget = time.Second
		work   = 5 * time.Millisecond
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
			w.store.Put(fmt.Sprintf("servers/other-%d", n), value, 0)
		}
		w.do(func() {
			w.record("another writer has stored %d entries of %d bytes that can't be read", entries, len(value))
		})
	}
	load(500 * time.Millisecond)
	w.do(func() { w.backends[0].drain() })
	load(8 * time.Second)
	time.Sleep(2 * time.Second)
}

func init() {
	cases["unreadable"] = unreadableCase
	cases["nested"] = nestedCase
}
