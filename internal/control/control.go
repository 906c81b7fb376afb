// Package control implements the protocol by which the hosts of a group
// coordinate: flow ownership, replication of records, leases during which a peer
// admits no requests of the holder's flows, joining and leaving, and the bundle
// version whose default endpoints apply.
//
// A Control does no I/O and is not safe for concurrent use. Membership changes,
// bundles, peers' messages, shards' results and the time are passed to methods;
// Tick returns messages to peers, commands to shards and the host's own state.
package control

import (
	"maps"
	"slices"

	"toucangap/internal/config"
	"toucangap/internal/flow"
	"toucangap/internal/peerpb"
	"toucangap/internal/rollout"
	"toucangap/internal/steer"
)

// Time is the monotonic time since the host's start.
type Time = steer.Time

// Options configures a Control.
type Options struct {
	// Shards is the number of traffic shards.
	Shards int
	// Shared is the state that all shards share.
	Shared *steer.Shared
}

// Send is a message for one peer.
type Send struct {
	Host    string
	Message *peerpb.Envelope
}

// Output is what has to be carried out after a call to Tick.
type Output struct {
	Sends []Send
	// Commands holds one command per shard, by shard number. The shards' results
	// must be passed to Report.
	Commands []steer.Command
	// State is the state that the host should announce to its peers.
	State config.HostState
	// Offers holds the peers' announcements of their bundles in force.
	Offers []Offer
	// FetchedBundles holds signed bundles from peers that are not verified yet.
	FetchedBundles []FetchedBundle
	// ShutdownComplete means that the graceful shutdown is complete, including the
	// time for passing late packets to the owners, and the process may exit.
	ShutdownComplete bool
}

// Offer is a peer's announcement of its bundle in force.
type Offer struct {
	Host    string
	Domain  string
	Message *peerpb.BundleOffer
}

// FetchedBundle is a signed bundle that a peer sent.
type FetchedBundle struct {
	Host   string
	Signed []byte
}

// bundleState is the bundle in force with its digest and signed form.
type bundleState struct {
	bundle *config.Bundle
	digest []byte
	signed []byte
}

// Control is the control state of one host.
type Control struct {
	options     Options
	shared      *steer.Shared
	self        config.Host
	hostIndexes map[string]steer.HostIndex
	lastIndex   steer.HostIndex
	peers       map[string]*peer
	bundle      bundleState
	// history holds the tables of the bundle in force and of former ones.
	history map[config.Version]steer.Tables
	// baseline is the version whose default endpoints the peers use for this
	// host's flows; proposedBaseline is the next one, which not all owners have
	// confirmed yet.
	baseline         config.Version
	proposedBaseline config.Version
	marks            rollout.MarkTable
	view             *steer.View
	epoch            uint64
	// viewChanged means that the next tick must publish a new view.
	viewChanged bool
	started     Time
	startKnown  bool
	// ownerSince is when this host became an owner, or when an owner last returned
	// after a network partition.
	ownerSince Time
	// firstOwner means that there was no owner before this host.
	firstOwner bool
	// defaultsUntil is the time until which unknown flows get their default
	// endpoint.
	defaultsUntil Time
	// unseenFlowsUntil is the time until which this host may own flows that it
	// has not seen.
	unseenFlowsUntil Time
	leave            leaveState
	shards           []shardState
	budget           budget
	platformLost     bool
	// digestConflicts counts peers' offers of the version in force with another
	// digest.
	digestConflicts int64
	offers          []Offer
	fetched         []FetchedBundle
	sends           []Send
}

// shardState is the last result of a shard.
type shardState struct {
	epoch          uint64
	settled        bool
	command        steer.Command
	waitingRecords map[steer.HostIndex]int
	flows          int
	counts         steer.Counts
}

// New returns the control state of a host that is joining.
func New(self config.Host, o Options) *Control {
	self.State = config.HostJoining
	c := &Control{
		options:     o,
		shared:      o.Shared,
		self:        self,
		hostIndexes: make(map[string]steer.HostIndex),
		peers:       make(map[string]*peer),
		history:     make(map[config.Version]steer.Tables),
		shards:      make([]shardState, o.Shards),
	}
	for i := range c.shards {
		c.shards[i].waitingRecords = make(map[steer.HostIndex]int)
	}
	c.budget.perSecond = defaultControlBytes
	return c
}

