package relayd

import (
	"context"
	"time"

	"toucangap/internal/sighting"
)

// exchangeInterval is how often what this host has seen of endpoints and what it
// has heard are brought together: a few times within what a caller waits.
const exchangeInterval = 100 * time.Millisecond

// exchange passes what hosts of the failure domain have seen of endpoints
// between the traffic goroutine and the feeds.
type exchange struct {
	host    string
	clock   *clock
	traffic *traffic
	board   *sighting.Board
}

// Told implements feed.Exchange.
func (x *exchange) Told(host string, list []sighting.Sighting) {
	x.board.Put(x.clock.Steady(), host, list)
}

// Tell implements feed.Exchange.
func (x *exchange) Tell(host string) []sighting.Sighting {
	return x.board.Others(x.clock.Steady(), host)
}

// Added implements feed.Exchange.
func (x *exchange) Added(host string) <-chan struct{} { return x.board.Added(host) }

// run brings both sides together until the context ends.
func (x *exchange) run(ctx context.Context) {
	told := false
	for ctx.Err() == nil {
		sleep(ctx, exchangeInterval)
		others := x.Tell(x.host)
		if !x.traffic.failures.Swap(false) && len(others) == 0 && !told {
			continue
		}
		var own []sighting.Sighting
		x.traffic.ask(func() {
			now := x.clock.Steady()
			x.traffic.relay.Hear(now, others)
			own = x.traffic.relay.Sightings(now)
		})
		x.board.Put(x.clock.Steady(), x.host, own)
		told = len(others) > 0 || len(own) > 0
	}
}
