// Package site runs a small deployment on loopback addresses: hosts as separate
// processes of the real daemon, and the store, endpoints, callers and routers as
// stand-ins in this process. Proxies between them impair streams and datagrams on
// request.
//
// Addresses: callers use 127.1.D.N, hosts 127.2.D.N, endpoints 127.3.0.N, all with
// the same port for packets, as on the platform. Proxies use 127.5 (packets to
// hosts), 127.6 (packets to endpoints), 127.7 (the store) and 127.8 (feeds between
// hosts).
package site

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"toucangap/internal/catalog"
	"toucangap/standin/ends"
	"toucangap/standin/kv"
)

// Options describe a deployment and its load.
type Options struct {
	// Daemon is the path of the daemon's executable, Dir a directory for settings
	// and logs.
	Daemon string
	Dir    string
	// Port is the first of the ports used on each address.
	Port int
	// Seed seeds the choice of requests, callers and configuration versions.
	Seed uint64
	// Domains is the number of failure domains, Hosts of hosts per domain, and
	// Endpoints of endpoints per service.
	Domains   int
	Hosts     int
	Endpoints int
	// Rate is the load in requests per second.
	Rate float64
	// ColdStarts makes endpoints that start during the run cold, with a limit on their
	// new flows.
	ColdStarts bool
	// Prepare is called with the store before the endpoints and the hosts start, unless it
	// is nil.
	Prepare func(*kv.Store)
}

// Names of the services.
const (
	serviceMain  = "main"
	serviceOther = "other"
)

// class describes one kind of request.
type class struct {
	// route is the port of the route's address.
	route   uint16
	service string
	// atMostOnce means that a request must not run twice.
	atMostOnce bool
	// work is the time that a request occupies a slot of an endpoint.
	work        time.Duration
	answerBytes int
	// timeout is the time after which callers give up.
	timeout time.Duration
	// share is the share of all requests.
	share float64
}

var classes = []class{
	{443, serviceMain, false, 10 * time.Millisecond, 1000, 800 * time.Millisecond, 0.6},
	{444, serviceMain, true, 15 * time.Millisecond, 600, time.Second, 0.25},
	{445, serviceOther, false, 5 * time.Millisecond, 20_000, 3 * time.Second, 0.15},
}

// routeIP is the IP address, 198.18.0.1, that callers send to.
const routeIP = 0xc6120001

// Timeouts of the deployment.
const (
	// heartbeat is the interval at which endpoints renew their store entries.
	heartbeat = 400 * time.Millisecond
	// DrainBound is the time after which no flow may start at a draining endpoint,
	// ConfigBound the time within which a configuration must take effect.
	DrainBound  = 3 * time.Second
	ConfigBound = 3 * time.Second
	// StopBound is the time from SIGTERM to SIGKILL.
	StopBound = 4 * time.Second
	// stabilization is the time after a fault until checks apply again.
	stabilization = 4 * time.Second
)

// Site is a running deployment.
type Site struct {
	Options Options
	Store   *kv.Store
	Result  *Result

	mu        sync.Mutex
	started   time.Time
	rng       *rand.Rand
	key       ends.Key
	ledger    *ends.Ledger
	hosts     []*Host
	endpoints []*Endpoint
	callers   []*caller
	version   uint64
	// accepted holds the versions by the time at which the store accepted them.
	accepted    []acceptedVersion
	requests    uint64  // started so far
	dueRequests float64 // not started yet
	lastTick    time.Duration
	// loadOn means that callers start requests.
	loadOn bool
	// boundsSuspendedUntil is when checks with time bounds apply again.
	boundsSuspendedUntil time.Duration
	// excusedLate counts the late flows in the ledger that hosts not in touch sent.
	excusedLate int
	// readsHarmedUntil is when hosts can read the store again, and are in touch.
	readsHarmedUntil time.Duration
	evacuations      map[string]*evacuation // by failure domain
	demand           demand
	wait             sync.WaitGroup
	done             chan struct{}
	servers          []*http.Server
}

// New starts the stand-ins and the hosts, without load. It returns an error if a
// listener, a file or a process can't be created.
func New(o Options) (*Site, error) {
	s := &Site{
		Options: o,
		Store:   kv.New(),
		Result:  newResult(),
		started: time.Now(),
		rng:     rand.New(rand.NewPCG(o.Seed, 3)),
		key:     ends.Key(o.Seed*2 + 1),
		ledger:  ends.NewLedger(),
		done:    make(chan struct{}),

		evacuations: make(map[string]*evacuation),
	}
	if err := s.start(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Site) start() error {
	if err := s.serveStore(); err != nil {
		return err
	}
	if s.Options.Prepare != nil {
		s.Options.Prepare(s.Store)
	}
	s.Configure()
	for i := range s.Options.Endpoints {
		for _, service := range []string{serviceMain, serviceOther} {
			e, err := s.addEndpoint(service, domain(i%s.Options.Domains))
			if err != nil {
				return err
			}
			e.register()
		}
	}
	for d := range s.Options.Domains {
		for range s.Options.Hosts {
			if err := s.addHost(d); err != nil {
				return err
			}
		}
		for i := range callersPerDomain {
			if err := s.addCaller(d, i); err != nil {
				return err
			}
		}
	}
	s.background(5*time.Millisecond, s.tick)
	s.background(heartbeat, s.renewEntries)
	s.background(operatorInterval, s.operate)
	s.background(500*time.Millisecond, s.probe)
	return nil
}

func domain(i int) string { return fmt.Sprintf("d%d", i) }

// background runs a function periodically until the site is closed.
func (s *Site) background(interval time.Duration, run func()) {
	s.wait.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-s.done:
				return
			case <-ticker.C:
				run()
			}
		}
	})
}

