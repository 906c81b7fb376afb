package relayd

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"toucangap/internal/admin"
	"toucangap/internal/adminapi"
	"toucangap/internal/catalog"
	"toucangap/internal/relay"
)

// Errors of queries.
var (
	// errNoRoute is returned for a query whose route does not exist.
	errNoRoute = merry.Sentinel("no route with that name or address")
	// errCaller is returned for a query whose caller can't send packets to this host.
	errCaller = merry.Sentinel("caller is not an IPv4 address")
)

// statusTimeout is how long a status waits for the list of hosts.
const statusTimeout = 500 * time.Millisecond

// queries answers operators' queries. It implements admin.Queries.
type queries struct {
	daemon *Daemon
}

// Status implements admin.Queries.
func (q *queries) Status(ctx context.Context) (adminapi.Status, error) {
	d := q.daemon
	s := adminapi.Status{
		Host:     d.settings.Name,
		Domain:   d.settings.Domain,
		State:    "ready",
		Platform: "reachable",
	}
	if ready, reason := d.ready.ready(); !ready {
		s.State = "unready: " + reason
	}
	if reason := d.staleness.reason(); reason != "" && reason != reasonSourceSilent {
		s.Platform = string(reason)
	} else if d.control.age() > d.timings.MaxAge {
		s.Platform = "unreachable"
	}
	if v := d.control.view.Load(); v != nil && v.Configuration != nil {
		s.Version = v.Configuration.Version
		s.Evacuated = v.EvacuatedDomains()
	}
	// The status must come when the control goroutine is busy, which it explains.
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	for _, h := range d.control.hosts(ctx) {
		s.Hosts = append(s.Hosts, adminapi.HostStatus{Name: h.Name, Domain: h.Domain, State: "registered"})
	}
	return s, nil
}

// Dump implements admin.Queries.
func (q *queries) Dump(ctx context.Context, limit int) (adminapi.Dump, error) {
	status, err := q.Status(ctx)
	if err != nil {
		return adminapi.Dump{}, err
	}
	dump := adminapi.Dump{Status: status, DropsByReason: make(map[string]int64), Totals: make(map[string]int64)}
	t := q.daemon.traffic
	t.do(func() {
		now := t.clock.Monotonic()
		dumpRelay(&dump, t.relay, t.relay.Endpoints(now), t.relay.Flows(now, limit))
		dumpSpillover(&dump, t.relay.Spillover(now))
	})
	return dump, nil
}

func dumpRelay(dump *adminapi.Dump, r *relay.Relay, endpoints []relay.EndpointState, flows []relay.FlowState) {
	stats := r.Stats()
	for reason, n := range stats.Drops {
		dump.DropsByReason[relay.Drop(reason).String()] = n
	}
	for reason, n := range stats.Rejections {
		dump.Totals["reset_"+relay.Rejection(reason).String()] = n
	}
	dump.Totals["packets"] = stats.Packets
	dump.Totals["placed"] = stats.Placed
	dump.Totals["sent_on"] = stats.FailedOver
	dump.Totals["adopted"] = stats.TakenOver
	for _, c := range r.RouteCounts() {
		dump.Totals["held_route_"+c.Route] = c.Held
		dump.Totals["released_route_"+c.Route] = c.Released
		dump.Totals["rejected_route_"+c.Route] = c.Rejected
	}
	dump.FlowsHeld = int(stats.Flows)
	dump.Truncated = len(flows) < dump.FlowsHeld
	services := make(map[string]int)
	for _, e := range endpoints {
		i, ok := services[e.Service]
		if !ok {
			i = len(dump.Services)
			services[e.Service] = i
			dump.Services = append(dump.Services, adminapi.ServiceDump{Name: e.Service})
		}
		dump.Services[i].Endpoints = append(dump.Services[i].Endpoints, endpointDump(e))
	}
	for _, f := range flows {
		dump.Flows = append(dump.Flows, adminapi.FlowDump{
			Fingerprint: f.Flow.String(),
			Service:     f.Service,
			Endpoint:    f.Endpoint,
			Owned:       !f.TakenOver,
			Ended:       endedText(f),
			IdleMs:      f.Idle.Milliseconds(),
		})
	}
}

