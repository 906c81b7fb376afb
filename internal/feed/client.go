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
	// Host and Domain are the name and the failure domain of this host.
	Host   string
	Domain string
	// Secret is the hosts' secret. Without it the peer is trusted by its address
	// alone, and does not tell the secret.
	Secret []byte
	// Revision is what this host is complete up to.
	Revision uint64
	// Interval is the time between two pings, Silence how long the peer may say
	// nothing, MaxAge how old its knowledge may be.
	Interval time.Duration
	Silence  time.Duration
	MaxAge   time.Duration
	// Awake tells the time on a clock that runs on while the machine sleeps.
	Awake func() time.Duration
	// Connected is called once the peer has proven itself.
	Connected func()
	// Take is given what the peer knows.
	Take func(follow.Batch)
	// Exchange is set if the peer is of the same failure domain.
	Exchange Exchange
}

// tellInterval is the time between two pings while there is something to tell of
// endpoints: callers' tries again come within some hundred milliseconds.
const tellInterval = 200 * time.Millisecond

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
	// The reader notices when the connection is lost.
	go c.pings(conn, peer.Name)
	for ctx.Err() == nil {
		if err := c.news(conn, peer.Name); err != nil {
			return err
		}
	}
	return context.Cause(ctx)
}

// pings sends the time now and then, and what there is to tell, until the
// connection is closed.
func (c *Client) pings(conn *connection, peer string) {
	interval := c.Interval
	var added <-chan struct{}
	for {
		if c.Exchange != nil {
			added = c.Exchange.Added(peer)
		}
		select {
		case <-time.After(interval):
		case <-added:
			time.Sleep(gatherTime)
		}
		ping := c.ping()
		interval = c.Interval
		if c.Exchange != nil {
			ping.Sightings = encodeSightings(c.Exchange.Tell(peer))
		}
		if len(ping.Sightings) > 0 {
			interval = min(tellInterval, c.Interval)
		}
		if err := conn.send(ping, writeTimeout); err != nil {
			return
		}
	}
}

func (c *Client) ping() *feedpb.Ping { return &feedpb.Ping{StampUs: c.Awake().Microseconds()} }

func (c *Client) handshake(conn *connection) error {
	nonce := newNonce()
	if err := conn.send(&feedpb.Hello{Host: c.Host, Domain: c.Domain, Nonce: nonce}, handshakeTimeout); err != nil {
		return err
	}
	var challenge feedpb.Challenge
	if err := conn.receive(&challenge, handshakeTimeout); err != nil {
		return err
	}
	subscribe := &feedpb.Subscribe{Revision: c.Revision}
	if len(c.Secret) > 0 {
		if !hmac.Equal(challenge.Proof, prove(c.Secret, roleServer, nonce, challenge.Nonce)) {
			return ErrProof
		}
		subscribe.Proof = prove(c.Secret, roleClient, challenge.Nonce, nonce)
	}
	if err := conn.send(subscribe, handshakeTimeout); err != nil {
		return err
	}
	return conn.send(c.ping(), handshakeTimeout)
}

// news takes one message.
func (c *Client) news(conn *connection, peer string) error {
	var news feedpb.News
	if err := conn.receive(&news, c.Silence); err != nil {
		return merry.Prepend(err, "read a feed")
	}
	proven := provenAt(&news)
	c.Take(batchOf(&news, proven))
	if c.Exchange != nil {
		c.Exchange.Told(peer, decodeSightings(news.Sightings))
	}
	if age := c.Awake() - proven; age > c.MaxAge {
		return merry.Appendf(ErrStale, "%s old", age)
	}
	return nil
}

// provenAt returns the moment up to which the message is complete, on the
// client's clock and never too late: the ping was sent before it arrived, and
// the rest is measured on the server's clock. The time that the message itself
// has taken, which may be long, does not count in its favour.
func provenAt(news *feedpb.News) time.Duration {
	return time.Duration(news.StampUs+news.HeldUs-news.AgeUs) * time.Microsecond
}

func batchOf(news *feedpb.News, proven time.Duration) follow.Batch {
	b := follow.Batch{
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
