package relay

import (
	"time"

	"toucangap/internal/backlog"
	"toucangap/internal/balance"
	"toucangap/internal/catalog"
)

// Drop is the reason for dropping a packet without an answer.
type Drop uint8

// The reasons for dropping a packet.
const (
	// DropLooped: a host has already forwarded the packet.
	DropLooped Drop = iota
	// DropNoConfiguration: the host has no configuration yet.
	DropNoConfiguration
	// DropNoToken: a packet of an unknown flow carries no token.
	DropNoToken
	// DropUnknownEndpoint: the token of an unknown flow names no known endpoint.
	DropUnknownEndpoint
	// DropForeignService: the token of an unknown flow names an endpoint of a
	// service that the route does not allow.
	DropForeignService
	// DropNoRoute: a reset or a packet without data is for an address without a
	// route.
	DropNoRoute
	// DropEnded is not used.
	DropEnded
	// DropLagging: a SYN for which there is no endpoint has waited in this host's socket.
	// Another host may have forwarded a copy of it meanwhile, so it is not reset.
	DropLagging
	// DropMoved: a copy of a held SYN is missing, so another host may have forwarded it, or the
	// flow is known to be open.
	DropMoved
	// DropEvacuated: a SYN had no handshake ACK, its endpoint's domain was evacuated since,
	// and no other endpoint takes it. The flow may have opened there, so it is not reset.
	DropEvacuated
	// DropCold: a copy of a SYN without a handshake ACK can only go to an endpoint that is
	// cold and not allowed at this host. The flow may have opened there, so it is not reset.
	DropCold
	dropReasons
)

var dropNames = [dropReasons]string{
	"looped", "no_configuration", "no_token", "unknown_endpoint", "foreign_service", "no_route", "ended", "lagging", "moved", "evacuated",
	"cold",
}

// String returns the reason's name in logs and metrics.
func (d Drop) String() string { return dropNames[d] }

// Rejection is the reason for sending a reset to a caller, instead of placing a
// new flow or to end an open one.
type Rejection uint8

// The reasons for sending a reset.
const (
	// RejectNoRoute: the configuration has no route to the address.
	RejectNoRoute Rejection = iota
	// RejectNoEndpoint: no endpoint of the route's services takes new flows.
	RejectNoEndpoint
	// RejectOverload: the answer is expected after the caller's timeout.
	RejectOverload
	// RejectDeadEndpoint: the flow's endpoint is considered dead.
	RejectDeadEndpoint
	// RejectRouteRemoved: a packet with data arrived for an open or unknown flow
	// whose address has no route any more.
	RejectRouteRemoved
	// RejectCold: all endpoints that are left are cold, and this host may not send the flow
	// to any of them.
	RejectCold
	// RejectUnreachableDomain: the failure domain of the flow's endpoint is unreachable, and
	// the request may be repeated.
	RejectUnreachableDomain
	rejections
)

var rejectionNames = [rejections]string{
	"no_route", "no_endpoint", "overload", "dead_endpoint", "route_removed", "cold",
	"unreachable_domain",
}

// String returns the reason's name in logs and metrics.
func (r Rejection) String() string { return rejectionNames[r] }

// Placement is a decision on a SYN, or to reset a flow, with the data that it was
// based on. Fields that do not apply are zero.
type Placement struct {
	Flow     catalog.Flow
	Route    string
	Service  string
	Endpoint *catalog.Entry
	// Try counts from 1; Retransmissions is how many copies of the SYN the caller
	// sent before.
	Try             int
	Retransmissions uint32
	// Waited is the time since the host first saw the flow, RequestWaited that since the
	// request of an open flow was sent for the first time.
	Waited        time.Duration
	RequestWaited time.Duration
	// Held is set if the flow was held before; Class is then why it was the next one.
	Held   bool
	Class  backlog.Class
	Choice balance.Choice
	// Version is that of the configuration, Position that of the view.
	Version  uint64
	Position catalog.Position
}

// Ending is a flow that its caller closed or that has reached a time limit.
type Ending struct {
	Flow     catalog.Flow
	Route    string
	Endpoint *catalog.Entry
	// Lasted is the time since the SYN or since the host first saw the flow.
	Lasted time.Duration
	// Answered is set if no request was waiting when the flow ended. A request that
	// was abandoned before is no longer waiting.
	Answered bool
	// Cause is "fin", "reset" or, for the idle timeout and the maximum lifetime,
	// "idle".
	Cause string
}

