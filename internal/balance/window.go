package balance

import "time"

// Parameters of Window.
const (
	// congestedRatio is the ratio of an answer time to the uncongested one from which
	// the answer counts as congested: the request waited as long as it ran.
	congestedRatio = 2.0
	// targetSlackShare is the share of the time between an uncongested answer and the
	// route's target that a wait at the endpoint may take.
	targetSlackShare = 1.0 / 3
	// congestionSmoothing is the weight of an answer in the share of congested ones.
	congestionSmoothing = 1.0 / 8
	// congestedShare is the share of congested answers that closes the window.
	congestedShare = 0.5
	// firstAnswers is the number of answers, after a start, from which the
	// uncongested time is taken: endpoints were idle until then.
	firstAnswers = 5
	// growth is the part of the lowest limit by which the limit grows within an answer
	// time without congestion, shrinkage the multiple of what exceeds the lowest limit by
	// which it would fall within one in which all answers are congested.
	growth    = 0.25
	shrinkage = 2.0
	// minShrinkage is the least part of shrinkage, so that the lowest limit is reached.
	minShrinkage = 0.1
	// minLimit keeps answers coming, from which the window learns.
	minLimit = 2
	// baseDrift is the weight of a congested answer in the uncongested time while the
	// limit is at its lowest: then it is not this host's requests that wait. It takes
	// longer than a surge.
	baseDrift = 0.005
	// baseRiseTime bounds the rise of the uncongested time if SteadyBase is set, to a
	// factor of e in this time. It exceeds bursts by several times, so that their queues
	// are not taken for the usual time, and slower work is still learned.
	baseRiseTime = 30 * time.Second
	// openAfter is how long no limit may have been needed until the window opens.
	openAfter = time.Second
)

// Window limits the requests of one service that a host lets wait for answers at a
// time, while the service's endpoints are congested. It answers surges: after an
// outage callers retransmit and retry together, endpoints queue more than they can
// answer within the target, and nearly every answer is late, though enough slots for
// all new requests are there. Requests beyond the limit wait at the host, which can
// choose their order. Hosts learn of congestion from answer times alone, without
// messages: the limit falls with congested answers, but not below the host's share
// of the slots, so that no slot stays unused, and rises with others. Outside
// congestion there is no limit.
//
// The increase is additive and the decrease multiplicative, so that the limits of hosts
// with the same need become equal: hosts come back from an outage one by one, and those
// that found free slots must not keep them from the others.
//
// It follows concurrency limits by measured delay (Jain 1989; TCP Vegas, Brakmo and
// Peterson 1995).
type Window struct {
	// SteadyBase bounds how fast the uncongested time rises. Without it, a queue that
	// builds up gradually, at a load slightly above the capacity, raises that time
	// along with the answers, so that none counts as congested and there is no limit.
	SteadyBase bool
	// closed is set while there is a limit.
	closed bool
	limit  float64
	// neededAt is when the limit last held a request back.
	neededAt time.Duration
	// base is the answer time without congestion; samples counts answers, up to
	// firstAnswers.
	base    float64
	samples int
	// answeredAt is when the last answer was recorded.
	answeredAt time.Duration
	// congested is the moving share of congested answers.
	congested float64
}

// NewWindow returns a window that is closed: after a start nothing is known of the
// requests that other hosts let wait.
func NewWindow(now time.Duration) Window { return Window{closed: true, neededAt: now} }

// Full reports whether one more request has to wait at the host, given the requests
// that wait for answers and the host's share of the service's slots.
func (w *Window) Full(now time.Duration, inFlight int, share float64) bool {
	if !w.closed {
		return false
	}
	if float64(inFlight) < w.Limit(share) {
		return false
	}
	w.neededAt = now
	return true
}

// Closed reports whether there is a limit.
func (w *Window) Closed() bool { return w.closed }

// Limit returns how many requests may wait for answers while there is a limit, given
// the host's share of the slots.
func (w *Window) Limit(share float64) float64 { return max(w.limit, share, minLimit) }

// RecordAnswer records the time to a request's answer, which was not an error, and
// the target of its route.
func (w *Window) RecordAnswer(now, took, target time.Duration, inFlight int, share float64) {
	before, since := w.base, now-w.answeredAt
	w.answeredAt = now
	if w.samples < firstAnswers {
		w.samples++
		w.base += (float64(took) - w.base) / float64(w.samples)
		return
	}
	congested := float64(took) > w.threshold(target)
	w.congested *= 1 - congestionSmoothing
	if congested {
		w.congested += congestionSmoothing
	}
	lowest := max(share, minLimit)
	w.limit = w.Limit(share)
	switch {
	case !w.closed && w.congested > congestedShare:
		w.closed, w.limit, w.neededAt = true, max(lowest, float64(inFlight)), now
	case w.closed && now-w.neededAt > openAfter && w.congested <= congestedShare:
		w.closed = false
	case w.closed && congested:
		if w.limit <= lowest {
			w.base += baseDrift * (float64(took) - w.base)
		}
		w.limit = max(lowest, w.limit-shrinkage*max(minShrinkage, (w.limit-lowest)/w.limit))
	case w.closed && float64(inFlight) >= w.limit-1:
		w.limit += growth * lowest / w.limit
	}
	if !congested {
		w.base += serviceSmoothing * (float64(took) - w.base)
	}
	if w.SteadyBase {
		w.base = min(w.base, before*(1+float64(since)/float64(baseRiseTime)))
	}
}

// Uncongested returns the answer time without congestion, the given one if that is not
// known yet.
func (w *Window) Uncongested(usual time.Duration) time.Duration {
	if w.samples < firstAnswers {
		return usual
	}
	return time.Duration(w.base)
}

// Congested reports whether an answer time counts as congested; none does until the
// uncongested time is known.
func (w *Window) Congested(took, target time.Duration) bool {
	return w.samples >= firstAnswers && float64(took) > w.threshold(target)
}

// threshold returns the answer time from which an answer is congested.
func (w *Window) threshold(target time.Duration) float64 {
	slack := max(0, float64(target)-w.base) * targetSlackShare
	return max(min(congestedRatio*w.base, w.base+slack), (1+congestedRatio)/2*w.base)
}
