package platform

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"toucangap/internal/platform/gateway"
)

// The control paths, next to those of the gateway: POST PathFault injects a Fault
// and returns the active ones, and GET PathDump returns a Dump.
const (
	PathFault = "/standin/fault"
	PathDump  = "/standin/dump"
)

// maxRequestBytes limits a request body: a value of 1 MB in base64 with headroom.
const maxRequestBytes = 3 << 20

// maxValueBytes limits the size of a value in bytes.
const maxValueBytes = 1 << 20

// Server serves the gateway's paths and the control paths. It implements
// http.Handler.
type Server struct {
	store  *store
	faults *faults
	calls  *counters
	mux    *http.ServeMux
}

// New returns an empty store whose random faults are derived from the seed.
func New(seed uint64) *Server {
	s := &Server{store: newStore(), faults: newFaults(seed), calls: newCounters(), mux: http.NewServeMux()}
	s.mux.HandleFunc("POST "+gateway.PathRange, s.handleRange)
	s.mux.HandleFunc("POST "+gateway.PathTxn, s.handleTxn)
	s.mux.HandleFunc("POST "+gateway.PathGrant, s.handleGrant)
	s.mux.HandleFunc("POST "+gateway.PathKeepAlive, s.handleKeepAlive)
	s.mux.HandleFunc("POST "+gateway.PathRevoke, s.handleRevoke)
	s.mux.HandleFunc("POST "+gateway.PathWatch, s.handleWatch)
	s.mux.HandleFunc("POST "+PathFault, s.handleFault)
	s.mux.HandleFunc("GET "+PathDump, s.handleDump)
	return s
}

// Close stops the timers of all leases.
func (s *Server) Close() {
	s.store.stopTimers()
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/standin/") {
		s.mux.ServeHTTP(w, r)
		return
	}
	s.calls.count(r.URL.Path)
	// net/http detects a closed connection only once the body has been read.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, 3, err.Error())
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	if !s.applyFaults(w, r) {
		return
	}
	s.mux.ServeHTTP(w, r)
}

// Inject executes a fault command. It returns an error if the command is invalid.
func (s *Server) Inject(fault Fault) error {
	if err := fault.check(); err != nil {
		return err
	}
	switch fault.Kind {
	case FaultClear:
		s.faults.clear()
	case FaultExpireLeases:
		s.store.expireNow(fault.Lease)
	case FaultCompact:
		s.store.compact(0)
	default:
		revision, _ := s.store.current()
		s.faults.begin(fault, revision)
	}
	return nil
}

// applyFaults applies the faults that take effect before a call and reports
// whether to run it.
func (s *Server) applyFaults(w http.ResponseWriter, r *http.Request) bool {
	if _, hit := s.faults.triggers(FaultOutage); hit {
		panic(http.ErrAbortHandler)
	}
	if _, hit := s.faults.triggers(FaultSilent); hit {
		s.awaitFaultEnd(r, FaultSilent)
		panic(http.ErrAbortHandler)
	}
	if a, hit := s.faults.triggers(FaultSlow); hit {
		sleep(r, time.Duration(a.DelayMs)*time.Millisecond)
	}
	if _, hit := s.faults.triggers(FaultErrors); hit {
		writeError(w, http.StatusServiceUnavailable, gateway.CodeUnavailable, "etcdserver: no leader")
		return false
	}
	return true
}

// awaitFaultEnd blocks until the request is canceled or the fault ends.
func (s *Server) awaitFaultEnd(r *http.Request, kind FaultKind) {
	for {
		a, on, changed := s.faults.peek(kind)
		if !on {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-timerAt(a.ends):
		}
	}
}

// timerAt returns a channel that fires at the given time, or never if it is zero.
func timerAt(at time.Time) <-chan time.Time {
	if at.IsZero() {
		return nil
	}
	return time.After(time.Until(at))
}

// sleep waits for d unless the request is canceled first.
func sleep(r *http.Request, d time.Duration) {
	select {
	case <-time.After(d):
	case <-r.Context().Done():
	}
}

