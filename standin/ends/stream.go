package ends

import (
	"time"

	"toucangap/internal/catalog"
	"toucangap/internal/segment"
)

// stream is the byte stream of one end of an established flow.
type stream struct {
	key   Key
	flow  catalog.Flow // with this end first
	token catalog.Token

	// base is the sequence number of the first byte in out, sent the number of bytes
	// of out that have been sent and not acknowledged.
	base     uint32
	out      []byte
	sent     int
	closing  bool // a FIN follows the data in out
	finSent  bool
	finAcked bool

	// expected is the next sequence number of the other end. The data received and
	// not consumed is kept in the buffer in. unacked is the number of packets with
	// data received since the last acknowledgement sent.
	expected    uint32
	in          []byte
	finReceived bool
	unacked     int
	// retransmitAt is when the first unacknowledged packet is sent again; 0 for never.
	retransmitAt      time.Duration
	retransmitTimeout time.Duration
	retransmissions   int
}

// newPacket encodes a packet of this end and acknowledges all received data.
func (s *stream) newPacket(h segment.Segment, data []byte) []byte {
	h.Flow, h.Token = s.flow, s.token
	h.Acknowledgement, h.Ack = s.expected, true
	s.unacked = 0
	return s.key.seal(h, data)
}

// write queues bytes for sending.
func (s *stream) write(b []byte) { s.out = append(s.out, b...) }

// flush returns the packets with unsent data, and the FIN, that the window permits.
func (s *stream) flush(now time.Duration) (packets [][]byte) {
	for s.sent < len(s.out) && s.sent < window*maxData {
		n := min(maxData, len(s.out)-s.sent)
		packets = append(packets, s.newPacket(segment.Segment{Sequence: s.base + uint32(s.sent)}, s.out[s.sent:s.sent+n]))
		s.sent += n
	}
	if s.closing && !s.finSent && s.sent == len(s.out) {
		s.finSent = true
		packets = append(packets, s.newPacket(segment.Segment{Sequence: s.base + uint32(s.sent), Fin: true}, nil))
	}
	if len(packets) > 0 && s.retransmitAt == 0 {
		s.retransmitTimeout = initialRetransmitTimeout
		s.retransmitAt = now + s.retransmitTimeout
	}
	return packets
}

// receive processes a packet of the other end. It acknowledges every second packet
// with data, and at once a FIN and a packet without new data.
func (s *stream) receive(now time.Duration, h segment.Segment, data []byte) (packets [][]byte) {
	if h.Token != 0 {
		s.token = h.Token
	}
	s.acknowledge(now, h)
	newData := false
	if len(data) > 0 && !segment.After(h.Sequence, s.expected) && segment.After(h.End(), s.expected) {
		s.in = append(s.in, data[s.expected-h.Sequence:]...)
		s.expected = h.End()
		newData = true
	}
	if h.Fin && h.End() == s.expected && !s.finReceived {
		s.finReceived = true
		s.expected++
		return [][]byte{s.newPacket(segment.Segment{Sequence: s.nextSequence()}, nil)}
	}
	if len(data) > 0 || h.Fin {
		s.unacked++
		if s.unacked >= 2 || !newData {
			return [][]byte{s.newPacket(segment.Segment{Sequence: s.nextSequence()}, nil)}
		}
	}
	return nil
}

// nextSequence returns the sequence number that follows everything sent.
func (s *stream) nextSequence() uint32 {
	p := s.base + uint32(s.sent)
	if s.finSent {
		p++
	}
	return p
}

// acknowledge removes the data that the packet acknowledges from out.
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
	s.retransmissions = 0
	s.retransmitAt, s.retransmitTimeout = 0, initialRetransmitTimeout
	if s.sent > 0 || s.finSent && !s.finAcked {
		s.retransmitAt = now + s.retransmitTimeout
	}
}

// retransmit returns the first unacknowledged packet if it is due.
func (s *stream) retransmit(now time.Duration) (packets [][]byte) {
	if s.retransmitAt == 0 || now < s.retransmitAt {
		return nil
	}
	s.retransmissions++
	s.retransmitTimeout = min(2*s.retransmitTimeout, maxRetransmitTimeout)
	s.retransmitAt = now + s.retransmitTimeout
	if s.sent > 0 {
		return [][]byte{s.newPacket(segment.Segment{Sequence: s.base}, s.out[:min(maxData, s.sent)])}
	}
	if s.finSent && !s.finAcked {
		return [][]byte{s.newPacket(segment.Segment{Sequence: s.base, Fin: true}, nil)}
	}
	s.retransmitAt = 0
	return nil
}