// storeAddress returns the address of the store's listener.
func (s *Site) storeAddress() string { return fmt.Sprintf("127.4.0.1:%d", s.Options.Port+8) }

func (s *Site) serveStore() error {
	listener, err := net.Listen("tcp4", s.storeAddress())
	if err != nil {
		return merry.Prepend(err, "listen on the store address")
	}
	server := &http.Server{Handler: s.Store}
	s.servers = append(s.servers, server)
	s.wait.Go(func() { _ = server.Serve(listener) })
	return nil
}

// now returns the time since the start.
func (s *Site) now() time.Duration { return time.Since(s.started) }

// SuspendBounds suspends the checks with time bounds for the span of a fault and
// the stabilization after it.
func (s *Site) SuspendBounds(span time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.boundsSuspendedUntil = max(s.boundsSuspendedUntil, s.now()+span+stabilization)
}

// Configure writes the next version of the configuration, which may skip up to two
// version numbers. It does nothing while the store is busy or silent.
func (s *Site) Configure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	version := s.version + 1 + s.rng.Uint64N(3)
	if s.Store.Put("op/config", []byte(s.configuration(version)), 0) {
		s.version = version
		s.accepted = append(s.accepted, acceptedVersion{version, s.now()})
	}
}

// operatorDelay is how long after a restore of the store the operator writes its
// configuration and evacuations again; endpoints do so with their next heartbeat.
const operatorDelay = 700 * time.Millisecond

// RestoreStore brings the store back from a copy of the given age.
func (s *Site) RestoreStore(age time.Duration) {
	s.Store.Restore(age)
	time.AfterFunc(operatorDelay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.Store.Put("op/config", []byte(s.configuration(s.version)), 0)
		s.reviewEvacuations()
	})
}

// configuration returns the JSON of a version; each has a route of its own.
func (s *Site) configuration(version uint64) string {
	text := fmt.Sprintf(`{"Version":%d,"Routes":[`, version)
	for i, c := range classes {
		kind := "safe"
		if c.atMostOnce {
			kind = "unsafe"
		}
		text += fmt.Sprintf(`{"Name":"r%d","Hostname":"198.18.0.1","Prefix":"/%d/","RouteType":%q,"TimeoutMs":%d,`+
			`"TargetLatencyMs":200,"Priority":%d,"Service":%q},`, i, c.route, kind, c.timeout.Milliseconds(), i, c.service)
	}
	text += fmt.Sprintf(`{"Name":"v","Hostname":"198.18.0.9","Prefix":"/%d/","RouteType":"safe","TimeoutMs":500,`+
		`"TargetLatencyMs":200,"Priority":2,"Service":"other"}],`, 1000+version%1000)
	cold := ""
	if s.Options.ColdStarts {
		cold = fmt.Sprintf(`,"ColdStartS":%v,"ColdPerS":%v`, coldFor.Seconds(), coldPerSecond)
	}
	return text + `"Services":[{"Name":"main","HealthCheckPath":"/h","MaxConnections":2000` + cold + `},` +
		`{"Name":"other","HealthCheckPath":"/h","MaxConnections":2000` + cold + `}],"Limits":{"IdleTimeoutMs":15000}}`
}

// Version returns the newest version of the configuration that the store accepted.
func (s *Site) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// tick runs the due work of endpoints and callers and starts requests.
func (s *Site) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for _, e := range s.endpoints {
		e.send(e.Tick(now))
	}
	for _, c := range s.callers {
		c.tick(now)
	}
	s.startRequests(now)
}

// SetLoad starts or stops the callers' requests.
func (s *Site) SetLoad(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loadOn = on
}

// Locked runs f under the site's lock.
func (s *Site) Locked(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// BoundsApply reports whether checks with time bounds apply.
func (s *Site) BoundsApply() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now() > s.boundsSuspendedUntil
}

// RecordViolation records a violation at the current time.
func (s *Site) RecordViolation(text string) { s.Result.recordViolation(s.now(), text) }

// Last sums the requests started in the span before the last second, whose requests
// may still be in progress.
func (s *Site) Last(span time.Duration) (t Second) {
	s.mu.Lock()
	defer s.mu.Unlock()
	end := len(s.Result.Seconds) - 2
	for i := max(0, end-int(span/time.Second)); i < end; i++ {
		t.Asked += s.Result.Seconds[i].Asked
		t.Answered += s.Result.Seconds[i].Answered
		t.Failed += s.Result.Seconds[i].Failed
	}
	return t
}

// Finish adds the violations in the endpoints' ledger to the result.
func (s *Site) Finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range []struct {
		name string
		n    int
	}{
		{"requests ran twice", len(s.ledger.RanTwice)},
		{"requests ran at another service", len(s.ledger.WrongService)},
		{"packets that their sender did not write", s.ledger.Forged},
		{"flows started at draining endpoints too late", s.ledger.LateFlows - s.excusedLate},
	} {
		if v.n > 0 {
			s.Result.recordViolation(s.now(), fmt.Sprintf("%s: %d", v.name, v.n))
		}
	}
}

// Hosts returns the hosts, domain by domain.
func (s *Site) Hosts() []*Host { return s.hosts }

// Close kills the hosts and stops everything else that the site has started. It may
// be called again.
func (s *Site) Close() {
	select {
	case <-s.done:
		return
	default:
		close(s.done)
	}
	for _, h := range s.hosts {
		h.terminate()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
	s.mu.Lock()
	for _, e := range s.endpoints {
		e.close()
	}
	for _, c := range s.callers {
		_ = c.conn.Close()
	}
	s.mu.Unlock()
	s.wait.Wait()
}

// addressOf converts an IPv4 address and port to a catalog.Address.
func addressOf(a netip.AddrPort) catalog.Address {
	address, _ := catalog.AddressFrom(a)
	return address
}
