package settings

import (
	"net/netip"
	"os"
	"time"

	"github.com/ansel1/merry/v2"

	"toucangap/internal/finding"
	"toucangap/internal/tomldoc"
)

// Defaults of optional keys of a relay's settings file. They are the bounds of
// the smallest known deployments.
const (
	defaultHeartbeat     = 1200 * time.Millisecond
	defaultConfiguration = 3 * time.Second
	defaultDrain         = 3 * time.Second
	defaultStop          = 6 * time.Second
	defaultFlowLifetime  = 60 * time.Second
	defaultHistory       = 20 * time.Second
	defaultShortestLease = time.Second
	// defaultMemoryMB, in units of 2^20 bytes, is well above what a relay needs.
	defaultMemoryMB = 256
	defaultCPUShare = 1.0
	// defaultColdFactor allows exactly what the configuration states.
	defaultColdFactor = 1.0
	defaultLinkMbps   = 1000.0
	// maxMemoryMB keeps the size in bytes within 63 bits.
	maxMemoryMB = 1 << 30
)

// Relay holds the settings of a host that forwards flows by tokens.
type Relay struct {
	Name   string
	Domain string
	// Seeds are feed addresses of some hosts, possibly outdated. A host that
	// cannot reach the store when it starts gets its state from them.
	Seeds  []netip.AddrPort
	Listen RelayListen
	Store  RelayStore
	Bounds RelayBounds
	// MemoryBytes is the size of the process's memory in bytes above which the
	// process is killed.
	MemoryBytes int64
	// CPUShare is the process's share of a core, LinkMbps the bandwidth of its link in
	// Mbit/s. Hosts with more of both feed the others.
	CPUShare  float64
	LinkMbps  float64
	Placement RelayPlacement
}

// RelayPlacement turns decisions on new flows on that deployments have to ask for.
type RelayPlacement struct {
	// Spillover lets the host send new flows to other failure domains as long as the
	// endpoints of its own answer later.
	Spillover bool
	// RouteShares guarantees each route of a service its part of the room at congested
	// endpoints.
	RouteShares bool
	// EvacuatedWhenIsolated lets a host that has lost contact with the store and with other
	// domains use the endpoints of its own domain although this is evacuated.
	EvacuatedWhenIsolated bool
}

// RelayListen holds the addresses of a relay's listeners.
type RelayListen struct {
	// Packets receives callers' packets over UDP; callers receive packets on the
	// same port.
	Packets netip.AddrPort
	// Ready serves the readiness check over HTTP: whether the host accepts packets.
	Ready netip.AddrPort
	// Feed sends updates of the store's state to other hosts, over TCP.
	Feed netip.AddrPort
	// FeedAdvertised is the address at which other hosts reach Feed; the default
	// is Feed.
	FeedAdvertised netip.AddrPort
	// Notices receives other hosts' notices on flows, over UDP; the default is Feed's address.
	Notices netip.AddrPort
	// Admin serves operators' queries and metrics, over HTTP.
	Admin netip.AddrPort
}

// RelayStore describes the store, which holds the configuration and the entries of
// endpoints and hosts.
type RelayStore struct {
	Address netip.AddrPort
	// History is how long the store retains changes for watches.
	History time.Duration
	// ShortestLease is the shortest lease that the store grants.
	ShortestLease time.Duration
}

// RelayBounds holds the intervals and time limits of a relay.
type RelayBounds struct {
	// Heartbeat is the interval at which endpoints renew their entries; an entry
	// expires after three intervals.
	Heartbeat time.Duration
	// Configuration and Drain are the maximum times from the store's
	// acknowledgement of a configuration, or of an endpoint's draining, until
	// the host acts on it.
	Configuration time.Duration
	Drain         time.Duration
	// Evacuation is the same for an evacuation of a failure domain; 0 if the deployment
	// states none.
	Evacuation time.Duration
	// ColdFactor and ColdAllowance bound the requests that a cold endpoint may get within
	// a second, from all hosts together: the number that its service's configuration
	// states times the factor, plus the allowance.
	ColdFactor    float64
	ColdAllowance float64
	// Stop is the time from SIGTERM to SIGKILL.
	Stop time.Duration
	// FlowLifetime is the age after which a flow's state may be discarded.
	FlowLifetime time.Duration
}

// LoadRelay reads and validates the settings file of a relay. It returns all
// errors together as a finding.List.
func LoadRelay(path string) (*Relay, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, merry.Prepend(err, "read settings")
	}
	s, findings := ParseRelay(path, data)
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// ParseRelay reads a relay's settings from the text of a file; the file name is
// used in findings.
func ParseRelay(file string, data []byte) (*Relay, finding.List) {
	doc, findings := tomldoc.Parse(file, data)
	if doc == nil {
		return nil, findings
	}
	s := readRelay(doc.Root())
	checkRelay(s, doc.Root())
	return s, doc.Findings()
}