// dumpSpillover adds the spillover to the dump's services.
func dumpSpillover(dump *adminapi.Dump, list []relay.SpilloverState) {
	for i := range list {
		s := &list[i]
		at := slices.IndexFunc(dump.Services, func(d adminapi.ServiceDump) bool { return d.Name == s.Service })
		if at < 0 {
			continue
		}
		left := make(map[string]int64)
		for reason, n := range s.Left {
			left[relay.Departure(reason).String()] = n
		}
		dump.Services[at].Spillover = &adminapi.SpilloverDump{
			Share:        s.Share,
			HomeMicros:   s.Home.Microseconds(),
			RemoteMicros: s.Remote.Microseconds(),
			HomeAgeMs:    s.HomeAge.Milliseconds(),
			RemoteAgeMs:  s.RemoteAge.Milliseconds(),
			Closed:       s.Closed,
			Left:         left,
		}
	}
}

func endpointDump(e relay.EndpointState) adminapi.EndpointDump {
	state := "open"
	switch {
	case !e.Listed:
		state = "removed"
	case e.Draining:
		state = "draining"
	case e.Evacuated:
		state = "evacuated"
	case e.Suspect:
		state = "suspect"
	case e.Cold:
		state = "cold"
	case e.Slowness > 1:
		state = "slow"
	}
	return adminapi.EndpointDump{
		Name:            e.ID,
		Domain:          e.Domain,
		State:           state,
		Flows:           e.Open,
		Requests:        e.Busy,
		ColdOwner:       e.ColdOwner,
		UnansweredFlows: int64(e.UnansweredSYNs),
	}
}

func endedText(f relay.FlowState) string {
	switch {
	case f.ResetSent:
		return "reset"
	case f.State == "ended":
		return "closed"
	}
	return ""
}

// Flow implements admin.Queries. The service may be a route's name or address.
func (q *queries) Flow(_ context.Context, query admin.FlowQuery) (adminapi.FlowResponse, error) {
	route := findRoute(q.daemon.control.view.Load(), query.Service)
	if route == nil {
		return adminapi.FlowResponse{}, errNoRoute
	}
	caller, ok := catalog.AddressFrom(query.Caller)
	if !ok {
		return adminapi.FlowResponse{}, merry.Wrap(errCaller)
	}
	key := catalog.Flow{Caller: caller, Destination: route.Address}
	answer := adminapi.FlowResponse{Fingerprint: key.String(), Service: route.Service(key.Hash()), Why: "none"}
	t := q.daemon.traffic
	t.do(func() {
		f, ok := t.relay.Flow(t.clock.Monotonic(), key)
		if !ok {
			answer.Detail = "this host does not hold the flow; its packets name their endpoint"
			return
		}
		answer.Service, answer.Endpoint, answer.Why = f.Service, f.Endpoint, "flow"
		answer.Detail = fmt.Sprintf("%s, route %s, idle %s, waiting %t, tried %s, adopted %t",
			f.State, f.Route, f.Idle, f.Waiting, strings.Join(f.Tried, " "), f.TakenOver)
	})
	return answer, nil
}

func findRoute(v *catalog.View, name string) *catalog.Route {
	if v == nil || v.Configuration == nil {
		return nil
	}
	if parsed, err := netip.ParseAddrPort(name); err == nil {
		if address, ok := catalog.AddressFrom(parsed); ok {
			return v.Route(address)
		}
	}
	for i := range v.Configuration.Routes {
		if v.Configuration.Routes[i].Name == name {
			return &v.Configuration.Routes[i]
		}
	}
	return nil
}
