// Package engine runs one host: it connects the decision code, which does no I/O,
// to sockets, clocks and peers. One goroutine owns all control state and each
// traffic goroutine owns one shard; they exchange typed values only.
package engine

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rcrowley/go-metrics"

	"toucangap/internal/config"
	"toucangap/internal/control"
	"toucangap/internal/event"
	"toucangap/internal/flow"
	"toucangap/internal/membership"
	"toucangap/internal/membership/udp"
	"toucangap/internal/peerlink"
	"toucangap/internal/platform"
	"toucangap/internal/rollout"
	"toucangap/internal/settings"
	"toucangap/internal/steer"
	"toucangap/internal/traffic"
)

// defaultFlows limits the flow table if the settings set no limit.
const defaultFlows = 1_000_000

// Engine is a running host.
type Engine struct {
	settings *settings.Settings
	logger   *slog.Logger
	start    time.Time
	self     config.Host
	// view is the current view, in which traffic readers look up services.
	view     atomic.Pointer[steer.View]
	shared   *steer.Shared
	shards   []*steer.Shard
	plane    *traffic.Plane
	links    *peerlink.Manager
	members  *membership.Members
	control  *control.Control
	registry metrics.Registry
	probes   *udp.Conn
	// inbox carries messages from other goroutines to the control goroutine.
	inbox      chan message
	background []backgroundFunc
	stopped    chan struct{}
	follower   *rollout.Follower
	// pendingBundle is a bundle that control has not accepted yet, or nil.
	pendingBundle    *rollout.Decision
	noBundleLoggedAt time.Duration
	client           *platform.Client
	runner           *rollout.Runner
	registrar        *rollout.Registrar
	marks            *rollout.MarkStore
	roleUpdatedAt    time.Duration
	// platformLost holds, by host name, whether the peer's last offer reported that
	// the peer can't reach the platform.
	platformLost map[string]bool
	// context is the context of Run.
	context context.Context
	// platform is the platform's state as shown in the status.
	platform atomic.Pointer[string]
}

// message is a unit of work for the control goroutine.
type message interface {
	apply(e *Engine, now time.Duration)
}

// backgroundFunc runs in a goroutine of its own until the context ends. An error
// that it returns earlier stops the engine.
type backgroundFunc func(ctx context.Context) error

// inboxSize is the capacity of the inbox.
const inboxSize = 1024

// New creates an Engine and binds its sockets.
func New(s *settings.Settings, logger *slog.Logger) (*Engine, error) {
	e := &Engine{
		settings: s,
		logger:   logger,
		start:    time.Now(),
		shared:   steer.NewShared(),
		registry: metrics.NewRegistry(),
		inbox:    make(chan message, inboxSize),
		stopped:  make(chan struct{}),

		platformLost: make(map[string]bool),
	}
	e.view.Store(&steer.View{})
	e.self = e.describeSelf()
	e.follower = rollout.NewFollower(e.self.Name, e.self.Domain, e.verifyBundle)
	if err := e.openTraffic(); err != nil {
		return nil, err
	}
	if err := e.openPeers(); err != nil {
		return nil, err
	}
	e.control = control.New(e.self, control.Options{Shards: len(e.shards), Shared: e.shared})
	if err := e.openPlatform(); err != nil {
		return nil, err
	}
	if err := e.openAdmin(); err != nil {
		return nil, err
	}
	e.background = append(e.background, e.plane.Run, e.receiveProbes, e.receiveLinkNotifications, e.runMetrics)
	return e, nil
}

// describeSelf returns this host's description for its peers. The wall clock makes
// the incarnation higher than that of any former process of the same name.
func (e *Engine) describeSelf() config.Host {
	s := e.settings
	return config.Host{
		Name:        s.Name,
		Domain:      s.Domain,
		Group:       s.Group,
		Packets:     s.Listen.Packets,
		Control:     s.Listen.Control,
		Probe:       s.Listen.Probe,
		Incarnation: uint64(e.start.Unix()),
		State:       config.HostJoining,
	}
}

// openTraffic creates the shards and binds the packet sockets.
func (e *Engine) openTraffic() error {
	workers := e.settings.Limits.TrafficGoroutines
	if workers <= 0 {
		workers = runtime.NumCPU()
	}
	flows := e.settings.Limits.MaxFlows
	if flows <= 0 {
		flows = defaultFlows
	}
	for range workers {
		e.shards = append(e.shards, steer.NewShard(e.shared, workers, flows/workers))
	}
	plane, err := traffic.Open(traffic.Config{
		Listen:     e.settings.Listen,
		Fabric:     e.settings.Fabric,
		Workers:    workers,
		Now:        e.now,
		Classifier: classifier{e},
		NewDecider: func(shard int) traffic.Decider { return e.shards[shard] },
		Logger:     e.logger,
	})
	if err != nil {
		return err
	}
	e.plane = plane
	return nil
}

// openPeers binds the control and probe sockets and creates the membership state.
func (e *Engine) openPeers() error {
	server, client, err := peerTLS(e.settings.TLS)
	if err != nil {
		return err
	}
	e.links, err = peerlink.New(peerlink.Options{
		Self:      e.self,
		ServerTLS: server,
		ClientTLS: client,
		Logger:    e.logger,
		Registry:  e.registry,
	})
	if err != nil {
		return err
	}
	if e.probes, err = udp.Listen(udp.Options{
		Address:  e.settings.Listen.Probe,
		Logger:   e.logger,
		Registry: e.registry,
	}); err != nil {
		return err
	}
	seed := uint64(flow.HashName(e.self.Name))
	rng := rand.New(rand.NewPCG(seed, e.self.Incarnation))
	e.members = membership.New(e.self, membership.Options{Seeds: e.settings.Peers}, rng)
	return nil
}

// now returns the monotonic time since the engine was created.
func (e *Engine) now() time.Duration {
	return time.Since(e.start)
}

// Run serves until the context ends, a background function fails or a graceful
// shutdown is complete.
func (e *Engine) Run(ctx context.Context) error {
	event.Log(e.logger, event.ProcessStarted, slog.String("host", e.self.Name))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.context = ctx
	var group sync.WaitGroup
	failures := make(chan error, len(e.background))
	run := func(s backgroundFunc) {
		group.Go(func() {
			if err := s(ctx); err != nil && ctx.Err() == nil {
				failures <- err
				cancel()
			}
		})
	}
	for _, s := range e.background {
		run(s)
	}
	if err := e.loadInitialBundle(); err != nil {
		return err
	}
	e.loop(ctx)
	cancel()
	close(e.stopped)
	err := e.links.Close()
	group.Wait()
	event.Log(e.logger, event.ProcessStopped, slog.String("host", e.self.Name))
	select {
	case failure := <-failures:
		return failure
	default:
		return merry.Prepend(err, "close peer links")
	}
}

// post sends a message to the control goroutine and blocks while the inbox is full.
func (e *Engine) post(ctx context.Context, m message) {
	select {
	case e.inbox <- m:
	case <-ctx.Done():
	case <-e.stopped:
	}
}

// classifier looks up services for the traffic readers without locks.
type classifier struct {
	engine *Engine
}

// Fingerprint implements traffic.FlowClassifier.
func (c classifier) Fingerprint(key flow.Key) flow.Fingerprint {
	return c.engine.view.Load().Fingerprint(key)
}

// ReadsRequests implements traffic.FlowClassifier.
func (c classifier) ReadsRequests(key flow.Key) bool {
	return c.engine.view.Load().ReadsRequests(key)
}
