package bundle

import (
	"math"
	"time"

	"toucangap/internal/config"
	"toucangap/internal/flow"
	"toucangap/internal/tomldoc"
)

// Defaults of optional keys.
const (
	defaultControlBytesPerSecond = 4096
	defaultFlowsPerHost          = 400_000
	defaultFlowIdle              = 5 * time.Minute
	defaultWeight                = 1
)

// The names of the admission classes.
const (
	classUrgent = "urgent"
	classNormal = "normal"
)

// readBundle converts the document to a bundle and returns a reporter for the
// document with the tables of its services and endpoints. Lists keep the order
// of the document.
func readBundle(root *tomldoc.Table) (*config.Bundle, *documentReporter) {
	root.Require("version", "hash_seed", "domains", "service")
	b := &config.Bundle{
		Version:         config.Version(root.IntegerIn("version", 0, 1, math.MaxInt64)),
		HashSeed:        uint64(root.IntegerIn("hash_seed", 0, 0, math.MaxInt64)),
		Domains:         root.Texts("domains"),
		MaxRemovedShare: root.Number("max_removed_share", DefaultMaxRemovedShare),
		Limits:          readLimits(root.Table("limits")),
	}
	reporter := &documentReporter{root: root}
	for _, t := range root.Tables("service") {
		service, tables := readService(t)
		b.Services = append(b.Services, service)
		reporter.services = append(reporter.services, tables)
	}
	root.RejectUnknown()
	return b, reporter
}

func readLimits(t *tomldoc.Table) config.Limits {
	l := config.Limits{
		ControlBytesPerSecond: int(t.Integer("control_bytes_per_second", defaultControlBytesPerSecond)),
		RequestsPerSecond:     int(t.Integer("requests_per_second", 0)),
		FlowsPerHost:          int(t.Integer("flows_per_host", defaultFlowsPerHost)),
		FlowIdle:              t.Duration("flow_idle", defaultFlowIdle),
	}
	t.RejectUnknown()
	return l
}

func readService(t *tomldoc.Table) (config.Service, serviceTables) {
	if name := t.Text("name"); name != "" {
		t.SetLabel("service." + name)
	}
	t.Require("id", "name", "protocol", "address", "group")
	s := config.Service{
		ID:              config.ServiceID(t.IntegerIn("id", 0, 1, math.MaxUint32)),
		Name:            t.Text("name"),
		Protocol:        parseProtocol(t.Choice("protocol", flow.TCP.String(), flow.UDP.String())),
		Address:         t.Address("address"),
		Group:           t.Text("group"),
		Requests:        config.RequestProtocol(t.Choice("requests", string(config.RequestProtocolNone), string(config.RequestProtocolCoAP))),
		Class:           parseClass(t.Choice("class", classUrgent, classNormal)),
		Balance:         parseDial(t.Choice("dial", string(config.BalanceSteady), string(config.BalanceEven))),
		DefaultDeadline: t.Duration("default_deadline", 0),
		MaxDeadline:     t.Duration("max_deadline", 0),
	}
	tables := serviceTables{table: t}
	for _, e := range t.Tables("endpoint") {
		s.Endpoints = append(s.Endpoints, readEndpoint(e, t.Label()))
		tables.endpoints = append(tables.endpoints, e)
	}
	t.RejectUnknown()
	return s, tables
}

func readEndpoint(t *tomldoc.Table, service string) config.Endpoint {
	if name := t.Text("name"); name != "" {
		t.SetLabel(service + ".endpoint." + name)
	}
	t.Require("id", "name", "domain", "address", "slots", "max_flows")
	e := config.Endpoint{
		ID:       config.EndpointID(t.IntegerIn("id", 0, 1, math.MaxUint16)),
		Name:     t.Text("name"),
		Domain:   t.Text("domain"),
		Address:  t.Address("address"),
		Weight:   int(t.Integer("weight", defaultWeight)),
		Slots:    int(t.Integer("slots", 0)),
		MaxFlows: int(t.Integer("max_flows", 0)),
	}
	t.RejectUnknown()
	return e
}

// parseProtocol returns the named protocol, or 0 for any other name.
func parseProtocol(name string) flow.Protocol {
	switch name {
	case flow.TCP.String():
		return flow.TCP
	case flow.UDP.String():
		return flow.UDP
	}
	return 0
}

// parseClass returns the named admission class; the default is ClassNormal.
func parseClass(name string) config.AdmissionClass {
	if name == classUrgent {
		return config.ClassUrgent
	}
	return config.ClassNormal
}

// parseDial returns the balance policy that the key "dial" names; the default is
// BalanceSteady.
func parseDial(name string) config.BalancePolicy {
	if name == "" {
		return config.BalanceSteady
	}
	return config.BalancePolicy(name)
}
