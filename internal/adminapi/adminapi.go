// Package adminapi holds the messages of the HTTP interface for operators, shared
// by the daemon and the command-line client. Queries are GET requests and change
// nothing; commands are POST requests.
package adminapi

// The URL paths of the interface.
const (
	PathStatus  = "/v1/status"
	PathDump    = "/v1/dump"
	PathFlow    = "/v1/flow"
	PathMark    = "/v1/mark"
	PathStop    = "/v1/stop"
	PathMetrics = "/metrics"
	// PathMetricsJSON serves the same metrics in JSON.
	PathMetricsJSON = "/metrics.json"
)

// Status summarises one host and its view of the others.
type Status struct {
	Host    string `json:"host"`
	Domain  string `json:"domain"`
	Group   string `json:"group"`
	State   string `json:"state"`
	Version uint64 `json:"bundle_version"`
	Digest  string `json:"bundle_digest"`
	// Platform is "reachable", "unreachable" or "unused".
	Platform string       `json:"platform"`
	Hosts    []HostStatus `json:"hosts"`
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

// Dump is the state of a daemon, bounded in size: lists longer than the limit of
// the request are truncated, which Truncated reports.
type Dump struct {
	Status    Status           `json:"status"`
	Services  []ServiceDump    `json:"services"`
	Peers     []PeerDump       `json:"peers"`
	Budgets   BudgetDump       `json:"budgets"`
	Reasons   map[string]int64 `json:"drops_by_reason"`
	Flows     []FlowDump       `json:"flows"`
	FlowsHeld int              `json:"flows_held"`
	Truncated bool             `json:"truncated"`
	Totals    map[string]int64 `json:"totals"`
	Marks     []MarkCommand    `json:"marks"`
}

// ServiceDump is the state of one service at this host.
type ServiceDump struct {
	ID        uint32         `json:"id"`
	Name      string         `json:"name"`
	Endpoints []EndpointDump `json:"endpoints"`
}

// EndpointDump is the state of one endpoint at this host.
type EndpointDump struct {
	ID     uint16 `json:"id"`
	Name   string `json:"name"`
	Domain string `json:"domain"`
	State  string `json:"state"`
	// Flows and Requests count those open at this host; the peers' counts are
	// the last reported ones.
	Flows         int   `json:"flows"`
	Requests      int   `json:"requests"`
	PeersFlows    int   `json:"peers_flows"`
	PeersRequests int   `json:"peers_requests"`
	Silent        int64 `json:"silent_flows"`
}

// PeerDump is the state of one peer at this host.
type PeerDump struct {
	Name string `json:"name"`
	// RecordsQueued are not sent yet; RecordsUnacknowledged were sent.
	RecordsQueued         int    `json:"records_queued"`
	RecordsUnacknowledged int    `json:"records_unacknowledged"`
	RecordsHeld           int    `json:"records_held"`
	Baseline              uint64 `json:"baseline"`
	// LeaseUntilMs is the end of the lease by which the peer admits no requests
	// of this host's flows, in milliseconds since the process started.
	LeaseUntilMs int64 `json:"lease_until_ms"`
}

// BudgetDump is the usage of the budget for control traffic.
type BudgetDump struct {
	ControlBytesPerSecond int   `json:"control_bytes_per_second"`
	ControlBytesSent      int64 `json:"control_bytes_sent"`
	RecordsWaiting        int   `json:"records_waiting"`
}

// FlowDump is one entry of the flow table.
type FlowDump struct {
	Fingerprint string `json:"fingerprint"`
	Service     string `json:"service"`
	Endpoint    string `json:"endpoint"`
	// Owned is set if this host owns the flow; otherwise it holds the owner's
	// record.
	Owned     bool `json:"owned"`
	Exception bool `json:"exception"`
	// Ended is why the load balancer ended the flow; empty if it did not.
	Ended    string `json:"ended,omitempty"`
	IdleMs   int64  `json:"idle_ms"`
	Requests int    `json:"open_requests"`
}

// FlowAnswer is the endpoint of one flow and the reason for it.
type FlowAnswer struct {
	Fingerprint string `json:"fingerprint"`
	Service     string `json:"service"`
	Owner       string `json:"owner"`
	Successor   string `json:"successor"`
	Default     string `json:"default_endpoint"`
	Endpoint    string `json:"endpoint"`
	// Why is "flow", "record", "default" or "none".
	Why    string `json:"why"`
	Detail string `json:"detail"`
}

// MarkCommand drains or undrains an endpoint by service and endpoint name.
type MarkCommand struct {
	Service  string `json:"service"`
	Endpoint string `json:"endpoint"`
	Draining bool   `json:"draining"`
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
