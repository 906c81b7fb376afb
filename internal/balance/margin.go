package balance

import "math"

// marginDeviations is the margin for random variation in standard deviations. A Poisson
// number exceeds its mean by more than two of them in 2 to 5% of the cases.
const marginDeviations = 2.0

// LimitWithMargin returns the limit for one of a number of hosts whose share of a
// service's slots is m: m + 2 sqrt(m (1 - 1/hosts)). It answers
// deployments of many hosts with few requests each: a number of requests that vary at
// random exceeds its mean almost half of the time, and with m alone as the limit,
// requests wait at one host while slots that are counted to other hosts are free. Given
// the number at all hosts, a host's part of it has the variance m (1 - 1/hosts), so that
// a single host, which gets all requests, has no margin. The limits of all hosts add up
// to more than the slots: 1.2 times as much with m = 60, 3.2 times with m = 0.8.
func LimitWithMargin(m float64, hosts int) float64 {
	return m + marginDeviations*math.Sqrt(max(0, m)*(1-1/float64(max(1, hosts))))
}
