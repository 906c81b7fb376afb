package ends

import (
	"time"

	"toucangap/internal/catalog"
	"toucangap/internal/segment"
)

// stream is one end's sending and receiving of bytes on an open flow.
type stream struct {
	key   Key
	flow  catalog.Flow // with this end first
	token catalog.Token

	// next is the sequence number of the first byte in out, sent the number of
	// bytes of out that are in flight or acknowledged.
	base     uint32
	out      []byte
	sent     int
	finish   bool
	finSent  bool
	finAcked bool

	expected  uint32
	in        []byte
	finSeen   bool
	unacked   int
	resendAt  time.Duration
	resendGap time.Duration
	resends   int
}

// packet seals a packet of this end.
func (s *stream) packet(h segment.Segment, data []byte) []byte {
	h.Flow, h.Token = s.flow, s.token
	h.Acknowledgement, h.Ack = s.expected, true
	s.unacked = 0
	return s.key.seal(h, data)
}

// write queues bytes.
func (s *stream) write(b []byte) { s.out = append(s.out, b...) }

// flush returns the packets that the window allows.
func (s *stream) flush(now time.Duration) (packets [][]byte) {
	for s.sent < len(s.out) && s.sent < window*maxData {
		n := min(maxData, len(s.out)-s.sent)
		packets = append(packets, s.packet(segment.Segment{Sequence: s.base + uint32(s.sent)}, s.out[s.sent:s.sent+n]))
		s.sent += n
	}
	if s.finish && !s.finSent && s.sent == len(s.out) {
		s.finSent = true
		packets = append(packets, s.packet(segment.Segment{Sequence: s.base + uint32(s.sent), Fin: true}, nil))
	}
	if len(packets) > 0 && s.resendAt == 0 {
		s.resendGap = resendFirst
		s.resendAt = now + s.resendGap
	}
	return packets
}

// take accepts a packet of the other end.
func (s *stream) take(now time.Duration, h segment.Segment, data []byte) (packets [][]byte) {
	if h.Token != 0 {
		s.token = h.Token
	}
	s.acknowledge(now, h)
	fresh := false
	if len(data) > 0 && !segment.After(h.Sequence, s.expected) && segment.After(h.End(), s.expected) {
		s.in = append(s.in, data[s.expected-h.Sequence:]...)
		s.expected = h.End()
		fresh = true
	}
	if h.Fin && h.End() == s.expected && !s.finSeen {
		s.finSeen = true
		s.expected++
		return [][]byte{s.packet(segment.Segment{Sequence: s.position()}, nil)}
	}
	if len(data) > 0 || h.Fin {
		s.unacked++
		if s.unacked >= 2 || !fresh {
			return [][]byte{s.packet(segment.Segment{Sequence: s.position()}, nil)}
		}
	}
	return nil
}

// position is the sequence number behind all that was sent.
func (s *stream) position() uint32 {
	p := s.base + uint32(s.sent)
	if s.finSent {
		p++
	}
	return p
}

func (s *stream) acknowledge(now time.Duration, h segment.Segment) {
	if !h.Ack || !segment.After(h.Acknowledgement, s.base) {
		return
	}
	n := int(h.Acknowledgement - s.base)
	if s.finSent && n == s.sent+1 {
		s.finAcked = true
		n--
	}
	if n > s.sent {
		return
	}
	s.out = s.out[n:]
	s.sent -= n
	s.base += uint32(n)
	s.resends = 0
	s.resendAt, s.resendGap = 0, resendFirst
	if s.sent > 0 || s.finSent && !s.finAcked {
		s.resendAt = now + s.resendGap
	}
}

// resend repeats the first packet without an acknowledgement when it is due.
func (s *stream) resend(now time.Duration) (packets [][]byte) {
	if s.resendAt == 0 || now < s.resendAt {
		return nil
	}
	s.resends++
	s.resendGap = min(2*s.resendGap, resendLongest)
	s.resendAt = now + s.resendGap
	if s.sent > 0 {
		return [][]byte{s.packet(segment.Segment{Sequence: s.base}, s.out[:min(maxData, s.sent)])}
	}
	if s.finSent && !s.finAcked {
		return [][]byte{s.packet(segment.Segment{Sequence: s.base, Fin: true}, nil)}
	}
	s.resendAt = 0
	return nil
}
