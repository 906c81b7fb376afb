//go:build review

package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// cases holds the cases by name. A case runs with the disruption or without it.
var cases = make(map[string]func(w *world, trouble bool))

func main() {
	name := flag.String("case", "", "the case")
	root := flag.String("root", ".", "the repository")
	recordFile := flag.String("record", "record.txt", "where the record goes")
	trouble := flag.String("trouble", "1", "0 leaves the disruption out")
	flag.Parse()
	run := cases[*name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(2)
	}
	w := newWorld(*root, *recordFile, 1)
	time.AfterFunc(110*time.Second, func() { w.fail("takes too long") })
	run(w, *trouble != "0")
	os.Exit(w.finish())
}

// do runs f under the lock.
func (w *world) do(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// addUsual adds the backends of the small deployment.
func (w *world) addUsual(maxConnections int) {
	w.do(func() {
		for _, s := range []struct {
			service, zone string
			count         int
		}{
			{"alertes", "port-louis", 5}, {"alertes", "curepipe", 5}, {"alertes", "mahebourg", 4},
			{"bulletins", "port-louis", 2}, {"bulletins", "curepipe", 1}, {"bulletins", "mahebourg", 1},
		} {
			for range s.count {
				w.addBackend(s.service, s.zone, maxConnections)
			}
		}
	})
}
