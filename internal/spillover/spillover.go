// Package spillover decides which share of a service's new flows leaves the host's
// failure domain. It reads no clock: all times are passed in, from one monotonic clock.
//
// Each host decides alone, from the answers of its own requests. It answers a load
// that differs between domains for some seconds: a wave of demand, or callers that
// move from one domain to another.
package spillover

import (
	"math"
	"slices"
	"time"

	"toucangap/internal/rendezvous"
)

// Parameters of what is known of other domains.
const (
	// cutOffSYNs is the number of consecutive unanswered SYNs after which a domain counts
	// as cut off. A single dead endpoint is not hit that often in a row.
	cutOffSYNs = 3
	// minCutOff is how long no flow goes to a domain that is cut off. The time doubles
	// with each further unanswered SYN, up to maxCutOff.
	minCutOff = time.Second
	maxCutOff = 8 * time.Second
	// unknownDistance is the additional round trip that is assumed until it was measured.
	unknownDistance = 5 * time.Millisecond
	// minRoundTrips are those of the handshake, and of the request with the first part of
	// the answer.
	minRoundTrips = 2.0
	// windowBytes is what an endpoint sends of an answer in one round trip: 16 packets
	// of 1,200 bytes.
	windowBytes = 16 * 1200
)

// domain is what is known of a failure domain.
type domain struct {
	name  string
	slots int
	// work averages the times of answers without the round trip, in nanoseconds.
	work average
	// roundTrip averages the times of handshakes in nanoseconds, 0 if there was none.
	roundTrip float64
	// unanswered counts consecutive unanswered SYNs.
	unanswered  int
	cutOffUntil time.Duration
	// answeredAt is when the last answer was recorded, 0 if there was none.
	answeredAt time.Duration
	// allowed is set if flows may leave for the domain.
	allowed bool
}

// Controller decides for one service. The zero value is not usable; see New.
type Controller struct {
	home domain
	// remote holds the other domains with usable slots, and those that had some before.
	remote []domain
	// remoteWork averages the answers of all other domains.
	remoteWork average
	// base is the time of an answer that did not wait, without the round trip, in
	// nanoseconds; 0 until baseAnswers were seen.
	base float64
	// roundTrips averages the round trips that a flow needs.
	roundTrips float64

	share     float64
	steppedAt time.Duration
	// revision rises with each change of the allowed domains.
	revision uint64
}

// New returns a controller for a host of the given failure domain, which knows nothing.
func New(home string) *Controller {
	return &Controller{home: domain{name: home}, roundTrips: minRoundTrips}
}

// Clone returns a copy that shares no state.
func (c *Controller) Clone() *Controller {
	clone := *c
	clone.remote = slices.Clone(c.remote)
	return &clone
}

// Reset discards what was learned of present loads, after a time in which the host itself
// has delayed answers. The base and the distances stay: they change slowly, and a base
// that is learned under load is too long.
func (c *Controller) Reset() {
	c.home.forget()
	for i := range c.remote {
		c.remote[i].forget()
	}
	c.remoteWork, c.share = average{}, 0
}

// forget discards what was learned of a domain's load.
func (d *domain) forget() {
	d.work, d.answeredAt = average{}, 0
	d.unanswered, d.cutOffUntil = 0, 0
}

// ClearSlots sets the number of usable slots of all domains to 0, before AddSlots.
func (c *Controller) ClearSlots() {
	c.home.slots = 0
	for i := range c.remote {
		c.remote[i].slots = 0
	}
	c.revision++
}

// AddSlots adds usable slots of a domain.
func (c *Controller) AddSlots(name string, n int) {
	d := c.domain(name)
	if d == nil {
		c.remote = append(c.remote, domain{name: name, allowed: true})
		d = &c.remote[len(c.remote)-1]
	}
	d.slots += n
}

// domain returns a domain, or nil if it never had slots.
func (c *Controller) domain(name string) *domain {
	if name == c.home.name {
		return &c.home
	}
	for i := range c.remote {
		if c.remote[i].name == name {
			return &c.remote[i]
		}
	}
	return nil
}

// RecordHandshake records the time from a SYN to its handshake ACK.
func (c *Controller) RecordHandshake(name string, took time.Duration) {
	d := c.domain(name)
	if d == nil {
		return
	}
	d.unanswered, d.cutOffUntil = 0, 0
	if d.roundTrip == 0 {
		d.roundTrip = float64(took)
		return
	}
	d.roundTrip += roundTripSmoothing * (float64(took) - d.roundTrip)
}

