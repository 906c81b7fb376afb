package control

import "time"

// Periods and limits of the protocol between hosts.
const (
	// TickPeriod is how often Tick must be called.
	TickPeriod = 100 * time.Millisecond
	// heartbeatPeriod is how often each peer gets a heartbeat.
	heartbeatPeriod = time.Second
	// recordsPeriod is how often a peer gets a frame while records are queued.
	recordsPeriod = 300 * time.Millisecond
	// leaseDuration is the validity of a lease, during which the granting peer
	// admits no requests of the holder's flows.
	leaseDuration = 2 * time.Second
	// contactDuration is how long a grant proves that the peer regards this
	// host as an owner. It is shorter than the time until a host is confirmed
	// dead.
	contactDuration = 1500 * time.Millisecond
	// peerDiscoveryTime is how long a starting host waits to learn of peers
	// before it may become the first owner.
	peerDiscoveryTime = 2 * time.Second
	// fenceTime is how long a host that has lost contact with the majority of
	// the owners goes on admitting non-idempotent requests.
	fenceTime = 5 * time.Minute
	// fenceMargin allows for clock drift: the majority relies on the fence of a
	// missing host only after this additional time.
	fenceMargin = 30 * time.Second
	// departedRetention is how long new views list a departed owner that is
	// confirmed stopped, with the baseline by which its flows are taken over.
	departedRetention = 2 * time.Minute
	// offerPeriod is how often the bundle version is announced to a peer again.
	offerPeriod = 10 * time.Second
	// latePassTime is how long a host that has left goes on passing packets to
	// the owners of their flows.
	latePassTime = 3 * time.Second
	// maxHosts limits the number of hosts that a process can assign indexes to.
	maxHosts = 255
	// maxHistory limits the number of bundle versions whose tables are kept,
	// those in use aside.
	maxHistory = 16
)

// Limits and message sizes of the control budget, in bytes.
const (
	// defaultControlBytes limits the bytes per second to all peers, without
	// membership probes, if the bundle sets no limit.
	defaultControlBytes = 4000
	// probeReserve is the part of the limit reserved for membership probes.
	probeReserve = 1000
	// frameOverhead is the size of a frame without its message: the headers of
	// yamux (12), TCP (32) and IPv4 (20).
	frameOverhead = 64
	// recordBytes is the size of one record in a frame.
	recordBytes = 11
	// serviceBytes is the additional size per service that has records in a frame.
	serviceBytes = 16
	// heartbeatBytes is reserved for each peer's next heartbeat and grant.
	heartbeatBytes = 320
	// maxRecordsPerFrame limits the size of one batch.
	maxRecordsPerFrame = 100
	// maxQueuedSeconds limits the queue of record changes, in seconds of the
	// budget. Beyond it new flows get their default endpoint if it is usable.
	maxQueuedSeconds = 1
)
