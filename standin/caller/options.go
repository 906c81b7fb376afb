// Package caller simulates the users' callers: it opens many flows to all
// services, sends requests, checks every answer, and finally compares the
// answers with the requests that the endpoints ran.
package caller

import (
	"net/netip"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"toucangap/standin/fabric"
)

// Options configures a run.
type Options struct {
	// Run is the prefix of request IDs; it keeps runs against the same
	// endpoints apart.
	Run string
	// Seed seeds every random choice.
	Seed uint64
	// Duration is how long requests are sent.
	Duration time.Duration
	// MaxRequests limits the requests of the run.
	MaxRequests int
	// Rate is the number of CoAP requests per second to each UDP service.
	Rate float64
	// Flows is the number of concurrent CoAP flows to each UDP service.
	Flows int
	// FlowRequests is the mean number of requests per CoAP flow; the number is
	// uniformly distributed from 1 to twice the mean.
	FlowRequests int
	// PostShare is the fraction of CoAP requests that are not idempotent
	// (POST). Requests on TCP connections never are.
	PostShare float64
	// Deadline is how long a CoAP caller waits for an answer; each request
	// carries it.
	Deadline time.Duration
	// AckTimeout is ACK_TIMEOUT of RFC 7252, section 4.8.
	AckTimeout time.Duration
	// Streams is the number of connections to each TCP service, and
	// StreamInterval the time between requests on a connection.
	Streams        int
	StreamInterval time.Duration
	// Window is the time between two measurements of the imbalance.
	Window time.Duration
	// BrokenLimit and UnknownLimit are the numbers of broken flows and of
	// requests with an unknown outcome that are allowed.
	BrokenLimit, UnknownLimit int
	// PlannedUntil is the time of the first unplanned fault; before it, no flow
	// may break and no outcome may be unknown. 0 disables the check.
	PlannedUntil time.Duration
	// Drained lists endpoints that must not receive new flows.
	Drained []Drained
	// BlockPeriods lists the times at which the fabric drops all packets to a
	// host.
	BlockPeriods []BlockPeriod
	// Dump is the address at which the results so far are served over HTTP. The
	// zero AddrPort means not at all.
	Dump       netip.AddrPort
	Impairment fabric.Impairment
}

// Drained is an endpoint that receives no new flows after a given time.
type Drained struct {
	Service, Endpoint string
	// From is relative to the start of the run.
	From time.Duration
}

// BlockPeriod is a time during which the fabric drops all packets from callers
// to a host.
type BlockPeriod struct {
	// Host is the host's name in the topology.
	Host string
	// From is relative to the start of the run.
	From, Length time.Duration
}

// ErrBlockPeriod is returned for a malformed BlockPeriod.
var ErrBlockPeriod = merry.Sentinel("malformed cut, want HOST@TIME+TIME")

// ParseBlockPeriod parses the form HOST@TIME+TIME, the start and the length. It
// fails with ErrBlockPeriod.
func ParseBlockPeriod(text string) (BlockPeriod, error) {
	host, times, found := strings.Cut(text, "@")
	start, length, both := strings.Cut(times, "+")
	from, err := time.ParseDuration(start)
	lasting, err2 := time.ParseDuration(length)
	if !found || !both || err != nil || err2 != nil {
		return BlockPeriod{}, merry.Appendf(ErrBlockPeriod, "%q", text)
	}
	return BlockPeriod{Host: host, From: from, Length: lasting}, nil
}

// ErrDrained is returned for a malformed Drained.
var ErrDrained = merry.Sentinel("malformed drained endpoint, want SERVICE/ENDPOINT@TIME")

// ParseDrained parses the form SERVICE/ENDPOINT@TIME. It fails with ErrDrained.
func ParseDrained(text string) (Drained, error) {
	name, after, found := strings.Cut(text, "@")
	service, endpoint, named := strings.Cut(name, "/")
	from, err := time.ParseDuration(after)
	if !found || !named || err != nil {
		return Drained{}, merry.Appendf(ErrDrained, "%q", text)
	}
	return Drained{Service: service, Endpoint: endpoint, From: from}, nil
}

// DefaultOptions returns the options of a short run at a low rate.
func DefaultOptions() Options {
	return Options{
		Run: "demo", Seed: 1,
		Duration: 10 * time.Second, MaxRequests: 100_000,
		Rate: 100, Flows: 60, FlowRequests: 30, PostShare: 0.4,
		Deadline: 6 * time.Second, AckTimeout: 500 * time.Millisecond,
		Streams: 60, StreamInterval: 500 * time.Millisecond,
		Window: 2 * time.Second,
	}
}
