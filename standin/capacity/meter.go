// Package capacity measures how the cost of toucangap's components grows with
// their sizes. It runs the production decision code in virtual time. The results
// are the basis of docs/CAPACITY.md.
package capacity

import (
	"fmt"
	"io"
	"runtime"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// Row holds the results for one measured size.
type Row struct {
	// Size names the varied parameter and its value, such as "flows=10000".
	Size string
	// Values are the results with their units, in the order of the columns.
	Values []Value
}

// Value is one result with its unit.
type Value struct {
	Name   string
	Unit   string
	Amount float64
}

// Section holds the results of one measurement.
type Section struct {
	Name string
	// Description says what was measured and under which conditions.
	Description string
	Rows        []Row
}

// Print writes a section as plain text, one line per size.
func (s Section) Print(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "# %s: %s\n", s.Name, s.Description); err != nil {
		return err
	}
	for _, r := range s.Rows {
		fields := []string{fmt.Sprintf("%-32s", r.Size)}
		for _, v := range r.Values {
			fields = append(fields, fmt.Sprintf("%s=%.4g %s", v.Name, v.Amount, v.Unit))
		}
		if _, err := fmt.Fprintln(w, strings.Join(fields, "  ")); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintln(w)
	return err
}

// cpuTime returns the user and system CPU time of the process, or 0 if it
// cannot be read. It depends less than wall clock time on other work on the
// machine.
func cpuTime() time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// cpuNanoseconds returns the CPU time that run takes, in nanoseconds.
func cpuNanoseconds(run func()) float64 {
	runtime.GC()
	start := cpuTime()
	run()
	return float64(cpuTime() - start)
}

// liveHeapBytes returns the heap size in bytes after a garbage collection.
func liveHeapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
