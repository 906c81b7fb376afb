// Package relayd runs a host that forwards flows by tokens: the traffic
// goroutine with its relay, the control goroutine with the replica of the
// store's configuration, endpoints and hosts, and the goroutines that receive
// updates from the store and the feeds of other hosts.
package relayd

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"runtime/debug"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rcrowley/go-metrics"

	"toucangap/internal/admin"
	"toucangap/internal/coldstart"
	"toucangap/internal/event"
	"toucangap/internal/feed"
	"toucangap/internal/follow"
	"toucangap/internal/logbuf"
	"toucangap/internal/outlier"
	"toucangap/internal/relay"
	"toucangap/internal/settings"
	"toucangap/platform"
)

const (
	// maxFlows bounds the flow table; a flow takes some 400 bytes.
	maxFlows = 100_000
	// gcPercent is the percentage by which the heap may grow between two
	// collections. It keeps the heap small, since small hosts have little
	// memory; with a small heap collections are cheap.
	gcPercent = 20
	// memoryShare is the share of the configured memory limit that the Go
	// runtime may use.
	memoryShare = 0.6
	// logFlushTimeout bounds writing the buffered log lines when the process
	// exits.
	logFlushTimeout = 200 * time.Millisecond
)

// Daemon is the process of one host.
type Daemon struct {
	settings  *settings.Relay
	timings   follow.Timings
	clock     *clock
	logWriter *logbuf.Writer
	logger    *slog.Logger
	store     *platform.Store
	control   *control
	traffic   *traffic
	ready     *readiness
	registrar *registrar
	exchange  *exchange
	notices   *notices
	syncer    *syncer
	staleness *stalenessMonitor
	// isolation is nil unless the settings ask for it.
	isolation *isolation
	registry  metrics.Registry

	readyListener net.Listener
	feedListener  net.Listener
	admin         *admin.Server
}

// New sets up a host and binds its listeners. Log lines go to out. It also sets
// the garbage collector's parameters of the process.
func New(s *settings.Relay, out io.Writer, level slog.Level) (*Daemon, error) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(s.MemoryBytes) * memoryShare))
	d := &Daemon{
		settings:  s,
		timings:   follow.NewTimings(s.Bounds.ShortestChange()),
		clock:     newClock(),
		logWriter: logbuf.New(out),
		store:     platform.NewStore(s.Store.Address),
		registry:  metrics.NewRegistry(),
	}
	d.logger = slog.New(slog.NewTextHandler(d.logWriter, &slog.HandlerOptions{Level: level}))
	d.control = newControl(d.clock, d.logger, d.registry, s.Bounds.FlowLifetime, s.Store.History)
	d.control.name, d.control.domain = s.Name, s.Domain
	host := follow.Host{Name: s.Name, Domain: s.Domain, Feed: s.Listen.FeedAdvertised, Notices: s.Listen.Notices,
		Capacity: follow.CapacityOf(s.CPUShare, s.LinkMbps)}
	d.ready = &readiness{control: d.control, logger: d.logger}
	d.registrar = newRegistrar(host, d.store, d.control, d.logger, s.Store.ShortestLease)
	if err := d.listen(); err != nil {
		d.logWriter.Close(logFlushTimeout)
		return nil, err
	}
	d.syncer = d.newSyncer()
	d.staleness = newStalenessMonitor(d.syncer, s.Bounds.ShortestChange())
	d.ready.stale = d.staleness.reason
	d.store.OnReceived(d.syncer.received)
	d.registerGauges(d.registry)
	return d, nil
}

