package steer

import (
	"time"

	"toucangap/internal/config"
)

// Time is a host's monotonic time since an arbitrary start. Times of two hosts
// are never compared.
type Time = time.Duration

// The time bounds that hosts rely on to agree on owners and outcomes.
const (
	// MaxPacketDelay bounds the network delay of a packet between a caller and a
	// host.
	MaxPacketDelay = 250 * time.Millisecond
	// RetransmitWindow bounds how long a caller retransmits one request: the
	// MAX_TRANSMIT_SPAN of RFC 7252 (45 s) and the packet delays around it.
	RetransmitWindow = 60 * time.Second
	// TakeoverWindow is how long a new owner assumes that a flow which it has not
	// seen yet is at its default endpoint in the former owner's table.
	TakeoverWindow = 60 * time.Second
	// drainReplicationTime bounds how long hosts take to replicate the records
	// of an endpoint's flows after it began to drain.
	drainReplicationTime = 2500 * time.Millisecond
	// JoinGrace is how long a host that has joined passes packets of unknown
	// flows to the former owner.
	JoinGrace = 5 * time.Second
)

// The bounds for detecting unanswered flows.
const (
	// silentTimeout is how long a flow may go unanswered while its endpoint answers
	// other flows.
	silentTimeout = 4 * time.Second
	// silentMinPackets is how many of the caller's packets must be unanswered.
	silentMinPackets = 3
	// deadFlowTimeout is how long a flow may go unanswered while its endpoint is
	// dead, that is, answers no flow for deadAfterUnanswered.
	deadFlowTimeout = 10 * time.Second
	// unansweredMemory is how long a flow's unanswered packets count after its caller has
	// sent one: what was lost before a pause says nothing about the packet after it. TCP
	// and CoAP send again sooner until deadFlowTimeout has passed.
	unansweredMemory = 20 * time.Second
	// answersOthersWithin is how recently the endpoint must have answered
	// another flow.
	answersOthersWithin = time.Second
)

// The parameters of load balancing.
const (
	// dormantTimeout is how long a UDP flow may be idle before it no longer
	// counts as open.
	dormantTimeout = 20 * time.Second
	// rampTime is how long a new endpoint takes to reach its full share.
	rampTime = 20 * time.Second
	// rampInitialFactor is the part of its share that a new endpoint starts
	// with.
	rampInitialFactor = 0.1
	// slowRatio is the ratio of an endpoint's service time to the median from
	// which its share is reduced.
	slowRatio = 1.5
	// slowMinFactor is the smallest factor on the share of a slow endpoint.
	slowMinFactor = 0.2
	// overloadFactor is the factor on the share of an endpoint that sheds load,
	// or reports to be full and has not answered within reportValidity.
	overloadFactor = 0.5
	// reportValidity is how long an endpoint's load report counts, and how long
	// an answer of the endpoint contradicts it.
	reportValidity = 10 * time.Second
	// serviceTimeSmoothing is the weight of one sample in the moving average of
	// an endpoint's service time.
	serviceTimeSmoothing = 0.1
	// deadAfterUnanswered is how long an endpoint may answer no flow while
	// packets await answers before it gets no new flows.
	deadAfterUnanswered = 3 * time.Second
	// probeInterval is the time between probes of a dead endpoint with one flow.
	probeInterval = 5 * time.Second
)

// The bounds on requests.
const (
	// queueFactor bounds the open requests of an endpoint to its slots times
	// this factor.
	queueFactor = 8
	// minRetryAfter and maxRetryAfter bound the retry delay of refused requests.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
	// urgentReserve is the share of the host's request rate that is reserved for
	// the urgent class.
	urgentReserve = 0.25
)

// tolerance returns how far above the mean load, as a share of it, the default
// endpoint may be before a new flow gets another endpoint.
func tolerance(p config.BalancePolicy) float64 {
	if p == config.BalanceEven {
		return 0.04
	}
	return 0.12
}

// flowSlack returns how many flows above the mean an endpoint may always hold.
func flowSlack(p config.BalancePolicy) float64 {
	if p == config.BalanceEven {
		return 1
	}
	return 2
}
