package steer

import "toucangap/internal/flow"

// UDP flows end without a signal. One that has been idle for dormantTimeout no
// longer counts towards its endpoint's load; it is kept for as long as any flow
// and counts again with its next packet.

// markIfDormant stops counting a UDP flow that has been idle for dormantTimeout.
func (s *Shard) markIfDormant(now Time, e *entry) {
	if e.has(flagDormant) || e.requests > 0 || now-e.lastSeen < dormantTimeout {
		return
	}
	t := s.view.Current[e.endpoint.Key.Service]
	if t == nil || t.Service.Protocol == flow.TCP {
		return
	}
	s.uncount(e)
	e.flags |= flagDormant
}

// noteActivity notes a packet of a flow and counts a dormant flow again.
func (s *Shard) noteActivity(now Time, e *entry) {
	e.lastSeen = now
	if !e.has(flagDormant) {
		return
	}
	e.flags &^= flagDormant
	s.count(e)
}
