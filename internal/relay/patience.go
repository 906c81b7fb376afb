package relay

import "time"

// The bounds of the wait for a reaction to a first packet.
const (
	// firstPatience is used until reactions have been seen: several times the
	// usual round trip between caller, host and endpoint.
	firstPatience = 25 * time.Millisecond
	// leastPatience covers a host that is a little late in reading.
	leastPatience = 6 * time.Millisecond
	// mostPatience is half of the time after which callers repeat a first packet.
	mostPatience = 100 * time.Millisecond
	// patienceMargin is added for timers that fire late.
	patienceMargin = 2 * time.Millisecond
)

// patience estimates how long a reaction to a first packet takes, by the
// estimator of TCP's retransmission timer (RFC 6298): mean plus four times the
// mean deviation.
type patience struct {
	mean      time.Duration
	deviation time.Duration
}

func newPatience() patience { return patience{} }

// add takes the time that one reaction took.
func (p *patience) add(took time.Duration) {
	if p.mean == 0 {
		p.mean, p.deviation = took, took/2
		return
	}
	difference := took - p.mean
	p.mean += difference / 8
	if difference < 0 {
		difference = -difference
	}
	p.deviation += (difference - p.deviation) / 4
}

// wait returns how long to wait for a reaction.
func (p *patience) wait() time.Duration {
	if p.mean == 0 {
		return firstPatience
	}
	return min(max(p.mean+4*p.deviation+patienceMargin, leastPatience), mostPatience)
}