// Tick does the periodic work and returns what has to be carried out. It must
// be called at intervals of about TickPeriod.
func (c *Control) Tick(now Time) Output {
	c.start(now)
	c.budget.expire(now)
	c.advanceJoin(now)
	c.advanceLeave(now)
	c.confirmHandovers()
	c.advanceBaseline(now)
	c.updateLeases(now)
	c.publish(now)
	c.requestRecords()
	c.flush(now)
	return c.output()
}

// start records the time of the first tick or membership update.
func (c *Control) start(now Time) {
	if !c.startKnown {
		c.started, c.startKnown = now, true
	}
}

// output returns what has accumulated since the last tick and clears it.
func (c *Control) output() Output {
	o := Output{
		Sends:            c.sends,
		State:            c.self.State,
		Offers:           c.offers,
		FetchedBundles:   c.fetched,
		ShutdownComplete: c.leave.phase == leaveDone,
	}
	c.sends, c.offers, c.fetched = nil, nil, nil
	for i := range c.shards {
		o.Commands = append(o.Commands, c.shards[i].command)
		c.shards[i].command = steer.Command{}
	}
	return o
}

// Report processes a shard's result of a command.
func (c *Control) Report(now Time, shard int, r steer.CommandResult) {
	s := &c.shards[shard]
	s.epoch, s.settled = r.Epoch, r.Settled
	s.flows, s.counts = r.Flows, r.Counts
	for _, h := range r.Records {
		s.waitingRecords[h.Host] = h.Waiting
		c.queueRecords(h)
	}
	for host, requests := range r.HandedOver {
		if p := c.peerByIndex(host); p != nil {
			p.openRequests = append(p.openRequests, requests...)
		}
	}
	if r.HandedOver != nil {
		c.leave.shardsHandedOver++
	}
}

// settled reports whether all shards have applied the current view and have no
// change of a record left to send.
func (c *Control) settled() bool {
	for i := range c.shards {
		if !c.shards[i].settled || c.shards[i].epoch != c.epoch {
			return false
		}
	}
	return true
}

// hostIndex returns the index of a host and assigns one if it has none. Indexes
// are assigned in turn, so that a released one stays unused for as long as
// possible.
func (c *Control) hostIndex(name string) steer.HostIndex {
	if i, ok := c.hostIndexes[name]; ok {
		return i
	}
	used := make(map[steer.HostIndex]bool)
	for _, i := range c.hostIndexes {
		used[i] = true
	}
	for range maxHosts {
		c.lastIndex = c.lastIndex%maxHosts + 1
		if !used[c.lastIndex] {
			break
		}
	}
	c.hostIndexes[name] = c.lastIndex
	return c.lastIndex
}

// steerHost converts a host for the shards.
func (c *Control) steerHost(h config.Host) steer.Host {
	return steer.Host{
		Index:   c.hostIndex(h.Name),
		Name:    h.Name,
		Hash:    flow.HashName(h.Name),
		Packets: h.Packets,
		Leaving: h.State == config.HostLeaving,
	}
}

// sortedPeers returns the peers by name, which keeps the output deterministic.
func (c *Control) sortedPeers() []*peer {
	names := slices.Sorted(maps.Keys(c.peers))
	out := make([]*peer, len(names))
	for i, name := range names {
		out[i] = c.peers[name]
	}
	return out
}

func (c *Control) peerByIndex(i steer.HostIndex) *peer {
	for _, p := range c.peers {
		if c.hostIndexes[p.host.Name] == i {
			return p
		}
	}
	return nil
}

// State returns the host's own state.
func (c *Control) State() config.HostState {
	return c.self.State
}

// View returns the current view; nil before the first tick.
func (c *Control) View() *steer.View {
	return c.view
}

// Bundle returns the bundle in force, or nil.
func (c *Control) Bundle() *config.Bundle {
	return c.bundle.bundle
}
