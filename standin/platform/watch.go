package platform

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"toucangap/internal/platform/gateway"
)

// watchStream is a watch call with its watches.
type watchStream struct {
	server  *Server
	writer  http.ResponseWriter
	encoder *json.Encoder
	watches []gateway.WatchCreateRequest
}

// handleWatch serves the watches in the request body until the caller
// disconnects or an outage begins.
func (s *Server) handleWatch(w http.ResponseWriter, r *http.Request) {
	watches, err := readWatches(r.Body)
	if err != nil {
		writeError(w, http.StatusBadRequest, 3, err.Error())
		return
	}
	st := &watchStream{server: s, writer: w, encoder: json.NewEncoder(w), watches: watches}
	for i := range st.watches {
		st.create(&st.watches[i])
	}
	for r.Context().Err() == nil && st.serve(r.Context()) {
	}
}

// readWatches decodes the concatenated create requests of the body.
func readWatches(body io.Reader) ([]gateway.WatchCreateRequest, error) {
	var watches []gateway.WatchCreateRequest
	decoder := json.NewDecoder(body)
	for {
		var request gateway.WatchRequest
		err := decoder.Decode(&request)
		if errors.Is(err, io.EOF) {
			return watches, nil
		}
		if err != nil {
			return nil, err
		}
		if request.Create == nil {
			return nil, errors.New("watch request has no create_request")
		}
		watches = append(watches, *request.Create)
	}
}

// create confirms the creation of a watch.
func (s *watchStream) create(watch *gateway.WatchCreateRequest) {
	revision := s.maxRevision()
	if revision == 0 {
		revision, _ = s.server.store.current()
	}
	if watch.StartRevision == 0 {
		watch.StartRevision = revision + 1
	}
	s.send(gateway.WatchResult{Header: gateway.ResponseHeader{Revision: revision}, WatchID: watch.WatchID, Created: true})
}

// maxRevision returns the newest revision to serve; 0 means no limit.
func (s *watchStream) maxRevision() int64 {
	a, on, _ := s.server.faults.peek(FaultStaleReads)
	if !on {
		return 0
	}
	return s.server.clampToReadable(a.revision)
}

// serve sends pending events, unless FaultSilent is active, and waits for more or
// for a change of the faults. It reports whether the stream stays open.
func (s *watchStream) serve(ctx context.Context) bool {
	outage, on, faulted := s.server.faults.peek(FaultOutage)
	if on && outage.Share == 0 {
		panic(http.ErrAbortHandler)
	}
	silent, muted, _ := s.server.faults.peek(FaultSilent)
	stale, _, _ := s.server.faults.peek(FaultStaleReads)
	var changed <-chan struct{}
	if !muted {
		var open bool
		if changed, open = s.flush(); !open {
			return false
		}
	}
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-faulted:
	case <-timerAt(earlier(silent.ends, stale.ends)):
	}
	return true
}

// earlier returns the earlier of two times; the zero time means never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// flush sends the pending events of all watches. It returns a channel that is
// closed on the next change, and whether the stream stays open: a watch whose
// history was compacted is canceled and ends it.
func (s *watchStream) flush() (<-chan struct{}, bool) {
	var changed <-chan struct{}
	for i := range s.watches {
		watch := &s.watches[i]
		events, next, err := s.server.store.changesSince(*watch, s.maxRevision())
		if err != nil {
			_, compacted := s.server.store.current()
			s.send(gateway.WatchResult{WatchID: watch.WatchID, Canceled: true, CompactRevision: compacted})
			return nil, false
		}
		// Wait on the oldest channel, the first, so that no change is missed.
		if changed == nil {
			changed = next
		}
		if len(events) == 0 {
			continue
		}
		last := events[len(events)-1].KV.ModRevision
		watch.StartRevision = last + 1
		s.send(gateway.WatchResult{Header: gateway.ResponseHeader{Revision: last}, WatchID: watch.WatchID, Events: events})
	}
	return changed, true
}

func (s *watchStream) send(result gateway.WatchResult) {
	_ = s.encoder.Encode(gateway.WatchResponse{Result: result})
	_ = http.NewResponseController(s.writer).Flush()
}
