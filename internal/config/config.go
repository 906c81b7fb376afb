// Package config defines the types of a configuration bundle: the services,
// their endpoints and the limits that all hosts apply. Values must not be modified
// once built; package bundle parses, validates and signs them.
package config

import (
	"net/netip"
	"time"

	"toucangap/internal/flow"
)

// Version is the version number of a bundle. It only increases; 0 means none.
type Version uint64

// ServiceID identifies a service. It is unique within a bundle and never reused
// for another address.
type ServiceID uint32

// EndpointID identifies an endpoint. It is unique within its service and not
// reused for another address while flows to the old one may exist.
type EndpointID uint16

// RequestProtocol is the request protocol that hosts parse inside a service's
// flows.
type RequestProtocol string

// The request protocols.
const (
	// RequestProtocolNone forwards packets without parsing beyond the transport
	// header.
	RequestProtocolNone RequestProtocol = ""
	// RequestProtocolCoAP parses the CoAP message header (RFC 7252).
	RequestProtocolCoAP RequestProtocol = "coap"
)

// AdmissionClass is the admission priority of a service's requests; a lower
// value has a higher priority.
type AdmissionClass uint8

// The admission classes.
const (
	ClassUrgent AdmissionClass = 1
	ClassNormal AdmissionClass = 2
)

// BalancePolicy sets the trade-off between evenly distributed load and few
// exceptions, that is, flows not at their default endpoint. With fewer
// exceptions, fewer flows are lost with a host.
type BalancePolicy string

// The balance policies.
const (
	// BalanceSteady chooses another than the default endpoint only for a large
	// gain.
	BalanceSteady BalancePolicy = "steady"
	// BalanceEven chooses another than the default endpoint for a small gain.
	BalanceEven BalancePolicy = "even"
)

// Bundle is one version of the configuration.
type Bundle struct {
	Version Version
	// HashSeed is the seed of all flow fingerprints. It is the same in all
	// versions, since another seed would move open flows.
	HashSeed uint64
	// Domains are the names of the failure domains.
	Domains  []string
	Services []Service
	Limits   Limits
	// MaxRemovedShare is the share of a service's endpoints, above 0 and up to
	// 1, that the change from the previous version may remove.
	MaxRemovedShare float64
}

// Service is an advertised address with its endpoints.
type Service struct {
	ID       ServiceID
	Name     string
	Protocol flow.Protocol
	// Address is the address to which callers send.
	Address netip.AddrPort
	// Group is the name of the host group that may receive its packets.
	Group    string
	Requests RequestProtocol
	Class    AdmissionClass
	// Balance is the policy by which endpoints are chosen for new flows.
	Balance BalancePolicy
	// DefaultDeadline applies to a request without a deadline.
	DefaultDeadline time.Duration
	// MaxDeadline is the longest deadline that a request may ask for.
	MaxDeadline time.Duration
	Endpoints   []Endpoint
}

// Endpoint is one back end of a service.
type Endpoint struct {
	ID     EndpointID
	Name   string
	Domain string
	// Address receives encapsulated packets over UDP.
	Address netip.AddrPort
	// Weight is its share of flows relative to the service's other endpoints, 1 to
	// 16.
	Weight int
	// Slots is the number of requests that the endpoint runs concurrently.
	Slots int
	// MaxFlows is the number of open flows that the endpoint accepts.
	MaxFlows int
}

// Limits apply to each host, for all services together.
type Limits struct {
	// ControlBytesPerSecond limits the control traffic that a host sends to all
	// peers together, membership probes included.
	ControlBytesPerSecond int
	// RequestsPerSecond limits the rate of requests that a host admits; 0 means
	// no limit.
	RequestsPerSecond int
	// FlowsPerHost limits the number of flows in the flow table. If the settings of
	// a host set a lower limit, that one applies.
	FlowsPerHost int
	// FlowIdle is the time without packets after which a flow is no longer
	// tracked.
	FlowIdle time.Duration
}

// Service returns the service with the given ID, or nil.
func (b *Bundle) Service(id ServiceID) *Service {
	for i := range b.Services {
		if b.Services[i].ID == id {
			return &b.Services[i]
		}
	}
	return nil
}

// Endpoint returns the endpoint with the given ID, or nil.
func (s *Service) Endpoint(id EndpointID) *Endpoint {
	for i := range s.Endpoints {
		if s.Endpoints[i].ID == id {
			return &s.Endpoints[i]
		}
	}
	return nil
}
