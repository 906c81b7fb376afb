package kv

import (
	"time"

	"toucangap/platform"
)

// Faults selects the faults of the store.
type Faults struct {
	// Busy responds with status 503, Silent never responds, Slow delays each call;
	// LoseWrites is the percentage of writes that are applied and get no response.
	Busy       bool
	Silent     bool
	Slow       time.Duration
	LoseWrites int
	// Pause stops the expiry of leases, which otherwise continues during faults.
	Pause bool
	// Deaf leaves watches without a response, also those that are waiting; CutReads is
	// the percentage of responses to listings and watches that end after a half.
	Deaf     bool
	CutReads int
}

// SetFaults replaces the active faults; the zero value ends them.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notify()
}

// HideIncarnation makes responses state no incarnation.
func (s *Store) HideIncarnation() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hidesIncarnation = true
}

// StatesIncarnation reports whether responses state the incarnation.
func (s *Store) StatesIncarnation() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.hidesIncarnation
}

// SetPageSize sets the maximum number of items in a page of a listing.
func (s *Store) SetPageSize(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pageSize = n
}

// PutAll writes the value at all keys in one transaction, as another writer does. It
// returns false while the store is busy or silent.
func (s *Store) PutAll(keys []string, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Busy || s.faults.Silent {
		return false
	}
	s.revision++
	for _, key := range keys {
		s.write(platform.Put{Key: key, Value: value})
	}
	s.notify()
	return true
}

// PutText writes a key whose value goes out as the text itself, without base64. It returns
// false while the store is busy or silent.
func (s *Store) PutText(key, text string) bool {
	s.mu.Lock()
	s.texts[key] = text
	s.mu.Unlock()
	return s.PutAll([]string{key}, []byte(text))
}
