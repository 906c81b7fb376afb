package relay

import (
	"time"

	"toucangap/internal/balance"
)

// A reset can't be taken back, and many things look like the end of an endpoint to one
// host: a cut path, a full endpoint, lost packets. A flow is therefore reset only if its
// own request is unanswered, too, and by packets sent since that request. Without them the
// flow's next packet is forwarded, as it is the best test of the endpoint.

// testEndpoint lets new flows test the endpoint of a flow whose request was sent again
// without effect, so that enough is known of it while the caller still waits.
func (r *Relay) testEndpoint(now time.Duration, f *flow) {
	if !r.lagging && !r.options.Disabled.DeathDetection && !f.endpoint.AliveSince(f.requestAt) {
		f.endpoint.StartTrials(now)
	}
}

// deadSearchInterval is the least time between searches of the flow table for flows of dead
// endpoints, however many have ended together.
const deadSearchInterval = 50 * time.Millisecond

// recordUnanswered notes that an endpoint left a packet, sent at the given time,
// unanswered, although its caller was waiting. If the endpoint now counts as dead, the
// flows are reset that wait at one that does; those left are with their next copy.
func (r *Relay) recordUnanswered(now time.Duration, e *balance.Endpoint, sent time.Duration) {
	if r.lagging || !e.RecordUnanswered(sent) || e.Busy == 0 || now < r.deadSearchFrom {
		return
	}
	r.deadSearchFrom = now + deadSearchInterval
	for _, f := range r.flows {
		if f.state == stateOpen && r.endpointDead(f) {
			r.resetFlow(now, f, RejectDeadEndpoint)
		}
	}
}

// endpointDead reports whether the flow's endpoint is considered dead since the flow's
// request was sent, and has left a copy of that request unanswered as well.
func (r *Relay) endpointDead(f *flow) bool {
	return !r.options.Disabled.DeathDetection && f.copyUnanswered() && f.endpoint.DeadSince(f.requestAt)
}

// copyUnanswered reports whether the caller has sent its request a third time. An endpoint
// may take long for an answer, but acknowledges a copy at once.
func (f *flow) copyUnanswered() bool { return f.waiting && f.repeatGap >= minRepeatGap }
