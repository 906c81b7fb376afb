//go:build review

package main

import (
	"bytes"
	"fmt"
	"net"
	"net/netip"
	"time"
)

// When the copies of a SYN are sent, counted from the first one, and when the attempt ends.
var synCopies = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond}

const (
	attemptTimeout = 1400 * time.Millisecond
	resetWindow    = 76800
	// requesterDelay is the time that a packet takes between a requester and the system.
	requesterDelay = 3 * time.Millisecond
)

// way delays packets and keeps their order.
type way struct{ queue chan delayed }

type delayed struct {
	at   time.Time
	send func()
}

func newWay() *way {
	y := &way{queue: make(chan delayed, 100_000)}
	go func() {
		for d := range y.queue {
			time.Sleep(time.Until(d.at))
			d.send()
		}
	}()
	return y
}

func (y *way) pass(send func()) { y.queue <- delayed{time.Now().Add(requesterDelay), send} }

// requester is a requester's address with its flows, guarded by the world's lock.
type requester struct {
	w        *world
	zone     string
	address  netip.Addr
	conn     *net.UDPConn
	way      *way
	flows    map[uint16]*flow
	nextPort uint16
}

// flow is a requester's end of a flow.
type flow struct {
	r     *requester
	key   flowKey
	name  string
	state flowState
	start time.Duration

	iss, next   uint32
	expected    uint32
	echo        uint32
	copies      uint32
	acknowledge uint32 // the last ack that was sent
	unacked     []byte
	unackedAt   uint32
	timer       time.Duration
	interval    time.Duration
	in          []byte

	// request is the id of the request that waits for its answer; pending is what to
	// send once the flow is open.
	request  string
	deadline time.Duration
	pending  []byte
	answered int
	// onEnd is called when a request has its answer or its flow has ended.
	onEnd func(f *flow, outcome string)

	// What the judge knows.
	backend    *backend // that has the end of the handshake
	openedAt   time.Duration
	lastPacket time.Duration
	taker      *machine // to which the routers sent the last packet
	// Packets that reached other backends since one last reached its own.
	astray      int
	astraySince time.Duration
}

type flowState string

const (
	opening flowState = "opening"
	open    flowState = "open"
	ended   flowState = "ended"
)

func (w *world) addRequester(zone string) *requester {
	n := len(w.requesters) + 1
	r := &requester{
		w: w, zone: zone, address: netip.AddrFrom4([4]byte{127, 1, 0, byte(n)}),
		flows: make(map[uint16]*flow), nextPort: 20000,
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(r.address, w.port)))
	w.must(err)
	w.must(conn.SetReadBuffer(1 << 20))
	r.conn, r.way = conn, newWay()
	w.requesters = append(w.requesters, r)
	go r.read()
	return r
}

// open opens a flow to a route with a first request.
func (r *requester) open(route end, id string, work, budget time.Duration, onEnd func(*flow, string)) *flow {
	r.nextPort++
	w := r.w
	f := &flow{
		r: r, key: flowKey{endOf(r.address, r.nextPort), route}, start: w.now(), state: opening,
		onEnd: onEnd, echo: 0,
	}
	f.name = fmt.Sprintf("%s:%d", r.address, r.nextPort)
	f.iss = uint32(w.rng.Uint32())
	f.next = f.iss + 1
	r.flows[r.nextPort] = f
	w.flows[f.key] = f
	f.request, f.deadline = id, w.now()+budget
	f.pending = request(id, work, 300)
	f.timer = w.now() + synCopies[0]
	w.record("flow %s opens for request %s", f.name, id)
	f.sendSyn()
	return f
}

// ask sends a further request on an open flow.
func (f *flow) ask(id string, work, budget time.Duration) {
	w := f.r.w
	f.request, f.deadline = id, w.now()+budget
	w.record("flow %s sends request %s", f.name, id)
	f.write(request(id, work, 300))
}

func (f *flow) write(data []byte) {
	f.unacked, f.unackedAt = data, f.next
	f.next += uint32(len(data))
	f.interval = firstRetransmit
	f.timer = f.r.w.now() + f.interval
	f.send(packet{flags: flagAck, seq: f.unackedAt, ack: f.expected, data: data})
}

func (f *flow) sendSyn() {
	f.send(packet{flags: flagSyn, seq: f.iss, ack: f.copies})
	f.copies++
}

