package steer

import (
	"net/netip"
	"time"

	"toucangap/internal/flow"
)

// Direction tells which side sent a packet.
type Direction uint8

// The directions of a packet.
const (
	FromCaller Direction = iota + 1
	FromEndpoint
)

// Hop tells how a packet reached this host.
type Hop uint8

// The hops of a packet. A packet is passed to another host at most twice, and
// twice only while ownership of its flow changes.
const (
	// HopEdge marks a packet from the fabric or from an endpoint.
	HopEdge Hop = iota
	// HopToOwner marks a packet from a peer that regards this host as the owner.
	HopToOwner
	// HopToFormer marks a packet from a peer that does not know the flow and
	// regards this host as one that may: the former owner, the owner or the
	// successor. It is not passed on again.
	HopToFormer
)

// TCPFlags are the flags of a TCP header that decisions depend on.
type TCPFlags uint8

// The TCP flags.
const (
	TCPFin TCPFlags = 1 << iota
	TCPSyn
	TCPReset
	TCPAck
)

// TCP holds the TCP header fields that decisions depend on.
type TCP struct {
	Flags TCPFlags
	// Sequence and Acknowledgment are the header's fields of these names.
	Sequence, Acknowledgment uint32
	// Payload is the length of the data in bytes.
	Payload int
}

// CoAPType is the message type of RFC 7252, section 3.
type CoAPType uint8

// The CoAP message types.
const (
	CoAPConfirmable CoAPType = iota
	CoAPNonConfirmable
	CoAPAcknowledgement
	CoAPReset
)

// Token is a CoAP token, at most 8 bytes, with its length.
type Token struct {
	Bytes  [8]byte
	Length uint8
}

// CoAP holds the fields of a CoAP message that decisions depend on.
type CoAP struct {
	Type CoAPType
	// Code is class<<5 | detail: 0 is empty, 1 to 31 are requests, 64 and above
	// responses.
	Code      uint8
	MessageID uint16
	Token     Token
	// Deadline is how long the caller waits for the answer; 0 if not stated.
	Deadline time.Duration
	// MaxAge is the Max-Age option of a response; 0 if not stated.
	MaxAge time.Duration
}

// IsRequest reports whether the message carries a request.
func (c CoAP) IsRequest() bool {
	return c.Code >= 1 && c.Code < 32
}

// IsResponse reports whether the message is a response.
func (c CoAP) IsResponse() bool {
	return c.Code >= 64
}

// Idempotent reports whether the request may run more than once, by its
// method: GET (1), PUT (3), DELETE (4), FETCH (5) and iPATCH (7).
func (c CoAP) Idempotent() bool {
	switch c.Code {
	case 1, 3, 4, 5, 7:
		return true
	}
	return false
}

// Packet is one parsed packet, reduced to what decisions depend on.
type Packet struct {
	Direction Direction
	Hop       Hop
	// Key is the flow in the caller's direction.
	Key flow.Key
	// Endpoint is the underlay address that an answer came from.
	Endpoint netip.AddrPort
	TCP      TCP
	// HasCoAP reports whether CoAP was parsed.
	HasCoAP bool
	CoAP    CoAP
	// Length is the inner packet's size in bytes.
	Length int
}

// Action is what to do with a packet.
type Action uint8

// The actions.
const (
	// ActionDrop discards the packet and counts Reason.
	ActionDrop Action = iota
	// ActionForward sends the packet to Endpoint.
	ActionForward
	// ActionReturn sends the packet to the caller through the fabric.
	ActionReturn
	// ActionPass sends the packet to the host Peer with the hop mark Hop.
	ActionPass
	// ActionReply discards the packet and sends Reply to the caller.
	ActionReply
)

// ReplyKind is what a host itself sends to a caller in place of the endpoint's
// answer.
type ReplyKind uint8

// The kinds of reply.
const (
	ReplyNone ReplyKind = iota
	// ReplyReset ends a TCP flow by RST.
	ReplyReset
	// ReplyUnreachable ends a UDP flow by ICMP port unreachable.
	ReplyUnreachable
	// ReplyNotRun is CoAP 5.03 with Max-Age: the request was not run.
	ReplyNotRun
	// ReplyOutcomeUnknown is CoAP 5.04: the request may have run.
	ReplyOutcomeUnknown
)

// Verdict is the decision on one packet. Fields that the action does not use
// are zero.
type Verdict struct {
	Action   Action
	Reason   Reason
	Endpoint netip.AddrPort
	Peer     netip.AddrPort
	Hop      Hop
	Reply    ReplyKind
	// RetryAfter is after how long the caller may retry, with ReplyNotRun; whole
	// seconds on the wire.
	RetryAfter time.Duration
}
