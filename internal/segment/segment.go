// Package segment defines the decoded header of a packet between a caller and an
// endpoint. The wire format is in package platform.
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
	// DataBytes is the length of the data after the header.
	DataBytes int
	// Checksum is a checksum with a key that callers and endpoints share. Hosts
	// don't have the key and can't compute it.
	Checksum uint32
	Syn      bool
	Ack      bool
	Fin      bool
	Reset    bool
	// Forwarded is set on packets that a host has already forwarded.
	Forwarded bool
}

// End returns the sequence number of the byte after the segment's data.
func (s *Segment) End() uint32 { return s.Sequence + uint32(s.DataBytes) }

// After reports whether sequence number a follows b, allowing for wraparound: a is
// after b if it is less than 2^31 ahead.
func After(a, b uint32) bool { return int32(a-b) > 0 }

// Retransmissions returns how many copies of a SYN were sent before this one.
func (s *Segment) Retransmissions() uint32 { return s.Acknowledgement }
