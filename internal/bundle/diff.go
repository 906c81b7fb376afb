package bundle

import (
	"fmt"
	"slices"
	"strings"

	"toucangap/internal/config"
)

// ChangeKind describes how a service or an endpoint changed.
type ChangeKind string

// The kinds of change.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Diff is the difference between two bundles.
type Diff struct {
	From     config.Version  `json:"from_version"`
	To       config.Version  `json:"to_version"`
	Fields   []FieldChange   `json:"fields"`
	Services []ServiceChange `json:"services"`
}

// FieldChange is a field that differs, with both values as text.
type FieldChange struct {
	// Field is the path in the TOML form, relative to the service or endpoint.
	Field string `json:"field"`
	Old   string `json:"old"`
	New   string `json:"new"`
}

// ServiceChange is a service that differs. Fields and Endpoints are empty if it
// was added or removed.
type ServiceChange struct {
	ID        config.ServiceID `json:"id"`
	Name      string           `json:"name"`
	Kind      ChangeKind       `json:"kind"`
	Fields    []FieldChange    `json:"fields,omitempty"`
	Endpoints []EndpointChange `json:"endpoints,omitempty"`
	// EndpointCount is the number of endpoints of an added or removed service,
	// otherwise 0.
	EndpointCount int `json:"size,omitempty"`
}

// EndpointChange is an endpoint that differs.
type EndpointChange struct {
	ID     config.EndpointID `json:"id"`
	Name   string            `json:"name"`
	Kind   ChangeKind        `json:"kind"`
	Fields []FieldChange     `json:"fields,omitempty"`
}

// Compare returns the difference from one bundle to another. Services and
// endpoints are matched by ID.
func Compare(from, to *config.Bundle) Diff {
	d := Diff{
		From:   from.Version,
		To:     to.Version,
		Fields: compareFields(bundleFields(from), bundleFields(to)),
	}
	before, after := servicesByID(from), servicesByID(to)
	for i := range from.Services {
		s := &from.Services[i]
		if after[s.ID] == nil {
			d.Services = append(d.Services, ServiceChange{ID: s.ID, Name: s.Name, Kind: Removed, EndpointCount: len(s.Endpoints)})
		}
	}
	for i := range to.Services {
		s := &to.Services[i]
		change := compareService(before[s.ID], s)
		if change.Kind != "" {
			d.Services = append(d.Services, change)
		}
	}
	slices.SortStableFunc(d.Services, func(a, b ServiceChange) int { return int(a.ID) - int(b.ID) })
	return d
}

// compareService returns the changes in one service, with an empty kind if
// there are none; before is nil for a new one.
func compareService(before, after *config.Service) ServiceChange {
	change := ServiceChange{ID: after.ID, Name: after.Name}
	if before == nil {
		change.Kind = Added
		change.EndpointCount = len(after.Endpoints)
		return change
	}
	change.Fields = compareFields(serviceFields(before), serviceFields(after))
	change.Endpoints = compareEndpoints(before, after)
	if len(change.Fields) > 0 || len(change.Endpoints) > 0 {
		change.Kind = Changed
	}
	return change
}

// compareEndpoints returns the endpoints of one service that differ.
func compareEndpoints(before, after *config.Service) []EndpointChange {
	var changes []EndpointChange
	for _, e := range before.Endpoints {
		if after.Endpoint(e.ID) == nil {
			changes = append(changes, EndpointChange{ID: e.ID, Name: e.Name, Kind: Removed})
		}
	}
	for _, e := range after.Endpoints {
		old := before.Endpoint(e.ID)
		if old == nil {
			changes = append(changes, EndpointChange{ID: e.ID, Name: e.Name, Kind: Added})
			continue
		}
		fields := compareFields(endpointFields(old), endpointFields(&e))
		if len(fields) > 0 {
			changes = append(changes, EndpointChange{ID: e.ID, Name: e.Name, Kind: Changed, Fields: fields})
		}
	}
	return changes
}

// IsEmpty reports whether the bundles differ in no more than their versions.
func (d Diff) IsEmpty() bool {
	return len(d.Fields) == 0 && len(d.Services) == 0
}

// String formats the difference with one change per line.
func (d Diff) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "version %d -> %d\n", d.From, d.To)
	printFields(&b, "  ", d.Fields)
	for _, s := range d.Services {
		fmt.Fprintf(&b, "  %s service %s (%d)", s.Kind, s.Name, s.ID)
		if s.Kind != Changed {
			fmt.Fprintf(&b, " with %d endpoints", s.EndpointCount)
		}
		b.WriteByte('\n')
		printFields(&b, "    ", s.Fields)
		for _, e := range s.Endpoints {
			fmt.Fprintf(&b, "    %s endpoint %s (%d)\n", e.Kind, e.Name, e.ID)
			printFields(&b, "      ", e.Fields)
		}
	}
	if d.IsEmpty() {
		b.WriteString("  no difference\n")
	}
	return b.String()
}

func printFields(b *strings.Builder, indent string, fields []FieldChange) {
	for _, f := range fields {
		fmt.Fprintf(b, "%s%s: %s -> %s\n", indent, f.Field, f.Old, f.New)
	}
}
