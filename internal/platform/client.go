// Package platform is the client of the platform's key-value service, spoken
// through the JSON gateway of etcd's API version 3 over HTTP. It offers typed
// reads, compare-and-swap, leases and watches. Every call has a deadline,
// retries are jittered and capped by a retry budget, and a call-rate budget
// rejects calls rather than queuing them. Reads are retried by the client; a
// write whose response was lost is reported as ErrOutcomeUnknown, and the code
// that made it has to find out the outcome.
//
// The client is for hosts that run package engine and for the command-line
// client. Hosts that run package relayd use the Store of package
// toucangap/platform, which has another protocol.
package platform

import (
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

// The defaults of Options.
const (
	// DefaultTimeout bounds one attempt of a call.
	DefaultTimeout = 500 * time.Millisecond
	// DefaultCallsPerSecond is the sustained rate of one client.
	DefaultCallsPerSecond = 10.0
	// DefaultCallBurst is the number of calls that may come at once.
	DefaultCallBurst = 40
	// DefaultWatchIdle is how long a watch may receive nothing before it is
	// reopened, in case its connection was lost without an error.
	DefaultWatchIdle = 3 * time.Second
)

// The bounds of the exponential backoff between attempts.
const (
	initialBackoff = 50 * time.Millisecond
	// MaxBackoff is the longest wait between two attempts at a call, a watch or a
	// conditional write.
	MaxBackoff = 2 * time.Second
	// maxAttempts bounds the attempts of one call, the first one included.
	maxAttempts = 4
)

// Options configure a Client. Addresses, Clock and Rand are required.
type Options struct {
	// Addresses of the gateway; the client uses one until a request to it fails,
	// then the next.
	Addresses []netip.AddrPort
	// Prefix precedes every key.
	Prefix string
	// Timeout bounds one attempt; 0 means DefaultTimeout.
	Timeout time.Duration
	// CallsPerSecond bounds the rate of calls. A retry counts as one, and the
	// opening of a watch as one per range; 0 means DefaultCallsPerSecond.
	CallsPerSecond float64
	// CallBurst is the size of the token bucket of calls; 0 means
	// DefaultCallBurst.
	CallBurst int
	// WatchIdle bounds the time without messages on a watch; 0 means DefaultWatchIdle.
	WatchIdle time.Duration
	Clock     Clock
	// Rand jitters the backoff; only the client may use it from then on.
	Rand *rand.Rand
	// Transport carries calls; nil means NewTransport.
	Transport http.RoundTripper
	// WatchTransport carries watches, each of which occupies a connection; nil
	// means NewTransport.
	WatchTransport http.RoundTripper
}

// Client talks to the platform. It is safe for concurrent use.
type Client struct {
	options Options
	calls   http.RoundTripper
	watches http.RoundTripper

	mu      sync.Mutex
	rand    *rand.Rand
	budget  callBudget
	retries retryBudget
	// current is the index of the address in use.
	current int
	stats   Stats
}

// Stats counts what the client did since it started.
type Stats struct {
	// Calls is the number of calls admitted by the call-rate budget, including
	// retries; opening a watch counts one per range.
	Calls int64 `json:"calls"`
	// Retries is the number of retries among them.
	Retries int64 `json:"retries"`
	// Failures is the number of requests that got no usable response: none, one
	// with a status from 500 on, or one that can't be decoded.
	Failures int64 `json:"failures"`
	// Refused is the number of calls rejected by the call-rate budget.
	Refused int64 `json:"refused"`
	// Unknown is the number of writes that ended in ErrOutcomeUnknown.
	Unknown int64 `json:"unknown_outcomes"`
}

// New returns a client. It fails when a required option is missing; it does not
// connect.
func New(options Options) (*Client, error) {
	if len(options.Addresses) == 0 {
		return nil, merry.New("platform client needs an address")
	}
	if options.Clock == nil || options.Rand == nil {
		return nil, merry.New("platform client needs a clock and a random source")
	}
	options = withDefaults(options)
	return &Client{
		options: options,
		calls:   options.Transport,
		watches: options.WatchTransport,
		rand:    options.Rand,
		budget:  newCallBudget(options.CallsPerSecond, options.CallBurst, options.Clock.Now()),
		retries: retryBudget{tokens: maxRetryTokens},
	}, nil
}

func withDefaults(options Options) Options {
	if options.Timeout == 0 {
		options.Timeout = DefaultTimeout
	}
	if options.CallsPerSecond == 0 {
		options.CallsPerSecond = DefaultCallsPerSecond
	}
	if options.CallBurst == 0 {
		options.CallBurst = DefaultCallBurst
	}
	if options.WatchIdle == 0 {
		options.WatchIdle = DefaultWatchIdle
	}
	if options.Transport == nil {
		options.Transport = NewTransport()
	}
	if options.WatchTransport == nil {
		options.WatchTransport = NewTransport()
	}
	return options
}

// NewTransport returns a transport that opens at most one connection per
// address.
func NewTransport() *http.Transport {
	return &http.Transport{
		MaxConnsPerHost:     1,
		MaxIdleConnsPerHost: 1,
		DisableCompression:  true,
	}
}

// SetCallRate changes the sustained rate of calls, in calls per second.
func (c *Client) SetCallRate(perSecond float64) {
	now := c.options.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budget.setRate(perSecond, now)
}

// Clock returns the clock that the client uses.
func (c *Client) Clock() Clock {
	return c.options.Clock
}

// Stats returns the counts so far.
func (c *Client) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}

// Jitter returns a random duration between d/2 and d.
func (c *Client) Jitter(d time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return d/2 + time.Duration(c.rand.Int64N(int64(d/2)+1))
}

// Backoff returns the jittered wait after the given number of consecutive
// failures, which doubles from 50 ms up to the given maximum.
func (c *Client) Backoff(failures int, maxWait time.Duration) time.Duration {
	wait := initialBackoff
	for range failures - 1 {
		if wait >= maxWait {
			break
		}
		wait *= 2
	}
	wait = min(wait, maxWait)
	return c.Jitter(wait)
}

// admit takes one call from the call-rate budget, or returns ErrBudgetExhausted.
func (c *Client) admit() error {
	now := c.options.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.budget.take(now) {
		c.stats.Refused++
		return merry.Wrap(ErrBudgetExhausted)
	}
	c.stats.Calls++
	return nil
}

// admitRetry takes one retry from the retry budget and reports whether there
// was one.
func (c *Client) admitRetry() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.retries.take() {
		return false
	}
	c.stats.Retries++
	return true
}

// recordSuccess credits the retry budget.
func (c *Client) recordSuccess() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retries.earn()
}

// recordFailure counts a failure at the address and switches to the next one,
// unless another call already did so.
func (c *Client) recordFailure(address int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Failures++
	if c.current == address {
		c.current = (address + 1) % len(c.options.Addresses)
	}
}

// recordUnknownOutcome counts a write with an unknown outcome.
func (c *Client) recordUnknownOutcome() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Unknown++
}

// address returns the current address and its index.
func (c *Client) address() (netip.AddrPort, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.options.Addresses[c.current], c.current
}
