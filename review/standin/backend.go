//go:build review

package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"time"
)

// Retransmission as on the pages: after 200 ms, doubling up to 1.6 s; a backend gives up
// after 8 of them.
const (
	firstRetransmit   = 200 * time.Millisecond
	maxRetransmit     = 1600 * time.Millisecond
	maxRetransmission = 8
	// reuseAfter is ReuseAfterS with a margin.
	reuseAfter = 2500 * time.Millisecond
	// endedTime is how long an ended flow is known.
	endedTime = 2 * time.Second
)

// backend is a backend of a service. All its fields are guarded by the world's lock.
type backend struct {
	w              *world
	id             string
	number         uint64
	service, zone  string
	slots          int
	maxConnections int
	conn           *net.UDPConn
	way            *way
	address        netip.AddrPort

	born     int64
	sequence int
	state    string
	// drainAt is when the store acknowledged that the backend is draining; 0 if not.
	drainAt time.Duration
	// dead is set once the backend is lost for good.
	dead bool
	// cut is set while the backend is partitioned from all machines.
	cut bool
	// cleanSince is the end of the last impairment on the backend or its links.
	cleanSince time.Duration

	flows map[flowKey]*backendFlow
	// endedFlows is the number of those that have ended; refused counts the SYNs that got
	// no answer since the backend was full.
	endedFlows, refused int

	queue   []*job
	running []*job
	// dropSynAck decides whether the network loses a SYN+ACK; nil means never.
	dropSynAck func(k flowKey) bool
}

type backendFlow struct {
	key       flowKey
	open      bool
	ended     bool
	iss       uint32
	expected  uint32
	next      uint32
	echo      uint32
	synAt     time.Duration
	unacked   []byte // the encoded data of the last answer, while it is not acknowledged
	unackedAt uint32
	in        []byte
	timer     time.Duration
	interval  time.Duration
	tries     int
}

// job is a request that waits or runs.
type job struct {
	flow *backendFlow
	id   string
	work time.Duration
	done time.Duration
}

func (w *world) addBackend(service, zone string, maxConnections int) *backend {
	at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 3, 0, byte(len(w.backends) + 1)}), w.port)
	return w.addBackendAt(at, service, zone, maxConnections)
}

func (w *world) addBackendAt(at netip.AddrPort, service, zone string, maxConnections int) *backend {
	n := len(w.backends) + 1
	b := &backend{
		w: w, number: 0x5a000000 + uint64(n)*0x01f3b, service: service, zone: zone, slots: 2,
		maxConnections: maxConnections, address: at, state: "ready", born: time.Now().UnixMilli(),
		flows: make(map[flowKey]*backendFlow), cleanSince: -time.Hour,
	}
	b.id = fmt.Sprintf("i-%08x", b.number)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	w.must(err)
	w.must(conn.SetReadBuffer(1 << 20))
	b.conn, b.way = conn, newWay()
	w.backends = append(w.backends, b)
	b.register()
	go b.read()
	return b
}

// register writes the backend's entry.
func (b *backend) register() {
	if b.dead {
		return
	}
	b.sequence++
	value := fmt.Sprintf(`{"Service":%q,"Address":%q,"Zone":%q,"Version":"v1","Slots":%d,"State":%q,"ColdRemainingMs":0,"Sequence":%d,"born":%d}`,
		b.service, b.address, b.zone, b.slots, b.state, b.sequence, b.born)
	b.w.store.Put("servers/"+b.id, []byte(value), 0)
}

// loseForGood ends the backend silently and for good. The store removes its entry after three
// heartbeat intervals; its address goes to a new backend of another service.
func (b *backend) loseForGood(other string) {
	w := b.w
	w.record("backend %s falls silent for good", b.id)
	b.dead = true
	b.flows, b.queue, b.running, b.endedFlows = make(map[flowKey]*backendFlow), nil, nil, 0
	time.AfterFunc(reuseAfter, func() {
		w.do(func() {
			if closing.Load() {
				return
			}
			_ = b.conn.Close()
			w.addBackendAt(b.address, other, b.zone, b.maxConnections)
		})
	})
	time.AfterFunc(3*heartbeat, func() { w.do(func() { w.store.Remove("servers/" + b.id) }) })
}

