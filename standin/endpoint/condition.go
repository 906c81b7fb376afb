package endpoint

import (
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"
)

// ErrUnknownCommand is returned for a command with an unknown verb.
var ErrUnknownCommand = merry.Sentinel("unknown command")

// Verb is the name of a command.
type Verb string

// The commands.
const (
	// Drain refuses new flows but keeps serving open ones.
	Drain Verb = "drain"
	// Undrain accepts new flows again.
	Undrain Verb = "undrain"
	// Slow multiplies service times by Factor, which counts as at least 1.
	Slow Verb = "slow"
	// Cold slows the next 20 requests down, as after a cold start.
	Cold Verb = "cold"
	// Shed refuses every request; Unshed ends that.
	Shed   Verb = "shed"
	Unshed Verb = "unshed"
	// Silence drops the packets of Flow, or of all flows if Flow is unset;
	// Unsilence ends that for all flows.
	Silence   Verb = "silence"
	Unsilence Verb = "unsilence"
	// Crash discards all flows and requests, and drops all packets until
	// Restart, which ends all faults and starts cold.
	Crash   Verb = "die"
	Restart Verb = "return"
)

// Command changes the behavior of one endpoint, or of all endpoints of a
// service if Endpoint is empty.
type Command struct {
	Service  string `json:"service"`
	Endpoint string `json:"endpoint"`
	Verb     Verb   `json:"verb"`
	// Factor is the service time factor for Slow.
	Factor float64 `json:"factor,omitempty"`
	// Flow is the caller's address and port for Silence.
	Flow netip.AddrPort `json:"flow,omitzero"`
}

const (
	// coldRequests is the number of slow requests after a start.
	coldRequests = 20
	// coldFactor multiplies the service times of slow requests after a start.
	coldFactor   = 3
	normalFactor = 1
)

// Condition is the health of an endpoint and its simulated faults.
type Condition struct {
	Draining bool `json:"draining"`
	Shedding bool `json:"shedding"`
	// Silent tells that the packets of all flows are dropped.
	Silent bool `json:"silent"`
	Dead   bool `json:"dead"`
	// Factor multiplies service times; at least 1.
	Factor float64 `json:"factor"`
	// ColdRequestsLeft is the number of slow requests left after a cold start.
	ColdRequestsLeft int `json:"cold_requests_left"`

	// silentFlows holds the callers whose packets are dropped.
	silentFlows map[netip.AddrPort]bool
}

func newCondition() Condition {
	return Condition{
		Factor:           normalFactor,
		ColdRequestsLeft: coldRequests,
		silentFlows:      make(map[netip.AddrPort]bool),
	}
}

// apply executes a command.
func (c *Condition) apply(command Command) error {
	switch command.Verb {
	case Drain, Undrain:
		c.Draining = command.Verb == Drain
	case Shed, Unshed:
		c.Shedding = command.Verb == Shed
	case Slow:
		c.Factor = max(command.Factor, normalFactor)
	case Cold:
		c.ColdRequestsLeft = coldRequests
	case Silence:
		c.silence(command.Flow)
	case Unsilence:
		c.Silent = false
		clear(c.silentFlows)
	case Crash:
		c.Dead = true
	case Restart:
		*c = newCondition()
	default:
		return merry.Appendf(ErrUnknownCommand, "%q", command.Verb)
	}
	return nil
}

func (c *Condition) silence(flow netip.AddrPort) {
	if flow.IsValid() {
		c.silentFlows[flow] = true
		return
	}
	c.Silent = true
}

// drops reports whether packets from and to a caller are dropped.
func (c *Condition) drops(caller netip.AddrPort) bool {
	return c.Dead || c.Silent || c.silentFlows[caller]
}

// serviceTimeFactor returns the service time factor of the next request, which it
// counts if the endpoint is cold.
func (c *Condition) serviceTimeFactor() float64 {
	if c.ColdRequestsLeft == 0 {
		return c.Factor
	}
	c.ColdRequestsLeft--
	return c.Factor * coldFactor
}

// Config configures the capacity and speed of an endpoint.
type Config struct {
	// Slots is the number of concurrent requests.
	Slots int
	// Queue is the maximum number of requests waiting for a slot.
	Queue int
	// MaxFlows is the maximum number of open flows; more are refused.
	MaxFlows int
	// ServiceTime is the mean service time of a request.
	ServiceTime time.Duration
	// Seed seeds all random choices.
	Seed uint64
}

// DefaultConfig returns the parameters of the users' present endpoints.
func DefaultConfig() Config {
	return Config{Slots: 2, Queue: 16, MaxFlows: 2000, ServiceTime: 5 * time.Millisecond}
}
