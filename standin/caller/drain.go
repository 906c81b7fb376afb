package caller

import (
	"fmt"
	"net/netip"
	"time"

	"toucangap/standin/endpoint"
)

// NewAtDrained is a new flow that a drained endpoint still received.
type NewAtDrained struct {
	Service  string         `json:"service"`
	Endpoint string         `json:"endpoint"`
	Caller   netip.AddrPort `json:"caller"`
	// AtMs is the time since the start of the run in milliseconds.
	AtMs int64 `json:"at_ms"`
}

// flowsAfterDrain returns the flows that the endpoint received once drained.
func (d Drained) flowsAfterDrain(started time.Time, dumps []endpoint.Dump) []NewAtDrained {
	var out []NewAtDrained
	for _, dump := range dumps {
		if dump.Service != d.Service || dump.Name != d.Endpoint {
			continue
		}
		for _, o := range dump.Openings {
			if at := o.At.Sub(started); at >= d.From {
				out = append(out, NewAtDrained{d.Service, d.Endpoint, o.Caller, at.Milliseconds()})
			}
		}
	}
	return out
}

// checkDrained reports new flows at drained endpoints as violations.
func (s *Summary) checkDrained(o Options, started time.Time, dumps []endpoint.Dump) {
	for _, d := range o.Drained {
		late := d.flowsAfterDrain(started, dumps)
		s.NewAtDrained = append(s.NewAtDrained, late...)
		if len(late) > 0 {
			s.Violations = append(s.Violations, fmt.Sprintf("%s/%s: %d new flows while drained", d.Service, d.Endpoint, len(late)))
		}
	}
}
