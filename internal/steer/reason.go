package steer

// Reason says why a packet was dropped or a flow or request was ended.
type Reason uint8

// The reasons.
const (
	ReasonNone Reason = iota
	// ReasonNoService: no service advertises the packet's destination.
	ReasonNoService
	// ReasonNoBundle: the packet arrived before any bundle was in force.
	ReasonNoBundle
	// ReasonNoEndpoint: no endpoint takes new flows.
	ReasonNoEndpoint
	// ReasonNoFlow: an answer belongs to an unknown flow. No decision gives this
	// reason: such answers are passed to another host or returned to the caller.
	ReasonNoFlow
	// ReasonWrongEndpoint: an answer came from another endpoint than the flow's.
	ReasonWrongEndpoint
	// ReasonLateAnswer: an answer came after the caller got a final reply.
	ReasonLateAnswer
	// ReasonEndpointGone: the flow's endpoint has left the bundle or is dead.
	ReasonEndpointGone
	// ReasonSilent: the flow's endpoint answers other flows but not this one.
	ReasonSilent
	// ReasonDeadline: a request could not be answered by its deadline.
	ReasonDeadline
	// ReasonOverload: a request exceeds the admission limits.
	ReasonOverload
	// ReasonFlowLimit: a flow exceeds the host's flow limit.
	ReasonFlowLimit
	// ReasonOwnerLease: a request must wait until the former owner's lease
	// expires.
	ReasonOwnerLease
	// ReasonFinal: a retransmitted request already had its final reply.
	ReasonFinal
	// ReasonNoOwner: the host knows of no owner yet.
	ReasonNoOwner
	// ReasonUnconfirmed: a non-idempotent request belongs to a flow whose
	// endpoint another host might compute differently.
	ReasonUnconfirmed
	reasonCount
)

// reasonNames are used in dumps, metrics and logs.
var reasonNames = [reasonCount]string{
	"none", "no-service", "no-bundle", "no-endpoint", "no-flow", "wrong-endpoint",
	"late-answer", "endpoint-gone", "silent", "deadline", "overload", "flow-limit",
	"owner-lease", "final", "no-owner", "unconfirmed",
}

// String returns the reason's name.
func (r Reason) String() string {
	if r >= reasonCount {
		return "unknown"
	}
	return reasonNames[r]
}

// Reasons returns all reasons but ReasonNone.
func Reasons() []Reason {
	out := make([]Reason, 0, reasonCount-1)
	for r := ReasonNone + 1; r < reasonCount; r++ {
		out = append(out, r)
	}
	return out
}
