// Package segment holds the header of a packet in decoded form.
package segment

import "toucangap/internal/catalog"

// Segment is the header of a packet that a caller sent. Endpoints' packets have
// the same fields with the flow's two ends exchanged.
type Segment struct {
	Flow catalog.Flow
	// Token names the endpoint that holds the flow, 0 on the first packet.
	Token catalog.Token
	// Sequence and Acknowledgement count bytes of the two directions. On a first
	// packet the latter counts the copies that were sent before.
	Sequence        uint32
	Acknowledgement uint32
	DataBytes       int
	// Sum is the ends' keyed checksum, which hosts can't compute.
	Sum   uint32
	Syn   bool
	Ack   bool
	Fin   bool
	Reset bool
	// Forwarded is set on packets that a host has passed on before.
	Forwarded bool
}

// End returns the sequence number behind the segment's data.
func (s *Segment) End() uint32 { return s.Sequence + uint32(s.DataBytes) }

// After reports whether sequence number a is behind b, across the wrap.
func After(a, b uint32) bool { return int32(a-b) > 0 }

// Copy returns how many copies of a first packet were sent before this one.
func (s *Segment) Copy() uint32 { return s.Acknowledgement }