func readRelay(root *tomldoc.Table) *Relay {
	root.Require("name", "domain", "listen", "store")
	s := &Relay{
		Name:   root.Text("name"),
		Domain: root.Text("domain"),
		Seeds:  root.Addresses("seeds"),
		Listen: readRelayListen(root.Table("listen"), root.Has("listen")),
		Store:  readRelayStore(root.Table("store"), root.Has("store")),
		Bounds: readRelayBounds(root.Table("bounds")),
	}
	limits := root.Table("limits")
	s.MemoryBytes = limits.IntegerIn("memory_mb", defaultMemoryMB, 1, maxMemoryMB) << 20
	s.CPUShare = limits.Number("cpu_share", defaultCPUShare)
	s.LinkMbps = limits.Number("link_mbps", defaultLinkMbps)
	limits.RejectUnknown()
	placement := root.Table("placement")
	s.Placement = RelayPlacement{
		Spillover:             placement.Flag("spillover"),
		RouteShares:           placement.Flag("route_shares"),
		EvacuatedWhenIsolated: placement.Flag("evacuated_when_isolated"),
	}
	placement.RejectUnknown()
	root.RejectUnknown()
	return s
}

func readRelayListen(t *tomldoc.Table, present bool) RelayListen {
	if present {
		t.Require("packets", "ready", "feed", "admin")
	}
	l := RelayListen{
		Packets: t.Address("packets"),
		Ready:   t.Address("ready"),
		Feed:    t.Address("feed"),
		Admin:   t.Address("admin"),
	}
	l.FeedAdvertised = l.Feed
	if t.Has("feed_advertised") {
		l.FeedAdvertised = t.Address("feed_advertised")
	}
	l.Notices = l.Feed
	if t.Has("notices") {
		l.Notices = t.Address("notices")
	}
	t.RejectUnknown()
	return l
}

func readRelayStore(t *tomldoc.Table, present bool) RelayStore {
	if present {
		t.Require("address")
	}
	s := RelayStore{
		Address:       t.Address("address"),
		History:       t.Duration("history", defaultHistory),
		ShortestLease: t.Duration("shortest_lease", defaultShortestLease),
	}
	t.RejectUnknown()
	return s
}

func readRelayBounds(t *tomldoc.Table) RelayBounds {
	b := RelayBounds{
		Heartbeat:     t.Duration("heartbeat", defaultHeartbeat),
		Configuration: t.Duration("configuration", defaultConfiguration),
		Drain:         t.Duration("drain", defaultDrain),
		Evacuation:    t.Duration("evacuation", 0),
		ColdFactor:    t.Number("cold_factor", defaultColdFactor),
		ColdAllowance: t.Number("cold_allowance", 0),
		Stop:          t.Duration("stop", defaultStop),
		FlowLifetime:  t.Duration("flow_lifetime", defaultFlowLifetime),
	}
	t.RejectUnknown()
	return b
}

// ShortestChange returns the shortest of the times within which a change in the store
// must be in force.
func (b RelayBounds) ShortestChange() time.Duration {
	shortest := min(b.Configuration, b.Drain)
	if b.Evacuation > 0 {
		shortest = min(shortest, b.Evacuation)
	}
	return shortest
}

// checkRelay reports errors that the conversion of single values does not find.
func checkRelay(s *Relay, root *tomldoc.Table) {
	for _, name := range []struct{ key, value string }{{"name", s.Name}, {"domain", s.Domain}} {
		if name.value == "" {
			root.Report(name.key, "is empty", "a name")
		}
	}
	limits := root.Table("limits")
	for _, l := range []struct {
		key   string
		value float64
	}{{"cpu_share", s.CPUShare}, {"link_mbps", s.LinkMbps}} {
		if l.value <= 0 {
			limits.Report(l.key, "is not positive", "a number above 0")
		}
	}
	listen := root.Table("listen")
	all := []listener{
		{"packets", "udp", s.Listen.Packets},
		{"ready", "tcp", s.Listen.Ready},
		{"feed", "tcp", s.Listen.Feed},
		{"notices", "udp", s.Listen.Notices},
		{"admin", "tcp", s.Listen.Admin},
	}
	reportOverlaps(all, listen)
	bounds := root.Table("bounds")
	if s.Bounds.Evacuation < 0 {
		bounds.Report("evacuation", s.Bounds.Evacuation.String()+" is negative", "a duration above 0")
	}
	if s.Bounds.ColdFactor <= 0 {
		bounds.Report("cold_factor", "is not positive", "a number above 0")
	}
	if s.Bounds.ColdAllowance < 0 {
		bounds.Report("cold_allowance", "is negative", "a number from 0")
	}
	for _, b := range []struct {
		key   string
		value time.Duration
	}{
		{"heartbeat", s.Bounds.Heartbeat},
		{"configuration", s.Bounds.Configuration},
		{"drain", s.Bounds.Drain},
		{"stop", s.Bounds.Stop},
		{"flow_lifetime", s.Bounds.FlowLifetime},
	} {
		if b.value <= 0 {
			bounds.Report(b.key, b.value.String()+" is not positive", "a duration above 0")
		}
	}
}
