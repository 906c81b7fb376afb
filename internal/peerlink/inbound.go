package peerlink

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"toucangap/internal/event"
	"toucangap/internal/peerpb"
)

// acceptRetryDelay is the delay after a failed accept, for example for lack of
// file descriptors.
const acceptRetryDelay = 50 * time.Millisecond

// inbound is an accepted connection whose Hello was valid.
type inbound struct {
	host   string
	cancel context.CancelFunc
	// ended is closed once the last message was delivered.
	ended chan struct{}
}

// inboundSet holds at most one accepted connection per host, the newest.
type inboundSet struct {
	// slots holds a token for each open connection, at most maxInbound.
	slots chan struct{}
	mu    sync.Mutex
	hosts map[string]*inbound
}

func newInboundSet() *inboundSet {
	return &inboundSet{
		slots: make(chan struct{}, maxInbound),
		hosts: make(map[string]*inbound),
	}
}

// replace registers the connection, cancels an older one of the same host and
// waits until that has delivered its last message.
func (s *inboundSet) replace(in *inbound) {
	s.mu.Lock()
	old := s.hosts[in.host]
	s.hosts[in.host] = in
	s.mu.Unlock()
	if old != nil {
		old.cancel()
		<-old.ended
	}
}

func (s *inboundSet) remove(in *inbound) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hosts[in.host] == in {
		delete(s.hosts, in.host)
	}
}

func (s *inboundSet) names() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make([]string, 0, len(s.hosts))
	for name := range s.hosts {
		names = append(names, name)
	}
	return names
}

func (m *Manager) acceptLoop() {
	for m.context.Err() == nil {
		conn, err := m.listener.Accept()
		if err != nil {
			sleep(m.context, acceptRetryDelay)
			continue
		}
		select {
		case m.inbound.slots <- struct{}{}:
			m.running.Go(func() { m.serveInbound(conn) })
		default:
			conn.Close()
			m.refused(conn, merry.Wrap(ErrTooManyConnections))
		}
	}
}

// serveInbound serves one inbound connection until it ends.
func (m *Manager) serveInbound(raw net.Conn) {
	defer func() { <-m.inbound.slots }()
	ctx, cancel := context.WithCancel(m.context)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	defer stop()
	defer raw.Close()
	if err := m.acceptAndServe(ctx, cancel, raw); err != nil && m.context.Err() == nil {
		m.refused(raw, err)
	}
}

// acceptAndServe returns an error if the connection was refused, and nil once an
// accepted one has ended.
func (m *Manager) acceptAndServe(ctx context.Context, cancel context.CancelFunc, raw net.Conn) error {
	conn, verify, err := m.secureInbound(ctx, raw)
	if err != nil {
		return err
	}
	session, err := yamux.Server(&coalescingConn{Conn: conn}, muxConfig(false))
	if err != nil {
		return merry.Prepend(err, "open session")
	}
	defer session.Close()
	stream, reader, hello, err := m.acceptHello(ctx, session, verify)
	if err != nil {
		return err
	}
	host := hello.GetHello().GetHost()
	in := &inbound{host: host, cancel: cancel, ended: make(chan struct{})}
	m.inbound.replace(in)
	defer m.removeInbound(in)
	defer close(in.ended)
	return m.serveAccepted(ctx, in, stream, reader, hello)
}

// removeInbound removes an ended connection, and the counters of its host unless
// the host is a peer.
func (m *Manager) removeInbound(in *inbound) {
	m.inbound.remove(in)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.peers[in.host] == nil {
		m.meter.unregister(in.host)
	}
}

// serveAccepted replies with this host's Hello and delivers the peer's messages.
func (m *Manager) serveAccepted(ctx context.Context, in *inbound, stream *yamux.Stream, reader *bufio.Reader, hello *peerpb.Envelope) error {
	reply, err := encode(m.hello())
	if err != nil {
		return err
	}
	if _, err := stream.Write(reply.bytes); err != nil {
		return merry.Prepend(err, "reply to hello")
	}
	m.meter.sent(in.host, reply)
	m.meter.received(in.host, hello)
	if !m.notify(ctx, Received{Host: in.host, Envelope: hello}) {
		return nil
	}
	for {
		envelope, err := decode(reader)
		if errors.Is(err, proto.Error) {
			return merry.Wrap(ErrProtocol, merry.WithCause(err))
		}
		if err != nil {
			return nil
		}
		m.meter.received(in.host, envelope)
		if !m.notify(ctx, Received{Host: in.host, Envelope: envelope}) {
			return nil
		}
	}
}

// acceptHello accepts the stream, reads the peer's Hello and checks its host name.
func (m *Manager) acceptHello(ctx context.Context, session *yamux.Session, verify verifier) (*yamux.Stream, *bufio.Reader, *peerpb.Envelope, error) {
	accept, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	stream, err := session.AcceptStreamWithContext(accept)
	if err != nil {
		return nil, nil, nil, merry.Prepend(err, "accept stream")
	}
	if err := stream.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, nil, nil, merry.Prepend(err, "set deadline")
	}
	reader := bufio.NewReader(stream)
	hello, err := readHello(reader)
	if err != nil {
		return nil, nil, nil, err
	}
	host := hello.GetHello().GetHost()
	if err := verify(host); err != nil {
		return nil, nil, nil, err
	}
	if host == m.options.Self.Name {
		return nil, nil, nil, merry.Wrap(ErrIdentityMismatch, merry.AppendMessagef("%s is the name of this host", host))
	}
	return stream, reader, hello, stream.SetDeadline(time.Time{})
}

// verifier checks that a connection is authorized to use a host name.
type verifier func(host string) error

// secureInbound performs the TLS handshake, if configured. It returns the verifier
// for the host name in the peer's Hello.
func (m *Manager) secureInbound(ctx context.Context, raw net.Conn) (net.Conn, verifier, error) {
	counted := m.meter.countBytes(raw)
	if m.options.ServerTLS == nil {
		return counted, func(string) error { return nil }, nil
	}
	handshake, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn := tls.Server(counted, m.options.ServerTLS)
	if err := conn.HandshakeContext(handshake); err != nil {
		return nil, nil, merry.Prepend(err, "TLS handshake")
	}
	certificate := conn.ConnectionState().PeerCertificates[0]
	verify := func(host string) error {
		if err := certificate.VerifyHostname(host); err != nil {
			return merry.Wrap(ErrIdentityMismatch, merry.WithCause(err))
		}
		return nil
	}
	return conn, verify, nil
}

func (m *Manager) refused(conn net.Conn, err error) {
	m.meter.refused.Inc(1)
	event.Log(m.options.Logger, event.PeerRefused,
		slog.String("address", conn.RemoteAddr().String()),
		slog.String("error", err.Error()))
}
