package adminapi

// ExplainResponse is the response to an explain query: what a host that forwards by
// tokens would do with the first packet of a flow now, and why. Nothing was sent.
type ExplainResponse struct {
	Host string `json:"host"`
	// Flow is "caller>destination".
	Flow    string `json:"flow"`
	Route   string `json:"route,omitempty"`
	Service string `json:"service,omitempty"`
	// Version is that of the configuration, Position that of the host's state of the
	// store, as "incarnation/revision".
	Version  uint64 `json:"configuration_version"`
	Position string `json:"position"`
	// Existing is the flow's state at this host, absent if it does not have the flow.
	Existing *ExistingFlow `json:"existing,omitempty"`
	// Outcome is "placed", "held", "refused", "dropped" or, if the host has the flow,
	// "existing". Cause is the reason for it, as in metrics if it is refused or dropped.
	Outcome string `json:"outcome"`
	Cause   string `json:"cause"`
	// Endpoint gets the flow's packets; empty if none does.
	Endpoint string `json:"endpoint,omitempty"`
	// InFlight counts the service's requests that wait for answers, Held the flows that
	// wait at the host. Limit bounds InFlight; absent if there is no limit.
	InFlight int     `json:"in_flight"`
	Held     int     `json:"held"`
	Limit    float64 `json:"limit,omitempty"`
	// Candidates are endpoints of the service in the order of preference, those that
	// take no new flows last; CandidateCount counts those that are not listed as well.
	Candidates     []ExplainCandidate `json:"candidates"`
	CandidateCount int                `json:"candidate_count"`
}

// ExistingFlow is the state of a flow in an ExplainResponse.
type ExistingFlow struct {
	// State is "opening", "open", "held" or "ended".
	State    string `json:"state"`
	Endpoint string `json:"endpoint,omitempty"`
	IdleMs   int64  `json:"idle_ms"`
}

// ExplainCandidate is an endpoint in an ExplainResponse.
type ExplainCandidate struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	// Available is set if the endpoint takes new flows.
	Available bool `json:"available"`
	// Reasons are why it does not, or why others may be preferred to it.
	Reasons []string `json:"reasons"`
	// Cost is the sum of the next four: the expected time to answer, and what is added
	// for requests in progress, another failure domain, and failed requests.
	Cost        int64 `json:"cost_microseconds"`
	Expected    int64 `json:"expected_microseconds"`
	InProgress  int64 `json:"in_progress_microseconds"`
	OtherDomain int64 `json:"other_domain_microseconds"`
	Failures    int64 `json:"failures_microseconds"`
	// Flows and Requests count those open at this host.
	Flows    int `json:"flows"`
	Requests int `json:"requests"`
}
