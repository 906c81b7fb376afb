package control

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/internal/config"
	"toucangap/internal/flow"
	"toucangap/internal/peerpb"
	"toucangap/internal/rollout"
	"toucangap/internal/steer"
)

// harnessHosts and harnessEndpoints are the names that the scripts in testdata may
// use.
var (
	harnessHosts     = []string{"a", "b", "c"}
	harnessEndpoints = []string{"e1", "e2", "e3", "e4"}
)

// harnessServices are the services of every bundle, indexed by service ID.
var harnessServices = []string{"", "coap", "tcp"}

// harnessWeight is the weight of every endpoint.
const harnessWeight = 4

// harness runs hosts in virtual time and records their decisions.
type harness struct {
	t     *testing.T
	now   Time
	hosts map[string]*harnessHost
	flows map[string]*harnessFlow
	out   strings.Builder
	// quiet suppresses the output of decisions.
	quiet bool
}

// harnessHost is the process of a host; its config.Host is what the other hosts
// know of it.
type harnessHost struct {
	config.Host
	control *Control
	shard   *steer.Shard
	runs    bool
	// offered holds the last offer printed, by receiver.
	offered map[string]string
}

// harnessFlow is a flow with the endpoint that its last packet was forwarded to.
type harnessFlow struct {
	name     string
	key      flow.Key
	endpoint netip.AddrPort
}

func newHarness(t *testing.T) *harness {
	return &harness{t: t, hosts: make(map[string]*harnessHost), flows: make(map[string]*harnessFlow)}
}

// replay runs a script and returns it with each line followed by its decisions.
func (r *harness) replay(script string) string {
	for line := range strings.Lines(script) {
		line = strings.TrimSpace(line)
		fmt.Fprintln(&r.out, line)
		if f := strings.Fields(line); len(f) > 0 && f[0] != "#" {
			r.runLine(f[0], f[1:])
		}
	}
	return r.out.String()
}

// print adds a decision to the output unless quiet is set.
func (r *harness) print(host, format string, args ...any) {
	if r.quiet {
		return
	}
	fmt.Fprintf(&r.out, "    %.1fs %s %s\n", r.now.Seconds(), host, fmt.Sprintf(format, args...))
}

func (r *harness) runLine(verb string, args []string) {
	switch verb {
	case "start":
		for _, name := range args {
			r.start(name)
		}
		r.updateHosts()
	case "kill":
		r.kill(args[0])
	case "dead":
		r.hosts[args[0]].State = config.HostDead
		r.updateHosts()
	case "leave":
		r.hosts[args[0]].control.Leave(r.now)
	case "bundle":
		r.bundle(args)
	case "mark":
		m := rollout.Mark{Draining: args[4] == "drain", Revision: uint64(r.number(args[3]))}
		m.Service = config.ServiceID(slices.Index(harnessServices, args[1]))
		m.Endpoint = endpointID(args[2])
		if !r.hosts[args[0]].control.SetMark(r.now, m) {
			r.print(args[0], "ignores the mark")
		}
	case "flow":
		r.findFlow(args)
	case "records":
		r.records(args)
	case "run", "settle":
		r.quiet = verb == "settle"
		d, err := time.ParseDuration(args[0])
		require.NoError(r.t, err)
		for end := r.now + d; r.now < end; r.tick() {
		}
		r.quiet = false
	default:
		r.packet(verb, args)
	}
}

func (r *harness) number(s string) int {
	n, err := strconv.Atoi(s)
	require.NoError(r.t, err)
	return n
}

// start starts a process and connects it to the running ones.
func (r *harness) start(name string) {
	shared := steer.NewShared()
	at := netip.AddrFrom4([4]byte{10, 0, 0, byte(slices.Index(harnessHosts, name) + 1)})
	h := &harnessHost{
		Host: config.Host{
			Name: name, Group: "g", Packets: netip.AddrPortFrom(at, 7000),
			Incarnation: 1, State: config.HostJoining,
		},
		shard:   steer.NewShard(shared, 1, 1000),
		runs:    true,
		offered: make(map[string]string),
	}
	h.control = New(h.Host, Options{Shards: 1, Shared: shared})
	r.hosts[name] = h
	for _, other := range r.running() {
		if other != h {
			r.updateHosts()
			h.control.Connected(r.now, other.Name)
			other.control.Connected(r.now, name)
		}
	}
}

