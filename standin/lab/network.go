package lab

import (
	"time"
)

// Faults configures how the network impairs datagrams; rates are from 0 to 1.
type Faults struct {
	Loss      float64
	Duplicate float64
	// Jitter is the maximum extra delay; it reorders datagrams.
	Jitter time.Duration
}

// One-way delays and control link timing.
const (
	hostDelay   = 500 * time.Microsecond
	callerDelay = 3 * time.Millisecond
	// linkBreakDelay is how long a direction is blocked before the link breaks.
	linkBreakDelay = 1500 * time.Millisecond
	// reconnectInterval is the time between attempts to reconnect a link.
	reconnectInterval = 300 * time.Millisecond
)

// direction is a sender and a receiver on the network.
type direction struct {
	from, to string
}

// network delivers datagrams and holds which directions are blocked.
type network struct {
	simulation *Simulation
	faults     Faults
	// blocked counts the faults that currently block a direction.
	blocked map[direction]int
}

// block adds a fault that blocks a direction; unblock removes one.
func (n *network) block(from, to string)   { n.blocked[direction{from, to}]++ }
func (n *network) unblock(from, to string) { n.blocked[direction{from, to}]-- }

// open reports whether a direction is not blocked. A count can be negative,
// because RestoreAll clears the counts while calls of unblock are still
// scheduled.
func (n *network) open(from, to string) bool {
	return n.blocked[direction{from, to}] <= 0
}

// datagram delivers a datagram subject to the network's faults.
func (n *network) datagram(from, to string, delay time.Duration, deliver func()) {
	if !n.open(from, to) {
		return
	}
	rng := n.simulation.rng
	copies := 1
	if n.faults.Loss > 0 && rng.Float64() < n.faults.Loss {
		copies = 0
	}
	if n.faults.Duplicate > 0 && rng.Float64() < n.faults.Duplicate {
		copies++
	}
	for range copies {
		d := delay
		if n.faults.Jitter > 0 {
			d += time.Duration(rng.Int64N(int64(n.faults.Jitter)))
		}
		n.simulation.clock.after(d, deliver)
	}
}
