package steer

import (
	"flag"
	"fmt"
	"net/netip"
	"os"
	"testing"
	"time"

	"toucangap/internal/config"
	"toucangap/internal/flow"
)

// TestMain fixes the seed of the randomized tests; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	err := flag.Set("rapid.seed", "1")
	if err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// testNow is late enough for every timeout that started at 0 to have elapsed.
const testNow = Time(time.Hour)

// newTestTable returns a table with an endpoint for each weight.
func newTestTable(policy config.BalancePolicy, weights ...int) *Table {
	service := &config.Service{ID: 1, Balance: policy}
	var endpoints []*Endpoint
	for i, weight := range weights {
		c := config.Endpoint{
			ID: config.EndpointID(i + 1), Name: fmt.Sprintf("e%d", i+1), Weight: weight, Slots: 1,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, 0, byte(i + 1)}), 5683),
		}
		service.Endpoints = append(service.Endpoints, c)
		endpoints = append(endpoints, NewEndpoint(1, c))
	}
	return NewTable(service, endpoints)
}

// testFlow returns the fingerprint of test flow i.
func testFlow(i int) flow.Fingerprint {
	key := flow.Key{Protocol: flow.UDP, Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 51, 100, byte(i >> 16)}), uint16(i))}
	return key.Fingerprint(1)
}