func (r *harness) kill(name string) {
	r.hosts[name].runs = false
	for _, h := range r.running() {
		h.control.Disconnected(name)
	}
}

// running returns the running processes in order of name.
func (r *harness) running() []*harnessHost {
	var out []*harnessHost
	for _, name := range harnessHosts {
		if h := r.hosts[name]; h != nil && h.runs {
			out = append(out, h)
		}
	}
	return out
}

// updateHosts passes the states of all hosts to every running process.
func (r *harness) updateHosts() {
	var all []config.Host
	for _, name := range harnessHosts {
		if h := r.hosts[name]; h != nil {
			all = append(all, h.Host)
		}
	}
	for _, h := range r.running() {
		h.control.SetHosts(r.now, all)
	}
}

func endpointID(name string) config.EndpointID {
	return config.EndpointID(slices.Index(harnessEndpoints, name) + 1)
}

func endpointAddress(name string) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, 0, byte(endpointID(name))}), 5683)
}

// endpointName is the reverse of endpointAddress.
func endpointName(a netip.AddrPort) string {
	return "e" + strconv.Itoa(int(a.Addr().As4()[3]))
}

func serviceAddress(service string) netip.AddrPort {
	return netip.MustParseAddrPort("192.0.2." + strconv.Itoa(slices.Index(harnessServices, service)) + ":80")
}

// bundle puts a bundle in force at all running hosts.
func (r *harness) bundle(args []string) {
	b := &config.Bundle{Version: config.Version(r.number(args[0])), HashSeed: 1}
	var endpoints []config.Endpoint
	for _, s := range args[1:] {
		if rate, ok := strings.CutPrefix(s, "rate="); ok {
			b.Limits.RequestsPerSecond = r.number(rate)
			continue
		}
		name, maxFlows, _ := strings.Cut(s, "/")
		e := config.Endpoint{ID: endpointID(name), Name: name, Address: endpointAddress(name), Weight: harnessWeight, Slots: 1}
		if maxFlows != "" {
			e.MaxFlows = r.number(maxFlows)
		}
		endpoints = append(endpoints, e)
	}
	b.Services = []config.Service{
		{ID: 1, Name: "coap", Protocol: flow.UDP, Requests: config.RequestProtocolCoAP},
		{ID: 2, Name: "tcp", Protocol: flow.TCP},
	}
	for i := range b.Services {
		s := &b.Services[i]
		s.Address, s.Group, s.Balance = serviceAddress(s.Name), "g", config.BalanceSteady
		s.Class, s.DefaultDeadline, s.Endpoints = config.ClassUrgent, 10*time.Second, endpoints
	}
	for _, h := range r.running() {
		if !h.control.SetBundle(r.now, b, nil, nil) {
			r.print(h.Name, "ignores bundle %d", b.Version)
		}
	}
}

// findFlow searches for a caller whose flow ranks hosts and endpoints in the given
// rendezvous orders, each of which may be a prefix of the whole order.
func (r *harness) findFlow(args []string) {
	f := &harnessFlow{name: args[0]}
	f.key = flow.Key{Protocol: flow.UDP, Service: serviceAddress(args[1])}
	if args[1] == "tcp" {
		f.key.Protocol = flow.TCP
	}
	for port := uint16(1024); port < 60000; port++ {
		f.key.Caller = netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 51, 100, 1}), port)
		fp := f.key.Fingerprint(1)
		hosts := rendezvous(fp, harnessHosts, flow.Score)
		endpoints := rendezvous(fp, harnessEndpoints, func(fp flow.Fingerprint, node flow.NodeHash) uint64 {
			return flow.WeightedScore(fp, node, harnessWeight)
		})
		if strings.HasPrefix(hosts, args[2]) && strings.HasPrefix(endpoints, args[3]) && r.flowName(fp) == "?" {
			r.flows[f.name] = f
			return
		}
	}
	r.t.Fatalf("no flow with the orders %v", args)
}

// rendezvous returns the names in descending order of their scores for a flow.
func rendezvous(fp flow.Fingerprint, names []string, score func(flow.Fingerprint, flow.NodeHash) uint64) string {
	ranked := slices.SortedFunc(slices.Values(names), func(a, b string) int {
		return cmp.Compare(score(fp, flow.HashName(b)), score(fp, flow.HashName(a)))
	})
	return strings.Join(ranked, ",")
}

