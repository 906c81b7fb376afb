package feed

import (
	"context"
	"crypto/hmac"
	"errors"
	"log/slog"
	"net"
	"time"

	"github.com/ansel1/merry/v2"

	"toucangap/internal/event"
	"toucangap/internal/feed/feedpb"
	"toucangap/internal/follow"
)

// maxClients bounds the connections that are served at once: the hosts of a
// large failure domain.
const maxClients = 256

// Source is what a server tells its clients.
type Source interface {
	// Secret returns the hosts' secret, nil if it isn't known yet.
	Secret(ctx context.Context) []byte
	// Since returns what a client that is complete up to the revision lacks.
	Since(ctx context.Context, revision uint64) (follow.Batch, error)
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// Server feeds other hosts.
type Server struct {
	Source Source
	Logger *slog.Logger
	// Interval is the longest time between two messages.
	Interval time.Duration
	// Awake tells the time on a clock that runs on while the machine sleeps.
	Awake func() time.Duration
}

// Serve accepts clients until the listener is closed.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	slots := make(chan struct{}, maxClients)
	for {
		raw, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return merry.Prepend(err, "accept a feed's client")
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

// serve feeds one client until either side ends.
func (s *Server) serve(ctx context.Context, raw net.Conn) {
	defer raw.Close()
	stop := context.AfterFunc(ctx, func() { _ = raw.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	conn := newConnection(raw)
	host, revision, err := s.handshake(ctx, conn)
	if err != nil {
		s.refuse(raw, err)
		return
	}
	event.Log(s.Logger, event.FeedServing, slog.String("host", host), slog.Uint64("revision", revision))
	// The client says nothing more: whatever comes, or the end, ends the feed.
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = conn.SetReadDeadline(time.Time{})
		_, _ = conn.reader.ReadByte()
	}()
	err = s.feed(ctx, conn, revision, ended)
	event.Log(s.Logger, event.FeedLost, slog.String("host", host), slog.String("error", errorText(err)))
}

func (s *Server) handshake(ctx context.Context, conn *connection) (host string, revision uint64, err error) {
	var hello feedpb.Hello
	if err := conn.receive(&hello, handshakeTimeout); err != nil {
		return "", 0, err
	}
	secret := s.Source.Secret(ctx)
	if len(secret) == 0 {
		return "", 0, merry.New("the hosts' secret is not known yet")
	}
	nonce := newNonce()
	challenge := &feedpb.Challenge{Nonce: nonce, Proof: prove(secret, roleServer, hello.Nonce, nonce)}
	if err := conn.send(challenge, handshakeTimeout); err != nil {
		return "", 0, err
	}
	var subscribe feedpb.Subscribe
	if err := conn.receive(&subscribe, handshakeTimeout); err != nil {
		return "", 0, err
	}
	if !hmac.Equal(subscribe.Proof, prove(secret, roleClient, nonce, hello.Nonce)) {
		return "", 0, ErrProof
	}
	return hello.Host, subscribe.Revision, nil
}

// feed sends news at each change, and a sign of life in between.
func (s *Server) feed(ctx context.Context, conn *connection, revision uint64, ended <-chan struct{}) error {
	timer := time.NewTimer(s.Interval)
	defer timer.Stop()
	for {
		changed := s.Source.Changed()
		batch, err := s.Source.Since(ctx, revision)
		if err != nil {
			return err
		}
		if err := conn.send(s.newsOf(&batch), writeTimeout); err != nil {
			return err
		}
		revision = max(revision, batch.Revision)
		timer.Reset(s.Interval)
		select {
		case <-changed:
		case <-timer.C:
		case <-ended:
			return nil
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

func (s *Server) newsOf(b *follow.Batch) *feedpb.News {
	news := &feedpb.News{
		Complete:    b.Complete,
		Revision:    b.Revision,
		AgeUs:       (s.Awake() - b.Proven).Microseconds(),
		UnsettledUs: b.Unsettled.Microseconds(),
	}
	for i := range b.Changes {
		c := &b.Changes[i]
		news.Changes = append(news.Changes, &feedpb.Change{
			Key:      c.Key,
			Value:    c.Value,
			Revision: c.Revision,
			Removed:  c.Removed,
		})
	}
	return news
}

func errorText(err error) string {
	if err == nil {
		return "closed by the client"
	}
	return err.Error()
}
