package membership

import (
	"math"
	"net/netip"
	"time"
)

// The defaults of Options, and the limits of every instance.
const (
	defaultPeriod             = 200 * time.Millisecond
	defaultAckTimeout         = 80 * time.Millisecond
	defaultIndirectTimeout    = 120 * time.Millisecond
	defaultIndirectProbes     = 3
	defaultSuspicionPeriods   = 4
	defaultPauseThreshold     = 500 * time.Millisecond
	defaultNoDeathsAfterPause = 2 * time.Second
	defaultContactInterval    = time.Second
	defaultDeadRetention      = 10 * time.Minute

	// TickInterval is how often Tick has to be called.
	TickInterval = 40 * time.Millisecond
	// MaxProbeBytes is the largest encoded Probe in bytes. With the tag that
	// package udp may put in front, a datagram has at most 1,200 bytes.
	MaxProbeBytes = 1184

	// maxIncarnation is above all incarnations that are accepted, so that they
	// never wrap around. It leaves room for the wall clock in nanoseconds.
	maxIncarnation = 1 << 62
	// gossipRate and gossipBurst limit the bytes of gossip updates, per second
	// and at once.
	gossipRate  = 300
	gossipBurst = 400
	// syncRate and syncBurst limit the bytes spent on reconciling views, per
	// second and at once.
	syncRate  = 200
	syncBurst = 600
	// syncDelay is how long the view has to be unchanged before it is
	// reconciled with a differing one, since gossip updates may do it;
	// maxSyncDelay bounds how long reconciling is put off.
	syncDelay    = time.Second
	maxSyncDelay = 3 * time.Second
	// extraRate and extraBurst limit the datagrams besides one ping a period
	// and the acks, per second and at once.
	extraRate  = 20
	extraBurst = 12
	// maxRoundTrip is the longest round trip that a host's timeouts adapt to.
	maxRoundTrip = time.Second
	// maxLatePings bounds the failed pings whose late acks are still awaited.
	maxLatePings = 64
	// relayDatagrams is the cost of an indirect probe for another host:
	// receipt, ping and forwarded ack.
	relayDatagrams = 3
	// retransmitFactor times the binary logarithm of the group's size is how
	// often an update is sent.
	retransmitFactor = 3
	// maxUpdates bounds the queue of updates to be sent.
	maxUpdates = 256
	// announceFanout is the number of hosts told immediately about a change of
	// this host's own state.
	announceFanout = 3
	// maxRelays bounds the pings in progress on behalf of others.
	maxRelays = 64
	// maxSuspectPings bounds the extra pings to suspected hosts per period.
	maxSuspectPings = 3
	// maxUnknownSenders bounds the unknown senders that are pinged for their
	// description.
	maxUnknownSenders = 32
	// maxContactTries bounds the pings to one unknown sender.
	maxContactTries = 3
)

// Options configures Members. Zero fields take the defaults.
type Options struct {
	// Period is the time between two probes. Default 200 ms.
	Period time.Duration
	// AckTimeout is how long to wait for an ack before other hosts are asked to
	// ping the target. Default 80 ms.
	AckTimeout time.Duration
	// IndirectTimeout is how long to wait for indirect acks. Default 120 ms.
	IndirectTimeout time.Duration
	// IndirectProbes is the number of hosts asked to ping the target. Default
	// 3.
	IndirectProbes int
	// SuspicionPeriods is the number of periods from a suspicion to a confirmed
	// death in a group of up to ten hosts; it grows with the decimal logarithm
	// of the group's size. Default 4.
	SuspicionPeriods int
	// PauseThreshold is the gap between two calls above which the process
	// counts as having been paused. Default 500 ms.
	PauseThreshold time.Duration
	// NoDeathsAfterPause is how long no death is confirmed after a pause.
	// Default 2 s.
	NoDeathsAfterPause time.Duration
	// ContactInterval is the time between pings to dead and unknown hosts.
	// Default 1 s.
	ContactInterval time.Duration
	// DeadRetention is how long dead and left hosts are remembered. Default 10
	// min.
	DeadRetention time.Duration
	// Seeds are probe addresses of hosts to join through.
	Seeds []netip.AddrPort

	// disableIndirect turns off indirect probes, for tests that compare.
	disableIndirect bool
}

func (o Options) withDefaults() Options {
	setDefault(&o.Period, defaultPeriod)
	setDefault(&o.AckTimeout, defaultAckTimeout)
	setDefault(&o.IndirectTimeout, defaultIndirectTimeout)
	setDefault(&o.IndirectProbes, defaultIndirectProbes)
	setDefault(&o.SuspicionPeriods, defaultSuspicionPeriods)
	setDefault(&o.PauseThreshold, defaultPauseThreshold)
	setDefault(&o.NoDeathsAfterPause, defaultNoDeathsAfterPause)
	setDefault(&o.ContactInterval, defaultContactInterval)
	setDefault(&o.DeadRetention, defaultDeadRetention)
	return o
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// suspicion returns the time from a suspicion to a confirmed death at a host
// with health score 0.
func (o Options) suspicion(hosts int) time.Duration {
	base := time.Duration(o.SuspicionPeriods) * o.Period
	scale := max(1, math.Log10(float64(hosts)))
	return time.Duration(float64(base) * scale)
}