// flowName returns the name of a flow for the output.
func (r *harness) flowName(fp flow.Fingerprint) string {
	for name, f := range r.flows {
		if f.key.Fingerprint(1) == fp {
			return name
		}
	}
	return "?"
}

// packet delivers a packet to a host and to each host that it is passed to.
func (r *harness) packet(verb string, args []string) {
	f := r.flows[args[1]]
	require.NotNil(r.t, f, args[1])
	p := steer.Packet{Direction: steer.FromCaller, Key: f.key}
	switch verb {
	case "answer", "finback", "shed":
		p.Direction, p.Endpoint = steer.FromEndpoint, f.endpoint
		if len(args) > 3 {
			p.Endpoint = endpointAddress(args[3])
		}
	}
	if f.key.Protocol == flow.UDP {
		p.HasCoAP = true
		p.CoAP = r.message(verb, args[2:])
	}
	p.TCP = steer.TCP{Flags: steer.TCPAck}
	switch verb {
	case "syn":
		p.TCP.Flags = steer.TCPSyn
	case "fin", "finback":
		p.TCP.Flags |= steer.TCPFin
	case "data":
		p.TCP.Payload = 1
	}
	for host := r.hosts[args[0]]; host != nil; {
		v := host.shard.Packet(r.now, &p)
		r.print(host.Name, "%s", verdictText(v))
		if v.Action == steer.ActionForward {
			f.endpoint = v.Endpoint
		}
		host, p.Hop = r.passTarget(v), v.Hop
	}
}

// passTarget returns the host that a packet is passed to, or nil.
func (r *harness) passTarget(v steer.Verdict) *harnessHost {
	for _, h := range r.running() {
		if v.Action == steer.ActionPass && v.Peer == h.Packets {
			return h
		}
	}
	return nil
}

// message builds a CoAP message.
func (r *harness) message(verb string, args []string) steer.CoAP {
	id := r.number(args[0])
	codes := map[string]uint8{"get": 1, "post": 2, "answer": 69, "shed": 163}
	m := steer.CoAP{Code: codes[verb], MessageID: uint16(id), Token: steer.Token{Length: 1}}
	m.Token.Bytes[0] = byte(id)
	if m.IsRequest() && len(args) > 1 {
		d, err := time.ParseDuration(args[1])
		require.NoError(r.t, err)
		m.Deadline = d
	}
	return m
}

// records delivers a record from a peer to a host.
func (r *harness) records(args []string) {
	key := r.flows[args[2]].key
	s := &peerpb.ServiceRecords{
		Service:      uint32(key.Service.Addr().As4()[3]),
		Fingerprints: []uint64{uint64(key.Fingerprint(1))},
		Endpoints:    []uint32{uint32(endpointID(args[3]))},
	}
	m := &peerpb.Records{Sequence: 1 << 62, Services: []*peerpb.ServiceRecords{s}}
	r.hosts[args[0]].control.Receive(r.now, args[1], envelope(m))
}

// tick runs all hosts for one period.
func (r *harness) tick() {
	r.now += TickPeriod
	type sent struct {
		from string
		Send
	}
	var sends []sent
	for _, h := range r.running() {
		out := h.control.Tick(r.now)
		for _, s := range out.Sends {
			sends = append(sends, sent{h.Name, s})
		}
		r.printCommand(h, &out.Commands[0])
		result := h.shard.Execute(r.now, &out.Commands[0])
		for _, n := range result.Notices {
			r.print(h.Name, "notice %s token %d: reply %d %s", r.flowName(n.Flow.Fingerprint(1)), n.Message.Token.Bytes[0], n.Reply, n.Reason)
		}
		h.control.Report(r.now, 0, result)
		if h.State != out.State {
			h.State = out.State
			r.print(h.Name, "state %s", out.State)
			r.updateHosts()
		}
		if out.ShutdownComplete {
			r.print(h.Name, "ends")
			r.kill(h.Name)
		}
	}
	for _, s := range sends {
		r.describe(r.hosts[s.from], s.Host, s.Message)
		if to := r.hosts[s.Host]; to.runs {
			to.control.Receive(r.now, s.from, s.Message)
		}
	}
}
