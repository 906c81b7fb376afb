package platform

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// Local serves an HTTP handler over in-memory connections.
type Local struct {
	server *http.Server
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once

	mu  sync.Mutex
	cut bool
	// serverEnds holds the server ends of the connections made so far.
	serverEnds []net.Conn
}

// NewLocal starts serving the handler. Close stops it.
func NewLocal(handler http.Handler) *Local {
	l := &Local{
		server: &http.Server{Handler: handler},
		conns:  make(chan net.Conn),
		closed: make(chan struct{}),
	}
	go func() { _ = l.server.Serve(l) }()
	return l
}

// Transport returns a transport that connects to l regardless of the address,
// with at most one connection.
func (l *Local) Transport() *http.Transport {
	return &http.Transport{
		MaxConnsPerHost:    1,
		DisableCompression: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return l.dial(ctx)
		},
	}
}

// Cut simulates a network partition: while on, it closes all connections and
// rejects new ones.
func (l *Local) Cut(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = on
	if !on {
		return
	}
	for _, conn := range l.serverEnds {
		_ = conn.Close()
	}
	l.serverEnds = nil
}

// dial opens an in-memory connection to the server.
func (l *Local) dial(ctx context.Context) (net.Conn, error) {
	clientEnd, serverEnd := net.Pipe()
	if !l.register(serverEnd) {
		return nil, &net.OpError{Op: "dial", Net: "pipe", Err: net.ErrClosed}
	}
	select {
	case l.conns <- serverEnd:
		return clientEnd, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Net: "pipe", Err: net.ErrClosed}
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: "pipe", Err: ctx.Err()}
	}
}

// register records a connection, unless the link is cut.
func (l *Local) register(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.cut {
		l.serverEnds = append(l.serverEnds, conn)
	}
	return !l.cut
}

// Accept implements net.Listener.
func (l *Local) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Addr implements net.Listener.
func (l *Local) Addr() net.Addr {
	return &net.UnixAddr{Name: "standin", Net: "pipe"}
}

// Close implements net.Listener: it stops the server and closes connections.
func (l *Local) Close() error {
	l.once.Do(func() {
		close(l.closed)
		go func() { _ = l.server.Close() }()
	})
	return nil
}
