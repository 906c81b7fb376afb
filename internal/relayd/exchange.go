package relayd

import (
	"context"
	"time"

	"toucangap/internal/outlier"
)

// exchangeInterval is how often failure reports are exchanged with the traffic
// goroutine: several times within the timeout of a caller's request.
const exchangeInterval = 100 * time.Millisecond

// exchange passes failure reports of the failure domain's hosts between the
// traffic goroutine and the feeds.
type exchange struct {
	host       string
	clock      *clock
	traffic    *traffic
	aggregator *outlier.Aggregator
}

// Receive implements feed.Exchange.
func (x *exchange) Receive(host string, list []outlier.Report) {
	x.aggregator.SetReports(x.clock.Monotonic(), host, list)
}

// ReportsFor implements feed.Exchange.
func (x *exchange) ReportsFor(host string) []outlier.Report {
	return x.aggregator.ReportsOfOthers(x.clock.Monotonic(), host)
}

// ReportAdded implements feed.Exchange.
func (x *exchange) ReportAdded(host string) <-chan struct{} { return x.aggregator.ReportAdded(host) }

// run passes reports in both directions until the context ends.
func (x *exchange) run(ctx context.Context) {
	// exchanged means that there were reports in the last round; one more round
	// replaces them by empty lists.
	exchanged := false
	for ctx.Err() == nil {
		sleep(ctx, exchangeInterval)
		others := x.ReportsFor(x.host)
		if !x.traffic.newFailures.Swap(false) && len(others) == 0 && !exchanged {
			continue
		}
		var own []outlier.Report
		x.traffic.do(func() {
			now := x.clock.Monotonic()
			x.traffic.relay.SetFailureReports(now, others)
			own = x.traffic.relay.FailureReports(now)
		})
		x.aggregator.SetReports(x.clock.Monotonic(), x.host, own)
		exchanged = len(others) > 0 || len(own) > 0
	}
}
