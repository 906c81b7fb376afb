package site

import (
	"fmt"
	"time"

	"toucangap/internal/catalog"
	"toucangap/platform"
)

// acceptedVersion is a version of the configuration with the time of its acceptance.
type acceptedVersion struct {
	version uint64
	at      time.Duration
}

// Harm records that a fault harms the host, its links or its way to the store for a span.
func (h *Host) Harm(span time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.harmedUntil = max(h.harmedUntil, h.site.now()+span+stabilization)
}

// harmAll records that all hosts are harmed at this moment.
func (s *Site) harmAll() {
	for _, h := range s.hosts {
		h.Harm(0)
	}
}

// HarmReads records that the store's responses to reads are harmed for a span, while it
// accepts writes. Drains that are not known by then are due when hosts are in touch again.
func (s *Site) HarmReads(span time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.readsHarmedUntil = max(s.readsHarmedUntil, now+span+stabilization)
	for _, e := range s.endpoints {
		if e.DrainDeadline > now {
			e.DrainDeadline = max(e.DrainDeadline, s.readsHarmedUntil)
		}
	}
}

// InTouch reports whether the host's process ran, and no fault harmed the host, its links or
// the store, for the stabilization before this moment.
func (h *Host) InTouch() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.site.now() > h.harmedUntil && time.Since(h.startedAt) > stabilization
}

// DueVersion returns the newest version of the configuration that the store accepted more
// than ConfigBound ago; recent reports whether that was within the span before.
func (s *Site) DueVersion(span time.Duration) (version uint64, recent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for _, a := range s.accepted {
		if now-a.at > ConfigBound {
			version, recent = a.version, now-a.at <= ConfigBound+span
		}
	}
	return version, recent
}

// LeftEndpoints returns the number of endpoints at which no new flow may start, and which are
// still in the store.
func (s *Site) LeftEndpoints() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.endpoints {
		if e.DrainDeadline > 0 && s.now() > e.DrainDeadline && !e.removed {
			n++
		}
	}
	return n
}

// checkDrain records, once for each host and endpoint, that a host sends a new flow to the
// endpoint after its drain deadline: a violation if the host is in touch, else a note beside
// the faults, which tells whose flows the ledger counts.
func (s *Site) checkDrain(e *Endpoint, h *Host, flow catalog.Flow) {
	now := s.now()
	if e.DrainDeadline == 0 || now <= e.DrainDeadline {
		return
	}
	inTouch := h.InTouch()
	if !inTouch {
		e.excused[flow] = true
	}
	if e.reportedLate[h] || !inTouch && e.notedLate[h] {
		return
	}
	text := fmt.Sprintf("%s sent new flow %s to draining endpoint %s, %s after the bound", h.Name, flow, e.id, now-e.DrainDeadline)
	if !inTouch {
		e.notedLate[h] = true
		s.recordFault(now, "(not in touch) "+text)
		return
	}
	e.reportedLate[h] = true
	s.Result.recordViolation(now, text)
}

// countExcused counts a late flow in the ledger as excused if a host that is not in touch sent
// it. Such a host may forward packets that waited, for example while it was paused.
func (e *Endpoint) countExcused(packet []byte) {
	if p, err := platform.Decode(packet); err == nil && e.excused[p.Flow] {
		e.site.excusedLate++
	}
}
