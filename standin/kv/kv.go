// Package kv is a stand-in for the platform's store. It keeps keys with revisions,
// history and leases in memory, serves the HTTP calls of the store's published
// interface, and injects faults on request.
package kv

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"toucangap/platform"
)

// historyLimit is the number of changes kept for watches.
const historyLimit = 10_000

// defaultPageSize is the maximum number of items in a page of a listing.
const defaultPageSize = 500

// pageBytes is the size of the values at which a page of a listing ends.
const pageBytes = 1 << 20

// Store is an in-memory store. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]platform.Item
	history  []platform.Change
	// compacted is the revision up to which the history has been dropped.
	compacted uint64
	leases    map[uint64]*lease
	nextLease uint64
	changed   chan struct{}
	faults    Faults
	calls     map[string]int
	// incarnation rises with each restore; copies are the states to restore from,
	// oldest first.
	incarnation uint64
	copies      []copied
	// hidesIncarnation, pageSize and texts are set by HideIncarnation, SetPageSize and
	// PutText.
	hidesIncarnation bool
	pageSize         int
	texts            map[string]string
}

// copied is a copy of the store's state.
type copied struct {
	at        time.Time
	revision  uint64
	items     map[string]platform.Item
	leases    map[uint64]*lease
	nextLease uint64
}

const (
	// copyInterval is the least time between two copies, copyRetention how long they
	// are kept.
	copyInterval  = 200 * time.Millisecond
	copyRetention = 10 * time.Second
)

// lease is a lease with its expiry time.
type lease struct {
	ttl time.Duration
	end time.Time
}

// New returns an empty store at revision 1.
func New() *Store {
	return &Store{
		revision:  1,
		items:     make(map[string]platform.Item),
		leases:    make(map[uint64]*lease),
		nextLease: 100,
		changed:   make(chan struct{}),
		calls:     make(map[string]int),

		incarnation: 1,
		pageSize:    defaultPageSize,
		texts:       make(map[string]string),
	}
}

// Compact drops the history of changes, so that watches from an earlier revision
// fail.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted, s.history = s.revision, nil
	s.notify()
}

// keepCopy adds a copy of the state if the last one is old enough.
func (s *Store) keepCopy() {
	now := time.Now()
	if n := len(s.copies); n > 0 && now.Sub(s.copies[n-1].at) < copyInterval {
		return
	}
	for len(s.copies) > 0 && now.Sub(s.copies[0].at) > copyRetention {
		s.copies = s.copies[1:]
	}
	leases := make(map[uint64]*lease, len(s.leases))
	for id, l := range s.leases {
		kept := *l
		leases[id] = &kept
	}
	s.copies = append(s.copies, copied{now, s.revision, maps.Clone(s.items), leases, s.nextLease})
}

// Restore replaces the state by the newest copy of at least the given age, or the
// oldest one, with the leases of that time. What was written since is lost, and
// revisions and lease IDs since then are given out again, in the next incarnation.
func (s *Store) Restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnation++
	if len(s.copies) == 0 {
		s.notify()
		return
	}
	i := len(s.copies) - 1
	for i > 0 && time.Since(s.copies[i].at) < age {
		i--
	}
	c := s.copies[i]
	s.copies = nil
	s.revision, s.items, s.leases, s.nextLease = c.revision, c.items, c.leases, c.nextLease
	for _, l := range s.leases {
		l.end = time.Now().Add(l.ttl)
	}
	s.history, s.compacted = nil, s.revision
	s.notify()
}

// Incarnation returns the number of restores plus 1.
func (s *Store) Incarnation() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnation
}

// Revision returns the current revision.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Calls returns the number of calls by kind, which is the first part of their path
// such as "kv-watch".
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[string]int, len(s.calls))
	for k, n := range s.calls {
		counts[k] = n
	}
	return counts
}

