package peerlink

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/ansel1/merry/v2"

	"toucangap/internal/config"
	"toucangap/internal/peerpb"
)

// Manager maintains the links of one host. It is safe for concurrent use.
type Manager struct {
	options       Options
	self          atomic.Pointer[config.Host]
	listener      net.Listener
	notifications chan Notification
	meter         *meter
	inbound       *inboundSet
	running       sync.WaitGroup
	context       context.Context
	cancel        context.CancelFunc

	mu    sync.Mutex
	peers map[string]*peer
	// stopping holds removed peers that have not ended yet, so that a new peer
	// of the same name starts after them.
	stopping map[string]*peer
}

// New listens on the control address and starts accepting links. It fails with
// ErrPlainText, ErrTLSIncomplete or the listener's error.
func New(options Options) (*Manager, error) {
	options = options.withDefaults()
	if err := options.check(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", options.Self.Control.String())
	if err != nil {
		return nil, merry.Prepend(err, "listen for peers")
	}
	m := &Manager{
		options:       options,
		listener:      listener,
		notifications: make(chan Notification, notificationBuffer),
		meter:         newMeter(options.Registry),
		inbound:       newInboundSet(),
		peers:         make(map[string]*peer),
		stopping:      make(map[string]*peer),
	}
	m.context, m.cancel = context.WithCancel(context.Background())
	m.SetSelf(options.Self)
	m.running.Go(m.acceptLoop)
	return m, nil
}

// Address returns the address that the manager listens on.
func (m *Manager) Address() netip.AddrPort {
	return m.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Notifications returns the channel of notifications. It is never closed. If it is
// not read, the links to and from the peers stall, but the Manager's methods do
// not block.
func (m *Manager) Notifications() <-chan Notification {
	return m.notifications
}

// SetSelf changes the content of the Hello on later links. The name and the
// addresses must not change.
func (m *Manager) SetSelf(self config.Host) {
	m.self.Store(&self)
}

// SetPeers sets the hosts to maintain sending links to. Missing links are dialed
// and superfluous ones closed in the background; a peer whose control address
// changed is dialed anew. The host itself and hosts that have left or are dead
// are ignored.
func (m *Manager) SetPeers(hosts []config.Host) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.context.Err() != nil {
		return
	}
	desired := m.desired(hosts)
	for name, p := range m.peers {
		if host, ok := desired[name]; !ok || host.Control != p.host.Control {
			m.stopLocked(p)
		}
	}
	for name, host := range desired {
		if m.peers[name] == nil {
			m.startLocked(host)
		}
	}
}

func (m *Manager) desired(hosts []config.Host) map[string]config.Host {
	desired := make(map[string]config.Host, len(hosts))
	for _, host := range hosts {
		departed := host.State == config.HostLeft || host.State == config.HostDead
		if !departed && host.Name != m.options.Self.Name {
			desired[host.Name] = host
		}
	}
	return desired
}

func (m *Manager) startLocked(host config.Host) {
	p := newPeer(m, host, m.stopping[host.Name])
	m.peers[host.Name] = p
	m.running.Go(func() {
		p.run()
		m.removeStopped(p)
	})
}

func (m *Manager) stopLocked(p *peer) {
	delete(m.peers, p.host.Name)
	m.stopping[p.host.Name] = p
	p.cancel()
}

// removeStopped removes a stopped peer that has ended.
func (m *Manager) removeStopped(p *peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopping[p.host.Name] != p {
		return
	}
	delete(m.stopping, p.host.Name)
	if m.peers[p.host.Name] == nil {
		m.meter.unregister(p.host.Name)
	}
}

// Send encodes a message and queues it for a host. It never blocks. It fails with
// ErrNotConnected, ErrQueueFull or ErrTooLarge, or if the message can't be
// encoded.
func (m *Manager) Send(host string, envelope *peerpb.Envelope) error {
	m.mu.Lock()
	p := m.peers[host]
	m.mu.Unlock()
	if p == nil {
		return merry.Wrap(ErrNotConnected, merry.AppendMessagef("host %s", host), merry.NoCaptureStack())
	}
	return p.send(envelope)
}

// Close closes all links and waits for their goroutines.
func (m *Manager) Close() error {
	m.mu.Lock()
	m.cancel()
	m.mu.Unlock()
	err := m.listener.Close()
	m.running.Wait()
	return err
}

// notify delivers a notification to the control goroutine. It returns false if the
// context is done first.
func (m *Manager) notify(ctx context.Context, n Notification) bool {
	if ctx.Err() != nil {
		return false
	}
	select {
	case m.notifications <- n:
		return true
	case <-ctx.Done():
		return false
	}
}

func (m *Manager) hello() *peerpb.Envelope {
	self := m.self.Load()
	return &peerpb.Envelope{Body: &peerpb.Envelope_Hello{Hello: &peerpb.Hello{
		Host:        self.Name,
		Incarnation: self.Incarnation,
		Domain:      self.Domain,
		Group:       self.Group,
	}}}
}
