package peerlink

import (
	"crypto/tls"
	"log/slog"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rcrowley/go-metrics"

	"toucangap/internal/config"
)

// Limits and intervals for every link.
const (
	// maxFrame is the maximum size of an encoded Envelope in bytes, without its
	// length prefix.
	maxFrame = 2 << 20
	// maxQueuedFrames bounds the frames queued for one peer; beyond it Send
	// fails with ErrQueueFull.
	maxQueuedFrames = 1024
	// maxQueuedBytes bounds the bytes queued for one peer; beyond it Send
	// fails with ErrQueueFull.
	maxQueuedBytes = 2 * maxFrame
	// maxInbound bounds the number of concurrent inbound connections.
	maxInbound = 256
	// batchBytes is the size at which a batch of queued frames is written.
	batchBytes = 16 << 10
	// notificationBuffer is the capacity of the notification channel.
	notificationBuffer = 256
	// writeTimeout bounds one write to a connection.
	writeTimeout = 5 * time.Second
	// handshakeTimeout bounds each phase of link setup: dialing with TLS,
	// opening the stream, and each exchange of Hellos.
	handshakeTimeout = 5 * time.Second
	// keepAliveInterval is the interval between pings on a connection. It can
	// be long, since membership probes detect dead hosts much sooner.
	keepAliveInterval = 20 * time.Second
	// minBackoff is the upper bound of the first delay after a link broke; the
	// lower bound of any delay is half its upper bound.
	minBackoff = 100 * time.Millisecond
	// maxBackoff is the maximum delay between two attempts to dial.
	maxBackoff = 5 * time.Second
	// stableAfter is how long a link must be up to reset the backoff.
	stableAfter = 10 * time.Second
)

// Errors of the package.
var (
	// ErrNotConnected is returned if no sending link to the host is up.
	ErrNotConnected = merry.Sentinel("peer not connected")
	// ErrQueueFull is returned if the queue for the host is full.
	ErrQueueFull = merry.Sentinel("peer queue full")
	// ErrTooLarge is returned for a message larger than the maximum frame.
	ErrTooLarge = merry.Sentinel("message exceeds the maximum frame size")
	// ErrPlainText is returned for a non-loopback address without TLS.
	ErrPlainText = merry.Sentinel("plain text is allowed on loopback addresses only")
	// ErrTLSIncomplete is returned if the TLS configuration is not mutual.
	ErrTLSIncomplete = merry.Sentinel("TLS requires client and server configurations that verify each other")
	// ErrIdentityMismatch is returned if a peer's name is not the expected one.
	ErrIdentityMismatch = merry.Sentinel("peer identity mismatch")
	// ErrTooManyConnections is returned if too many inbound connections are open.
	ErrTooManyConnections = merry.Sentinel("too many inbound connections")
	// ErrProtocol is returned for an invalid or unexpected frame from a peer.
	ErrProtocol = merry.Sentinel("invalid or unexpected frame")
)

// Options configure a Manager.
type Options struct {
	// Self describes this host. Its name, domain, group and incarnation are sent
	// in Hello; its Control address is the listening address.
	Self config.Host
	// ServerTLS is used for inbound connections. It must require and verify
	// client certificates. Nil means plain text on loopback.
	ServerTLS *tls.Config
	// ClientTLS is used for outbound connections, with the server name set to
	// the peer's host name. It must be set if and only if ServerTLS is.
	ClientTLS *tls.Config
	// Logger receives the events of the package; nil means slog.Default.
	Logger *slog.Logger
	// Registry receives the counters; nil means a private registry.
	Registry metrics.Registry
}

func (o Options) withDefaults() Options {
	if o.Logger == nil {
		o.Logger = slog.Default()
	}
	if o.Registry == nil {
		o.Registry = metrics.NewRegistry()
	}
	return o
}

// check rejects configurations that would allow unverified peers.
func (o Options) check() error {
	if (o.ServerTLS == nil) != (o.ClientTLS == nil) {
		return merry.Wrap(ErrTLSIncomplete)
	}
	if o.ServerTLS != nil && o.ServerTLS.ClientAuth != tls.RequireAndVerifyClientCert {
		return merry.Wrap(ErrTLSIncomplete)
	}
	return o.checkAddress(o.Self.Control)
}

// checkAddress rejects non-loopback addresses if TLS is not configured.
func (o Options) checkAddress(a netip.AddrPort) error {
	if o.ServerTLS != nil || a.Addr().IsLoopback() {
		return nil
	}
	return merry.Wrap(ErrPlainText, merry.AppendMessagef("address %s", a))
}
