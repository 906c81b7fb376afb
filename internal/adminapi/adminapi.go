// Package adminapi holds the messages of the HTTP interface for operators, shared
// by the daemon and the command-line client. Queries are GET requests and change
// nothing; commands are POST requests. A rejected request gets a Failure with
// the status 400 if it is malformed, 501 if this kind of host does not support it,
// else 409.
package adminapi

// The URL paths of the interface.
const (
	PathStatus  = "/v1/status"
	PathDump    = "/v1/dump"
	PathFlow    = "/v1/flow"
	PathExplain = "/v1/explain"
	PathMark    = "/v1/mark"
	PathStop    = "/v1/stop"
	PathMetrics = "/metrics"
	// PathMetricsJSON serves the same metrics in JSON.
	PathMetricsJSON = "/metrics.json"
)

// Status summarizes one host and its view of the others.
type Status struct {
	Host   string `json:"host"`
	Domain string `json:"domain"`
	Group  string `json:"group"`
	// State is the host's life-cycle state, as "joining" or "live". A host that
	// forwards by tokens reports "ready", or "unready: " and the reason.
	State string `json:"state"`
	// Version and Digest identify the bundle in force; the digest is in hex.
	Version uint64 `json:"bundle_version"`
	Digest  string `json:"bundle_digest"`
	// Platform is "reachable", "unreachable" or "unused"; if the host's state is old for
	// another reason than a silent store, it is the reason of event 9028.
	Platform string `json:"platform"`
	// Evacuated are the failure domains whose endpoints take no new flows at operators'
	// request.
	Evacuated []string     `json:"evacuated_domains,omitempty"`
	Hosts     []HostStatus `json:"hosts"`
}

// HostStatus is one host as seen by the host that responds.
type HostStatus struct {
	Name    string `json:"name"`
	Domain  string `json:"domain"`
	State   string `json:"state"`
	Version uint64 `json:"bundle_version"`
	// Connected is set if the control stream to the host is established.
	Connected bool `json:"connected"`
}

// Dump is the state of a daemon. Its list of flows is limited by the request.
type Dump struct {
	Status   Status        `json:"status"`
	Services []ServiceDump `json:"services"`
	Peers    []PeerDump    `json:"peers"`
	Budgets  BudgetDump    `json:"budgets"`
	// DropsByReason counts dropped packets by the reason.
	DropsByReason map[string]int64 `json:"drops_by_reason"`
	Flows         []FlowDump       `json:"flows"`
	// FlowsHeld is the number of flows in the flow table; Truncated is set if
	// Flows does not list them all.
	FlowsHeld int  `json:"flows_held"`
	Truncated bool `json:"truncated"`
	// Totals holds further counters and values by name.
	Totals map[string]int64 `json:"totals"`
	// Marks are the current drain marks of endpoints.
	Marks []MarkCommand `json:"marks"`
}

// ServiceDump is the state of one service at this host.
type ServiceDump struct {
	ID        uint32         `json:"id"`
	Name      string         `json:"name"`
	Endpoints []EndpointDump `json:"endpoints"`
	// Spillover is nil unless the host may send new flows to other failure domains.
	Spillover *SpilloverDump `json:"spillover,omitempty"`
}

// SpilloverDump describes which new flows of a service leave the host's failure domain.
type SpilloverDump struct {
	// Share is the share of new flows that leaves.
	Share float64 `json:"share"`
	// HomeMicros and RemoteMicros are the mean times to answer in the host's domain and
	// in others, without the round trip; HomeAgeMs and RemoteAgeMs are the times since
	// the last answers. 0 means that there was none.
	HomeMicros   int64 `json:"home_answer_microseconds"`
	RemoteMicros int64 `json:"remote_answer_microseconds"`
	HomeAgeMs    int64 `json:"home_age_milliseconds"`
	RemoteAgeMs  int64 `json:"remote_age_milliseconds"`
	// Closed lists the domains that no flow may leave for.
	Closed []string `json:"closed,omitempty"`
	// Left counts flows sent to other domains, by reason.
	Left map[string]int64 `json:"left"`
}

