package peerlink

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"toucangap/internal/config"
	"toucangap/internal/event"
	"toucangap/internal/peerpb"
)

// peer maintains the sending link to one host: it dials, serves the link until it
// breaks, and dials again after a delay.
type peer struct {
	manager *Manager
	host    config.Host
	// previous is an earlier peer of the same name that must end first, or nil.
	previous *peer
	// ended is closed when run returns.
	ended   chan struct{}
	context context.Context
	cancel  context.CancelFunc
	// link is the established link, or nil.
	link atomic.Pointer[link]
	// attempts counts dial attempts.
	attempts atomic.Int64
	// failing is set while attempts fail, so that only the first failure is logged.
	failing bool
}

func newPeer(m *Manager, host config.Host, previous *peer) *peer {
	p := &peer{
		manager:  m,
		host:     host,
		previous: previous,
		ended:    make(chan struct{}),
	}
	p.context, p.cancel = context.WithCancel(m.context)
	return p
}

// run dials and serves links until the peer is stopped.
func (p *peer) run() {
	defer close(p.ended)
	defer p.cancel()
	if p.previous != nil {
		<-p.previous.ended
		p.previous = nil
	}
	retry := newBackoff()
	for p.context.Err() == nil {
		if p.connectAndServe() >= stableAfter {
			retry = newBackoff()
		}
		sleep(p.context, retry.next())
	}
}

// connectAndServe dials a link, serves it until it ends and returns how long it
// was up.
func (p *peer) connectAndServe() time.Duration {
	p.attempts.Add(1)
	l, err := p.dial()
	if err != nil {
		p.logUnreachable(err)
		return 0
	}
	p.failing = false
	start := time.Now()
	p.serve(l)
	return time.Since(start)
}

// serve makes the link available to send, writes queued frames and returns when it
// breaks. Disconnected follows each Connected unless the Manager has been closed.
func (p *peer) serve(l *link) {
	defer l.close()
	p.link.Store(l)
	if !p.manager.notify(p.context, Connected{Host: p.host.Name}) {
		p.link.Store(nil)
		return
	}
	p.log(event.PeerConnected)
	err := l.writeLoop(p.context)
	p.link.Store(nil)
	p.log(event.PeerDisconnected, slog.String("error", err.Error()))
	p.manager.notify(p.manager.context, Disconnected{Host: p.host.Name})
}

func (p *peer) logUnreachable(err error) {
	if p.failing || p.context.Err() != nil {
		return
	}
	p.failing = true
	p.log(event.PeerUnreachable, slog.String("error", err.Error()))
}

func (p *peer) log(id event.ID, attrs ...slog.Attr) {
	attrs = append(attrs, slog.String("host", p.host.Name), slog.String("address", p.host.Control.String()))
	event.Log(p.manager.options.Logger, id, attrs...)
}

func (p *peer) send(envelope *peerpb.Envelope) error {
	l := p.link.Load()
	if l == nil {
		return merry.Wrap(ErrNotConnected, merry.AppendMessagef("host %s", p.host.Name), merry.NoCaptureStack())
	}
	f, err := encode(envelope)
	if err != nil {
		return err
	}
	if !l.enqueue(f) {
		p.manager.meter.dropped(p.host.Name)
		return merry.Wrap(ErrQueueFull, merry.AppendMessagef("host %s", p.host.Name), merry.NoCaptureStack())
	}
	return nil
}
