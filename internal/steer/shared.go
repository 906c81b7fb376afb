package steer

import (
	"sync"
	"sync/atomic"
)

// Shared is the mutable state that all shards of a host share.
type Shared struct {
	// refuseUntil is until when this host may tell callers that a request was
	// not run: it holds leases of all hosts that could take its flows over.
	refuseUntil atomic.Int64
	// refusableSince is since when it has held the leases without a gap.
	refusableSince atomic.Int64
	// contactUntil is until when a majority of the owners is known to regard
	// this host as an owner.
	contactUntil atomic.Int64
	// contactSince is since when that has been so without a gap.
	contactSince atomic.Int64
	// nonIdempotentUntil is until when non-idempotent requests may be admitted.
	nonIdempotentUntil atomic.Int64
	// RecordsWaiting counts changes that wait to be sent to peers.
	RecordsWaiting atomic.Int32
	// MaxWaitingRecords is the number of waiting changes from which on new flows no
	// longer leave a usable default endpoint.
	MaxWaitingRecords atomic.Int32

	mu        sync.RWMutex
	endpoints map[EndpointKey]*Endpoint
}

// NewShared returns the shared state of a host without endpoints.
func NewShared() *Shared {
	return &Shared{endpoints: make(map[EndpointKey]*Endpoint)}
}

// SetRefuseUntil sets until when requests may be refused, that is, answered as
// not run.
func (s *Shared) SetRefuseUntil(now, t Time) {
	if !s.holdsLease(now) {
		s.refusableSince.Store(int64(now))
	}
	s.refuseUntil.Store(int64(t))
}

// leaseHeldSince returns since when the peers' leases have been valid.
func (s *Shared) leaseHeldSince() Time {
	return Time(s.refusableSince.Load())
}

// RefuseUntil returns until when requests may be refused.
func (s *Shared) RefuseUntil() Time {
	return Time(s.refuseUntil.Load())
}

// SetContactUntil sets until when the other owners regard this host as an
// owner.
func (s *Shared) SetContactUntil(now, t Time) {
	if !s.inContact(now) {
		s.contactSince.Store(int64(now))
	}
	s.contactUntil.Store(int64(t))
}

// inContact reports whether a majority of the owners regards this host as an
// owner.
func (s *Shared) inContact(now Time) bool {
	return now < Time(s.contactUntil.Load())
}

// SetNonIdempotentUntil sets until when non-idempotent requests may be admitted.
func (s *Shared) SetNonIdempotentUntil(t Time) {
	s.nonIdempotentUntil.Store(int64(t))
}

// fenced reports whether this host must admit no non-idempotent requests, since
// the other hosts may consider it confirmed stopped.
func (s *Shared) fenced(now Time) bool {
	return now >= Time(s.nonIdempotentUntil.Load())
}

// inContactSince returns since when this host has been in contact with a majority
// of the owners.
func (s *Shared) inContactSince() Time {
	return Time(s.contactSince.Load())
}

// holdsLease reports whether the peers' leases are valid.
func (s *Shared) holdsLease(now Time) bool {
	return now < s.RefuseUntil()
}

// Endpoint returns a registered endpoint, or nil.
func (s *Shared) Endpoint(key EndpointKey) *Endpoint {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.endpoints[key]
}

// Register adds an endpoint under its key.
func (s *Shared) Register(e *Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endpoints[e.Key] = e
}

// Unregister removes an endpoint.
func (s *Shared) Unregister(key EndpointKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.endpoints, key)
}

// Endpoints returns all registered endpoints, in no particular order.
func (s *Shared) Endpoints() []*Endpoint {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := make([]*Endpoint, 0, len(s.endpoints))
	for _, e := range s.endpoints {
		out = append(out, e)
	}
	return out
}