// listen binds all sockets.
func (d *Daemon) listen() error {
	conn, err := listenPackets(d.settings.Listen.Packets)
	if err != nil {
		return err
	}
	d.traffic = &traffic{
		clock:      d.clock,
		conn:       conn,
		control:    d.control,
		logger:     d.logger,
		observer:   newObserver(d.logger, d.control.age, d.registry),
		callerPort: d.settings.Listen.Packets.Port(),
		idleWait:   maxIdleWait,
		tasks:      make(chan func(), 1),
	}
	var isolated func(probe bool) bool
	if d.settings.Placement.EvacuatedWhenIsolated {
		d.isolation = newIsolation(d.control, d.clock, d.store, d.timings)
		isolated = d.isolation.isolated
	}
	if d.notices, err = newNotices(d.settings.Listen.Notices, d.traffic); err != nil {
		return err
	}
	d.traffic.relay = relay.New(relay.Options{
		Domain:       d.settings.Domain,
		MaxFlows:     maxFlows,
		FlowLifetime: d.settings.Bounds.FlowLifetime,
		Output:       d.traffic,
		Observer:     d.traffic.observer,
		Hosts:        func() int { return int(d.control.hostCount.Load()) },
		HomeHosts:    func() int { return int(d.control.homeHostCount.Load()) },
		Isolated:     isolated,
		Holders:      d.notices.exchange,
		Cold: coldstart.Rules{
			Host:       coldstart.Host{Name: d.settings.Name, Domain: d.settings.Domain},
			Hosts:      d.control.registrations.Load,
			ViewAge:    d.control.age,
			MaxViewAge: d.timings.MaxAge,
			Bounds:     coldstart.Bounds{Factor: d.settings.Bounds.ColdFactor, Allowance: d.settings.Bounds.ColdAllowance},
		},
		RouteShares: d.settings.Placement.RouteShares,
		Spillover:   d.settings.Placement.Spillover,

		SpilloverChanged: d.traffic.observer.spilloverChanged,
		DomainChanged:    d.traffic.observer.domainChanged,
	}, d.clock.Monotonic())
	d.control.onPublish = d.traffic.wake
	d.exchange = &exchange{host: d.settings.Name, clock: d.clock, traffic: d.traffic, aggregator: outlier.NewAggregator()}
	if d.readyListener, err = listenTCP(d.settings.Listen.Ready); err != nil {
		return err
	}
	if d.feedListener, err = listenTCP(d.settings.Listen.Feed); err != nil {
		return err
	}
	d.admin, err = admin.New(admin.Options{
		Address:  d.settings.Listen.Admin,
		Queries:  &queries{daemon: d},
		Registry: d.registry,
		Refresh:  d.refreshMetrics,
		Logger:   d.logger,
	})
	return err
}

func listenTCP(address netip.AddrPort) (net.Listener, error) {
	listener, err := net.Listen("tcp4", address.String())
	return listener, merry.Prepend(err, "listen")
}

func (d *Daemon) refreshMetrics() {
	d.traffic.do(func() {
		stats := d.traffic.relay.Stats()
		updateRelayGauges(d.registry, &stats)
		updateNoticeGauges(d.registry, d.notices.exchange.Stats())
		updateColdGauges(d.registry, d.traffic.relay, d.clock.Monotonic())
		updateDomainGauges(d.registry, d.traffic.relay)
		updateRouteGauges(d.registry, d.traffic.relay.RouteCounts())
		updateSpilloverGauges(d.registry, d.traffic.relay.Spillover(d.clock.Monotonic()))
	})
}

// Run serves until the context ends or a component fails. It returns the error
// of that component, or nil if the context was canceled.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.logWriter.Close(logFlushTimeout)
	event.Log(d.logger, event.ProcessStarted,
		slog.String("host", d.settings.Name), slog.String("domain", d.settings.Domain),
		slog.String("packets", d.settings.Listen.Packets.String()),
		slog.String("feed", d.settings.Listen.Feed.String()),
		slog.String("store", d.settings.Store.Address.String()))
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(context.Canceled)
	start := func(run func() error) {
		go func() {
			if err := run(); err != nil {
				cancel(err)
			}
		}()
	}
	go d.control.run(ctx)
	start(func() error { return d.ready.serve(ctx, d.readyListener) })
	start(func() error { return d.admin.Run(ctx) })
	start(func() error { return d.feedServer().Serve(ctx, d.feedListener) })
	start(func() error { return d.traffic.run() })
	go d.notices.run()
	go d.syncer.run(ctx)
	go d.staleness.run(ctx)
	go d.exchange.run(ctx)
	if d.isolation != nil {
		go d.isolation.run(ctx)
	}
	d.registrar.start(ctx)
	<-ctx.Done()
	d.traffic.stop()
	d.feedListener.Close()
	d.notices.close()
	err := context.Cause(ctx)
	if errors.Is(err, context.Canceled) || errors.Is(err, errStopped) {
		err = nil
	}
	event.Log(d.logger, event.ProcessStopped, slog.Bool("failed", err != nil), slog.Any("error", err))
	return err
}

func (d *Daemon) feedServer() *feed.Server {
	return &feed.Server{
		Domain:         d.settings.Domain,
		Source:         d.control,
		Exchange:       d.exchange,
		Logger:         d.logger,
		SilenceTimeout: d.timings.SilenceTimeout,
		BootTime:       d.clock.BootTime,
	}
}

func (d *Daemon) newSyncer() *syncer {
	s := &syncer{
		host:      d.registrar.host,
		seeds:     d.settings.Seeds,
		clock:     d.clock,
		control:   d.control,
		store:     d.store,
		exchange:  d.exchange,
		timings:   d.timings,
		logger:    d.logger,
		retryAt:   make(map[string]time.Duration),
		transfers: newHistogram(d.registry, "update_transfer_milliseconds"),
	}
	s.follower = &follow.Follower{
		Store:    d.store,
		Timings:  d.timings,
		Logger:   d.logger,
		BootTime: d.clock.BootTime,
		OnBatch:  func(b follow.Batch) { d.control.apply(context.Background(), b) },
	}
	return s
}
