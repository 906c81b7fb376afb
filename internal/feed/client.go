package feed

import (
	"context"
	"crypto/hmac"
	"net"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"toucangap/internal/catalog"
	"toucangap/internal/feed/feedpb"
	"toucangap/internal/follow"
	"toucangap/platform"
)

// Client subscribes to the feed of another host.
type Client struct {
	// Host and Domain are the name and the failure domain of this host.
	Host   string
	Domain string
	// Secret is the hosts' shared secret. Without it the peer is authenticated
	// only by its address and does not send the secret.
	Secret []byte
	// Progress is how much of the store's state this host has.
	Progress follow.Progress
	// PingInterval is the time between two pings, SilenceTimeout the longest
	// time without a message from the peer, MaxAge the maximum age of its
	// state.
	PingInterval   time.Duration
	SilenceTimeout time.Duration
	MaxAge         time.Duration
	// BootTime reads the boot-time clock, which keeps running while the machine
	// sleeps.
	BootTime func() time.Duration
	// OnConnected is called after the handshake.
	OnConnected func()
	// OnBatch receives the peer's updates.
	OnBatch func(follow.Batch)
	// OnMessage, if not nil, is called after each message from the peer, also one that holds
	// a part of an update.
	OnMessage func()
	// OnTransfer, if not nil, receives the size of each update in bytes and the time
	// from its first byte to its last one.
	OnTransfer func(bytes int, took time.Duration)
	// Exchange passes failure reports in both directions. It must be nil unless
	// the peer is in the same failure domain and the secret is known.
	Exchange Exchange

	parts parts
	// staleAt is when the state that has come will be too old, on the boot-time clock; 0
	// until an update has come.
	staleAt time.Duration
}

// reportInterval is the time between two pings while there are failure reports
// to send: callers retry within a few hundred milliseconds.
const reportInterval = 200 * time.Millisecond

// Follow connects to a peer and receives its updates until the context ends,
// the connection fails, or the peer's updates stop or are too old. It always
// returns an error: ErrProof, ErrStale, ErrBehind, the context's cause or that of the
// connection.
func (c *Client) Follow(ctx context.Context, peer follow.Host) error {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	raw, err := dialer.DialContext(ctx, "tcp4", peer.Feed.String())
	if err != nil {
		return merry.Prepend(err, "connect to the feed")
	}
	return c.run(ctx, raw, peer.Name)
}

// run receives the peer's updates over the connection, and closes it.
func (c *Client) run(ctx context.Context, raw net.Conn, peer string) error {
	defer raw.Close()
	stop := context.AfterFunc(ctx, func() { _ = raw.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	conn := newConnection(raw)
	if err := c.handshake(conn); err != nil {
		return merry.Prepend(err, "feed handshake")
	}
	c.OnConnected()
	// receiveUpdate notices a lost connection.
	go c.sendPings(conn, peer)
	for ctx.Err() == nil {
		if err := c.receiveUpdate(conn, peer); err != nil {
			return err
		}
	}
	return context.Cause(ctx)
}

// sendPings sends pings with the current time and the failure reports until the
// connection is closed.
func (c *Client) sendPings(conn *connection, peer string) {
	interval := c.PingInterval
	var added <-chan struct{}
	for {
		if c.Exchange != nil {
			added = c.Exchange.ReportAdded(peer)
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
	subscribe := &feedpb.Subscribe{
		Revision: c.Progress.Position.Revision, Incarnation: c.Progress.Position.Incarnation, Version: c.Progress.Version,
		AcceptsParts: true, AcceptsCompressed: true,
	}
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

// receiveUpdate receives a message and delivers the update that it holds or completes.
// The error is ErrStale if the update, which is delivered nevertheless, is too old, and
// ErrBehind if the peer has missed a restore of the store.
func (c *Client) receiveUpdate(conn *connection, peer string) error {
	update := new(feedpb.News)
	took, err := conn.receiveTimed(update, c.receiveTimeout())
	if err != nil {
		if c.staleAt > 0 && c.BootTime() >= c.staleAt {
			err = merry.Wrap(ErrStale, merry.AppendMessage(err.Error()))
		}
		return merry.Prepend(err, "read from the feed")
	}
	if c.OnMessage != nil {
		c.OnMessage()
	}
	inParts := len(update.Part) > 0
	if inParts {
		update, took, err = c.parts.add(update, took)
		if update == nil {
			return err
		}
	}
	if c.OnTransfer != nil {
		c.OnTransfer(proto.Size(update), took)
	}
	return c.deliver(update, inParts, peer)
}

// receiveTimeout returns how long to wait for the next message. A feed that falls silent
// must end before its state is too old, as another source takes time to reach.
func (c *Client) receiveTimeout() time.Duration {
	if c.staleAt == 0 || c.parts.begun() {
		return c.SilenceTimeout
	}
	return min(c.SilenceTimeout, c.staleAt-c.BootTime())
}

// deliver passes on an update. Its errors are those of receiveUpdate.
func (c *Client) deliver(update *feedpb.News, inParts bool, peer string) error {
	if update.Incarnation < c.Progress.Position.Incarnation {
		return ErrBehind
	}
	c.Progress.Position.Incarnation = update.Incarnation
	var asOf time.Duration
	if !update.Partial {
		// A peer that states a wrong age must not make the state look current for longer.
		asOf = min(currentAsOf(update), c.BootTime())
	}
	batch, err := batchFrom(update, asOf)
	if err != nil {
		return err
	}
	if len(c.Secret) == 0 {
		batch.Withheld = []string{platform.SecretKey}
	}
	c.OnBatch(batch)
	if c.Exchange != nil && !inParts {
		c.Exchange.Receive(peer, decodeReports(update.Sightings))
	}
	if update.Partial {
		return nil
	}
	now := c.BootTime()
	c.staleAt = max(c.staleAt, asOf+c.MaxAge)
	if inParts {
		// It may have taken long; a current one follows at once.
		c.staleAt = max(c.staleAt, now+c.SilenceTimeout)
	}
	if now > c.staleAt {
		return merry.Appendf(ErrStale, "%s old", now-asOf)
	}
	return nil
}

// currentAsOf returns the time, on the client's clock, as of which the update is
// current. It may be too early by the ping's transfer time, but is never too
// late: the server received the ping after StampUs, and measures the time that
// it held the ping and the age of its state on its own clock. The transfer time
// of the update, which may be long, does not make it look newer.
func currentAsOf(update *feedpb.News) time.Duration {
	return time.Duration(update.StampUs+update.HeldUs-update.AgeUs) * time.Microsecond
}

// batchFrom decodes an update that is current as of the given time.
func batchFrom(update *feedpb.News, asOf time.Duration) (follow.Batch, error) {
	b := follow.Batch{
		Complete:      update.Complete,
		Partial:       update.Partial,
		Position:      catalog.Position{Incarnation: update.Incarnation, Revision: update.Revision},
		AsOf:          asOf,
		RecoveryGrace: time.Duration(update.UnsettledUs) * time.Microsecond,
	}
	for _, c := range update.Changes {
		value := c.Value
		if len(c.CompressedValue) > 0 {
			var err error
			if value, err = inflate(c.CompressedValue); err != nil {
				return b, err
			}
		}
		b.Changes = append(b.Changes, platform.Change{
			Item:    platform.Item{Key: c.Key, Value: value, Revision: c.Revision, Incarnation: c.Incarnation},
			Removed: c.Removed,
		})
	}
	return b, nil
}
