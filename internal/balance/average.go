package balance

import (
	"math"
	"time"
)

const (
	// endpointShare is the weight of a new value in an endpoint's moving average;
	// some ten values decide it.
	endpointShare = 0.15
	// serviceShare is that of a service's average, which a few endpoints of it
	// must not move.
	serviceShare = 0.02
	// memory is the half-life of an average without new values: an endpoint that
	// was slow is tried again.
	memory = 2 * time.Second
)

// average is a moving average that returns to the usual value while nothing is
// added.
type average struct {
	value   float64
	updated time.Duration
}

func (a *average) add(now time.Duration, v, share float64) {
	if a.value == 0 {
		a.value = v
	} else {
		a.value += share * (v - a.value)
	}
	a.updated = now
}

// at returns the average, drawn to the usual value by the time since the last
// addition.
func (a *average) at(now time.Duration, usual float64) float64 {
	if a.value == 0 {
		return usual
	}
	left := math.Exp2(-float64(now-a.updated) / float64(memory))
	return usual + (a.value-usual)*left
}
