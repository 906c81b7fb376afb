package relayd

import (
	"context"
	"time"

	"toucangap/internal/sighting"
)

// exchangeInterval is how often failure reports are exchanged with the traffic
// goroutine: several times within a caller's timeout.
const exchangeInterval = 100 * time.Millisecond

// exchange passes failure reports of the failure domain's hosts between the
// traffic goroutine and the feeds.
type exchange struct {
	host    string
	clock   *clock
	traffic *traffic
	board   *sighting.Board
}

// Receive implements feed.Exchange.
func (x *exchange) Receive(host string, list []sighting.Sighting) {
	x.board.Put(x.clock.Monotonic(), host, list)
}

// ReportsFor implements feed.Exchange.
func (x *exchange) ReportsFor(host string) []sighting.Sighting {
	return x.board.Others(x.clock.Monotonic(), host)
}

// Added implements feed.Exchange.
func (x *exchange) Added(host string) <-chan struct{} { return x.board.Added(host) }

// run passes reports in both directions until the context ends.
func (x *exchange) run(ctx context.Context) {
	exchanged := false
	for ctx.Err() == nil {
		sleep(ctx, exchangeInterval)
		others := x.ReportsFor(x.host)
		if !x.traffic.failures.Swap(false) && len(others) == 0 && !exchanged {
			continue
		}
		var own []sighting.Sighting
		x.traffic.do(func() {
			now := x.clock.Monotonic()
			x.traffic.relay.Hear(now, others)
			own = x.traffic.relay.Sightings(now)
		})
		x.board.Put(x.clock.Monotonic(), x.host, own)
		exchanged = len(others) > 0 || len(own) > 0
	}
}
