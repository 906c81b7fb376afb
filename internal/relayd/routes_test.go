package relayd

import (
	"log/slog"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"toucangap/internal/adminapi"
	"toucangap/internal/catalog"
	"toucangap/internal/relay"
	"toucangap/internal/segment"
	"toucangap/platform"
)

// nowhere is a relay.Output that sends nothing.
type nowhere struct{}

func (nowhere) Forward(*catalog.Entry, catalog.Token, []byte) {}
func (nowhere) Reset(catalog.Flow, uint32)                    {}

// TestHeldFlowsAreCountedByRoute: without counts by route, metrics and dumps do not tell
// which route's callers a closed window held or refused.
func TestHeldFlowsAreCountedByRoute(t *testing.T) {
	o := newObserver(slog.New(slog.DiscardHandler), func() time.Duration { return 0 }, metrics.NewRegistry())
	r := relay.New(relay.Options{Domain: "d", MaxFlows: 1000, FlowLifetime: time.Hour, Output: nowhere{}, Observer: o, RouteShares: true}, 0)
	address := catalog.Address{IP: 0xc6120001, Port: 443}
	directory := catalog.NewDirectory(0, time.Hour)
	directory.SetConfiguration(&catalog.Configuration{
		Version: 1, Services: map[string]int{"s": 1}, IdleTimeout: time.Hour,
		Routes: []catalog.Route{{Name: "r-1", Address: address, Timeout: time.Second, Shares: []catalog.Share{{Service: "s", Weight: 1}}}},
	})
	directory.PutEndpoint(0, &catalog.Endpoint{ID: "i-1", Service: "s", Domain: "d", Slots: 2}, catalog.Position{Revision: 1})
	r.SetView(0, directory.View(0))
	for port := uint16(1); port <= 300; port++ {
		s := segment.Segment{Flow: catalog.Flow{Caller: catalog.Address{IP: 1, Port: port}, Destination: address}, Syn: true}
		r.Packet(0, s, platform.Append(make([]byte, platform.RecipientBytes), s, nil))
	}
	counts := r.RouteCounts()
	require.Len(t, counts, 1)
	require.Positive(t, counts[0].Rejected)

	registry := metrics.NewRegistry()
	updateRouteGauges(registry, counts)
	dump := adminapi.Dump{DropsByReason: make(map[string]int64), Totals: make(map[string]int64)}
	dumpRelay(&dump, r, nil, nil)
	for name, n := range map[string]int64{"held": counts[0].Held, "released": counts[0].Released, "rejected": counts[0].Rejected} {
		require.Equal(t, n, registry.Get("flows_"+name+"_route_r-1").(metrics.Gauge).Value())
		require.Equal(t, n, dump.Totals[name+"_route_r-1"])
	}
}
