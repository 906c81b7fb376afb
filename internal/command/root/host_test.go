package root

import (
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"toucangap/internal/adminapi"
	"toucangap/internal/command"
	"toucangap/internal/keys"
	"toucangap/internal/settings"
	"toucangap/internal/tlsconf"
)

// statusOf returns the status of a host that lists itself and the hosts c and
// gone.
func statusOf(name string, version uint64) adminapi.Status {
	return adminapi.Status{
		Host: name, Domain: "port-louis", Group: "mauritius", State: "live",
		Version: version, Digest: "c3db4f5cb541652328e1", Platform: "reachable",
		Hosts: []adminapi.HostStatus{
			{Name: name, Domain: "port-louis", State: "live", Version: version, Connected: true},
			{Name: "c", Domain: "curepipe", State: "live", Version: 7, Connected: true},
			{Name: "gone", Domain: "curepipe", State: "left", Version: 6},
		},
	}
}

// normalize replaces the address of the host, which differs between runs, and
// reduces the padding, which depends on its length, to one space.
func normalize(text string, h *host) string {
	text = strings.ReplaceAll(text, h.address(), "HOST")
	lines := strings.Split(text, "\n")
	for i, line := range lines {
		lines[i] = strings.Join(strings.Fields(line), " ")
	}
	return strings.Join(lines, "\n")
}

func TestStatus(t *testing.T) {
	s := newSession(t)
	a := newHost(t, map[string]any{adminapi.PathStatus: statusOf("a", 8)})
	b := newHost(t, map[string]any{adminapi.PathStatus: statusOf("b", 7)})
	out := s.mustRun("--host", a.address(), "--host", b.address(), "status")
	require.Contains(t, out, "newest bundle version: 8\noutdated: b has version 7\noutdated: c has version 7\n")
	require.Contains(t, out, "SEEN BY OTHERS")
	out = s.mustRun("--host", a.address(), "-o", "json", "status")
	require.Contains(t, out, `"lacking": [`)

	b.Close()
	code, out, errOut := s.run("--host", a.address(), "--host", b.address(), "status")
	require.Equal(t, command.ExitFailure, code)
	require.Contains(t, out, "failed: ")
	require.Contains(t, errOut, "1 of 2 hosts failed")
}

func TestDump(t *testing.T) {
	s := newSession(t)
	h := newHost(t, map[string]any{adminapi.PathDump: adminapi.Dump{
		Status: statusOf("a", 8),
		Services: []adminapi.ServiceDump{{ID: 1, Name: "alerts", Endpoints: []adminapi.EndpointDump{
			{ID: 1, Name: "alerts-1", Domain: "port-louis", State: "live", Flows: 3, Requests: 1, PeersFlows: 9},
		}}},
		Peers:         []adminapi.PeerDump{{Name: "b", RecordsQueued: 2, RecordsReceived: 5, Baseline: 8, LeaseUntilMs: 900}},
		Budgets:       adminapi.BudgetDump{ControlBytesPerSecond: 4096, ControlBytesSent: 77, RecordsWaiting: 2},
		DropsByReason: map[string]int64{"fragment": 4, "truncated": 1},
		Flows:         []adminapi.FlowDump{{Fingerprint: "00000000000000ff", Service: "alerts", Owned: true, Endpoint: "alerts-1", Exception: true, IdleMs: 12, Requests: 1}},
		FlowsHeld:     3,
		Truncated:     true,
		Totals:        map[string]int64{"packets": 100},
		Marks:         []adminapi.MarkCommand{{Service: "alerts", Endpoint: "alerts-2", Draining: true}},
	}})
	golden(t, "dump", s.mustRun("--host", h.address(), "dump", "--limit", "1"))
	require.Equal(t, []string{"GET /v1/dump?limit=1"}, h.requests)
}

func TestFlow(t *testing.T) {
	s := newSession(t)
	h := newHost(t, map[string]any{adminapi.PathFlow: adminapi.FlowResponse{
		Fingerprint: "00ff", Service: "alerts", Owner: "a", Successor: "b", Default: "alerts-1",
		Endpoint: "alerts-2", Why: "record", Detail: "held for b",
	}})
	out := s.mustRun("--host", h.address(), "flow", "udp", "203.0.113.9:40000", "alerts")
	golden(t, "flow", normalize(out, h))
	require.Equal(t, []string{"GET /v1/flow?caller=203.0.113.9%3A40000&protocol=udp&service=alerts"}, h.requests)
}

