package bundle

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"toucangap/internal/config"
	"toucangap/internal/flow"
)

// Bounds of values in a bundle.
const (
	minWeight      = 1
	maxWeight      = 16
	maxDeadline    = 10 * time.Minute
	maxFlowIdle    = 24 * time.Hour
	minControlRate = 256 // bytes per second
)

// maxNameBytes is the maximum length of a name.
const maxNameBytes = 63

const nameAllowed = "1 to 63 of a-z, 0-9, '.', '_' and '-', with a letter or digit at both ends"

// validator holds the state of the checks of one bundle.
type validator struct {
	reporter
	bundle *config.Bundle
	// addresses maps each address in use to its holder.
	addresses map[transportAddress]addressHolder
}

// addressHolder is the service, or the endpoint of a service, that uses an
// address.
type addressHolder struct {
	service  string
	endpoint string
}

// String returns the holder as shown in findings.
func (h addressHolder) String() string {
	if h.endpoint == "" {
		return "service " + h.service
	}
	return "endpoint " + h.endpoint + " of service " + h.service
}

// transportAddress is an address that only one service or endpoint may use.
type transportAddress struct {
	protocol flow.Protocol
	address  netip.AddrPort
}

// validate reports all errors in a bundle that do not depend on earlier
// versions.
func validate(b *config.Bundle, r reporter) {
	v := &validator{reporter: r, bundle: b, addresses: make(map[transportAddress]addressHolder)}
	v.checkBundle()
	v.checkLimits()
	v.checkDuplicateServices()
	for i := range b.Services {
		v.checkService(i)
	}
}

// require reports the problem unless ok is set.
func (v *validator) require(ok bool, at location, problem, allowed string) {
	if !ok {
		v.report(at, problem, allowed)
	}
}

func (v *validator) checkBundle() {
	b := v.bundle
	v.require(b.Version > 0, atBundle("version"), "is 0", "1 or more")
	share := b.MaxRemovedShare
	v.require(share > 0 && share <= 1, atBundle("max_removed_share"), fmt.Sprintf("%v is out of range", share), "above 0, up to 1")
	v.require(len(b.Services) > 0, atBundle("service"), "the bundle has no service", "one or more [[service]]")
	v.require(len(b.Domains) > 0, atBundle("domains"), "no failure domain", "one or more names")
	for i, domain := range b.Domains {
		at := atBundle(fmt.Sprintf("domains[%d]", i))
		v.checkName(at, domain)
		v.require(!slices.Contains(b.Domains[:i], domain), at, fmt.Sprintf("%q is listed twice", domain), "each failure domain once")
	}
}

func (v *validator) checkLimits() {
	l := v.bundle.Limits
	v.requireAtLeast(atBundle("limits.control_bytes_per_second"), l.ControlBytesPerSecond, minControlRate)
	v.requireAtLeast(atBundle("limits.requests_per_second"), l.RequestsPerSecond, 0)
	v.requireAtLeast(atBundle("limits.flows_per_host"), l.FlowsPerHost, 1)
	v.requireDurationIn(atBundle("limits.flow_idle"), l.FlowIdle, time.Second, maxFlowIdle)
}

func (v *validator) requireAtLeast(at location, n, low int) {
	if n < low {
		v.report(at, fmt.Sprintf("%d is out of range", n), fmt.Sprintf("%d or more", low))
	}
}

// requireDurationIn reports a duration outside of its inclusive bounds.
func (v *validator) requireDurationIn(at location, d, low, high time.Duration) {
	if d < low || d > high {
		v.report(at, fmt.Sprintf("%s is out of range", d), fmt.Sprintf("%s to %s", low, high))
	}
}

func (v *validator) checkName(at location, name string) {
	if !isName(name) {
		v.report(at, fmt.Sprintf("%q is not a valid name", name), nameAllowed)
	}
}

// isName reports whether the text is a valid name.
func isName(text string) bool {
	if text == "" || len(text) > maxNameBytes {
		return false
	}
	for i := range len(text) {
		if !isAlphanumeric(text[i]) && !strings.ContainsRune("._-", rune(text[i])) {
			return false
		}
	}
	return isAlphanumeric(text[0]) && isAlphanumeric(text[len(text)-1])
}

// isAlphanumeric reports whether the byte is a lower-case letter or a digit.
func isAlphanumeric(c byte) bool {
	return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9')
}

// checkDuplicateServices reports IDs and names that two services share.
func (v *validator) checkDuplicateServices() {
	ids := make(map[config.ServiceID]string)
	names := make(map[string]bool)
	for i, s := range v.bundle.Services {
		if other, taken := ids[s.ID]; taken {
			v.report(atService(i, "id"), fmt.Sprintf("%d is already used by service %q", s.ID, other), "a unique ID")
		}
		if names[s.Name] {
			v.report(atService(i, "name"), fmt.Sprintf("%q is already used", s.Name), "a unique name")
		}
		ids[s.ID] = s.Name
		names[s.Name] = true
	}
}