// EndpointDump is the state of one endpoint at this host.
type EndpointDump struct {
	ID     uint16 `json:"id"`
	Name   string `json:"name"`
	Domain string `json:"domain"`
	// State is "active", "draining" or "gone"; a host that forwards by tokens
	// reports "open", "removed", "draining", "evacuated", "suspect", "cold" or "slow".
	State string `json:"state"`
	// Flows and Requests count those open at this host; PeersFlows and
	// PeersRequests are the sums of the peers' last reports.
	Flows         int `json:"flows"`
	Requests      int `json:"requests"`
	PeersFlows    int `json:"peers_flows"`
	PeersRequests int `json:"peers_requests"`
	// UnansweredFlows counts the flows that this host ended because the endpoint
	// answered other flows but not them. A host that forwards by tokens reports the
	// consecutive SYNs without a handshake ACK.
	UnansweredFlows int64 `json:"silent_flows"`
	// ColdOwner is the name of the only host that sends new flows to the endpoint while it
	// is cold; empty if it is not cold or its service sets no limit.
	ColdOwner string `json:"cold_owner,omitempty"`
}

// PeerDump is the state of one peer at this host.
type PeerDump struct {
	Name string `json:"name"`
	// RecordsQueued counts records not sent yet, RecordsUnacknowledged those sent
	// but not acknowledged.
	RecordsQueued         int `json:"records_queued"`
	RecordsUnacknowledged int `json:"records_unacknowledged"`
	// RecordsReceived counts the records received from the peer.
	RecordsReceived int `json:"records_held"`
	// Baseline is the bundle version whose default endpoints apply to the peer's
	// flows; 0 means that it owns none.
	Baseline uint64 `json:"baseline"`
	// LeaseUntilMs is the end of the lease by which the peer admits no requests
	// of this host's flows, in milliseconds since the process started.
	LeaseUntilMs int64 `json:"lease_until_ms"`
}

// BudgetDump is the usage of the budget for control traffic.
type BudgetDump struct {
	// ControlBytesPerSecond is the budget without the part that is reserved for
	// membership probes.
	ControlBytesPerSecond int   `json:"control_bytes_per_second"`
	ControlBytesSent      int64 `json:"control_bytes_sent"`
	// RecordsWaiting counts changes of records that wait to be sent, for all peers
	// together.
	RecordsWaiting int `json:"records_waiting"`
}

// FlowDump is one entry of the flow table.
type FlowDump struct {
	Fingerprint string `json:"fingerprint"`
	Service     string `json:"service"`
	Endpoint    string `json:"endpoint"`
	// Owned is set if this host owns the flow; otherwise it holds the owner's
	// record.
	Owned bool `json:"owned"`
	// Exception is set if another host could not compute the flow's endpoint from
	// the bundle alone, as when it is not at its default endpoint.
	Exception bool `json:"exception"`
	// Ended is why the load balancer ended the flow; empty if it did not.
	Ended string `json:"ended,omitempty"`
	// IdleMs is the time since the flow's last packet in milliseconds.
	IdleMs   int64 `json:"idle_ms"`
	Requests int   `json:"open_requests"`
}

// FlowResponse is the response to a flow query: the endpoint of one flow and the
// reason for it.
type FlowResponse struct {
	Fingerprint string `json:"fingerprint"`
	Service     string `json:"service"`
	// Owner and Successor are the names of the hosts that own the flow and would
	// take it over.
	Owner     string `json:"owner"`
	Successor string `json:"successor"`
	// Default is the default endpoint, Endpoint the one that this host uses.
	Default  string `json:"default_endpoint"`
	Endpoint string `json:"endpoint"`
	// Why is the source of Endpoint: "flow" if this host holds the flow, "record"
	// if it holds the owner's record, "default" if neither, "none" if this host does
	// not know the endpoint.
	Why string `json:"why"`
	// Detail describes the flow's state at this host in text for display.
	Detail string `json:"detail"`
}

// MarkCommand drains or undrains an endpoint by service and endpoint name.
type MarkCommand struct {
	Service  string `json:"service"`
	Endpoint string `json:"endpoint"`
	Draining bool   `json:"draining"`
	// Revision orders the marks of an endpoint; the highest takes effect. In a
	// command, 0 means the next one.
	Revision uint64 `json:"revision,omitempty"`
}

// Accepted is the response to a command that was accepted.
type Accepted struct {
	Message string `json:"message"`
}

// Failure is the response to a request that was rejected.
type Failure struct {
	Error string `json:"error"`
}
