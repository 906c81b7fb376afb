package feed

import (
	"context"
	"crypto/hmac"
	"net"
	"time"

	"github.com/ansel1/merry/v2"

	"toucangap/internal/feed/feedpb"
	"toucangap/internal/follow"
	"toucangap/platform"
)

// Client follows another host.
type Client struct {
	// Host is the name of this host.
	Host string
	// Secret is the hosts' secret.
	Secret []byte
	// Revision is what this host is complete up to.
	Revision uint64
	// Silence is how long the peer may say nothing, MaxAge how old its knowledge
	// may be.
	Silence time.Duration
	MaxAge  time.Duration
	// Awake tells the time on a clock that runs on while the machine sleeps.
	Awake func() time.Duration
	// Connected is called once the peer has proven itself.
	Connected func()
	// Take is given what the peer knows.
	Take func(follow.Batch)
}

// Follow connects to a peer and takes its news until the context ends or the
// peer is lost, silent or too old.
func (c *Client) Follow(ctx context.Context, peer follow.Host) error {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	raw, err := dialer.DialContext(ctx, "tcp4", peer.Feed.String())
	if err != nil {
		return merry.Prepend(err, "connect to a feed")
	}
	defer raw.Close()
	stop := context.AfterFunc(ctx, func() { _ = raw.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	conn := newConnection(raw)
	if err := c.handshake(conn); err != nil {
		return merry.Prepend(err, "begin a feed")
	}
	c.Connected()
	for ctx.Err() == nil {
		if err := c.news(conn, peer.Name); err != nil {
			return err
		}
	}
	return context.Cause(ctx)
}

func (c *Client) handshake(conn *connection) error {
	nonce := newNonce()
	if err := conn.send(&feedpb.Hello{Host: c.Host, Nonce: nonce}, handshakeTimeout); err != nil {
		return err
	}
	var challenge feedpb.Challenge
	if err := conn.receive(&challenge, handshakeTimeout); err != nil {
		return err
	}
	if !hmac.Equal(challenge.Proof, prove(c.Secret, roleServer, nonce, challenge.Nonce)) {
		return ErrProof
	}
	return conn.send(&feedpb.Subscribe{
		Proof:    prove(c.Secret, roleClient, challenge.Nonce, nonce),
		Revision: c.Revision,
	}, handshakeTimeout)
}

// news takes one message.
func (c *Client) news(conn *connection, peer string) error {
	var news feedpb.News
	if err := conn.receive(&news, c.Silence); err != nil {
		return merry.Prepend(err, "read a feed")
	}
	age := time.Duration(news.AgeUs) * time.Microsecond
	c.Take(batchOf(&news, peer, c.Awake()-age))
	if age > c.MaxAge {
		return merry.Appendf(ErrStale, "%s old", age)
	}
	return nil
}

func batchOf(news *feedpb.News, peer string, proven time.Duration) follow.Batch {
	b := follow.Batch{
		Source:    peer,
		Complete:  news.Complete,
		Revision:  news.Revision,
		Proven:    proven,
		Unsettled: time.Duration(news.UnsettledUs) * time.Microsecond,
	}
	for _, c := range news.Changes {
		b.Changes = append(b.Changes, platform.Change{
			Item:    platform.Item{Key: c.Key, Value: c.Value, Revision: c.Revision},
			Removed: c.Removed,
		})
	}
	return b
}
