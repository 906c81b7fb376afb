package caller

import (
	"context"
	"fmt"
	"hash/fnv"
	"net"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/standin/endpoint"
	"toucangap/standin/fabric"
	"toucangap/standin/inner"
	"toucangap/standin/rotation"
	"toucangap/standin/topology"
)

// route decides what a host does with a caller's packet: it returns
// the endpoint to forward it to, or an answer for the caller.
type route func(b *testbed, p inner.Packet) (to netip.AddrPort, answer *inner.Packet)

// testbed runs callers, stateless hosts and endpoints in one process.
type testbed struct {
	topology *topology.Topology
	fabric   *fabric.Fabric
	group    *endpoint.Group
	route    route
}

// byHash selects the endpoint by a hash of the caller's address and port.
func byHash(b *testbed, p inner.Packet) (netip.AddrPort, *inner.Packet) {
	s := b.service(p.Destination)
	h := fnv.New32a()
	fmt.Fprint(h, p.Source)
	return s.Endpoints[int(h.Sum32())%len(s.Endpoints)].Address, nil
}

func (b *testbed) service(address netip.AddrPort) *topology.Service {
	for i := range b.topology.Services {
		if b.topology.Services[i].Address == address {
			return &b.topology.Services[i]
		}
	}
	return nil
}

func listenLoopback(t *testing.T) *net.UDPConn {
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return c
}

func addressOf(c *net.UDPConn) netip.AddrPort {
	return c.LocalAddr().(*net.UDPAddr).AddrPort()
}

func service(name string, protocol topology.Protocol, address string, endpoints int) topology.Service {
	s := topology.Service{Name: name, Protocol: protocol, Address: netip.MustParseAddrPort(address)}
	for i := range endpoints {
		s.Endpoints = append(s.Endpoints, topology.Endpoint{
			Name: fmt.Sprintf("%s-%d", name, i+1), Address: netip.MustParseAddrPort("127.0.0.1:0"),
		})
	}
	return s
}

const testbedHosts = 4

// newTestbed starts the endpoints, hosts and fabric.
func newTestbed(t *testing.T, route route, impairment fabric.Impairment) *testbed {
	ctx, cancel := context.WithCancel(context.Background())
	b := &testbed{route: route, topology: &topology.Topology{Services: []topology.Service{
		service("alerts", topology.UDP, "10.96.0.1:5683", 4),
		service("bulletins", topology.UDP, "[fd00:96::2]:5683", 2),
		service("alerts-stream", topology.TCP, "10.96.0.3:7000", 4),
	}}}
	callers, answers := make([]*net.UDPConn, testbedHosts), make([]*net.UDPConn, testbedHosts)
	for i := range testbedHosts {
		callers[i], answers[i] = listenLoopback(t), listenLoopback(t)
		b.topology.Hosts = append(b.topology.Hosts, topology.Host{
			Callers: addressOf(callers[i]), Endpoints: addressOf(answers[i]),
		})
	}
	var err error
	b.fabric, err = fabric.Listen(netip.MustParseAddrPort("127.0.0.1:0"), rotation.New(callerListeners(b.topology)), impairment, 7)
	require.NoError(t, err)
	config := endpoint.DefaultConfig()
	config.ServiceTime = time.Millisecond
	b.group, err = endpoint.NewGroup(b.topology, config)
	require.NoError(t, err)
	b.setEndpointAddresses()
	control := httptest.NewServer(b.group.Handler())
	b.topology.Control = netip.MustParseAddrPort(control.Listener.Addr().String())
	served := make(chan struct{})
	go func() {
		defer close(served)
		b.group.ServeTraffic(ctx)
	}()
	t.Cleanup(func() {
		control.Close()
		cancel()
		<-served
	})
	for i := range testbedHosts {
		go b.forward(callers[i])
		go b.forwardAnswers(answers[i])
	}
	return b
}

func (b *testbed) setEndpointAddresses() {
	bound := b.group.Addresses()
	for i := range b.topology.Services {
		for j := range b.topology.Services[i].Endpoints {
			b.topology.Services[i].Endpoints[j].Address = bound[0]
			bound = bound[1:]
		}
	}
}

func (b *testbed) forward(c *net.UDPConn) {
	buffer := make([]byte, inner.MaxSize)
	for {
		n, _, err := c.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, err := inner.Decode(buffer[:n])
		if err != nil {
			continue
		}
		to, answer := b.route(b, p)
		if to.IsValid() {
			c.WriteToUDPAddrPort(buffer[:n], to)
		}
		if answer != nil {
			data, _ := inner.Encode(*answer)
			c.WriteToUDPAddrPort(data, b.fabric.Address())
		}
	}
}

func (b *testbed) forwardAnswers(c *net.UDPConn) {
	buffer := make([]byte, inner.MaxSize)
	for {
		n, _, err := c.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		c.WriteToUDPAddrPort(buffer[:n], b.fabric.Address())
	}
}

// run performs a short run and returns its summary.
func (b *testbed) run(t *testing.T, change func(*Options)) *Summary {
	o := DefaultOptions()
	o.Duration = 1500 * time.Millisecond
	o.Flows, o.Streams, o.Rate, o.FlowRequests = 20, 10, 100, 5
	o.StreamInterval = 100 * time.Millisecond
	o.Window = 300 * time.Millisecond
	if change != nil {
		change(&o)
	}
	s, err := runWithFabric(t.Context(), b.fabric, b.topology, o)
	require.NoError(t, err)
	return s
}
