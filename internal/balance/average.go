package balance

import (
	"math"
	"time"
)

const (
	// endpointSmoothing is the weight of a new value in an endpoint's average, so
	// that about the last 10 values determine it.
	endpointSmoothing = 0.15
	// serviceSmoothing is the weight in a service's average, which a few of its
	// endpoints must not move.
	serviceSmoothing = 0.02
	// averageHalfLife is the time in which an average without new values comes half
	// way back to the usual value, so that an endpoint that was slow is tried again.
	averageHalfLife = 2 * time.Second
)

// decayingAverage is an exponential moving average that decays to the usual value
// while no values are added.
type decayingAverage struct {
	value   float64
	updated time.Duration
}

func (a *decayingAverage) add(now time.Duration, v, smoothing float64) {
	if a.value == 0 {
		a.value = v
	} else {
		a.value += smoothing * (v - a.value)
	}
	a.updated = now
}

// at returns the average, decayed to the usual value by the time since the last
// addition.
func (a *decayingAverage) at(now time.Duration, usual float64) float64 {
	if a.value == 0 {
		return usual
	}
	weight := math.Exp2(-float64(now-a.updated) / float64(averageHalfLife))
	return usual + (a.value-usual)*weight
}