// send sends a packet to the machine that the routers choose when it reaches them.
func (f *flow) send(p packet) {
	p.src, p.dst = f.key.requester, f.key.route
	if !p.has(flagSyn) {
		p.echo = f.echo
		f.acknowledge = p.ack
	}
	f.lastPacket = f.r.w.now()
	datagram := seal(f.r.w.key, p)
	f.r.way.pass(func() {
		if to, ok := f.r.w.route(f.r.zone, f.key); ok {
			_, _ = f.r.conn.WriteToUDPAddrPort(datagram, to)
		}
	})
}

func (r *requester) read() {
	buffer := make([]byte, 2048)
	for {
		n, from, err := r.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, ok := decode(bytes.Clone(buffer[:n]))
		if !ok {
			continue
		}
		r.w.mu.Lock()
		if f := r.flows[p.dst.port]; f != nil && f.key.route == p.src {
			f.receive(p, from)
		}
		r.w.mu.Unlock()
	}
}

func (f *flow) receive(p packet, from netip.AddrPort) {
	w := f.r.w
	if f.state == ended {
		return
	}
	if p.has(flagRst) {
		distance := int32(p.seq - f.acknowledge)
		if f.state == open && (distance > resetWindow || distance < -resetWindow) {
			return
		}
		w.judgeReset(f, p, from)
		f.finish("reset")
		return
	}
	if p.sum != sumOf(w.key, p) {
		w.violation("MIXED: flow %s got a packet that its sender didn't write so", f.name)
		return
	}
	f.lastPacket = w.now()
	if p.echo != 0 {
		f.echo = p.echo
	}
	if p.has(flagSyn) {
		if f.state == opening {
			f.state, f.expected, f.timer = open, p.seq+1, 0
			f.send(packet{flags: flagAck, seq: f.next, ack: f.expected})
			f.write(f.pending)
		}
		return
	}
	if f.state != open {
		return
	}
	if len(f.unacked) > 0 && p.ack == f.unackedAt+uint32(len(f.unacked)) {
		f.unacked, f.timer = nil, 0
	}
	if len(p.data) == 0 {
		return
	}
	if p.seq == f.expected {
		f.expected += uint32(len(p.data))
		f.in = append(f.in, p.data...)
	}
	f.send(packet{flags: flagAck, seq: f.next, ack: f.expected})
	head, body, whole := bytes.Cut(f.in, []byte("\r\n\r\n"))
	if whole && field(head, "Content-Length: ") == fmt.Sprint(len(body)) {
		id := field(head, "Request-Id: ")
		f.in = nil
		if id != f.request || field(head, "Response-Seal: ") != "s-"+id {
			w.violation("MIXED: flow %s got the answer to %s while it waited for %q", f.name, id, f.request)
		}
		w.answeredCount++
		w.record("flow %s has the answer to %s", f.name, id)
		f.request = ""
		f.answered++
		if f.onEnd != nil {
			f.onEnd(f, "answered")
		}
	}
}

// close ends a flow with a FIN; later packets are ignored.
func (f *flow) close() {
	f.send(packet{flags: flagAck | flagFin, seq: f.next, ack: f.expected})
	f.state = ended
}

func (f *flow) finish(outcome string) {
	w := f.r.w
	if f.request != "" {
		w.record("flow %s ends, request %s has no answer: %s", f.name, f.request, outcome)
	}
	f.state = ended
	if f.onEnd != nil {
		f.onEnd(f, outcome)
	}
}

func (f *flow) tick(now time.Duration) {
	switch {
	case f.state == opening && now >= f.start+attemptTimeout:
		f.finish("never opened")
	case f.state == opening && f.timer > 0 && now >= f.timer:
		f.sendSyn()
		f.timer = 0
		if int(f.copies) <= len(synCopies) {
			f.timer = f.start + synCopies[f.copies-1]
		}
	case f.state == open && f.request != "" && now >= f.deadline:
		f.finish("time budget has passed")
	case f.state == open && f.timer > 0 && now >= f.timer:
		f.interval = min(2*f.interval, maxRetransmit)
		f.timer = now + f.interval
		f.send(packet{flags: flagAck, seq: f.unackedAt, ack: f.expected, data: f.unacked})
	}
}