// applyLostResponse closes the connection, by aborting the handler, if
// FaultLostResponse affects this write.
func (s *Server) applyLostResponse() {
	if _, hit := s.faults.triggers(FaultLostResponse); hit {
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) handleRange(w http.ResponseWriter, r *http.Request) {
	var request gateway.RangeRequest
	if !decode(w, r, &request) {
		return
	}
	if a, hit := s.faults.triggers(FaultStaleReads); hit && request.Revision == 0 {
		request.Revision = s.clampToReadable(a.revision)
	}
	answer, err := s.store.rangeAt(request)
	writeResponse(w, answer, err)
}

// clampToReadable raises a compacted revision to the oldest readable one.
func (s *Server) clampToReadable(revision int64) int64 {
	_, compacted := s.store.current()
	return max(revision, compacted)
}

func (s *Server) handleTxn(w http.ResponseWriter, r *http.Request) {
	var request gateway.TxnRequest
	if !decode(w, r, &request) {
		return
	}
	for _, op := range request.Success {
		if op.Put != nil && len(op.Put.Value) > maxValueBytes {
			writeError(w, http.StatusBadRequest, 3, "etcdserver: request is too large")
			return
		}
	}
	answer, err := s.store.txn(request)
	if answer.Succeeded {
		s.applyLostResponse()
	}
	writeResponse(w, answer, err)
}

func (s *Server) handleGrant(w http.ResponseWriter, r *http.Request) {
	var request gateway.LeaseGrantRequest
	if !decode(w, r, &request) {
		return
	}
	id, err := s.store.grant(request.ID, time.Duration(request.TTL)*time.Second)
	s.applyLostResponse()
	writeResponse(w, gateway.LeaseGrantResponse{Header: s.header(), ID: id, TTL: request.TTL}, err)
}

func (s *Server) handleKeepAlive(w http.ResponseWriter, r *http.Request) {
	var request gateway.LeaseRequest
	if !decode(w, r, &request) {
		return
	}
	// Like the gateway, respond with a TTL of 0 if the lease does not exist.
	ttl, _ := s.store.keepAlive(request.ID)
	result := gateway.LeaseKeepAliveResult{Header: s.header(), ID: request.ID, TTL: int64(ttl / time.Second)}
	writeResponse(w, gateway.LeaseKeepAliveResponse{Result: result}, nil)
}

func (s *Server) handleRevoke(w http.ResponseWriter, r *http.Request) {
	var request gateway.LeaseRequest
	if !decode(w, r, &request) {
		return
	}
	err := s.store.revoke(request.ID)
	writeResponse(w, gateway.LeaseRevokeResponse{Header: s.header()}, err)
}

func (s *Server) handleFault(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if !decode(w, r, &fault) {
		return
	}
	if err := s.Inject(fault); err != nil {
		writeError(w, http.StatusBadRequest, 3, err.Error())
		return
	}
	writeResponse(w, s.faults.list(), nil)
}

// header returns a response header with the current revision.
func (s *Server) header() gateway.ResponseHeader {
	revision, _ := s.store.current()
	return gateway.ResponseHeader{Revision: revision}
}

// decode decodes the request body, or responds with status 400.
func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		writeError(w, http.StatusBadRequest, 3, err.Error())
		return false
	}
	return true
}

// writeResponse writes the response, or the error if there is one.
func writeResponse(w http.ResponseWriter, answer any, err error) {
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(answer)
	case errors.Is(err, errLeaseNotFound):
		writeError(w, http.StatusNotFound, gateway.CodeNotFound, "etcdserver: "+err.Error())
	case errors.Is(err, errCompacted), errors.Is(err, errFuture):
		writeError(w, http.StatusBadRequest, gateway.CodeOutOfRange, "etcdserver: "+err.Error())
	default:
		writeError(w, http.StatusBadRequest, 9, "etcdserver: "+err.Error())
	}
}

// writeError writes an error in the form of the gateway. The code is a gRPC
// status code; 3 is INVALID_ARGUMENT and 9 is FAILED_PRECONDITION.
func writeError(w http.ResponseWriter, status, code int, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(gateway.Failure{Error: message, Code: code, Message: message})
}
