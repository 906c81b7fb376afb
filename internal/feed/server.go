package feed

import (
	"context"
	"crypto/hmac"
	"errors"
	"log/slog"
	"net"
	"time"

	"github.com/ansel1/merry/v2"

	"toucangap/internal/catalog"
	"toucangap/internal/event"
	"toucangap/internal/feed/feedpb"
	"toucangap/internal/follow"
	"toucangap/platform"
)

// maxClients bounds the concurrent connections; it fits the hosts of a large
// failure domain.
const maxClients = 256

// Source provides the state that a server sends to its clients.
type Source interface {
	// Secret returns the hosts' shared secret, nil if it isn't known yet.
	Secret(ctx context.Context) []byte
	// Since returns what a client with the given progress is missing.
	Since(ctx context.Context, client follow.Progress) (follow.Batch, error)
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// Server sends updates to other hosts.
type Server struct {
	// Domain is the failure domain of this host.
	Domain string
	Source Source
	// Exchange is used with authenticated clients of the same domain; it may be
	// nil.
	Exchange Exchange
	Logger   *slog.Logger
	// SilenceTimeout is the longest time without a message from a client.
	SilenceTimeout time.Duration
	// BootTime reads the boot-time clock, which keeps running while the machine
	// sleeps.
	BootTime func() time.Duration

	compressor compressor
}

// Serve accepts and serves clients until accepting fails. It returns nil if the
// listener was closed or the context has ended, else the listener's error.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	slots := make(chan struct{}, maxClients)
	for {
		raw, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return merry.Prepend(err, "accept a feed client")
		}
		select {
		case slots <- struct{}{}:
			go func() {
				defer func() { <-slots }()
				s.serve(ctx, raw)
			}()
		default:
			s.refuse(raw, merry.New("too many clients"))
			raw.Close()
		}
	}
}

func (s *Server) refuse(raw net.Conn, err error) {
	event.Log(s.Logger, event.FeedRefused, slog.String("address", raw.RemoteAddr().String()), slog.String("error", err.Error()))
}