// TestExplain guards against a verb that leaves out what the host has answered: the
// outcome, the parts of costs, the reasons, and how many endpoints are not shown.
func TestExplain(t *testing.T) {
	s := newSession(t)
	h := newHost(t, map[string]any{adminapi.PathExplain: adminapi.ExplainResponse{
		Host: "a", Flow: "203.0.113.9:40000>198.18.0.1:8080", Route: "web", Service: "render", Version: 8, Position: "1/77",
		Existing: &adminapi.ExistingFlow{State: "ended", Endpoint: "i-2", IdleMs: 12},
		Outcome:  "placed", Cause: "lowest_cost", Endpoint: "i-1", InFlight: 3, Held: 1, Limit: 4.25,
		Candidates: []adminapi.ExplainCandidate{
			{Name: "i-1", Domain: "east", Available: true, Cost: 23_000, Expected: 20_000, InProgress: 3000, Flows: 2, Requests: 1},
			{Name: "i-2", Domain: "west", Reasons: []string{"evacuated", "other_domain"}, Cost: 124_050, Expected: 20_000, OtherDomain: 4000, Failures: 100_050},
		},
		CandidateCount: 5,
	}})
	arguments := []string{"--host", h.address(), "explain", "--caller", "203.0.113.9:40000", "--service", "198.18.0.1:8080"}
	golden(t, "explain", normalize(s.mustRun(append(arguments, "--limit", "2")...), h))
	require.Equal(t, []string{"GET /v1/explain?caller=203.0.113.9%3A40000&limit=2&service=198.18.0.1%3A8080"}, h.requests)
	require.Contains(t, s.mustRun(append([]string{"-o", "json"}, arguments...)...), `"other_domain_microseconds": 4000`)

	for _, wrong := range [][]string{arguments[:5], append(arguments[:4:4], "x", "--service", "web"), append(arguments, "rest")} {
		code, _, errOut := s.run(wrong...)
		require.Equal(t, command.ExitUsage, code, "%v: %s", wrong, errOut)
	}
	code, out, _ := s.run(append([]string{"--host", newHost(t, nil).address()}, arguments[2:]...)...)
	require.Equal(t, command.ExitFailure, code)
	require.Contains(t, out, "no such service")
}

func TestHostCommands(t *testing.T) {
	s := newSession(t)
	h := newHost(t, map[string]any{
		adminapi.PathMark: adminapi.Accepted{Message: "marked"},
		adminapi.PathStop: adminapi.Accepted{Message: "stopping"},
	})
	require.Contains(t, s.mustRun("--host", h.address(), "drain", "alerts", "alerts-2"), ": marked\n")
	s.mustRun("--host", h.address(), "undrain", "alerts", "alerts-2")
	require.Contains(t, s.mustRun("--host", h.address(), "stop"), ": stopping\n")
	require.Equal(t, []string{
		`POST /v1/mark {"service":"alerts","endpoint":"alerts-2","draining":true}`,
		`POST /v1/mark {"service":"alerts","endpoint":"alerts-2","draining":false}`,
		`POST /v1/stop {}`,
	}, h.requests)

	refusing := newHost(t, nil)
	code, out, _ := s.run("--host", refusing.address(), "drain", "bulletin", "x")
	require.Equal(t, command.ExitFailure, code)
	require.Contains(t, out, "failed: host refused: no such service")
}

// TestAdminAcceptsGeneratedKeys checks that an admin interface for operators
// accepts the generated operator's key, and rejects a host's key and no key.
func TestAdminAcceptsGeneratedKeys(t *testing.T) {
	s := newSession(t)
	s.operators()
	s.mustRun("keys", "host", "a", "--address", "127.0.0.1", "--dir", s.dir)
	config, err := tlsconf.Server(settings.TLS{
		Authority: s.path("authority.pem"), Certificate: s.path("a.pem"), Key: s.path("a.key"),
	}, keys.RoleOperator)
	require.NoError(t, err)
	h := &host{}
	h.Server = httptest.NewUnstartedServer(h.handler(map[string]any{adminapi.PathStatus: statusOf("a", 8)}))
	h.TLS = config
	h.Config.ErrorLog = tlsconf.RefusedConnectionLog(slog.New(slog.DiscardHandler))
	h.StartTLS()
	t.Cleanup(h.Close)
	statusArguments := func(name string) []string {
		return []string{"--host", h.address(), "--ca", s.path("authority.pem"), "--cert", s.path(name + ".pem"), "--key", s.path(name + ".key"), "status"}
	}
	s.mustRun(statusArguments("anjali")...)
	code, _, _ := s.run(statusArguments("a")...)
	require.Equal(t, command.ExitFailure, code, "a host's key")
	code, _, _ = s.run("--host", h.address(), "status")
	require.Equal(t, command.ExitFailure, code, "no key")
}
