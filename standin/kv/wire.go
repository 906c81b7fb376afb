package kv

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"

	"toucangap/platform"
)

// wireItem is an item as it is sent; Value takes the place of the item's own.
type wireItem struct {
	platform.Item
	Value any
}

// wireChange is a change as it is sent.
type wireChange struct {
	wireItem
	Removed bool `json:"Tombstone"`
}

// encodeItem returns the item with its text, if it has one.
func (s *Store) encodeItem(i platform.Item) wireItem {
	s.mu.Lock()
	defer s.mu.Unlock()
	if text, ok := s.texts[i.Key]; ok && i.Value != nil {
		return wireItem{i, text}
	}
	return wireItem{i, i.Value}
}

func (s *Store) encodePage(p platform.Page) any {
	items := make([]wireItem, 0, len(p.Items))
	for _, i := range p.Items {
		items = append(items, s.encodeItem(i))
	}
	return struct {
		Items    []wireItem `json:"items"`
		More     bool       `json:"HasMore"`
		Revision uint64     `json:"CurrentRev"`
	}{items, p.More, p.Revision}
}

func (s *Store) encodeChanges(c platform.Changes) any {
	changes := make([]wireChange, 0, len(c.Changes))
	for _, change := range c.Changes {
		changes = append(changes, wireChange{s.encodeItem(change.Item), change.Removed})
	}
	return struct {
		Changes  []wireChange `json:"events"`
		Revision uint64       `json:"CurrentRev"`
	}{changes, c.Revision}
}

// replyToRead replies to a listing or a watch. With the probability of CutReads the
// connection ends after half of the body.
func (s *Store) replyToRead(w http.ResponseWriter, body any) {
	s.mu.Lock()
	percent := s.faults.CutReads
	s.mu.Unlock()
	if rand.IntN(100) >= percent {
		reply(w, http.StatusOK, body)
		return
	}
	text, err := json.Marshal(body)
	if err != nil {
		panic(err) // all bodies can be marshaled
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = w.Write(text[:len(text)/2])
	_ = http.NewResponseController(w).Flush() // a short body would be lost with its header
	panic(http.ErrAbortHandler)
}

// deaf reports whether watches get no response.
func (s *Store) deaf() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Deaf
}
