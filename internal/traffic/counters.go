package traffic

import (
	"sync/atomic"

	"toucangap/internal/packet"
	"toucangap/internal/steer"
)

// reasonCount is the number of reasons, ReasonNone included.
var reasonCount = len(steer.Reasons()) + 1

// Counters holds totals since the process started.
type Counters struct {
	// Received counts datagrams read.
	Received int64
	// Forwarded, Returned, Passed and Replied count packets sent to endpoints,
	// endpoint packets sent to the fabric, packets sent to peers and generated replies.
	Forwarded, Returned, Passed, Replied int64
	// QueueFull counts packets dropped because a shard's queue was full or no
	// frame was free.
	QueueFull int64
	// ReadErrors counts failed reads, SendErrors datagrams that could not be
	// sent.
	ReadErrors, SendErrors int64
	// UnbuiltReplies counts replies that could not be built.
	UnbuiltReplies int64
	// Defects counts drops by packet.Defect.
	Defects [packet.DefectCount]int64
	// Drops and Replies count verdicts, indexed by steer.Reason.
	Drops, Replies []int64
}

// counters holds the counts of one goroutine. Other goroutines read them; the
// padding prevents false sharing.
type counters struct {
	received, forwarded, returned, passed, replied    atomic.Int64
	queueFull, readErrors, sendErrors, unbuiltReplies atomic.Int64
	defects                                           [packet.DefectCount]atomic.Int64
	drops, replies                                    []atomic.Int64
	_                                                 [cacheLine]byte
}

// cacheLine is the size of a cache line in bytes.
const cacheLine = 64

func newCounters() *counters {
	return &counters{
		drops:   make([]atomic.Int64, reasonCount),
		replies: make([]atomic.Int64, reasonCount),
	}
}

// addTo adds the counters to the totals in t.
func (c *counters) addTo(t *Counters) {
	t.Received += c.received.Load()
	t.Forwarded += c.forwarded.Load()
	t.Returned += c.returned.Load()
	t.Passed += c.passed.Load()
	t.Replied += c.replied.Load()
	t.QueueFull += c.queueFull.Load()
	t.ReadErrors += c.readErrors.Load()
	t.SendErrors += c.sendErrors.Load()
	t.UnbuiltReplies += c.unbuiltReplies.Load()
	for i := range c.defects {
		t.Defects[i] += c.defects[i].Load()
	}
	for i := range c.drops {
		t.Drops[i] += c.drops[i].Load()
		t.Replies[i] += c.replies[i].Load()
	}
}

// countReason increments the counter of a reason. An unknown reason counts as
// ReasonNone.
func countReason(counts []atomic.Int64, r steer.Reason) {
	if int(r) >= len(counts) {
		r = steer.ReasonNone
	}
	counts[r].Add(1)
}