// Put writes a key as the operator or an endpoint does, with a lease of the given
// TTL unless that is 0. For an unchanged value it only renews the lease. It returns
// false while the store is busy or silent.
func (s *Store) Put(key string, value []byte, ttl time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Busy || s.faults.Silent {
		return false
	}
	s.expire()
	old, exists := s.items[key]
	if exists && string(old.Value) == string(value) {
		if l := s.leases[old.Lease]; l != nil {
			l.end = time.Now().Add(ttl)
		}
		return true
	}
	var id uint64
	if ttl > 0 {
		id = s.grant(ttl)
	}
	s.revision++
	s.write(platform.Put{Key: key, Value: value, Lease: id})
	s.notify()
	return true
}

// Remove deletes a key as the operator or an endpoint does. It returns false while the
// store is busy or silent.
func (s *Store) Remove(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Busy || s.faults.Silent {
		return false
	}
	if _, ok := s.items[key]; ok {
		s.revision++
		s.remove(key)
		s.notify()
	}
	return true
}

// notify wakes all watches.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// grant creates a lease and returns its ID.
func (s *Store) grant(ttl time.Duration) uint64 {
	s.nextLease++
	s.leases[s.nextLease] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
	return s.nextLease
}

// write stores a key at the current revision.
func (s *Store) write(p platform.Put) {
	item := platform.Item{Key: p.Key, Value: p.Value, Revision: s.revision, Created: s.revision, Lease: p.Lease}
	if old, ok := s.items[p.Key]; ok {
		item.Created = old.Created
	}
	s.items[p.Key] = item
	s.keepCopy()
	s.record(platform.Change{Item: item})
}

// remove deletes a key at the current revision.
func (s *Store) remove(key string) {
	delete(s.items, key)
	s.record(platform.Change{Item: platform.Item{Key: key, Revision: s.revision}, Removed: true})
}

// record appends a change to the history, whose oldest one it drops at the limit.
func (s *Store) record(c platform.Change) {
	s.history = append(s.history, c)
	if len(s.history) > historyLimit {
		s.compacted = s.history[0].Revision
		s.history = slices.Clone(s.history[1:])
	}
}

// expire removes expired leases and their keys.
func (s *Store) expire() {
	if s.faults.Pause {
		return
	}
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.end) {
			s.removeLease(id)
		}
	}
}

// removeLease deletes a lease and its keys, each at a revision of its own.
func (s *Store) removeLease(id uint64) {
	delete(s.leases, id)
	var keys []string
	for key, item := range s.items {
		if item.Lease == id {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		s.revision++
		s.remove(key)
	}
	if len(keys) > 0 {
		s.notify()
	}
}

// list returns a page of the items whose keys have the prefix and follow the key
// after.
func (s *Store) list(prefix, after string) platform.Page {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	page := platform.Page{Revision: s.revision, Incarnation: s.incarnation, Items: []platform.Item{}}
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	size := 0
	for i, key := range keys {
		if i >= s.pageSize || size >= pageBytes {
			page.More = true
			break
		}
		page.Items = append(page.Items, s.items[key])
		size += len(s.items[key].Value)
	}
	return page
}

// since returns the changes of keys with the prefix after a revision, and a channel
// that is closed at the next change. If the history no longer reaches back to the
// revision, compacted is true.
func (s *Store) since(prefix string, revision uint64) (changes platform.Changes, next <-chan struct{}, compacted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	changes.Revision, changes.Incarnation = s.revision, s.incarnation
	if revision < s.compacted || revision > s.revision {
		return changes, nil, true
	}
	changes.Changes = []platform.Change{}
	for _, c := range s.history {
		if c.Revision > revision && strings.HasPrefix(c.Key, prefix) {
			changes.Changes = append(changes.Changes, c)
		}
	}
	return changes, s.changed, false
}

// commit applies a transaction as a whole or not at all: conflict reports that a
// condition did not hold, noLease that a lease does not exist.
func (s *Store) commit(t platform.Transaction) (revision uint64, conflict, noLease bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, c := range t.Conditions {
		if s.items[c.Key].Revision != c.Revision {
			return 0, true, false
		}
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return 0, false, true
		}
	}
	s.revision++
	for _, p := range t.Puts {
		s.write(p)
	}
	for _, key := range t.Removals {
		if _, ok := s.items[key]; ok {
			s.remove(key)
		}
	}
	s.notify()
	return s.revision, false, false
}
