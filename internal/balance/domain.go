package balance

import "time"

// Parameters of considering a failure domain unreachable.
const (
	// MinDomainEndpoints is the number of endpoints whose unanswered packets make their
	// failure domain unreachable. Smaller domains are left to the detection of single
	// endpoints.
	MinDomainEndpoints = 4
	// maxDomainEndpoints is the number needed while many packets are lost.
	maxDomainEndpoints = 8
	// chanceOfLosses is the probability that losses alone leave the packets of the needed
	// endpoints unanswered, one after the other.
	chanceOfLosses = 1e-6
	// missedSmoothing is the weight of one packet in the share of unanswered ones.
	missedSmoothing = 1.0 / 64
	// minUnreachableSpan is the least time between the first and the last of the packets:
	// networks often lose packets in bursts.
	minUnreachableSpan = 40 * time.Millisecond
	// evidenceWindow is how long evidence counts that has not been enough: a host with
	// few requests would otherwise add up single losses of minutes.
	evidenceWindow = 3 * time.Second
	// evidenceFresh is how long after the last evidence flows are reset. Later packets
	// are forwarded, and show whether the domain is still unreachable.
	evidenceFresh = time.Second
	// domainTrialInterval is the least time between new flows that test whether a domain
	// is reachable again.
	domainTrialInterval = 200 * time.Millisecond
)

// Domain is one host's observations of a failure domain's endpoints together. A domain
// that loses power or is partitioned is detected with the packets of few of its
// endpoints, long before each of them is considered dead.
type Domain struct {
	Name string
	// Endpoints counts the known endpoints.
	Endpoints int

	// lastAlive is when an endpoint last showed that it is alive, reached the latest time
	// at which a packet was sent that an endpoint has certainly answered.
	lastAlive time.Duration
	reached   time.Duration
	// missed is the share of packets that were unanswered of late; missedBefore is its
	// value before the evidence began.
	missed, missedBefore float64
	// unanswered holds the distinct endpoints that left packets unanswered since one was
	// last alive, the first and last of them sent at first and last. notedAt is when the
	// last one was recorded.
	unanswered  [maxDomainEndpoints]*Endpoint
	count       int
	first, last time.Duration
	notedAt     time.Duration
	unreachable bool
	// trialAt is when the next new flow may go to an endpoint of the unreachable domain.
	trialAt time.Duration
}

// RecordAlive records a sign of life of an endpoint of the domain. It reports whether the
// domain was unreachable before.
func (d *Domain) RecordAlive(now time.Duration) (recovered bool) {
	if d == nil {
		return false
	}
	d.lastAlive = now
	recovered = d.unreachable
	if d.count > 0 {
		d.Reset()
	}
	return recovered
}

// RecordReached records that an endpoint has answered a packet sent at the given time.
func (d *Domain) RecordReached(sent time.Duration) {
	if d == nil {
		return
	}
	d.reached = max(d.reached, sent)
	d.missed -= missedSmoothing * d.missed
}

// ReachedSince reports whether an endpoint has answered a packet sent after the first of
// the other domain's unanswered ones, so that the host itself is not cut off.
func (d *Domain) ReachedSince(other *Domain) bool { return d.reached >= other.first }

// RecordUnanswered records that an endpoint left a packet, sent at the given time,
// unanswered, although its caller was waiting. It reports whether the evidence suffices
// to consider the domain unreachable.
func (d *Domain) RecordUnanswered(now, sent time.Duration, e *Endpoint) (enough bool) {
	if !d.unreachable {
		if d.count > 0 && sent > d.first+evidenceWindow {
			d.Reset()
		}
		if d.count == 0 {
			d.missedBefore = d.missed
		}
		d.missed += missedSmoothing * (1 - d.missed)
	}
	if sent <= d.lastAlive {
		// The domain was reachable since; this packet was lost.
		return false
	}
	if d.count == 0 {
		d.first, d.last = sent, sent
	}
	d.notedAt = now
	d.first, d.last = min(d.first, sent), max(d.last, sent)
	if d.count < maxDomainEndpoints && !contains(d.unanswered[:d.count], e) {
		d.unanswered[d.count] = e
		d.count++
	}
	return d.unreachable || d.count >= d.needed() && d.last-d.first >= minUnreachableSpan
}

// needed returns the number of endpoints needed as evidence.
func (d *Domain) needed() int {
	n, chance := 1, d.missedBefore
	for n < maxDomainEndpoints && (n < MinDomainEndpoints || chance > chanceOfLosses) {
		n++
		chance *= d.missedBefore
	}
	return n
}

// SetUnreachable considers the domain unreachable from now on.
func (d *Domain) SetUnreachable(now time.Duration) {
	d.unreachable = true
	d.trialAt = now + domainTrialInterval
}

// Unreachable reports whether the domain is considered unreachable.
func (d *Domain) Unreachable() bool { return d != nil && d.unreachable }

// UnreachableSince reports whether the domain is considered unreachable, and a packet
// sent at the given time or later was found unanswered of late. Otherwise the domain may
// have come back before that time.
func (d *Domain) UnreachableSince(now, since time.Duration) bool {
	return d.Unreachable() && d.last >= since && now <= d.notedAt+evidenceFresh
}

// Since returns when the first of the unanswered packets was sent, and the number of
// endpoints that left packets unanswered.
func (d *Domain) Since() (first time.Duration, endpoints int) { return d.first, d.count }

// Avoided reports whether new flows avoid the domain's endpoints now: it is considered
// unreachable, and no trial is due.
func (d *Domain) Avoided(now time.Duration) bool { return d.Unreachable() && now < d.trialAt }

// chosenForTrial records that a new flow tests the domain.
func (d *Domain) chosenForTrial(now time.Duration) {
	if d.Unreachable() {
		d.trialAt = now + domainTrialInterval
	}
}

// Reset discards the evidence.
func (d *Domain) Reset() {
	clear(d.unanswered[:])
	d.count, d.unreachable = 0, false
}
