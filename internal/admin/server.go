// Package admin serves the HTTP interface of a host for operators: read-only
// queries, metrics and, unless the server is read-only, commands.
package admin

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rcrowley/go-metrics"

	"toucangap/internal/adminapi"
	"toucangap/internal/event"
	"toucangap/internal/flow"
	"toucangap/internal/tlsconf"
)

// ErrPlainText means that a listener outside of loopback would accept commands
// without TLS.
var ErrPlainText = merry.Sentinel("commands over plain text are allowed on loopback addresses only")

// ErrUnsupported means that this kind of host does not support the query.
var ErrUnsupported = merry.Sentinel("this host does not support the query")

// The limits of the server.
const (
	readTimeout = 5 * time.Second
	idleTimeout = time.Minute
	// maxBody bounds the size of a command in bytes.
	maxBody = 64 << 10
)

// Queries are the read-only requests of operators.
type Queries interface {
	Status(ctx context.Context) (adminapi.Status, error)
	// Dump returns the state of the host with at most limit flows.
	Dump(ctx context.Context, limit int) (adminapi.Dump, error)
	// Flow returns the endpoint of a flow.
	Flow(ctx context.Context, q FlowQuery) (adminapi.FlowResponse, error)
	// Explain returns where a new flow would go, or ErrUnsupported.
	Explain(ctx context.Context, q ExplainQuery) (adminapi.ExplainResponse, error)
}

// FlowQuery identifies a flow by protocol, caller and service name.
type FlowQuery struct {
	Protocol flow.Protocol
	Caller   netip.AddrPort
	Service  string
}

// ExplainQuery identifies a flow by caller and service; at most Limit endpoints are
// listed.
type ExplainQuery struct {
	Caller  netip.AddrPort
	Service string
	Limit   int
}

// Commands are the requests of operators that change state.
type Commands interface {
	// Mark drains or undrains an endpoint.
	Mark(ctx context.Context, m adminapi.MarkCommand) (adminapi.Accepted, error)
	// Stop starts a graceful shutdown of the host.
	Stop(ctx context.Context) (adminapi.Accepted, error)
}

// Options configure a Server.
type Options struct {
	Address netip.AddrPort
	// TLS is nil for plain text.
	TLS     *tls.Config
	Queries Queries
	// Commands may be nil: the server is then read-only and may serve plain text
	// outside of loopback, where only the hosts' own network reaches it.
	Commands Commands
	Registry metrics.Registry
	// Refresh, if set, is called before each export of the metrics, to update
	// those that are computed on demand.
	Refresh func()
	Logger  *slog.Logger
}

// Server is the HTTP server for operators.
type Server struct {
	options  Options
	listener net.Listener
	http     http.Server
}

// New returns a server whose listener is bound. It fails with ErrPlainText or
// the listener's error.
func New(o Options) (*Server, error) {
	if o.TLS == nil && o.Commands != nil && !o.Address.Addr().IsLoopback() {
		return nil, ErrPlainText
	}
	listener, err := net.Listen("tcp", o.Address.String())
	if err != nil {
		return nil, merry.Prepend(err, "listen on the admin address")
	}
	if o.TLS != nil {
		listener = tls.NewListener(listener, o.TLS)
	}
	s := &Server{options: o, listener: listener}
	s.http = http.Server{
		Handler:           s.routes(),
		ReadHeaderTimeout: readTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          tlsconf.RefusedConnectionLog(o.Logger),
	}
	return s, nil
}

// Run serves until the context ends; then it closes all connections and returns
// nil. Otherwise it returns the error that ended serving.
func (s *Server) Run(ctx context.Context) error {
	event.Log(s.options.Logger, event.AdminStarted, slog.String("address", s.listener.Addr().String()))
	stop := context.AfterFunc(ctx, func() { _ = s.http.Close() })
	defer stop()
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return merry.Prepend(err, "serve the admin interface")
}

// Address returns the address that the server listens on.
func (s *Server) Address() net.Addr {
	return s.listener.Addr()
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+adminapi.PathStatus, s.status)
	mux.HandleFunc("GET "+adminapi.PathDump, s.dump)
	mux.HandleFunc("GET "+adminapi.PathFlow, s.flow)
	mux.HandleFunc("GET "+adminapi.PathExplain, s.explain)
	mux.HandleFunc("GET "+adminapi.PathMetrics, s.metricsText)
	mux.HandleFunc("GET "+adminapi.PathMetricsJSON, s.metricsJSON)
	if s.options.Commands == nil {
		return mux
	}
	mux.HandleFunc("POST "+adminapi.PathMark, s.mark)
	mux.HandleFunc("POST "+adminapi.PathStop, s.stop)
	return mux
}

// respond writes the value as JSON or, if err is set, the error.
func (s *Server) respond(w http.ResponseWriter, value any, err error) {
	if errors.Is(err, ErrUnsupported) {
		s.respondError(w, http.StatusNotImplemented, err)
		return
	}
	if err != nil {
		s.respondError(w, http.StatusConflict, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(value); err != nil {
		event.Log(s.options.Logger, event.AdminFailed, slog.String("error", err.Error()))
	}
}

func (s *Server) respondError(w http.ResponseWriter, status int, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(adminapi.Failure{Error: err.Error()})
}
