package lab

import (
	"fmt"
	"net/netip"
	"time"

	"toucangap/internal/config"
	"toucangap/internal/flow"
)

// Services of every lab bundle.
const (
	// ServiceSessions carries long-lived TCP flows.
	ServiceSessions config.ServiceID = 1
	// ServiceUrgent and ServiceNormal carry CoAP requests of the two classes.
	ServiceUrgent config.ServiceID = 2
	ServiceNormal config.ServiceID = 3
)

// Site describes the size of a simulated installation.
type Site struct {
	Name    string
	Domains []string
	// Hosts and endpoints are assigned to the domains round-robin.
	Hosts int
	// Urgent and Normal are the numbers of endpoints of ServiceUrgent and
	// ServiceNormal; ServiceSessions has as many as ServiceUrgent.
	Urgent int
	Normal int
	Dial   config.BalancePolicy
}

// Solaris and Fastighetsrond model two users' current installations.
var (
	Solaris = Site{
		Name:    "solaris",
		Domains: []string{"port-louis", "curepipe", "mahebourg"},
		Hosts:   4, Urgent: 14, Normal: 4, Dial: config.BalanceSteady,
	}
	Fastighetsrond = Site{
		Name:    "fastighetsrond",
		Domains: []string{"gavle", "falun", "uppsala", "vasteras"},
		Hosts:   5, Urgent: 14, Normal: 4, Dial: config.BalanceEven,
	}
)

// HostDomains returns the failure domain of each host, in host order.
func (s Site) HostDomains() []string {
	out := make([]string, s.Hosts)
	for i := range out {
		out[i] = s.Domains[i%len(s.Domains)]
	}
	return out
}

// Bundle returns the first version of the site's configuration.
func (s Site) Bundle() *config.Bundle {
	return &config.Bundle{
		Version:  1,
		HashSeed: 1,
		Domains:  s.Domains,
		Services: []config.Service{
			s.service(ServiceSessions, "sessions", flow.TCP, config.RequestProtocolNone, config.ClassUrgent, s.Urgent),
			s.service(ServiceUrgent, "urgent", flow.UDP, config.RequestProtocolCoAP, config.ClassUrgent, s.Urgent),
			s.service(ServiceNormal, "normal", flow.UDP, config.RequestProtocolCoAP, config.ClassNormal, s.Normal),
		},
		Limits: config.Limits{ControlBytesPerSecond: 4000, FlowIdle: 5 * time.Minute},
	}
}

func (s Site) service(id config.ServiceID, name string, p flow.Protocol, r config.RequestProtocol, class config.AdmissionClass, n int) config.Service {
	service := config.Service{
		ID:              id,
		Name:            name,
		Protocol:        p,
		Address:         netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(id)}), 5683),
		Group:           labGroup,
		Requests:        r,
		Class:           class,
		Balance:         s.Dial,
		DefaultDeadline: 5 * time.Second,
		MaxDeadline:     30 * time.Second,
	}
	for i := range n {
		service.Endpoints = append(service.Endpoints, s.endpoint(id, name, i))
	}
	return service
}

func (s Site) endpoint(id config.ServiceID, name string, i int) config.Endpoint {
	return config.Endpoint{
		ID:       config.EndpointID(i + 1),
		Name:     fmt.Sprintf("%s-%d", name, i+1),
		Domain:   s.Domains[i%len(s.Domains)],
		Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(id), byte(i + 1)}), 6080),
		Weight:   1,
		Slots:    2,
		MaxFlows: 2000,
	}
}
