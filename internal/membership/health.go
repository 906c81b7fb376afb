package membership

import "time"

// The changes of the health score. Each point adds the base timeout once more.
const (
	maxHealthScore = 4
	// scoreAnswered applies to a ping that was acknowledged in time.
	scoreAnswered = -1
	// scoreIndirect applies to a ping that was acknowledged late or only
	// indirectly.
	scoreIndirect = 2
	// scoreIsolated applies to a failed probe for which none of the hosts that
	// were asked to ping sent a receipt either.
	scoreIsolated = 2
	// scoreSuspected applies when other hosts suspect this one.
	scoreSuspected = 1
)

// health estimates this host's own ability to send and receive in time.
type health struct {
	score int
}

func (h *health) add(points int) {
	h.score = min(max(h.score+points, 0), maxHealthScore)
}

// scale multiplies a timeout by one plus the score.
func (h *health) scale(d time.Duration) time.Duration {
	return d * time.Duration(1+h.score)
}
