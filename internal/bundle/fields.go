package bundle

import (
	"fmt"

	"toucangap/internal/config"
)

// field is a value with its path in the TOML form.
type field struct {
	name  string
	value any
}

// compareFields returns the fields that differ; both lists must hold the same
// fields in the same order.
func compareFields(before, after []field) []FieldChange {
	var changes []FieldChange
	for i, f := range after {
		old, now := fmt.Sprint(before[i].value), fmt.Sprint(f.value)
		if old != now {
			changes = append(changes, FieldChange{f.name, old, now})
		}
	}
	return changes
}

func bundleFields(b *config.Bundle) []field {
	return []field{
		{"hash_seed", b.HashSeed},
		{"domains", b.Domains},
		{"max_removed_share", b.MaxRemovedShare},
		{"limits.control_bytes_per_second", b.Limits.ControlBytesPerSecond},
		{"limits.requests_per_second", b.Limits.RequestsPerSecond},
		{"limits.flows_per_host", b.Limits.FlowsPerHost},
		{"limits.flow_idle", b.Limits.FlowIdle},
	}
}

func serviceFields(s *config.Service) []field {
	return []field{
		{"name", s.Name},
		{"protocol", s.Protocol},
		{"address", s.Address},
		{"group", s.Group},
		{"requests", fmt.Sprintf("%q", s.Requests)},
		{"class", className(s.Class)},
		{"dial", s.Balance},
		{"default_deadline", s.DefaultDeadline},
		{"max_deadline", s.MaxDeadline},
	}
}

func endpointFields(e *config.Endpoint) []field {
	return []field{
		{"name", e.Name},
		{"domain", e.Domain},
		{"address", e.Address},
		{"weight", e.Weight},
		{"slots", e.Slots},
		{"max_flows", e.MaxFlows},
	}
}

// className returns the name of a class in the TOML form.
func className(c config.AdmissionClass) string {
	switch c {
	case config.ClassUrgent:
		return classUrgent
	case config.ClassNormal:
		return classNormal
	}
	return fmt.Sprintf("class %d", c)
}
