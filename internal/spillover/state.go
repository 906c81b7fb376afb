package spillover

import "time"

// State is a snapshot of a controller. Times that are not known are 0.
type State struct {
	// Share is the share of new flows that leaves.
	Share float64
	// Home and Remote are the mean times to answer without the round trip, at most
	// maxRatio times as long as an answer that did not wait.
	Home   time.Duration
	Remote time.Duration
	// HomeAge and RemoteAge are the times since the last answers.
	HomeAge   time.Duration
	RemoteAge time.Duration
	// Closed lists the domains that no flow may leave for, though they have slots.
	Closed []string
}

// State returns a snapshot.
func (c *Controller) State(now time.Duration) State {
	s := State{Share: c.share, Home: time.Duration(c.home.work.mean), Remote: time.Duration(c.remoteWork.mean)}
	s.HomeAge = age(now, c.home.answeredAt)
	var last time.Duration
	for i := range c.remote {
		d := &c.remote[i]
		last = max(last, d.answeredAt)
		if d.slots > 0 && !d.allowed {
			s.Closed = append(s.Closed, d.name)
		}
	}
	s.RemoteAge = age(now, last)
	return s
}

// age returns the time since an answer, 0 if there was none.
func age(now, answeredAt time.Duration) time.Duration {
	if answeredAt == 0 {
		return 0
	}
	return now - answeredAt
}
