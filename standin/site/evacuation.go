package site

import (
	"fmt"
	"net/netip"
	"time"

	"toucangap/internal/catalog"
	"toucangap/platform"
)

// EvacuationBound is the time after the store's acceptance of an evacuation within which
// hosts in contact with the store must have stopped sending new flows to the domain.
const EvacuationBound = 3 * time.Second

// operatorInterval is the time between two attempts of the operator to write or remove
// keys that the store has not accepted.
const operatorInterval = 50 * time.Millisecond

// evacuation is the operator's request to evacuate a failure domain.
type evacuation struct {
	// end is when the operator removes the key.
	end time.Duration
	// written is set while the store holds the key, as far as the operator knows.
	written bool
	// deadline is the time after which no new flow may be sent to the domain.
	deadline time.Duration
	// reported holds the hosts for which a violation has been recorded.
	reported map[*Host]bool
}

// Evacuate makes the operator write the key that evacuates a failure domain, and remove
// it after the span. Both are repeated until the store accepts them. The domain need not
// exist.
func (s *Site) Evacuate(domain string, span time.Duration) {
	s.mu.Lock()
	e := s.evacuations[domain]
	if e == nil {
		e = &evacuation{reported: make(map[*Host]bool)}
		s.evacuations[domain] = e
	}
	e.end = max(e.end, s.now()+span)
	s.mu.Unlock()
	s.operate()
}

// operate writes and removes the keys of evacuations as due.
func (s *Site) operate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for domain, e := range s.evacuations {
		key := "op/evacuate/" + domain
		switch wanted := now < e.end; {
		case wanted && !e.written && s.Store.Put(key, []byte("{}"), 0):
			e.written, e.deadline = true, now+EvacuationBound
			clear(e.reported)
		case !wanted && e.written && s.Store.Remove(key):
			e.written = false
		}
	}
}

// reviewEvacuations makes the operator write or remove all keys again after the store was
// restored: the copy may lack keys that were written since, and hold removed ones.
func (s *Site) reviewEvacuations() {
	now := s.now()
	for _, e := range s.evacuations {
		e.written = now >= e.end
	}
}

// SuspendEvacuations suspends the check of evacuations at the host for the span of a fault
// that separates it from the store, and the stabilization after it.
func (h *Host) SuspendEvacuations(span time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.evacuationsSuspendedUntil = max(h.evacuationsSuspendedUntil, h.site.now()+span+stabilization)
}

// checkNewFlow records a violation if a host sends a SYN to an endpoint of an evacuated
// domain, or to a draining endpoint, after the deadline, unless the flow is open there.
func (s *Site) checkNewFlow(e *Endpoint, from netip.AddrPort, datagram []byte) {
	if len(datagram) < platform.RecipientBytes {
		return
	}
	packet, err := platform.Decode(datagram[platform.RecipientBytes:])
	if err != nil || !packet.Syn {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.hostAt(from.Addr())
	if h == nil || e.Holds(packet.Flow) {
		return
	}
	s.checkEvacuation(e, h, packet.Flow)
	s.checkDrain(e, h, packet.Flow)
}

func (s *Site) checkEvacuation(e *Endpoint, h *Host, flow catalog.Flow) {
	now, v := s.now(), s.evacuations[e.domain]
	if v == nil || !v.written || now <= v.deadline || v.reported[h] {
		return
	}
	h.mu.Lock()
	suspended := now <= h.evacuationsSuspendedUntil
	h.mu.Unlock()
	if !suspended {
		v.reported[h] = true
		s.Result.recordViolation(now, lateText(h, e, flow, now-v.deadline))
	}
}

func lateText(h *Host, e *Endpoint, f catalog.Flow, late time.Duration) string {
	return fmt.Sprintf("%s sent new flow %s to %s in evacuated domain %s, %s after the bound", h.Name, f, e.id, e.domain, late)
}

// hostAt returns the host with the IP address, or nil.
func (s *Site) hostAt(ip netip.Addr) *Host {
	for _, h := range s.hosts {
		if h.ready.Addr() == ip.Unmap() {
			return h
		}
	}
	return nil
}
