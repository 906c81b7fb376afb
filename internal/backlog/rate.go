package backlog

import "time"

// rateSmoothing is the weight of a value in the average interval, so that about the last
// 16 requests determine it.
const rateSmoothing = 1.0 / 16

// Rate measures how often a request is forwarded while others wait. The zero value is
// ready.
type Rate struct {
	interval float64
	// last is when the last one was forwarded, counting is set while others have waited
	// since.
	last     time.Duration
	counting bool
}

// Record records that a request is forwarded, and whether others go on waiting; initial is
// the interval that is assumed before the first value.
func (r *Rate) Record(now, initial time.Duration, othersWait bool) {
	if r.counting {
		average := float64(r.Interval(initial))
		r.interval = average + rateSmoothing*(float64(now-r.last)-average)
	}
	r.last, r.counting = now, othersWait
}

// Interval returns the average time between two requests that are forwarded, the given one
// if it has not been measured.
func (r *Rate) Interval(initial time.Duration) time.Duration {
	if r.interval == 0 {
		return initial
	}
	return time.Duration(r.interval)
}
