package soak

import (
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/internal/catalog"
	"toucangap/internal/segment"
	"toucangap/platform"
	"toucangap/standin/site"
)

// daemon is the path of the executable under test, which is built once.
var daemon string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "toucangap-soak-test.")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	daemon = filepath.Join(dir, "toucangapd")
	build := exec.Command("go", "build", "-o", daemon, "toucangap/binaries/toucangapd")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	return m.Run()
}

// newSite starts a small site; each test uses its own ports.
func newSite(t *testing.T, port int) (*site.Site, *monitor) {
	s, err := site.New(site.Options{
		Daemon: daemon, Dir: t.TempDir(), Port: port, Seed: 1, Domains: 1, Hosts: 1, Endpoints: 3, Rate: 50,
	})
	require.NoError(t, err)
	t.Cleanup(s.Close)
	require.True(t, waitReady(t.Context(), s))
	return s, newMonitor(s)
}

func requireViolation(t *testing.T, s *site.Site, text string) {
	require.Contains(t, strings.Join(s.Violations(), "\n"), text)
}

// TestCalmSitePasses: without faults no check reports a violation.
func TestCalmSitePasses(t *testing.T) {
	report, err := Run(t.Context(), Options{Daemon: daemon, Port: 18400, Domains: 2, Hosts: 1, Rate: 50}, Schedule{Seed: 1})
	require.NoError(t, err)
	require.Empty(t, report.Violations, report.Faults)
	require.Positive(t, report.Total.Answered)
	require.Zero(t, report.Total.Failed, report.Faults)
}

// TestNotRecovered: a host that is suspended at the end is detected.
func TestNotRecovered(t *testing.T) {
	s, m := newSite(t, 18410)
	s.SetLoad(true)
	s.Hosts()[0].Pause(time.Minute)
	m.pollUntil(t.Context(), time.Now().Add(6*time.Second))
	m.checkRecovered()
	requireViolation(t, s, "not recovered")
	s.SetLoad(false)
	m.checkRemainingFlows()
	requireViolation(t, s, "does not answer")
}

// TestHostEndsByItself: an exit that the soak did not cause is detected.
func TestHostEndsByItself(t *testing.T) {
	s, m := newSite(t, 18420)
	h := s.Hosts()[0]
	require.NoError(t, syscall.Kill(h.PID(), syscall.SIGKILL))
	require.Eventually(t, func() bool { return h.Failures() > 0 }, 10*time.Second, 10*time.Millisecond)
	m.checkResources()
	requireViolation(t, s, "exited unexpectedly")
}

// TestSlowStop: a host that does not shut down in time is detected.
func TestSlowStop(t *testing.T) {
	s, _ := newSite(t, 18470)
	require.NoError(t, syscall.Kill(s.Hosts()[0].PID(), syscall.SIGSTOP))
	stopHost(s, Fault{})
	require.Eventually(t, func() bool {
		return len(s.Violations()) > 0
	}, 20*time.Second, 50*time.Millisecond)
	requireViolation(t, s, "took too long")
}

// TestBoundsOfHosts: exceeding any single limit of a host is detected.
func TestBoundsOfHosts(t *testing.T) {
	s, m := newSite(t, 18450)
	m.memory = 1
	m.checkResources()
	requireViolation(t, s, "bytes and")
	m.memory = maxMemory
	before := len(s.Violations())
	m.descriptors = 1
	m.checkResources()
	require.Len(t, s.Violations(), before+1)
	m.flows = -1
	m.checkRemainingFlows()
	requireViolation(t, s, "holds 0 flows")
}

// TestLateConfiguration: a host that does not get the newest version in time is
// detected, and one whose version decreases.
func TestLateConfiguration(t *testing.T) {
	s, m := newSite(t, 18460)
	h := s.Hosts()[0]
	require.Eventually(t, func() bool { return h.Age() > site.ConfigBound }, 20*time.Second, 50*time.Millisecond)
	h.Store.Set(site.Impairment{CutUp: true, CutDown: true}, time.Minute)
	s.Configure()
	m.pollUntil(t.Context(), time.Now().Add(site.ConfigBound+time.Second))
	requireViolation(t, s, "newest is")
	m.versions[h.Name] = observation{version: 1 << 40, process: h.PID()}
	m.poll()
	requireViolation(t, s, "went back")
}

