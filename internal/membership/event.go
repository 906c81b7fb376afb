package membership

import (
	"time"

	"toucangap/internal/config"
)

// Event is one of HostChanged, Suspected, SuspicionCleared, Refuted,
// PresumedDead and Paused.
type Event interface {
	event()
}

// HostChanged reports that the view of another host changed: its state, its
// incarnation or its description. Previous is zero for a host that was not
// known.
type HostChanged struct {
	Host     config.Host
	Previous config.Host
}

// Suspected reports that a host is suspected to be dead.
type Suspected struct {
	Host        string
	Incarnation uint64
}

// SuspicionCleared reports that a suspected host proved to be alive.
type SuspicionCleared struct {
	Host        string
	Incarnation uint64
}

// Refuted reports that this host raised its incarnation because gossip
// contradicted its own state: peers suspected it, knew it in a later state such
// as dead, or knew another process of its name.
type Refuted struct {
	Incarnation uint64
}

// PresumedDead reports that the peer Reporter had confirmed this host dead at
// the given incarnation and may have taken over its share of the flows. It is
// emitted once for each peer and incarnation. The state that this host claims
// stays as it is, since the peer may have been the partitioned one; the receiver
// of the event has to consider how many peers say so and whether this host was
// paused.
type PresumedDead struct {
	Reporter    string
	Incarnation uint64
}

// Paused reports that the process did not run for the gap. The receiver of the
// event has to drop every time-limited right that it holds.
type Paused struct {
	Gap time.Duration
}

func (HostChanged) event()      {}
func (Suspected) event()        {}
func (SuspicionCleared) event() {}
func (Refuted) event()          {}
func (PresumedDead) event()     {}
func (Paused) event()           {}