// drain reports that the backend is draining. It goes on serving.
func (b *backend) drain() {
	b.state = "draining"
	b.register()
	b.drainAt = b.w.now()
	b.w.record("the store acknowledges that backend %s is draining", b.id)
}

func (b *backend) read() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := b.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if n < recipientBytes {
			continue
		}
		recipient := binary.BigEndian.Uint64(buffer)
		p, ok := decode(bytes.Clone(buffer[recipientBytes:n]))
		if !ok {
			continue
		}
		b.w.mu.Lock()
		if !b.cut && !b.dead && (recipient == 0 || recipient == b.number) {
			b.receive(p)
		}
		b.w.mu.Unlock()
	}
}

// send sends a packet to the flow's requester, after the delay of that way.
func (b *backend) send(f flowKey, p packet) {
	if b.dead {
		return
	}
	p.src, p.dst = f.route, f.requester
	datagram := seal(b.w.key, p)
	to := netip.AddrPortFrom(f.requester.addr(), b.w.port)
	b.way.pass(func() { _, _ = b.conn.WriteToUDPAddrPort(datagram, to) })
}

func (b *backend) reset(f flowKey, p packet) {
	b.w.record("backend %s resets flow %s: it does not hold it", b.id, b.w.nameOf(f))
	b.send(f, packet{flags: flagRst, seq: p.ack, echo: p.echo})
}

func (b *backend) receive(p packet) {
	k := flowKey{p.src, p.dst}
	if p.sum != sumOf(b.w.key, p) || p.has(flagSyn) && p.has(flagAck) {
		b.w.violation("UNASKED: backend %s got a packet that its sender didn't write so", b.id)
		return
	}
	if !p.has(flagSyn) {
		b.w.arrived(k, b)
	}
	f := b.flows[k]
	now := b.w.now()
	if f != nil && f.ended && !p.has(flagSyn) {
		// On a flow that has ended, a FIN is answered with an ACK, and data with a reset.
		switch {
		case len(p.data) > 0:
			b.reset(k, p)
		case p.has(flagFin):
			b.send(k, packet{flags: flagAck, seq: f.next, ack: f.expected + 1, echo: f.echo})
		}
		return
	}
	switch {
	case p.has(flagSyn):
		if f != nil && f.ended {
			b.endedFlows--
			delete(b.flows, k)
			f = nil
		}
		if f == nil || f.iss != b.issOf(p.seq) {
			if b.held() >= b.maxConnections {
				b.refused++
				return // full: it sends nothing
			}
			f = &backendFlow{key: k, iss: b.issOf(p.seq), expected: p.seq + 1, synAt: now}
			f.next = f.iss + 1
			b.flows[k] = f
			f.interval, f.timer = firstRetransmit, now+firstRetransmit
		}
		f.echo = p.echo
		b.synAck(f)
		return
	case f == nil:
		if !p.has(flagRst) {
			b.reset(k, p)
		}
		return
	case p.has(flagRst):
		delete(b.flows, k)
		return
	case !f.open && p.ack != f.iss+1:
		// The requester has acknowledged another backend's seq.
		b.reset(k, p)
		return
	case !f.open:
		f.open, f.timer, f.tries = true, 0, 0
		b.w.opened(k, b)
		if b.drainAt > 0 && f.synAt > b.drainAt+drainBound {
			b.w.violation("DRAIN: backend %s takes flow %s %.3f s after the store acknowledged that it is draining",
				b.id, b.w.nameOf(k), (f.synAt - b.drainAt).Seconds())
		}
	}
	if p.echo != 0 {
		f.echo = p.echo
	}
	if len(f.unacked) > 0 && p.ack == f.unackedAt+uint32(len(f.unacked)) {
		f.unacked, f.timer, f.tries = nil, 0, 0
	}
	if len(p.data) > 0 {
		if p.seq != f.expected {
			b.send(k, packet{flags: flagAck, seq: f.next, ack: f.expected, echo: f.echo})
			return
		}
		f.expected += uint32(len(p.data))
		f.in = append(f.in, p.data...)
		if id, work, ok := parseRequest(f.in); ok {
			f.in = nil
			b.queue = append(b.queue, &job{flow: f, id: id, work: work})
			b.startJobs(now)
		}
	}
	if p.has(flagFin) {
		b.send(k, packet{flags: flagAck | flagFin, seq: f.next, ack: f.expected + 1, echo: f.echo})
		f.ended, f.timer = true, now+endedTime
		b.endedFlows++
	}
}

