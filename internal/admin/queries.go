package admin

import (
	"errors"
	"net/http"
	"net/netip"
	"strconv"

	"toucangap/internal/adminapi"
	"toucangap/internal/flow"
)

// The bounds of the flows listed in a dump.
const (
	defaultFlowLimit = 100
	maxFlowLimit     = 10_000
)

// errBadFlow names what a flow query must hold.
var errBadFlow = errors.New("want protocol=tcp|udp, caller=ADDRESS:PORT and service=NAME")

func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	value, err := s.options.Queries.Status(r.Context())
	s.answer(w, value, err)
}

func (s *Server) dump(w http.ResponseWriter, r *http.Request) {
	limit := defaultFlowLimit
	if text := r.URL.Query().Get(adminapi.ParamLimit); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 {
			s.fail(w, http.StatusBadRequest, errors.New("limit must be a number"))
			return
		}
		limit = min(n, maxFlowLimit)
	}
	value, err := s.options.Queries.Dump(r.Context(), limit)
	s.answer(w, value, err)
}

func (s *Server) flow(w http.ResponseWriter, r *http.Request) {
	q, err := parseFlow(r)
	if err != nil {
		s.fail(w, http.StatusBadRequest, err)
		return
	}
	value, err := s.options.Queries.Flow(r.Context(), q)
	s.answer(w, value, err)
}

// parseFlow reads what the query's parameters ask.
func parseFlow(r *http.Request) (FlowQuery, error) {
	values := r.URL.Query()
	q := FlowQuery{Service: values.Get(adminapi.ParamService)}
	switch values.Get(adminapi.ParamProtocol) {
	case flow.TCP.String():
		q.Protocol = flow.TCP
	case flow.UDP.String():
		q.Protocol = flow.UDP
	default:
		return q, errBadFlow
	}
	caller, err := netip.ParseAddrPort(values.Get(adminapi.ParamCaller))
	if err != nil || q.Service == "" {
		return q, errBadFlow
	}
	q.Caller = caller
	return q, nil
}

// metricsJSON serves the registry as JSON.
func (s *Server) metricsJSON(w http.ResponseWriter, _ *http.Request) {
	s.refresh()
	s.answer(w, s.options.Registry, nil)
}

// metricsText serves the registry in the Prometheus text form.
func (s *Server) metricsText(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	s.refresh()
	writePrometheus(w, s.options.Registry)
}

// refresh brings metrics that are taken on demand up to date.
func (s *Server) refresh() {
	if s.options.Refresh != nil {
		s.options.Refresh()
	}
}
