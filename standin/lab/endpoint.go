package lab

import (
	"fmt"
	"time"

	"toucangap/internal/config"
	"toucangap/internal/flow"
	"toucangap/internal/steer"
)

// body is the simulated content of a packet, besides its headers.
type body struct {
	// request identifies a request within the run; 0 means none.
	request int
	// endpoint is the sender of an answer.
	endpoint *Endpoint
}

// packet is a packet in transit.
type packet struct {
	steer.Packet
	body body
}

// Endpoint models a back end: slots, a bounded queue, open connections and
// the answers kept for retransmitted requests.
type Endpoint struct {
	simulation *Simulation
	service    *config.Service
	config     config.Endpoint
	// Slow is a factor on the service time.
	Slow float64
	// Dead makes the endpoint drop every packet.
	Dead bool
	// blackholed holds flows whose packets are dropped in both directions, as if
	// a device on the path had lost its state for them.
	blackholed  map[flow.Key]bool
	connections map[flow.Key]bool
	// closed holds connections that ended with a FIN; a retransmitted FIN is
	// acknowledged again.
	closed    map[flow.Key]bool
	responses map[exchangeKey]response
	running   int
	queue     []packet
	// Runs counts the requests that the endpoint started.
	Runs int
	// newFlows counts the flows that have opened; the last one opened at
	// lastNewFlow.
	newFlows    int
	lastNewFlow time.Duration
}

// response is an endpoint's answer, kept for retransmitted requests. Its code
// is 0 while the request is running or queued.
type response struct {
	code uint8
	body body
}

// exchangeKey identifies a message by flow and message ID, as in RFC 7252.
type exchangeKey struct {
	flow      flow.Key
	messageID uint16
}

// Parameters of the endpoint model.
const (
	meanServiceTime = 30 * time.Millisecond
	queueLimit      = 64
	ackDelay        = time.Millisecond
)

// CoAP codes used by the model.
const (
	codeGet                = 1
	codePost               = 2
	codeContent            = 2<<5 | 5
	codeServiceUnavailable = 5<<5 | 3
)

func newEndpoint(sim *Simulation, s *config.Service, c config.Endpoint) *Endpoint {
	return &Endpoint{
		simulation:  sim,
		service:     s,
		config:      c,
		Slow:        1,
		blackholed:  make(map[flow.Key]bool),
		connections: make(map[flow.Key]bool),
		closed:      make(map[flow.Key]bool),
		responses:   make(map[exchangeKey]response),
	}
}

// receive handles a packet from a caller.
func (e *Endpoint) receive(p packet) {
	if e.Dead || e.blackholed[p.Key] {
		return
	}
	if p.Key.Service != e.service.Address {
		e.simulation.recordViolation(fmt.Sprintf("wrong service: %v reached %s", p.Key, e.config.Name))
	}
	if p.HasCoAP {
		e.receiveRequest(p)
		return
	}
	e.receiveSegment(p)
}

// receiveSegment implements the passive side of a TCP connection.
func (e *Endpoint) receiveSegment(p packet) {
	flags := p.TCP.Flags
	switch {
	case flags&steer.TCPReset != 0:
		delete(e.connections, p.Key)
	case flags&steer.TCPSyn != 0:
		e.open(p.Key)
		e.sendSegment(p, steer.TCP{Flags: steer.TCPSyn | steer.TCPAck})
	case !e.connections[p.Key] && !e.closed[p.Key]:
		e.sendSegment(p, steer.TCP{Flags: steer.TCPReset})
	case flags&steer.TCPFin != 0:
		delete(e.connections, p.Key)
		e.closed[p.Key] = true
		e.sendSegment(p, steer.TCP{Flags: steer.TCPFin | steer.TCPAck})
	default:
		e.sendSegment(p, steer.TCP{Flags: steer.TCPAck, Acknowledgment: p.TCP.Sequence + 1})
	}
}

// open counts a flow that is not open yet and marks it as open.
func (e *Endpoint) open(key flow.Key) {
	if !e.connections[key] {
		e.connections[key] = true
		e.newFlows++
		e.lastNewFlow = e.simulation.clock.now
	}
}

// sendSegment answers p with a segment after ackDelay.
func (e *Endpoint) sendSegment(p packet, tcp steer.TCP) {
	a := p
	a.TCP = tcp
	a.body.endpoint = e
	e.simulation.clock.after(ackDelay, func() { e.send(a) })
}

// receiveRequest runs each message's request at most once.
func (e *Endpoint) receiveRequest(p packet) {
	e.open(p.Key)
	x := exchangeKey{p.Key, p.CoAP.MessageID}
	if a, known := e.responses[x]; known {
		if a.code != 0 {
			e.sendResponse(p, a)
		}
		return
	}
	if e.running >= e.config.Slots && len(e.queue) >= queueLimit {
		e.respond(p, codeServiceUnavailable)
		return
	}
	e.responses[x] = response{}
	e.queue = append(e.queue, p)
	e.startNext()
}

// startNext runs queued requests while slots are free.
func (e *Endpoint) startNext() {
	for e.running < e.config.Slots && len(e.queue) > 0 {
		p := e.queue[0]
		e.queue = e.queue[1:]
		e.running++
		e.Runs++
		e.simulation.callers.recordRun(p.body.request)
		took := meanServiceTime/2 + time.Duration(e.simulation.rng.Int64N(int64(meanServiceTime)))
		took = time.Duration(float64(took) * e.Slow)
		e.simulation.clock.after(took, func() { e.finish(p) })
	}
}

func (e *Endpoint) finish(p packet) {
	e.running--
	e.respond(p, codeContent)
	e.startNext()
}

// respond answers a request and keeps the answer for retransmissions.
func (e *Endpoint) respond(p packet, code uint8) {
	o := response{code, body{request: p.body.request, endpoint: e}}
	e.responses[exchangeKey{p.Key, p.CoAP.MessageID}] = o
	e.sendResponse(p, o)
}

func (e *Endpoint) sendResponse(p packet, o response) {
	a := p
	a.CoAP.Code = o.code
	a.CoAP.Type = steer.CoAPAcknowledgement
	if o.code == codeServiceUnavailable {
		a.CoAP.MaxAge = time.Second
	}
	a.body = o.body
	e.send(a)
}

// send sends an answer through a random live host.
func (e *Endpoint) send(p packet) {
	if e.Dead || e.blackholed[p.Key] {
		return
	}
	p.Direction = steer.FromEndpoint
	p.Hop = steer.HopEdge
	p.Endpoint = e.config.Address
	e.simulation.spray(e.config.Name, hostDelay, p)
}

// openRequests returns the number of running and queued requests.
func (e *Endpoint) openRequests() int {
	return e.running + len(e.queue)
}
