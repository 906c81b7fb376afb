// Package segment holds the header of a caller's packet in decoded form.
package segment

import "toucangap/internal/catalog"

// Segment is what a host reads of a packet that a caller sent.
type Segment struct {
	Flow catalog.Flow
	// Token names the endpoint that holds the flow, 0 on the first packet.
	Token catalog.Token
	// Sequence and Acknowledgement count bytes of the two directions. On a first
	// packet the latter counts the copies that were sent before.
	Sequence        uint32
	Acknowledgement uint32
	DataBytes       int
	Syn             bool
	Ack             bool
	Fin             bool
	Reset           bool
	// Forwarded is set on packets that a host has passed on before.
	Forwarded bool
}

// End returns the sequence number behind the segment's data.
func (s *Segment) End() uint32 { return s.Sequence + uint32(s.DataBytes) }

// After reports whether sequence number a is behind b, across the wrap.
func After(a, b uint32) bool { return int32(a-b) > 0 }

// Copy returns how many copies of a first packet were sent before this one.
func (s *Segment) Copy() uint32 { return s.Acknowledgement }