// Observer is notified of each decision. Its methods must not block.
type Observer interface {
	// Placed: a SYN was forwarded to an endpoint chosen for it, at first or at
	// failover.
	Placed(now time.Duration, p Placement)
	// Rejected: a reset was sent to the caller.
	Rejected(now time.Duration, p Placement, reason Rejection)
	// Dropped: a packet was dropped without an answer.
	Dropped(now time.Duration, f catalog.Flow, reason Drop)
	// Ended: a flow was closed by its caller or has reached a time limit.
	Ended(now time.Duration, e Ending)
	// TakenOver: a flow without state on this host was added by a packet after its
	// SYN.
	TakenOver(now time.Duration, f catalog.Flow, e *catalog.Entry)
	// OpenElsewhere: a flow whose SYN is unanswered at this host is open at an endpoint, as
	// another host has reported.
	OpenElsewhere(now time.Duration, f catalog.Flow, holder *catalog.Entry)
	// Contested: a caller's packet names an endpoint that does not hold its
	// flow.
	Contested(now time.Duration, f catalog.Flow, holder *catalog.Entry, named catalog.Token)
	// Suspected: a SYN sent to the endpoint is unanswered, that is, no handshake ACK
	// followed within the handshake timeout.
	Suspected(now time.Duration, f catalog.Flow, e *balance.Endpoint, waited time.Duration)
	// Recovered: an endpoint with unanswered SYNs has shown that it is alive.
	Recovered(now time.Duration, e *balance.Endpoint)
	// PresumedCold: an endpoint counts as cold for a span, unless a later entry says
	// otherwise, since it did not answer a SYN whose caller was waiting, or responds again
	// after that.
	PresumedCold(now time.Duration, e *balance.Endpoint, span time.Duration, responds bool)
	// FailingChanged: an endpoint began or ceased to fail requests; share is its
	// ExcessFailureShare.
	FailingChanged(now time.Duration, e *balance.Endpoint, failing bool, share float64)
	// Accepted reports the time from a SYN to its handshake ACK, if the endpoint
	// tried first accepted, Answered the time from a request to the first bytes of
	// its answer.
	Accepted(took time.Duration)
	Answered(took time.Duration)
}

// Stats holds the relay's counters since its start.
type Stats struct {
	// Packets counts packets received, Forwarded those sent to endpoints, including
	// SYNs sent again at failover.
	Packets   int64
	Forwarded int64
	// Placed counts new flows, FailedOver the SYNs sent to another endpoint.
	Placed     int64
	FailedOver int64
	// Held counts the new flows that had to wait for room at the endpoints, Released those
	// that were forwarded then, by why they were the next ones.
	Held     int64
	Released [backlog.Classes]int64
	// Diverted counts new flows of services some of whose endpoints were left out since
	// their failure domain is evacuated.
	Diverted int64
	// LastResort counts new flows that went to evacuated endpoints, since the host was
	// isolated with them.
	LastResort int64
	// PlacedCold counts the SYNs sent to cold endpoints of services with a limit,
	// PresumedCold the times that one counted as cold since it did not answer SYNs.
	PlacedCold   int64
	PresumedCold int64
	// DomainsLost counts the times that a failure domain became unreachable.
	DomainsLost int64
	// TakenOver counts flows added by a packet after their SYN.
	TakenOver int64
	// OpenElsewhere counts flows that are open by the report of another host.
	OpenElsewhere int64
	// Contested counts packets that name another endpoint than their flow's.
	Contested int64
	// AcceptanceCopies counts SYNs sent again to endpoints that may have accepted a flow
	// which another one holds.
	AcceptanceCopies int64
	// Evicted counts flows removed because the table was full.
	Evicted           int64
	RetransmittedSYNs int64
	// AbandonedRequests counts requests whose callers gave up: no answer came within
	// the caller's timeout, or the caller closed the flow after more than the
	// route's target.
	AbandonedRequests int64
	// Failed counts the requests that count as failed: overdue or abandoned ones,
	// ones with an undersized answer, and ones whose SYN was unanswered at maxTries
	// endpoints.
	Failed     int64
	Drops      [dropReasons]int64
	Rejections [rejections]int64
	// Flows is the current size of the flow table.
	Flows int64
}
