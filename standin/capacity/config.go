package capacity

import (
	"fmt"
	"net/netip"
	"time"

	"toucangap/internal/config"
	"toucangap/internal/flow"
)

// groupName names the host group of the measured hosts.
const groupName = "group-0"

// endpointsPerService follows from the target of 120,000 endpoints behind
// 12,000 addresses.
const endpointsPerService = 10

// newBundle returns a bundle of services. The first ownServices services belong
// to the measured host's group.
func newBundle(services, ownServices, endpoints int) *config.Bundle {
	b := &config.Bundle{
		Version:         1,
		HashSeed:        7,
		Domains:         []string{"a", "b", "c", "d"},
		MaxRemovedShare: 0.5,
		Limits: config.Limits{
			ControlBytesPerSecond: 9000,
			FlowsPerHost:          400_000,
			FlowIdle:              5 * time.Minute,
		},
	}
	for i := range services {
		group := groupName
		if i >= ownServices {
			group = fmt.Sprintf("group-%d", 1+(i-ownServices)/max(1, ownServices))
		}
		b.Services = append(b.Services, newService(i, group, endpoints, b.Domains))
	}
	return b
}

func newService(i int, group string, endpoints int, domains []string) config.Service {
	s := config.Service{
		ID:              config.ServiceID(i + 1),
		Name:            fmt.Sprintf("service-%d", i+1),
		Protocol:        flow.TCP,
		Address:         netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 443),
		Group:           group,
		Class:           config.ClassNormal,
		Balance:         config.BalanceSteady,
		DefaultDeadline: 5 * time.Second,
		MaxDeadline:     30 * time.Second,
	}
	for j := range endpoints {
		n := i*endpoints + j
		s.Endpoints = append(s.Endpoints, config.Endpoint{
			ID:       config.EndpointID(j + 1),
			Name:     fmt.Sprintf("endpoint-%d", n+1),
			Domain:   domains[n%len(domains)],
			Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{172, 16 + byte(n>>16), byte(n >> 8), byte(n)}), 6000),
			Weight:   1,
			Slots:    2,
			MaxFlows: 1_000_000,
		})
	}
	return s
}

// newHost returns the description of the i-th host.
func newHost(i int) config.Host {
	a := netip.AddrFrom4([4]byte{192, 168, byte(i >> 8), byte(i)})
	return config.Host{
		Name:        fmt.Sprintf("host-%05d", i),
		Domain:      fmt.Sprintf("domain-%d", i%4),
		Group:       groupName,
		Packets:     netip.AddrPortFrom(a, 7003),
		Control:     netip.AddrPortFrom(a, 7005),
		Probe:       netip.AddrPortFrom(a, 7004),
		Incarnation: 1,
		State:       config.HostJoining,
	}
}
