package spillover

import (
	"math"
	"time"
)

// Parameters of the control loop.
//
// The controller is an integrator. Its error is a difference of utilizations, computed
// from answer times by t = base/(1-u): answer times grow without bound as endpoints
// fill up, whereas u follows the load nearly linearly. With 2 slots an endpoint
// answers in base/(1-u), u being the square of its load, so du/dshare is at most 2 for the
// home domain and a third of it for each of three others: a plant gain m of at most 2.7,
// and about 1.5 at the loads of a usual peak. The delay T is the mean answer time, up to
// 0.15 s, plus homeMemory. An integrator of gain k behind a delay T is stable for
// k*m*T < pi/2, and decays without oscillation below 1/e. With these figures k*m*T is
// 1.3 at most and usually 0.7. The share follows with a time constant 1/(k*m) of about
// 1 s: slow against an answer, fast against a wave of 13 s.
const (
	// gain is the change of the share per second for an error of 1.
	gain = 0.9
	// maxError limits the error, since answer times above maxRatio look alike.
	maxError = 0.6
	// startError is the error from which a share leaves 0. Without any wait the error is
	// negative by the cost of leaving, which noise does not make up for.
	startError = 0.05
	// holdError is the error up to which a share above 0 does not change.
	holdError = 0.03
	// reserve is what leaving has to gain beyond the additional round trips, for the
	// price of bytes between domains.
	reserve = 8 * time.Millisecond
	// minShare is the smallest share above 0. It yields the answers from which other
	// domains are known.
	minShare = 0.02
	// unknownShare limits the share while no answer of another domain is known, and
	// answerShare is added for each one that is. While other domains are full as well,
	// few flows find that out.
	unknownShare = 0.1
	answerShare  = 0.1
	// maxStep limits the time for which a share rises by one error.
	maxStep = 250 * time.Millisecond
	// minStep is the interval of the integration.
	minStep = 50 * time.Millisecond
)

// step ages what is known and moves the share.
func (c *Controller) step(now time.Duration) {
	elapsed := now - c.steppedAt
	c.steppedAt = now
	c.home.work.age(elapsed, homeMemory)
	c.remoteWork.age(elapsed, remoteMemory)
	for i := range c.remote {
		c.remote[i].work.age(elapsed, remoteMemory)
	}
	if c.base == 0 {
		return
	}
	c.followBase(elapsed)
	home := c.home.work.shrunk(c.base, 1)
	remote, slots := c.updateAllowed(now, home)
	if slots == 0 || c.home.slots == 0 {
		c.share = 0
		return
	}
	c.integrate(elapsed, c.base/remote-c.base/home, slots)
}

// followBase moves base to the shortest mean, quickly down and slowly up.
func (c *Controller) followBase(elapsed time.Duration) {
	for _, work := range [...]average{c.home.work, c.remoteWork} {
		if work.weight < baseAnswers {
			continue
		}
		memory := baseRise
		if work.mean < c.base {
			memory = baseFall
		}
		c.base += (work.mean - c.base) * float64(elapsed) / float64(elapsed+memory)
	}
}

// updateAllowed decides which domains flows may leave for: those that can be reached
// and answer sooner than home, the cost of leaving included. It returns the mean time of
// these, or the lowest time if there are none, and the slots of all that can be reached.
func (c *Controller) updateAllowed(now time.Duration, home float64) (remote float64, slots int) {
	pooled := c.remoteWork.shrunk(c.base, basePrior)
	lowest, sum, allowedSlots := math.Inf(1), 0.0, 0
	for i := range c.remote {
		d := &c.remote[i]
		if d.slots == 0 || now < d.cutOffUntil {
			c.setAllowed(d, false)
			continue
		}
		cost := d.work.shrunk(pooled, pooledPrior) + c.distance(d)*c.roundTrips
		known := d.work.weight >= excludeAnswers
		c.setAllowed(d, !known || cost < home || d.allowed && cost < home+float64(reserve))
		slots += d.slots
		lowest = min(lowest, cost)
		if d.allowed {
			sum += cost * float64(d.slots)
			allowedSlots += d.slots
		}
	}
	remote = lowest
	if allowedSlots > 0 {
		remote = sum / float64(allowedSlots)
	}
	return remote + float64(reserve), slots
}

// distance returns the additional round trip to a domain.
func (c *Controller) distance(d *domain) float64 {
	if d.roundTrip == 0 || c.home.roundTrip == 0 {
		return float64(unknownDistance)
	}
	return max(0, d.roundTrip-c.home.roundTrip)
}

// integrate moves the share by the error for the elapsed time.
func (c *Controller) integrate(elapsed time.Duration, excess float64, slots int) {
	most := float64(slots) / float64(slots+c.home.slots)
	c.share = min(c.share, most)
	if c.share == 0 && excess < startError || math.Abs(excess) < holdError {
		return
	}
	if excess > 0 {
		elapsed = min(elapsed, maxStep)
	}
	excess = min(max(excess, -maxError), maxError)
	share := c.share + gain*excess*elapsed.Seconds()
	if excess < 0 && share < minShare {
		c.share = 0
		return
	}
	if excess > 0 {
		known := unknownShare + answerShare*c.remoteWork.weight
		share = min(share, max(known, c.share))
	}
	c.share = min(max(share, minShare), most)
}