// held returns the number of flows that the backend holds.
func (b *backend) held() int { return len(b.flows) - b.endedFlows }

// issOf returns the backend's first sequence number on a flow; it differs between backends.
func (b *backend) issOf(seq uint32) uint32 { return uint32(b.number*2654435761) ^ seq }

func (b *backend) synAck(f *backendFlow) {
	if b.dropSynAck != nil && b.dropSynAck(f.key) {
		b.w.record("network loses the SYN+ACK of backend %s to flow %s", b.id, b.w.nameOf(f.key))
		return
	}
	b.send(f.key, packet{flags: flagSyn | flagAck, seq: f.iss, ack: f.expected, echo: f.echo})
}

func (b *backend) startJobs(now time.Duration) {
	for len(b.running) < b.slots && len(b.queue) > 0 {
		j := b.queue[0]
		b.queue = b.queue[1:]
		j.done = now + j.work
		b.running = append(b.running, j)
		b.w.ran(j.id, b)
	}
}

// tick answers requests that are done and retransmits.
func (b *backend) tick(now time.Duration) {
	left := b.running[:0]
	for _, j := range b.running {
		if now < j.done {
			left = append(left, j)
			continue
		}
		f := j.flow
		if f.ended {
			continue
		}
		f.unacked, f.unackedAt = answer(j.id), f.next
		f.next += uint32(len(f.unacked))
		f.interval, f.timer, f.tries = firstRetransmit, now+firstRetransmit, 0
		if b.flows[f.key] == f {
			b.sendAnswer(f)
		}
	}
	b.running = left
	b.startJobs(now)
	for k, f := range b.flows {
		if f.timer == 0 || now < f.timer {
			continue
		}
		if f.ended {
			b.endedFlows--
			delete(b.flows, k)
			continue
		}
		f.tries++
		if f.tries > maxRetransmission {
			delete(b.flows, k)
			continue
		}
		f.interval = min(2*f.interval, maxRetransmit)
		f.timer = now + f.interval
		if f.open {
			b.sendAnswer(f)
		} else {
			b.synAck(f)
		}
	}
}

func (b *backend) sendAnswer(f *backendFlow) {
	b.send(f.key, packet{flags: flagAck, seq: f.unackedAt, ack: f.expected, echo: f.echo, data: f.unacked})
}

// setCut partitions the backend from all machines, or ends that.
func (b *backend) setCut(cut bool) {
	b.cut = cut
	b.cleanSince = b.w.now()
	if cut {
		b.cleanSince = time.Hour
	}
	b.w.record("backend %s partitioned from all machines: %v", b.id, cut)
}

// request returns the bytes of a request.
func request(id string, work time.Duration, size int) []byte {
	return fmt.Appendf(nil, "POST /r HTTP/1.1\r\nHost: a\r\nRequest-Id: %s\r\nWork-Us: %d\r\nContent-Length: %d\r\n\r\n%s",
		id, work.Microseconds(), size, bytes.Repeat([]byte{'q'}, size))
}

// parseRequest returns the id and the work of a whole request.
func parseRequest(b []byte) (id string, work time.Duration, ok bool) {
	head, body, found := bytes.Cut(b, []byte("\r\n\r\n"))
	if !found {
		return "", 0, false
	}
	size, _ := strconv.Atoi(field(head, "Content-Length: "))
	us, _ := strconv.Atoi(field(head, "Work-Us: "))
	return field(head, "Request-Id: "), time.Duration(us) * time.Microsecond, len(body) == size
}

func field(head []byte, name string) string {
	_, after, _ := bytes.Cut(head, []byte(name))
	value, _, _ := bytes.Cut(after, []byte("\r\n"))
	return string(value)
}

// answer returns the bytes of the answer to a request.
func answer(id string) []byte {
	body := bytes.Repeat([]byte{'a'}, 600)
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s-%s\r\nContent-Length: %d\r\n\r\n%s", id, id, len(body), body)
}