// RecordAnswer records the time from a request to its answer. Times beyond the route's
// target count as the target: they are equally late.
func (c *Controller) RecordAnswer(now time.Duration, name string, took, target time.Duration) {
	if d := c.domain(name); d != nil {
		c.recordTime(now, d, took, target)
	}
}

// RecordLate records a request whose answer comes late or not at all. Requests that
// were sent to a domain before it was cut off say nothing about its endpoints.
func (c *Controller) RecordLate(now time.Duration, name string, target time.Duration) {
	if d := c.domain(name); d != nil && d.unanswered < cutOffSYNs {
		c.recordTime(now, d, target, target)
	}
}

func (c *Controller) recordTime(now time.Duration, d *domain, took, target time.Duration) {
	d.answeredAt = now
	work := max(0, float64(min(took, target))-d.roundTrip)
	if c.base == 0 {
		d.work.add(work, homeWeight)
		if d.work.weight >= baseAnswers {
			// After a start under load all answers have waited.
			c.base = min(d.work.mean, float64(target)*maxBaseShare)
		}
		return
	}
	c.addWork(d, min(work, maxRatio*c.base))
}

// RecordUnanswered records a SYN that had no handshake ACK in time: the endpoint has
// refused it, is dead, or can't be reached. It counts like a late answer.
func (c *Controller) RecordUnanswered(now time.Duration, name string) {
	d := c.domain(name)
	if d == nil {
		return
	}
	if c.base > 0 {
		c.addWork(d, maxRatio*c.base)
	}
	d.unanswered++
	if d == &c.home || d.unanswered < cutOffSYNs {
		return
	}
	pause := min(minCutOff<<min(d.unanswered-cutOffSYNs, 8), maxCutOff)
	d.cutOffUntil = now + pause
	d.work, d.roundTrip = average{}, 0
	c.setAllowed(d, false)
	c.remoteWork = average{}
	for i := range c.remote {
		c.remoteWork.merge(c.remote[i].work, remoteWeight)
	}
}

// RecordSize records the size of an answer.
func (c *Controller) RecordSize(bytes uint32) {
	needed := minRoundTrips - 1 + max(1, math.Ceil(float64(bytes)/windowBytes))
	c.roundTrips += sizeSmoothing * (needed - c.roundTrips)
}

func (c *Controller) addWork(d *domain, work float64) {
	if d == &c.home {
		d.work.add(work, homeWeight)
		return
	}
	d.work.add(work, remoteWeight)
	c.remoteWork.add(work, remoteWeight)
}

func (c *Controller) setAllowed(d *domain, allowed bool) {
	if d.allowed != allowed {
		d.allowed = allowed
		c.revision++
	}
}

// Share returns the share of new flows that leaves.
func (c *Controller) Share() float64 { return c.share }

// Revision returns a number that rises when the slots or the allowed domains change.
func (c *Controller) Revision() uint64 { return c.revision }

// CutOff reports whether a domain counts as cut off.
func (c *Controller) CutOff(now time.Duration, name string) bool {
	d := c.domain(name)
	return d != nil && now < d.cutOffUntil
}

// Distance returns the additional round trip to a domain.
func (c *Controller) Distance(name string) time.Duration {
	d := c.domain(name)
	if d == nil || d == &c.home {
		return 0
	}
	return time.Duration(c.distance(d))
}

// Home reports whether the domain is the host's.
func (c *Controller) Home(name string) bool { return name == c.home.name }

// Allowed reports whether flows may leave for a domain.
func (c *Controller) Allowed(name string) bool {
	d := c.domain(name)
	return d != nil && d != &c.home && d.allowed && d.slots > 0
}

// Leaves reports whether the flow with the hash leaves. The hash alone decides, so that
// the hosts that get copies of a SYN agree as far as their shares do.
func (c *Controller) Leaves(now time.Duration, hash uint64) bool {
	if now-c.steppedAt >= minStep {
		c.step(now)
	}
	return c.share > 0 && uniform(hash) < c.share
}

// uniform maps a flow's hash to [0, 1) independently of the route's services and of the
// order of endpoints.
func uniform(hash uint64) float64 {
	return float64(rendezvous.Mix(hash+rendezvous.Increment)>>11) / (1 << 53)
}
