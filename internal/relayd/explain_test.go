package relayd

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/internal/admin"
	"toucangap/internal/adminapi"
	"toucangap/internal/catalog"
	"toucangap/internal/relay"
	"toucangap/internal/settings"
)

// newQueries returns the queries of a host in the domain "d" with the route "web" to
// 198.18.0.1:8080 and the endpoints i-1 and, cold and in another domain, i-2.
func newQueries(t *testing.T) *queries {
	directory := catalog.NewDirectory(0, time.Minute)
	directory.SetConfiguration(&catalog.Configuration{
		Version:  8,
		Services: map[string]int{"render": 10},
		Routes: []catalog.Route{{
			Name: "web", Address: catalog.Address{IP: 0xc6120001, Port: 8080}, Timeout: time.Second,
			Shares: []catalog.Share{{Service: "render", Weight: 1}},
		}},
	})
	for i, domain := range []string{"d", "far"} {
		directory.PutEndpoint(0, &catalog.Endpoint{
			ID: []string{"i-1", "i-2"}[i], Service: "render", Domain: domain, Slots: 2, ColdFor: time.Duration(i) * time.Hour,
		}, catalog.Position{Incarnation: 1, Revision: uint64(i + 1)})
	}
	directory.Advance(catalog.Position{Incarnation: 1, Revision: 77})
	view := directory.View(0)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	d := &Daemon{settings: &settings.Relay{Name: "a"}, control: &control{}}
	d.control.view.Store(view)
	d.traffic = &traffic{
		clock: newClock(), conn: conn, tasks: make(chan func()),
		relay: relay.New(relay.Options{Domain: "d", MaxFlows: 10, FlowLifetime: time.Minute}, 0),
	}
	d.traffic.relay.SetView(0, view)
	go func() {
		for task := range d.traffic.tasks {
			task()
		}
	}()
	t.Cleanup(func() { close(d.traffic.tasks) })
	return &queries{daemon: d}
}

// TestExplain guards against an answer that loses a part of the relay's explanation, and
// against a route that is found by its name only or its address only.
func TestExplain(t *testing.T) {
	q := newQueries(t)
	query := admin.ExplainQuery{Caller: netip.MustParseAddrPort("100.66.0.31:1082"), Service: "web", Limit: 20}
	byName, err := q.Explain(t.Context(), query)
	require.NoError(t, err)
	require.Equal(t, adminapi.ExplainResponse{
		Host: "a", Flow: "100.66.0.31:1082>198.18.0.1:8080", Route: "web", Service: "render", Version: 8, Position: "1/77",
		Outcome: "placed", Cause: "lowest_cost", Endpoint: "i-1", Limit: byName.Limit, CandidateCount: 2,
		Candidates: []adminapi.ExplainCandidate{
			{Name: "i-1", Domain: "d", Available: true, Reasons: []string{}, Cost: 20_000, Expected: 20_000},
			{
				Name: "i-2", Domain: "far", Available: true, Reasons: []string{"cold", "other_domain"},
				Cost: 44_000, Expected: 40_000, OtherDomain: 4000,
			},
		},
	}, byName)
	require.Positive(t, byName.Limit, "the window is closed after a start")
	query.Service = "198.18.0.1:8080"
	byAddress, err := q.Explain(t.Context(), query)
	require.NoError(t, err)
	require.Equal(t, byName, byAddress)

	query.Service, query.Limit = "198.18.0.1:8081", 0
	refused, err := q.Explain(t.Context(), query)
	require.NoError(t, err)
	require.Equal(t, []string{"refused", "no_route"}, []string{refused.Outcome, refused.Cause})

	query.Service = "unknown"
	_, err = q.Explain(t.Context(), query)
	require.ErrorIs(t, err, errNoRoute)
	query.Caller = netip.MustParseAddrPort("[2001:db8::1]:9")
	_, err = q.Explain(t.Context(), query)
	require.ErrorIs(t, err, errCaller)
}
