package platform

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// PipeServer serves an HTTP handler over in-memory connections (net.Pipe), so
// that tests with virtual time need no sockets. It is safe for concurrent use.
type PipeServer struct {
	server *http.Server
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once

	mu          sync.Mutex
	partitioned bool
	// serverEnds holds the server ends of the connections made so far.
	serverEnds []net.Conn
}

// NewPipeServer starts serving the handler. Close stops it.
func NewPipeServer(handler http.Handler) *PipeServer {
	s := &PipeServer{
		server: &http.Server{Handler: handler},
		conns:  make(chan net.Conn),
		closed: make(chan struct{}),
	}
	go func() { _ = s.server.Serve(s) }()
	return s
}

// Transport returns a transport that connects to s regardless of the address,
// with at most one connection per address.
func (s *PipeServer) Transport() *http.Transport {
	return &http.Transport{
		MaxConnsPerHost:    1,
		DisableCompression: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return s.dial(ctx)
		},
	}
}

// SetPartitioned starts or ends a simulated network partition. Its start closes
// all connections; until its end, new ones are rejected.
func (s *PipeServer) SetPartitioned(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partitioned = on
	if !on {
		return
	}
	for _, conn := range s.serverEnds {
		_ = conn.Close()
	}
	s.serverEnds = nil
}

// dial opens an in-memory connection to the server.
func (s *PipeServer) dial(ctx context.Context) (net.Conn, error) {
	clientEnd, serverEnd := net.Pipe()
	if !s.register(serverEnd) {
		return nil, &net.OpError{Op: "dial", Net: "pipe", Err: net.ErrClosed}
	}
	select {
	case s.conns <- serverEnd:
		return clientEnd, nil
	case <-s.closed:
		return nil, &net.OpError{Op: "dial", Net: "pipe", Err: net.ErrClosed}
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: "pipe", Err: ctx.Err()}
	}
}

// register records a connection and returns true, or returns false during a
// partition.
func (s *PipeServer) register(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.partitioned {
		s.serverEnds = append(s.serverEnds, conn)
	}
	return !s.partitioned
}

// Accept implements net.Listener.
func (s *PipeServer) Accept() (net.Conn, error) {
	select {
	case conn := <-s.conns:
		return conn, nil
	case <-s.closed:
		return nil, net.ErrClosed
	}
}

// Addr implements net.Listener.
func (s *PipeServer) Addr() net.Addr {
	return &net.UnixAddr{Name: "standin", Net: "pipe"}
}

// Close implements net.Listener: it stops the server and closes its
// connections, without waiting for either.
func (s *PipeServer) Close() error {
	s.once.Do(func() {
		close(s.closed)
		go func() { _ = s.server.Close() }()
	})
	return nil
}
