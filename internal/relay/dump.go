package relay

import (
	"cmp"
	"slices"
	"time"

	"toucangap/internal/catalog"
)

// stateNames are the states' names in dumps.
var stateNames = map[state]string{stateOpening: "opening", stateOpen: "open", stateEnded: "ended", stateHeld: "held"}

// FlowState is a flow in a dump.
type FlowState struct {
	Flow catalog.Flow
	// State is "opening", "open" or "ended".
	State   string
	Route   string
	Service string
	// Endpoint is the id of the flow's endpoint; Tried holds the ids of those that
	// the SYN was sent to.
	Endpoint string
	Tried    []string
	// Waiting is set while a request has no answer.
	Waiting bool
	// TakenOver is set if the flow was added by a packet after its SYN.
	TakenOver bool
	// ResetSent is set once the host has reset the flow.
	ResetSent bool
	// Idle is the time since the caller's last packet.
	Idle time.Duration
}

// EndpointState is an endpoint in a dump.
type EndpointState struct {
	ID       string
	Service  string
	Domain   string
	Listed   bool
	Draining bool
	// Evacuated is set while its failure domain is evacuated.
	Evacuated bool
	// Cold is set while the endpoint is cold after its start or an evacuation, or counts as
	// cold since it did not answer SYNs. ColdOwner is the name of the host that may then
	// send it flows; empty if its service has no limit.
	Cold      bool
	ColdOwner string
	Suspect   bool
	// UnansweredSYNs counts consecutive SYNs without a handshake ACK.
	UnansweredSYNs int
	// Open counts the flows at the endpoint, Busy those that wait for an answer.
	Open int
	Busy int
	// Slowness is the ratio of the endpoint's answer time to its service's.
	Slowness float64
}

// Flow returns the state of a flow; ok is false if the host does not know it.
func (r *Relay) Flow(now time.Duration, key catalog.Flow) (s FlowState, ok bool) {
	f := r.flows[key]
	if f == nil {
		return FlowState{}, false
	}
	return f.snapshot(now), true
}

func (f *flow) snapshot(now time.Duration) FlowState {
	s := FlowState{
		Flow:      f.key,
		State:     stateNames[f.state],
		Route:     f.route,
		Service:   f.service.name,
		Waiting:   f.waiting,
		TakenOver: f.takenOver,
		ResetSent: f.resetSent,
		Idle:      now - f.lastSeen,
	}
	if f.endpoint != nil {
		s.Endpoint = f.endpoint.Entry.ID
	}
	for _, e := range f.triedEndpoints() {
		s.Tried = append(s.Tried, e.Entry.ID)
	}
	return s
}

// Flows returns the states of at most limit flows.
func (r *Relay) Flows(now time.Duration, limit int) []FlowState {
	states := make([]FlowState, 0, min(limit, len(r.flows)))
	for _, f := range r.flows {
		if len(states) == limit {
			break
		}
		states = append(states, f.snapshot(now))
	}
	return states
}

// Endpoints returns the states of all endpoints, sorted by id.
func (r *Relay) Endpoints(now time.Duration) []EndpointState {
	states := make([]EndpointState, 0, len(r.endpoints))
	for _, e := range r.endpoints {
		cold, owner := r.coldInDump(now, e)
		states = append(states, EndpointState{
			ID:             e.Entry.ID,
			Service:        e.Entry.Service,
			Domain:         e.Entry.Domain,
			Listed:         e.Entry.Listed,
			Draining:       e.Entry.Draining,
			Evacuated:      r.view.Evacuated(e.Entry.Domain),
			Cold:           cold,
			ColdOwner:      owner,
			Suspect:        e.Suspect(now),
			UnansweredSYNs: e.UnansweredSYNs(),
			Open:           e.Open,
			Busy:           e.Busy,
			Slowness:       e.Slowness(now, &r.service(e.Entry.Service).observed),
		})
	}
	slices.SortFunc(states, func(a, b EndpointState) int { return cmp.Compare(a.ID, b.ID) })
	return states
}
