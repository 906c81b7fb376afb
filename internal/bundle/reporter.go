package bundle

import (
	"strconv"

	"toucangap/internal/config"
	"toucangap/internal/finding"
	"toucangap/internal/tomldoc"
)

// noIndex means that a location has no service or no endpoint.
const noIndex = -1

// location identifies a value of a bundle by the indexes of its service and
// endpoint, either of which may be noIndex, and its key.
type location struct {
	service  int
	endpoint int
	key      string
}

// atBundle returns the location of a top-level value.
func atBundle(key string) location {
	return location{noIndex, noIndex, key}
}

// atService returns the location of a value of a service.
func atService(service int, key string) location {
	return location{service, noIndex, key}
}

// atEndpoint returns the location of a value of an endpoint.
func atEndpoint(service, endpoint int, key string) location {
	return location{service, endpoint, key}
}

// reporter records findings at the locations of values.
type reporter interface {
	report(at location, problem, allowed string)
}

// documentReporter reports findings with line numbers of a TOML document.
type documentReporter struct {
	root     *tomldoc.Table
	services []serviceTables
}

// serviceTables holds the tables of one service and its endpoints.
type serviceTables struct {
	table     *tomldoc.Table
	endpoints []*tomldoc.Table
}

func (r *documentReporter) report(at location, problem, allowed string) {
	r.table(at).Report(at.key, problem, allowed)
}

// table returns the table that holds the value.
func (r *documentReporter) table(at location) *tomldoc.Table {
	if at.service == noIndex {
		return r.root
	}
	tables := r.services[at.service]
	if at.endpoint == noIndex {
		return tables.table
	}
	return tables.endpoints[at.endpoint]
}

// listReporter collects findings on a bundle that was not parsed from TOML.
type listReporter struct {
	bundle   *config.Bundle
	findings finding.List
}

func (r *listReporter) report(at location, problem, allowed string) {
	r.findings = append(r.findings, finding.Finding{
		File:    "bundle",
		Key:     r.label(at),
		Problem: problem,
		Allowed: allowed,
	})
}

// label returns the dotted path of the value, with the IDs of its service and
// endpoint, as in "service.1.endpoint.2.weight".
func (r *listReporter) label(at location) string {
	if at.service == noIndex {
		return at.key
	}
	service := &r.bundle.Services[at.service]
	label := "service." + strconv.Itoa(int(service.ID))
	if at.endpoint != noIndex {
		label += ".endpoint." + strconv.Itoa(int(service.Endpoints[at.endpoint].ID))
	}
	if at.key == "" {
		return label
	}
	return label + "." + at.key
}
