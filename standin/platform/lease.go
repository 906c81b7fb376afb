package platform

import (
	"maps"
	"slices"
	"time"
)

// lease is a lease with the keys that are deleted when it expires.
type lease struct {
	id      int64
	ttl     time.Duration
	expires time.Time
	timer   *time.Timer
	keys    map[string]bool
}

// grant creates a lease and returns its ID; with an ID of 0, the store assigns
// one.
func (s *store) grant(id int64, ttl time.Duration) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id == 0 {
		id = s.nextLease
		s.nextLease++
	}
	if s.leases[id] != nil {
		return 0, errLeaseExists
	}
	l := &lease{id: id, ttl: ttl, expires: time.Now().Add(ttl), keys: make(map[string]bool)}
	l.timer = time.AfterFunc(ttl, func() { s.expire(l) })
	s.leases[id] = l
	return id, nil
}

// keepAlive renews a lease and returns its TTL.
func (s *store) keepAlive(id int64) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return 0, errLeaseNotFound
	}
	l.expires = time.Now().Add(l.ttl)
	l.timer.Reset(l.ttl)
	return l.ttl, nil
}

func (s *store) revoke(id int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return errLeaseNotFound
	}
	s.end(l)
	return nil
}

// expire ends a lease after its TTL, unless it was renewed in the meantime.
func (s *store) expire(l *lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[l.id] != l || time.Now().Before(l.expires) {
		return
	}
	s.end(l)
}

// expireNow ends the given lease, or all leases if the ID is 0, and returns the
// number of leases ended.
func (s *store) expireNow(id int64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, key := range slices.Sorted(maps.Keys(s.leases)) {
		if id == 0 || id == key {
			s.end(s.leases[key])
			count++
		}
	}
	return count
}

// end removes the lease and deletes its keys in a single revision.
func (s *store) end(l *lease) {
	l.timer.Stop()
	delete(s.leases, l.id)
	deleted := false
	for _, key := range slices.Sorted(maps.Keys(l.keys)) {
		deleted = s.delete(key, s.revision+1) || deleted
	}
	if deleted {
		s.commitRevision()
	}
}

// stopTimers stops the timers of all leases.
func (s *store) stopTimers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.timer.Stop()
	}
}

func (s *store) attach(id int64, key string) {
	if l := s.leases[id]; l != nil {
		l.keys[key] = true
	}
}

func (s *store) detach(id int64, key string) {
	if l := s.leases[id]; l != nil {
		delete(l.keys, key)
	}
}
