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
	PingInterval   time.Duration
	SilenceTimeout time.Duration
	MaxAge         time.Duration
	// Awake tells the time on a clock that runs on while the machine sleeps.
	BootTime func() time.Duration
	// Connected is called once the peer has proven itself.
	OnConnected func()
	// Take is given what the peer knows.
	OnBatch func(follow.Batch)
	// Exchange is set if the peer is of the same failure domain.
	Exchange Exchange
}

// tellInterval is the time between two pings while there is something to tell of
// endpoints: callers' tries again come within some hundred milliseconds.
const reportInterval = 200 * time.Millisecond

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
	c.OnConnected()
	// The reader notices when the connection is lost.
	go c.sendPings(conn, peer.Name)
	for ctx.Err() == nil {
		if err := c.receiveUpdate(conn, peer.Name); err != nil {
			return err
		}
	}
	return context.Cause(ctx)
}

// pings sends the time now and then, and what there is to tell, until the
// connection is closed.
func (c *Client) sendPings(conn *connection, peer string) {
	interval := c.PingInterval
	var added <-chan struct{}
	for {
		if c.Exchange != nil {
			added = c.Exchange.Added(peer)
		}
		select {
		case <-time.After(interval):
		case <-added:
			time.Sleep(batchDelay)
		}
		ping := c.ping()
		interval = c.PingInterval
		if c.Exchange != nil {
			ping.Sightings = encodeReports(c.Exchange.ReportsFor(peer))
		}
		if len(ping.Sightings) > 0 {
			interval = min(reportInterval, c.PingInterval)
		}
		if err := conn.send(ping, writeTimeout); err != nil {
			return
		}
	}
}

func (c *Client) ping() *feedpb.Ping { return &feedpb.Ping{StampUs: c.BootTime().Microseconds()} }

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
		if !hmac.Equal(challenge.Proof, computeProof(c.Secret, roleServer, nonce, challenge.Nonce)) {
			return ErrProof
		}
		subscribe.Proof = computeProof(c.Secret, roleClient, challenge.Nonce, nonce)
	}
	if err := conn.send(subscribe, handshakeTimeout); err != nil {
		return err
	}
	return conn.send(c.ping(), handshakeTimeout)
}

// news takes one message.
func (c *Client) receiveUpdate(conn *connection, peer string) error {
	var update feedpb.News
	if err := conn.receive(&update, c.SilenceTimeout); err != nil {
		return merry.Prepend(err, "read a feed")
	}
	asOf := currentAsOf(&update)
	c.OnBatch(batchFrom(&update, asOf))
	if c.Exchange != nil {
		c.Exchange.Receive(peer, decodeReports(update.Sightings))
	}
	if age := c.BootTime() - asOf; age > c.MaxAge {
		return merry.Appendf(ErrStale, "%s old", age)
	}
	return nil
}

// provenAt returns the moment up to which the message is complete, on the
// client's clock and never too late: the ping was sent before it arrived, and
// the rest is measured on the server's clock. The time that the message itself
// has taken, which may be long, does not count in its favour.
func currentAsOf(update *feedpb.News) time.Duration {
	return time.Duration(update.StampUs+update.HeldUs-update.AgeUs) * time.Microsecond
}

func batchFrom(update *feedpb.News, asOf time.Duration) follow.Batch {
	b := follow.Batch{
		Complete:      update.Complete,
		Revision:      update.Revision,
		AsOf:          asOf,
		RecoveryGrace: time.Duration(update.UnsettledUs) * time.Microsecond,
	}
	for _, c := range update.Changes {
		b.Changes = append(b.Changes, platform.Change{
			Item:    platform.Item{Key: c.Key, Value: c.Value, Revision: c.Revision},
			Removed: c.Removed,
		})
	}
	return b
}
