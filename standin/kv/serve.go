package kv

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"toucangap/platform"
)

// maxWait is the maximum time that a watch waits for a change.
const maxWait = 30 * time.Second

// ServeHTTP implements http.Handler. A refused call gets an empty object and one of
// the statuses 400 (malformed), 403 (hosts may not write the key), 404 (no such key,
// lease or call), 410 (the history of a watch has been compacted), 412 (a condition
// did not hold) or 503 (busy).
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// A response that is delayed across a restore is one of the former incarnation.
	s.stateIncarnation(w, s.Incarnation())
	if !s.applyFaults(w, r) {
		return
	}
	path := strings.TrimPrefix(r.URL.Path, "/toucangap/")
	query := r.URL.Query()
	switch {
	case path == "kv-range":
		page := s.list(query.Get("Prefix"), query.Get("after"))
		s.stateIncarnation(w, page.Incarnation)
		s.replyToRead(w, s.encodePage(page))
	case path == "kv-watch":
		s.watch(w, r)
	case path == "kv-key":
		s.key(w, query.Get("Key"))
	case path == "kv-txn":
		s.transaction(w, r)
	case path == "kv-lease":
		s.newLease(w, r)
	case strings.HasPrefix(path, "kv-keep/"):
		s.renew(w, strings.TrimPrefix(path, "kv-keep/"))
	case strings.HasPrefix(path, "kv-lease-end/"):
		s.endLease(w, strings.TrimPrefix(path, "kv-lease-end/"))
	default:
		reply(w, http.StatusNotFound, struct{}{})
	}
}

// stateIncarnation sets the header that states the incarnation of a response, unless the
// store hides it.
func (s *Store) stateIncarnation(w http.ResponseWriter, incarnation uint64) {
	if !s.StatesIncarnation() {
		return
	}
	w.Header().Set("Store-Era", strconv.FormatUint(incarnation, 10))
}

// applyFaults applies the active faults and reports whether to execute the call.
func (s *Store) applyFaults(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	f := s.faults
	kind, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/toucangap/"), "/")
	s.calls[kind]++
	s.mu.Unlock()
	switch {
	case f.Silent:
		<-r.Context().Done()
		return false
	case f.Busy:
		reply(w, http.StatusServiceUnavailable, struct{}{})
		return false
	case f.Slow > 0:
		time.Sleep(f.Slow)
	}
	return true
}

// dropReply decides at random, by LoseWrites, whether the reply to a write is lost.
// If so, it blocks until the client disconnects and returns true.
func (s *Store) dropReply(r *http.Request) bool {
	s.mu.Lock()
	percent := s.faults.LoseWrites
	s.mu.Unlock()
	if rand.IntN(100) >= percent {
		return false
	}
	<-r.Context().Done()
	return true
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The client may have disconnected.
	_ = json.NewEncoder(w).Encode(body)
}

// watch replies with the changes after a revision, or without any at the end of the
// requested wait.
func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, err := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(query.Get("WaitMs"))
	if err != nil || err2 != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	deadline := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxWait))
	defer deadline.Stop()
	for {
		changes, next, compacted := s.since(query.Get("Prefix"), since)
		s.stateIncarnation(w, changes.Incarnation)
		if s.deaf() {
			<-r.Context().Done()
			return
		}
		if compacted {
			reply(w, http.StatusGone, struct{}{})
			return
		}
		if len(changes.Changes) > 0 {
			s.replyToRead(w, s.encodeChanges(changes))
			return
		}
		select {
		case <-next:
		case <-deadline.C:
			s.replyToRead(w, s.encodeChanges(changes))
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) key(w http.ResponseWriter, key string) {
	s.mu.Lock()
	s.expire()
	item, ok := s.items[key]
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	reply(w, http.StatusOK, s.encodeItem(item))
}

func (s *Store) transaction(w http.ResponseWriter, r *http.Request) {
	var t platform.Transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			reply(w, http.StatusForbidden, struct{}{})
			return
		}
	}
	revision, conflict, noLease := s.commit(t)
	switch {
	case s.dropReply(r):
	case conflict:
		reply(w, http.StatusPreconditionFailed, struct{}{})
	case noLease:
		reply(w, http.StatusNotFound, struct{}{})
	default:
		reply(w, http.StatusOK, map[string]uint64{"Revision": revision})
	}
}

func (s *Store) newLease(w http.ResponseWriter, r *http.Request) {
	var body struct{ TtlMs int64 }
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	id := s.grant(time.Duration(body.TtlMs) * time.Millisecond)
	s.mu.Unlock()
	if !s.dropReply(r) {
		reply(w, http.StatusOK, map[string]any{"Lease": id, "TtlMs": body.TtlMs})
	}
}

func (s *Store) renew(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseUint(text, 10, 64)
	s.mu.Lock()
	s.expire()
	l := s.leases[id]
	if l != nil {
		l.end = time.Now().Add(l.ttl)
	}
	s.mu.Unlock()
	if l == nil {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	reply(w, http.StatusOK, map[string]int64{"TtlMs": l.ttl.Milliseconds()})
}

func (s *Store) endLease(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseUint(text, 10, 64)
	s.mu.Lock()
	s.removeLease(id)
	s.mu.Unlock()
	reply(w, http.StatusOK, struct{}{})
}
