package peerlink

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/hashicorp/yamux"
)

// link is an established sending connection.
type link struct {
	host    string
	session *yamux.Session
	stream  *yamux.Stream
	meter   *meter
	queue   chan frame
	// queuedBytes is the total length of the frames in the queue.
	queuedBytes atomic.Int64
}

// dial connects to the peer, opens the stream and exchanges Hellos.
func (p *peer) dial() (*link, error) {
	if err := p.manager.options.checkAddress(p.host.Control); err != nil {
		return nil, err
	}
	conn, err := p.connect()
	if err != nil {
		return nil, err
	}
	l, err := p.open(conn)
	if err != nil {
		conn.Close()
		return nil, err
	}
	if err := p.exchangeHello(l); err != nil {
		l.close()
		return nil, err
	}
	return l, nil
}

// connect dials TCP and, if configured, performs the TLS handshake.
func (p *peer) connect() (net.Conn, error) {
	ctx, cancel := context.WithTimeout(p.context, handshakeTimeout)
	defer cancel()
	raw, err := new(net.Dialer).DialContext(ctx, "tcp", p.host.Control.String())
	if err != nil {
		return nil, merry.Prepend(err, "dial peer")
	}
	counted := p.manager.meter.countBytes(raw)
	if p.manager.options.ClientTLS == nil {
		return counted, nil
	}
	tlsConfig := p.manager.options.ClientTLS.Clone()
	tlsConfig.ServerName = p.host.Name
	secured := tls.Client(counted, tlsConfig)
	if err := secured.HandshakeContext(ctx); err != nil {
		raw.Close()
		return nil, merry.Prepend(err, "TLS handshake")
	}
	return secured, nil
}

func (p *peer) open(conn net.Conn) (*link, error) {
	session, err := yamux.Client(&coalescingConn{Conn: conn}, muxConfig(true))
	if err != nil {
		return nil, merry.Prepend(err, "open session")
	}
	stream, err := session.OpenStream()
	if err != nil {
		session.Close()
		return nil, merry.Prepend(err, "open stream")
	}
	return &link{
		host:    p.host.Name,
		session: session,
		stream:  stream,
		meter:   p.manager.meter,
		queue:   make(chan frame, maxQueuedFrames),
	}, nil
}

// exchangeHello sends this host's Hello and waits for the peer's, which must
// contain the name of the dialed host. It fails with ErrIdentityMismatch or
// ErrProtocol, or with an error of the connection.
func (p *peer) exchangeHello(l *link) error {
	stop := context.AfterFunc(p.context, l.close)
	defer stop()
	f, err := encode(p.manager.hello())
	if err != nil {
		return err
	}
	if err := l.write(f.bytes); err != nil {
		return merry.Prepend(err, "send hello")
	}
	l.meter.sent(l.host, f)
	if err := l.stream.SetReadDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return merry.Prepend(err, "set deadline")
	}
	reply, err := readHello(bufio.NewReader(l.stream))
	if err != nil {
		return err
	}
	l.meter.received(l.host, reply)
	if name := reply.GetHello().GetHost(); name != p.host.Name {
		return merry.Wrap(ErrIdentityMismatch, merry.AppendMessagef("dialed %s, reached %s", p.host.Name, name))
	}
	return nil
}

// enqueue queues a frame, or returns false if the queue is full.
func (l *link) enqueue(f frame) bool {
	size := int64(len(f.bytes))
	if l.queuedBytes.Add(size) > maxQueuedBytes {
		l.queuedBytes.Add(-size)
		return false
	}
	select {
	case l.queue <- f:
		return true
	default:
		l.queuedBytes.Add(-size)
		return false
	}
}

// writeLoop writes queued frames until the link breaks or ctx is done.
func (l *link) writeLoop(ctx context.Context) error {
	stop := context.AfterFunc(ctx, l.close)
	defer stop()
	var batch []byte
	for {
		select {
		case f := <-l.queue:
			batch = l.collectBatch(batch[:0], f)
			if err := l.write(batch); err != nil {
				return merry.Prepend(err, "write frame")
			}
		case <-l.session.CloseChan():
			return merry.Wrap(ErrNotConnected, merry.AppendMessage("session closed"))
		}
	}
}

// collectBatch appends the frame and those queued behind it to the batch, up to
// batchBytes.
func (l *link) collectBatch(batch []byte, f frame) []byte {
	for {
		batch = append(batch, f.bytes...)
		l.queuedBytes.Add(-int64(len(f.bytes)))
		l.meter.sent(l.host, f)
		if len(batch) >= batchBytes {
			return batch
		}
		select {
		case f = <-l.queue:
		default:
			return batch
		}
	}
}

func (l *link) write(b []byte) error {
	if err := l.stream.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := l.stream.Write(b)
	return err
}

func (l *link) close() {
	l.session.Close()
}
