package traffic

import (
	"time"

	"toucangap/internal/flow"
	"toucangap/internal/steer"
)

// Decider returns verdicts on the packets of one shard. It is called only from
// the shard's goroutine and must not retain p.
type Decider interface {
	Packet(now time.Duration, p *steer.Packet) steer.Verdict
}

// FlowClassifier provides what readers need to know about a flow to decode its
// packets and choose their shard. It must be safe for concurrent use. The
// fingerprint of a flow must not change while the flow exists, since it determines
// the flow's shard.
type FlowClassifier interface {
	Fingerprint(key flow.Key) flow.Fingerprint
	// ReadsRequests reports whether the service's requests are parsed.
	ReadsRequests(key flow.Key) bool
}

// Task is work that another goroutine submits to a shard. It runs on the shard's
// goroutine between batches, so it may use the shard's Decider and the shard's
// Return and Reply. The argument now is the time as returned by Config.Now.
type Task interface {
	Run(now time.Duration)
}
