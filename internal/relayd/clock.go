package relayd

import (
	"time"

	"golang.org/x/sys/unix"
)

// clock reads the monotonic and the boot-time clock, both counted from the start
// of the process. The host does not depend on the wall clock, which may jump.
type clock struct {
	started     time.Time
	bootAtStart time.Duration
}

func newClock() *clock {
	c := &clock{started: time.Now()}
	c.bootAtStart = readBootTime()
	return c
}

// Monotonic reads the clock that stands still while the machine sleeps.
func (c *clock) Monotonic() time.Duration { return time.Since(c.started) }

// BootTime reads the clock that keeps running while the machine sleeps. It
// costs a system call.
func (c *clock) BootTime() time.Duration { return readBootTime() - c.bootAtStart }

// readBootTime reads CLOCK_BOOTTIME.
func readBootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Only a kernel without the clock fails; the wall clock is the nearest
		// substitute.
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(t.Nano())
}
