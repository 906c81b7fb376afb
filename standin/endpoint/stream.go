package endpoint

import (
	"net/netip"

	"toucangap/standin/exchange"
	"toucangap/standin/inner"
)

// connection is the state of a TCP connection with one request in progress at
// a time.
type connection struct {
	// initial is the caller's initial sequence number.
	initial uint32
	// receiveNext is the next sequence number expected from the caller.
	receiveNext uint32
	// sendNext is the sequence number after the last answer.
	sendNext uint32
	// answer is the last answer, resent for duplicate requests.
	answer []byte
	// busy is set while a request is in progress.
	busy   bool
	closed bool
}

// streamServer serves TCP connections. It is guarded by its endpoint's lock.
type streamServer struct {
	endpoint    *Endpoint
	connections map[netip.AddrPort]*connection
	// opened is the number of connections that are not closed.
	opened int
}

func newStreamServer(e *Endpoint) *streamServer {
	return &streamServer{endpoint: e, connections: make(map[netip.AddrPort]*connection)}
}

// open returns the number of open connections.
func (s *streamServer) open() int {
	return s.opened
}

// handle processes a segment.
func (s *streamServer) handle(p inner.Packet) {
	c, known := s.connections[p.Source]
	switch {
	case p.Flags&inner.Reset != 0:
		s.close(c)
	case p.Flags&inner.Syn != 0:
		s.accept(p, c)
	case !known:
		s.reset(p)
	case p.Flags&inner.Fin != 0:
		s.finish(p, c)
	case len(p.Payload) > 0 && !c.closed:
		s.receive(p, c)
	}
}

// accept opens a connection, answers a retransmitted SYN, or refuses a new
// connection with RST.
func (s *streamServer) accept(p inner.Packet, c *connection) {
	if c != nil && c.initial == p.Sequence {
		s.sendSynAck(p, c)
		return
	}
	if c != nil && !c.closed {
		s.reset(p)
		return
	}
	if s.endpoint.condition.Draining || s.opened >= s.endpoint.config.MaxFlows {
		s.endpoint.runLog.counts.Sheds++
		s.reset(p)
		return
	}
	s.evictClosed()
	c = &connection{initial: p.Sequence, receiveNext: p.Sequence + 1}
	c.sendNext = s.initialSequence(p.Source) + 1
	s.connections[p.Source] = c
	s.opened++
	s.endpoint.runLog.open(p.Source)
	s.sendSynAck(p, c)
}

// maxClosed limits the closed connections that are kept to answer retransmitted
// segments.
const maxClosed = 10_000

// evictClosed removes the closed connections when there are too many.
func (s *streamServer) evictClosed() {
	if len(s.connections)-s.opened < maxClosed {
		return
	}
	for caller, c := range s.connections {
		if c.closed {
			delete(s.connections, caller)
		}
	}
}

// initialSequence derives the endpoint's initial sequence number from the seed
// and the caller's address and port.
func (s *streamServer) initialSequence(caller netip.AddrPort) uint32 {
	return exchange.Random(s.endpoint.config.Seed, caller.String()).Uint32()
}

func (s *streamServer) sendSynAck(p inner.Packet, c *connection) {
	s.respond(p, inner.Syn|inner.Ack, s.initialSequence(p.Source), c.initial+1, nil)
}

// receive runs the request in a data segment, or resends the last answer for a
// duplicate. Other segments are ignored; all but new requests count as
// duplicates.
func (s *streamServer) receive(p inner.Packet, c *connection) {
	end := p.Sequence + uint32(len(p.Payload))
	switch {
	case p.Sequence == c.receiveNext:
		s.run(p, c)
	case end == c.receiveNext && !c.busy:
		s.endpoint.runLog.counts.Duplicates++
		s.sendAnswer(p, c)
	default:
		s.endpoint.runLog.counts.Duplicates++
	}
}

// run validates the request in a segment and submits it to the pool.
func (s *streamServer) run(p inner.Packet, c *connection) {
	e := s.endpoint
	request, err := exchange.Unmarshal[exchange.Request](p.Payload)
	if err != nil {
		e.runLog.counts.Malformed++
		return
	}
	if request.Service != e.Service {
		e.runLog.recordMisdirected(request.ID)
		s.reset(p)
		return
	}
	if e.pool.full() {
		return // not acknowledged, so the caller retransmits
	}
	c.receiveNext += uint32(len(p.Payload))
	c.busy = true
	e.pool.submit(job{id: request.ID, done: func(outcome) {
		c.busy = false
		c.answer = exchange.Marshal(exchange.NewAnswer(request, e.Service, e.Name))
		c.sendNext += uint32(len(c.answer))
		s.sendAnswer(p, c)
	}})
}

// sendAnswer sends or resends the last answer.
func (s *streamServer) sendAnswer(p inner.Packet, c *connection) {
	first := c.sendNext - uint32(len(c.answer))
	s.respond(p, inner.Ack, first, c.receiveNext, c.answer)
}

// finish closes a connection but keeps its state, so that a retransmitted FIN
// gets the same answer.
func (s *streamServer) finish(p inner.Packet, c *connection) {
	s.close(c)
	s.respond(p, inner.Fin|inner.Ack, c.sendNext, p.Sequence+1, nil)
}

func (s *streamServer) close(c *connection) {
	if c != nil && !c.closed {
		c.closed = true
		s.opened--
	}
}

// reset replies to a segment with RST.
func (s *streamServer) reset(p inner.Packet) {
	s.endpoint.runLog.counts.Resets++
	s.respond(p, inner.Reset|inner.Ack, p.Acknowledgment, p.Sequence+1, nil)
}

func (s *streamServer) respond(p inner.Packet, flags inner.Flags, sequence, acknowledgment uint32, payload []byte) {
	s.endpoint.transmit(inner.Packet{
		Kind: inner.Segment, Source: p.Destination, Destination: p.Source,
		Flags: flags, Sequence: sequence, Acknowledgment: acknowledgment, Payload: payload,
	})
}
