package relay

import (
	"time"

	"toucangap/internal/balance"
	"toucangap/internal/catalog"
)

// Drop is the reason for dropping a packet without an answer.
type Drop uint8

// The reasons for dropping a packet.
const (
	DropLooped Drop = iota
	DropNoConfiguration
	DropNoToken
	DropUnknownEndpoint
	DropForeignService
	DropNoRoute
	DropEnded
	dropReasons
)

var dropNames = [dropReasons]string{
	"looped", "no_configuration", "no_token", "unknown_endpoint", "foreign_service", "no_route", "ended",
}

// String returns the reason's name in logs and metrics.
func (d Drop) String() string { return dropNames[d] }

// Rejection is the reason for resetting a flow.
type Rejection uint8

// The reasons for resetting a flow.
const (
	// RejectNoRoute: the configuration has no route to the address.
	RejectNoRoute Rejection = iota
	// RejectNoEndpoint: no endpoint of the route's services takes new flows.
	RejectNoEndpoint
	// RejectOverload: the answer is expected after the caller's timeout.
	RejectOverload
	// RejectDeadEndpoint: the flow's endpoint is considered dead.
	RejectDeadEndpoint
	// RejectRouteRemoved: a configuration removed the flow's route.
	RejectRouteRemoved
	rejections
)

var rejectionNames = [rejections]string{
	"no_route", "no_endpoint", "overload", "dead_endpoint", "route_removed",
}

// String returns the reason's name in logs and metrics.
func (r Rejection) String() string { return rejectionNames[r] }

// Placement is a decision on a SYN and the data that it was based on.
type Placement struct {
	Flow     catalog.Flow
	Route    string
	Service  string
	Endpoint *catalog.Entry
	// Try counts from 1; Retransmissions is how many copies of the SYN the caller
	// sent before.
	Try             int
	Retransmissions uint32
	// Waited is the time since the SYN was first forwarded.
	Waited  time.Duration
	Choice  balance.Choice
	Version uint64
	// Revision is that of the view.
	Revision uint64
}

// Ending is a flow that its caller closed or that was idle.
type Ending struct {
	Flow     catalog.Flow
	Route    string
	Endpoint *catalog.Entry
	// Lasted is the time since the SYN or since the host first saw the flow.
	Lasted time.Duration
	// Answered is set if all requests that were seen had at least the beginning
	// of an answer.
	Answered bool
	// Cause is "fin", "reset" or "idle".
	Cause string
}

// Observer is notified of each decision. Its methods must not block.
type Observer interface {
	Placed(now time.Duration, p Placement)
	Rejected(now time.Duration, p Placement, reason Rejection)
	Dropped(now time.Duration, f catalog.Flow, reason Drop)
	Ended(now time.Duration, e Ending)
	// Adopted: a flow that another host placed is seen for the first time.
	Adopted(now time.Duration, f catalog.Flow, e *catalog.Entry)
	// Contested: a caller's packet names an endpoint that does not hold its
	// flow.
	Contested(now time.Duration, f catalog.Flow, holder *catalog.Entry, named catalog.Token)
	// Suspected: no handshake ACK followed a SYN sent to the endpoint.
	Suspected(now time.Duration, f catalog.Flow, e *balance.Endpoint, waited time.Duration)
	Recovered(now time.Duration, e *balance.Endpoint)
	// FailingChanged: an endpoint began or ceased to fail requests; share is how
	// much of them it fails in excess of its service.
	FailingChanged(now time.Duration, e *balance.Endpoint, failing bool, share float64)
	// Accepted and Answered report durations for histograms.
	Accepted(took time.Duration)
	Answered(took time.Duration)
}

// Stats holds the relay's counters since its start.
type Stats struct {
	Packets           int64
	Forwarded         int64
	Placed            int64
	FailedOver        int64
	Adopted           int64
	Contested         int64
	Evicted           int64
	RetransmittedSYNs int64
	Unanswered        int64
	// Failed counts requests without an answer or with an undersized one.
	Failed     int64
	Drops      [dropReasons]int64
	Rejections [rejections]int64
	// Flows is the current size of the flow table.
	Flows int64
}
