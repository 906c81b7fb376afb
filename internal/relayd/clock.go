package relayd

import (
	"time"

	"golang.org/x/sys/unix"
)

// clock tells the time since the process started on two clocks. Nothing is
// decided by the time of day, which jumps.
type clock struct {
	started     time.Time
	bootAtStart time.Duration
}

func newClock() *clock {
	c := &clock{started: time.Now()}
	c.bootAtStart = readBootTime()
	return c
}

// Steady is the time on the clock that stands still while the machine sleeps.
func (c *clock) Monotonic() time.Duration { return time.Since(c.started) }

// Awake is the time on the clock that runs on while the machine sleeps. It
// costs a system call.
func (c *clock) BootTime() time.Duration { return readBootTime() - c.bootAtStart }

// bootTime reads the clock of that name.
func readBootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Only a kernel without the clock fails; the steady clock is the nearest.
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(t.Nano())
}