// serve handles one client until either side closes the connection.
func (s *Server) serve(ctx context.Context, raw net.Conn) {
	defer raw.Close()
	stop := context.AfterFunc(ctx, func() { _ = raw.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	s.limitSendBuffer(raw)
	conn := newConnection(raw)
	c, err := s.handshake(ctx, conn)
	if err != nil {
		s.refuse(raw, err)
		return
	}
	event.Log(s.Logger, event.FeedServing, slog.String("host", c.host), slog.Uint64("incarnation", c.progress.Position.Incarnation), slog.Uint64("revision", c.progress.Position.Revision), slog.Bool("proven", c.authenticated))
	pings := make(chan ping, 1)
	go s.readPings(conn, c, pings)
	err = s.feed(ctx, conn, c, pings)
	event.Log(s.Logger, event.FeedLost, slog.String("host", c.host), slog.String("error", errorText(err)))
}

// limitSendBuffer bounds what the kernel queues for a client, as far as that is possible.
func (s *Server) limitSendBuffer(raw net.Conn) {
	socket, ok := raw.(interface{ SetWriteBuffer(bytes int) error })
	if !ok {
		return
	}
	if err := socket.SetWriteBuffer(sendBufferBytes); err != nil {
		event.Log(s.Logger, event.FeedBufferUnlimited, slog.String("error", err.Error()))
	}
}

// ping is a client's ping.
type ping struct {
	// stampUs is the client's time of sending, in microseconds on its clock.
	stampUs int64
	// arrived is the time of arrival on the server's boot-time clock.
	arrived time.Duration
}

// readPings receives the client's pings with its failure reports, and passes
// the pings on until the connection is lost.
func (s *Server) readPings(conn *connection, c client, pings chan<- ping) {
	defer close(pings)
	for {
		var p feedpb.Ping
		if err := conn.receive(&p, s.SilenceTimeout); err != nil {
			return
		}
		if c.exchanges {
			s.Exchange.Receive(c.host, decodeReports(p.Sightings))
		}
		pings <- ping{stampUs: p.StampUs, arrived: s.BootTime()}
	}
}

// client is a client after its handshake.
type client struct {
	host     string
	progress follow.Progress
	// authenticated means that it has proved that it knows the secret.
	authenticated bool
	// acceptsParts means that it accepts partial updates, and large ones in parts.
	acceptsParts bool
	// acceptsCompressed means that it accepts compressed values.
	acceptsCompressed bool
	// exchanges means that failure reports are exchanged with the client: it is
	// authenticated and in this host's domain.
	exchanges bool
}

func (s *Server) handshake(ctx context.Context, conn *connection) (c client, err error) {
	var hello feedpb.Hello
	if err := conn.receive(&hello, handshakeTimeout); err != nil {
		return c, err
	}
	secret := s.Source.Secret(ctx)
	if len(secret) == 0 {
		return c, merry.New("the shared secret is not known yet")
	}
	nonce := newNonce()
	challenge := &feedpb.Challenge{Nonce: nonce, Proof: computeProof(secret, roleServer, hello.Nonce, nonce)}
	if err := conn.send(challenge, handshakeTimeout); err != nil {
		return c, err
	}
	var subscribe feedpb.Subscribe
	if err := conn.receive(&subscribe, handshakeTimeout); err != nil {
		return c, err
	}
	c = client{
		host: hello.Host,
		progress: follow.Progress{
			Position: catalog.Position{Incarnation: subscribe.Incarnation, Revision: subscribe.Revision},
			Version:  subscribe.Version,
		},
		authenticated:     len(subscribe.Proof) > 0,
		acceptsParts:      subscribe.AcceptsParts,
		acceptsCompressed: subscribe.AcceptsCompressed,
	}
	if c.authenticated && !hmac.Equal(subscribe.Proof, computeProof(secret, roleClient, nonce, hello.Nonce)) {
		return c, ErrProof
	}
	c.exchanges = c.authenticated && s.Exchange != nil && hello.Domain == s.Domain
	return c, nil
}

// feed sends updates to a client, and closes the connection at the end.
func (s *Server) feed(ctx context.Context, conn *connection, c client, pings <-chan ping) error {
	// Unblock readPings however the feed ends.
	defer func() {
		conn.Close()
		for range pings {
		}
	}()
	updates := stream{server: s, conn: conn, client: c, sentAhead: make(map[string]catalog.Position)}
	return updates.run(ctx, pings)
}

// newUpdate returns an update for the client with the batch and, if they exchange them,
// the failure reports.
func (s *Server) newUpdate(b *follow.Batch, last ping, c client) (*feedpb.News, error) {
	now := s.BootTime()
	update := &feedpb.News{
		Complete:    b.Complete,
		Revision:    b.Position.Revision,
		Incarnation: b.Position.Incarnation,
		AgeUs:       (now - b.AsOf).Microseconds(),
		UnsettledUs: b.RecoveryGrace.Microseconds(),
		StampUs:     last.stampUs,
		HeldUs:      (now - last.arrived).Microseconds(),
	}
	if c.exchanges {
		update.Sightings = encodeReports(s.Exchange.ReportsFor(c.host))
	}
	for i := range b.Changes {
		change := &b.Changes[i]
		if kind, _ := platform.Classify(change.Key); kind == platform.KindSecret && !c.authenticated {
			continue
		}
		encoded, err := s.encodeChange(change, c)
		if err != nil {
			return nil, err
		}
		update.Changes = append(update.Changes, encoded)
	}
	return update, nil
}

// encodeChange encodes a change, with a large value compressed if the client accepts that.
func (s *Server) encodeChange(change *platform.Change, c client) (*feedpb.Change, error) {
	encoded := &feedpb.Change{
		Key:         change.Key,
		Value:       change.Value,
		Revision:    change.Revision,
		Incarnation: change.Incarnation,
		Removed:     change.Removed,
	}
	if !c.acceptsCompressed || len(change.Value) < compressFrom {
		return encoded, nil
	}
	compressed, err := s.compressor.compress(change)
	if len(compressed) > 0 {
		encoded.Value, encoded.CompressedValue = nil, compressed
	}
	return encoded, err
}

func errorText(err error) string {
	if err == nil {
		return "client disconnected or timed out"
	}
	return err.Error()
}