// TestLedgerChecks: violations recorded by endpoints are reported.
func TestLedgerChecks(t *testing.T) {
	s, _ := newSite(t, 18430)
	s.Endpoints(func(e *site.Endpoint) {
		e.Ledger.RanTwice = append(e.Ledger.RanTwice, 1)
		e.Ledger.WrongService = append(e.Ledger.WrongService, 1)
		e.Ledger.LateFlows = 1
		e.Receive(0, 0, make([]byte, 40))
	})
	s.Finish()
	for _, text := range []string{"ran twice", "another service", "did not write", "too late"} {
		requireViolation(t, s, text)
	}
}

// TestResetAtLivingEndpoint: a host's reset of a flow that is open at a running
// endpoint is detected.
func TestResetAtLivingEndpoint(t *testing.T) {
	s := forge(t, 18440, func(f catalog.Flow) []byte { return platform.AppendReset(nil, f, 0) })
	requireViolation(t, s, "open flow reset at a living endpoint")
}

// TestWrongAnswer: a caller detects a packet that no endpoint sent.
func TestWrongAnswer(t *testing.T) {
	s := forge(t, 18480, func(f catalog.Flow) []byte {
		back := catalog.Flow{Caller: f.Destination, Destination: f.Caller}
		return platform.Append(nil, segment.Segment{Flow: back, Ack: true, Checksum: 1}, []byte("no answer"))
	})
	requireViolation(t, s, "wrong answer or forged packet")
}

// forge sends a forged packet of an open flow to the flow's caller and waits for a
// violation.
func forge(t *testing.T, port int, packet func(catalog.Flow) []byte) *site.Site {
	s, _ := newSite(t, port)
	s.Endpoints(func(e *site.Endpoint) { e.SlowDown(100) })
	s.SetLoad(true)
	var flow catalog.Flow
	require.Eventually(t, func() bool {
		found, ok := s.AnyOpenFlow()
		flow = found
		return ok
	}, 10*time.Second, 5*time.Millisecond)
	conn, err := net.Dial("udp4", net.JoinHostPort(flow.Caller.AddrPort().Addr().String(), strconv.Itoa(port)))
	require.NoError(t, err)
	defer conn.Close()
	_, err = conn.Write(packet(flow))
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		return len(s.Violations()) > 0
	}, 10*time.Second, 5*time.Millisecond)
	return s
}

// TestLateEvacuation: a host that does not learn of an evacuation and goes on sending new
// flows to the domain is detected.
func TestLateEvacuation(t *testing.T) {
	s, _ := newSite(t, 18490)
	s.Hosts()[0].Store.Set(site.Impairment{CutUp: true, CutDown: true}, time.Minute)
	s.Evacuate("d0", time.Minute)
	s.SetLoad(true)
	require.Eventually(t, func() bool { return len(s.Violations()) > 0 }, 20*time.Second, 50*time.Millisecond)
	requireViolation(t, s, "in evacuated domain d0")
}

// TestColdEndpointOverLimit: new flows at a cold endpoint above its limit are detected. Hosts
// are not told that the endpoints are cold, so that no host can obey the limit.
func TestColdEndpointOverLimit(t *testing.T) {
	s, err := site.New(site.Options{
		Daemon: daemon, Dir: t.TempDir(), Port: 18500, Seed: 1, Domains: 1, Hosts: 1, Endpoints: 2, Rate: 200, ColdStarts: true,
	})
	require.NoError(t, err)
	t.Cleanup(s.Close)
	require.True(t, waitReady(t.Context(), s))
	s.Endpoints(func(e *site.Endpoint) { e.ExpectCold(time.Minute) })
	s.SetLoad(true)
	require.Eventually(t, func() bool { return len(s.Violations()) > 0 }, 20*time.Second, 50*time.Millisecond)
	requireViolation(t, s, "new flows within a second")
}

// TestSchedulesRepeat: a schedule is determined by its seed.
func TestSchedulesRepeat(t *testing.T) {
	for _, storeKinds := range []bool{false, true} {
		require.Equal(t, NewSchedule(7, time.Second, storeKinds), NewSchedule(7, time.Second, storeKinds))
		require.NotEqual(t, NewSchedule(7, time.Second, storeKinds), NewSchedule(8, time.Second, storeKinds))
	}
}
