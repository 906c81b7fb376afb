package caller

import (
	"fmt"
	"net/netip"
	"time"

	"toucangap/standin/endpoint"
)

// FlowAfterDrain is a new flow that a drained endpoint still received.
type FlowAfterDrain struct {
	Service  string         `json:"service"`
	Endpoint string         `json:"endpoint"`
	Caller   netip.AddrPort `json:"caller"`
	// AtMs is the time since the start of the run in milliseconds.
	AtMs int64 `json:"at_ms"`
}

// flowsAfterDrain returns the flows that the endpoint received once drained.
func (d Drained) flowsAfterDrain(started time.Time, dumps []endpoint.Dump) []FlowAfterDrain {
	var out []FlowAfterDrain
	for _, dump := range dumps {
		if dump.Service != d.Service || dump.Name != d.Endpoint {
			continue
		}
		for _, o := range dump.Openings {
			if at := o.At.Sub(started); at >= d.From {
				out = append(out, FlowAfterDrain{d.Service, d.Endpoint, o.Caller, at.Milliseconds()})
			}
		}
	}
	return out
}

// checkDrained reports new flows at drained endpoints as violations.
func (s *Summary) checkDrained(o Options, started time.Time, dumps []endpoint.Dump) {
	for _, d := range o.Drained {
		late := d.flowsAfterDrain(started, dumps)
		s.FlowAfterDrain = append(s.FlowAfterDrain, late...)
		if len(late) > 0 {
			s.Violations = append(s.Violations, fmt.Sprintf("%s/%s: %d new flows while drained", d.Service, d.Endpoint, len(late)))
		}
	}
}
