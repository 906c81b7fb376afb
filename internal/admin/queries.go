package admin

import (
	"errors"
	"net/http"
	"net/netip"
	"strconv"

	"toucangap/internal/adminapi"
	"toucangap/internal/flow"
)

// The default and the maximum number of flows listed in a dump, and of endpoints in an
// explanation.
const (
	defaultFlowLimit      = 100
	maxFlowLimit          = 10_000
	defaultCandidateLimit = 20
	maxCandidateLimit     = 10_000
)

// errInvalidLimit means that a limit is not a number from 0 up.
var errInvalidLimit = errors.New("limit must be a non-negative integer")

// errInvalidExplainQuery lists the parameters that an explain query requires.
var errInvalidExplainQuery = errors.New("explain query requires caller=ADDRESS:PORT and service=ADDRESS:PORT or the name of a route")

// errInvalidFlowQuery lists the parameters that a flow query requires.
var errInvalidFlowQuery = errors.New("flow query requires protocol=tcp|udp, caller=ADDRESS:PORT and service=NAME")

func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	value, err := s.options.Queries.Status(r.Context())
	s.respond(w, value, err)
}

func (s *Server) dump(w http.ResponseWriter, r *http.Request) {
	limit, err := parseLimit(r, defaultFlowLimit, maxFlowLimit)
	if err != nil {
		s.respondError(w, http.StatusBadRequest, err)
		return
	}
	value, err := s.options.Queries.Dump(r.Context(), limit)
	s.respond(w, value, err)
}

// parseLimit returns the limit of a query, at most the given one.
func parseLimit(r *http.Request, byDefault, most int) (int, error) {
	text := r.URL.Query().Get(adminapi.ParamLimit)
	if text == "" {
		return byDefault, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 {
		return 0, errInvalidLimit
	}
	return min(n, most), nil
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	q, err := parseExplainQuery(r)
	if err != nil {
		s.respondError(w, http.StatusBadRequest, err)
		return
	}
	value, err := s.options.Queries.Explain(r.Context(), q)
	s.respond(w, value, err)
}

// parseExplainQuery parses the URL parameters of an explain query.
func parseExplainQuery(r *http.Request) (ExplainQuery, error) {
	values := r.URL.Query()
	caller, err := netip.ParseAddrPort(values.Get(adminapi.ParamCaller))
	service := values.Get(adminapi.ParamService)
	if err != nil || service == "" {
		return ExplainQuery{}, errInvalidExplainQuery
	}
	limit, err := parseLimit(r, defaultCandidateLimit, maxCandidateLimit)
	return ExplainQuery{Caller: caller, Service: service, Limit: limit}, err
}

func (s *Server) flow(w http.ResponseWriter, r *http.Request) {
	q, err := parseFlowQuery(r)
	if err != nil {
		s.respondError(w, http.StatusBadRequest, err)
		return
	}
	value, err := s.options.Queries.Flow(r.Context(), q)
	s.respond(w, value, err)
}

// parseFlowQuery parses the URL parameters of a flow query. It does not check
// whether the service exists.
func parseFlowQuery(r *http.Request) (FlowQuery, error) {
	values := r.URL.Query()
	q := FlowQuery{Service: values.Get(adminapi.ParamService)}
	switch values.Get(adminapi.ParamProtocol) {
	case flow.TCP.String():
		q.Protocol = flow.TCP
	case flow.UDP.String():
		q.Protocol = flow.UDP
	default:
		return q, errInvalidFlowQuery
	}
	caller, err := netip.ParseAddrPort(values.Get(adminapi.ParamCaller))
	if err != nil || q.Service == "" {
		return q, errInvalidFlowQuery
	}
	q.Caller = caller
	return q, nil
}

// metricsJSON serves the registry as JSON.
func (s *Server) metricsJSON(w http.ResponseWriter, _ *http.Request) {
	s.refreshMetrics()
	s.respond(w, s.options.Registry, nil)
}

// metricsText serves the registry in the Prometheus text format.
func (s *Server) metricsText(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	s.refreshMetrics()
	writePrometheus(w, s.options.Registry)
}

// refreshMetrics updates the metrics that are computed on demand.
func (s *Server) refreshMetrics() {
	if s.options.Refresh != nil {
		s.options.Refresh()
	}
}