func (v *validator) checkService(i int) {
	s := &v.bundle.Services[i]
	v.require(s.ID > 0, atService(i, "id"), "is 0", "1 or more")
	v.checkName(atService(i, "name"), s.Name)
	v.checkName(atService(i, "group"), s.Group)
	v.checkAddress(atService(i, "address"), transportAddress{s.Protocol, s.Address}, addressHolder{service: s.Name})
	v.checkChoices(i, s)
	v.checkDeadlines(i, s)
	v.require(len(s.Endpoints) > 0, atService(i, ""), "the service has no endpoint", "one or more [[service.endpoint]]")
	v.checkDuplicateEndpoints(i, s)
	for j := range s.Endpoints {
		v.checkEndpoint(i, j)
	}
}

// checkChoices reports values that are not among the allowed choices.
func (v *validator) checkChoices(i int, s *config.Service) {
	isUDP := s.Protocol == flow.UDP
	v.require(isUDP || s.Protocol == flow.TCP, atService(i, "protocol"), "unknown protocol", `"tcp", "udp"`)
	isCoAP := s.Requests == config.RequestProtocolCoAP
	v.require(isCoAP || s.Requests == config.RequestProtocolNone, atService(i, "requests"), "unknown request protocol", `"", "coap"`)
	v.require(isUDP || !isCoAP, atService(i, "requests"), `"coap" is supported over UDP only`, `protocol = "udp"`)
	v.require(s.Class == config.ClassUrgent || s.Class == config.ClassNormal, atService(i, "class"), "unknown class", `"urgent", "normal"`)
	v.require(s.Balance == config.BalanceSteady || s.Balance == config.BalanceEven, atService(i, "dial"), "unknown dial", `"steady", "even"`)
}

// checkDeadlines checks the deadlines. They must be at least a millisecond if
// the service has a request protocol, and may be 0 otherwise.
func (v *validator) checkDeadlines(i int, s *config.Service) {
	low := time.Millisecond
	if s.Requests == config.RequestProtocolNone {
		low = 0
	}
	v.requireDurationIn(atService(i, "default_deadline"), s.DefaultDeadline, low, maxDeadline)
	v.requireDurationIn(atService(i, "max_deadline"), s.MaxDeadline, low, maxDeadline)
	v.require(s.DefaultDeadline <= s.MaxDeadline, atService(i, "max_deadline"),
		fmt.Sprintf("%s is below default_deadline", s.MaxDeadline), fmt.Sprintf("%s or more", s.DefaultDeadline))
}

// checkDuplicateEndpoints reports IDs and names that two endpoints of a service
// share.
func (v *validator) checkDuplicateEndpoints(i int, s *config.Service) {
	ids := make(map[config.EndpointID]string)
	names := make(map[string]bool)
	for j, e := range s.Endpoints {
		if other, taken := ids[e.ID]; taken {
			v.report(atEndpoint(i, j, "id"), fmt.Sprintf("%d is already used by endpoint %q", e.ID, other), "a unique ID")
		}
		if names[e.Name] {
			v.report(atEndpoint(i, j, "name"), fmt.Sprintf("%q is already used", e.Name), "a unique name")
		}
		ids[e.ID] = e.Name
		names[e.Name] = true
	}
}

func (v *validator) checkEndpoint(i, j int) {
	s := &v.bundle.Services[i]
	e := &s.Endpoints[j]
	v.require(e.ID > 0, atEndpoint(i, j, "id"), "is 0", "1 or more")
	v.checkName(atEndpoint(i, j, "name"), e.Name)
	if !slices.Contains(v.bundle.Domains, e.Domain) {
		v.report(atEndpoint(i, j, "domain"), fmt.Sprintf("unknown failure domain %q", e.Domain), fmt.Sprintf("%q", v.bundle.Domains))
	}
	if e.Weight < minWeight || e.Weight > maxWeight {
		v.report(atEndpoint(i, j, "weight"), fmt.Sprintf("%d is out of range", e.Weight), fmt.Sprintf("%d to %d", minWeight, maxWeight))
	}
	v.checkAddress(atEndpoint(i, j, "address"), transportAddress{flow.UDP, e.Address}, addressHolder{s.Name, e.Name})
	v.requireAtLeast(atEndpoint(i, j, "slots"), e.Slots, 1)
	v.requireAtLeast(atEndpoint(i, j, "max_flows"), e.MaxFlows, 1)
}

// checkAddress reports an address that is not usable or that another service
// or endpoint already uses.
func (v *validator) checkAddress(at location, a transportAddress, holder addressHolder) {
	if problem := addressProblem(a.address); problem != "" {
		v.report(at, problem, "a unicast IPv4 or IPv6 address with port")
		return
	}
	other, taken := v.addresses[a]
	if taken {
		v.report(at, fmt.Sprintf("%s overlaps with %s", a.address, other), "a unique address")
		return
	}
	v.addresses[a] = holder
}

// addressProblem describes why the address is not usable; empty means it is.
func addressProblem(address netip.AddrPort) string {
	ip := address.Addr()
	switch {
	case !ip.IsValid() || address.Port() == 0:
		return "is not an address with port"
	case ip.Is4In6():
		return fmt.Sprintf("%s is an IPv4 address written as IPv6", ip)
	case ip.Zone() != "":
		return fmt.Sprintf("%s has a zone", ip)
	case ip.IsUnspecified() || ip.IsMulticast():
		return fmt.Sprintf("%s is not a unicast address", ip)
	}
	return ""
}
