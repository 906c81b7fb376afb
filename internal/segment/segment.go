// Package segment defines the decoded header of a packet.
package segment

import "toucangap/internal/catalog"

// Segment is the header of a packet from a caller. Packets from endpoints have
// the same fields with the flow's two ends exchanged.
type Segment struct {
	Flow catalog.Flow
	// Token identifies the endpoint that holds the flow; 0 on a SYN.
	Token catalog.Token
	// Sequence and Acknowledgement count bytes of the two directions. On a SYN,
	// Acknowledgement is the number of copies that were sent before.
	Sequence        uint32
	Acknowledgement uint32
	DataBytes       int
	// Checksum is a keyed checksum of the two ends, which hosts can't compute.
	Checksum uint32
	Syn      bool
	Ack      bool
	Fin      bool
	Reset    bool
	// Forwarded is set on packets that a host has already forwarded.
	Forwarded bool
}

// End returns the sequence number after the segment's data.
func (s *Segment) End() uint32 { return s.Sequence + uint32(s.DataBytes) }

// After reports whether sequence number a follows b, allowing for wraparound.
func After(a, b uint32) bool { return int32(a-b) > 0 }

// Retransmissions returns how many copies of a SYN were sent before this one.
func (s *Segment) Retransmissions() uint32 { return s.Acknowledgement }
