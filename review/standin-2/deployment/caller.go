//go:build review

package deployment

import (
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"toucangap/internal/catalog"
	"toucangap/internal/segment"
	"toucangap/platform"
)

// The times of a caller's copies and its limits, from the platform's page on packets and flows.
const (
	firstCopy         = 200 * time.Millisecond
	secondCopy        = 600 * time.Millisecond
	openTimeout       = 1400 * time.Millisecond
	firstRetransmit   = 200 * time.Millisecond
	longestRetransmit = 1600 * time.Millisecond
	maxFINs           = 3
	// CallerDelay is the delay of packets from and to callers, one way.
	CallerDelay = 3 * time.Millisecond
)

// Caller is one address of callers in a zone.
type Caller struct {
	Zone string

	deployment *Deployment
	ip         netip.Addr
	conn       *net.UDPConn
	port       uint16
	flows      map[catalog.Flow]*Flow
	// out and in hold the packets on their way from and to the caller.
	out, in chan delayed
}

// delayed is a packet on its way; deliver is called when it arrives.
type delayed struct {
	due     time.Time
	deliver func()
}

// queueLength is far above the number of packets on their way at a time.
const queueLength = 4096

// carry delivers packets in the order of sending.
func (d *Deployment) carry(queue <-chan delayed) {
	for {
		select {
		case <-d.done:
			return
		case p := <-queue:
			time.Sleep(time.Until(p.due))
			p.deliver()
		}
	}
}

// AddCaller adds an address of callers in a zone, counted from 0.
func (d *Deployment) AddCaller(zone, n int) (*Caller, error) {
	ip := netip.AddrFrom4([4]byte{127, 1, byte(zone + 1), byte(n + 1)})
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, uint16(d.port+1))))
	if err != nil {
		return nil, err
	}
	c := &Caller{Zone: Zones[zone].Name, deployment: d, ip: ip, conn: conn, port: 40000, flows: make(map[catalog.Flow]*Flow),
		out: make(chan delayed, queueLength), in: make(chan delayed, queueLength)}
	d.wait.Go(func() { d.carry(c.out) })
	d.wait.Go(func() { d.carry(c.in) })
	d.Locked(func() { d.callers = append(d.callers, c) })
	d.wait.Go(c.read)
	return c, nil
}

func (c *Caller) read() {
	b := make([]byte, 2048)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		packet := append([]byte(nil), b[:n]...)
		s, err := platform.Decode(packet)
		if err != nil {
			continue
		}
		key := catalog.Flow{Caller: s.Flow.Destination, Destination: s.Flow.Caller}
		c.in <- delayed{time.Now().Add(CallerDelay), func() {
			c.deployment.Locked(func() {
				if f := c.flows[key]; f != nil {
					f.receive(s, packet, from)
				}
			})
		}}
	}
}

func (c *Caller) tick() {
	for _, f := range c.flows {
		f.tick()
	}
}

// Reset is a reset that a caller has received on an open flow.
type Reset struct {
	At time.Duration
	// From is the sender, Holder the endpoint that held the flow then, nil if none did.
	From   string
	Holder *Endpoint
	// ByHolder is set if the holder has sent it.
	ByHolder bool
}

// Flow is the caller's end of a flow that it keeps open for several requests.
type Flow struct {
	Key    catalog.Flow
	caller *Caller
	route  Route

	started  time.Duration
	copies   uint32
	sequence uint32
	token    catalog.Token

	// Opened is set once a SYN+ACK has come; Failed once no further packets are sent, and
	// NotOpened and GivenUp say why.
	Opened, Failed, NotOpened, GivenUp bool
	accepted                           uint32
	expected                           uint32
	base                               uint32
	out, in                            []byte
	unacked                            int
	retransmitAt                       time.Duration
	retransmitWait                     time.Duration
	closing                            bool
	fins                               int

	request   uint64
	requested time.Duration
	// Answers holds the IDs of the answered requests, LateAnswers those of SYN+ACKs of other
	// endpoints than the one that the flow was opened with.
	Answers        []uint64
	OtherAccepters int
	Resets         []Reset
	// Hosts are those to which routers gave the packets since the last request.
	Hosts map[string]int
}

// Open opens a flow on a route. If via is not nil, the caller's port is one whose flow routers
// give to that host at present.
func (c *Caller) Open(r Route, via *Host) *Flow {
	f := &Flow{caller: c, route: r, started: c.deployment.Now(), Hosts: make(map[string]int)}
	for {
		c.port++
		own, _ := catalog.AddressFrom(netip.AddrPortFrom(c.ip, c.port))
		f.Key = catalog.Flow{Caller: own, Destination: r.Address}
		if via == nil || c.deployment.RouterTarget(f.Key, c.Zone) == via {
			break
		}
	}
	f.sequence = uint32(f.Key.Hash() >> 7)
	c.flows[f.Key] = f
	f.sendSYN()
	return f
}

// Route returns the flow's route.
func (f *Flow) Route() Route { return f.route }

func (f *Flow) now() time.Duration { return f.caller.deployment.Now() }

func (f *Flow) sendSYN() {
	f.transmit(segment.Segment{Sequence: f.sequence, Acknowledgement: f.copies, Syn: true}, nil)
	f.copies++
}

// transmit sends a packet to the host that routers choose.
func (f *Flow) transmit(s segment.Segment, data []byte) {
	s.Flow = f.Key
	if !s.Syn {
		s.Token, s.Ack, s.Acknowledgement = f.token, true, f.expected
		f.unacked = 0
	}
	s.Checksum = sum(uint64(f.caller.deployment.Key), s, data)
	packet, c, hosts := platform.Append(nil, s, data), f.caller, f.Hosts
	c.out <- delayed{time.Now().Add(CallerDelay), func() {
		h := c.deployment.RouterTarget(s.Flow, c.Zone)
		c.deployment.Locked(func() { hosts[h.Name]++ })
		_, _ = c.conn.WriteToUDPAddrPort(packet, h.Packets)
	}}
}

// sum is the checksum of the stand-ins' packets, which hosts can't compute.
func sum(key uint64, s segment.Segment, data []byte) uint32 {
	s.Checksum, s.Token, s.Forwarded = 0, 0, false
	return uint32(xxhash.Sum64(platform.Append(binary.LittleEndian.AppendUint64(nil, key), s, data))) | 1
}

func (f *Flow) receive(s segment.Segment, packet []byte, from netip.AddrPort) {
	if f.Failed {
		return
	}
	data := packet[len(packet)-s.DataBytes:]
	byHost := s.Reset && s.Checksum == 0 && s.DataBytes == 0
	if !byHost && s.Checksum != sum(uint64(f.caller.deployment.Key), s, data) {
		f.caller.deployment.Log.Line("%s: forged packet from %s", f.Key, f.caller.deployment.Sender(from))
		return
	}
	switch {
	case s.Reset:
		f.reset(from)
	case s.Syn && s.Ack:
		f.accept(s, from)
	case f.Opened:
		f.receiveData(s, data)
	}
}

func (f *Flow) reset(from netip.AddrPort) {
	d := f.caller.deployment
	f.Failed = true
	if f.closing {
		return
	}
	if !f.Opened {
		f.NotOpened = true
		d.Log.Line("%s: reset before it was open, by %s", f.Key, d.Sender(from))
		return
	}
	r := Reset{At: f.now(), From: d.Sender(from), Holder: d.Holder(f.Key)}
	r.ByHolder = r.Holder != nil && r.Holder.Address == from
	f.Resets = append(f.Resets, r)
	held := "no endpoint"
	if r.Holder != nil {
		held = "endpoint " + r.Holder.ID
	}
	d.Log.Line("%s: reset by %s while open at %s", f.Key, r.From, held)
}

// accept handles a SYN+ACK. The first one opens the flow; a later one changes no more than the
// echo that the caller puts into its packets.
func (f *Flow) accept(s segment.Segment, from netip.AddrPort) {
	f.token = s.Token
	if f.Opened {
		if s.Sequence != f.accepted {
			f.OtherAccepters++
		}
		return
	}
	f.Opened, f.accepted = true, s.Sequence
	f.expected, f.base = s.Sequence+1, f.sequence+1
	f.caller.deployment.Log.Line("%s: opened after %d SYNs, accepted by %s", f.Key, f.copies, f.caller.deployment.Sender(from))
	f.transmit(segment.Segment{Sequence: f.base}, nil)
	f.flush()
}

// Pending reports whether a request waits for its answer.
func (f *Flow) Pending() bool { return f.request != 0 }

// Request sends a request on the flow.
func (f *Flow) Request(id uint64, work time.Duration, answerBytes int) {
	b := make([]byte, 24, 24+len(f.route.Service))
	binary.LittleEndian.PutUint32(b, uint32(24+len(f.route.Service)))
	binary.LittleEndian.PutUint64(b[4:], id)
	binary.LittleEndian.PutUint32(b[12:], uint32(work.Microseconds()))
	binary.LittleEndian.PutUint32(b[16:], uint32(answerBytes))
	if f.route.Kind == "unsafe" {
		b[20] = 1
	}
	f.request, f.requested = id, f.now()
	f.Hosts = make(map[string]int)
	f.in = nil
	f.out = append(f.out, append(b, f.route.Service...)...)
	if f.Opened {
		f.flush()
	}
}

func (f *Flow) flush() {
	if len(f.out) == 0 {
		return
	}
	f.transmit(segment.Segment{Sequence: f.base}, f.out)
	f.retransmitWait = firstRetransmit
	f.retransmitAt = f.now() + f.retransmitWait
}

func (f *Flow) receiveData(s segment.Segment, data []byte) {
	if s.Token != 0 {
		f.token = s.Token
	}
	if s.Ack && segment.After(s.Acknowledgement, f.base) {
		n := int(s.Acknowledgement - f.base)
		f.out = f.out[min(n, len(f.out)):]
		f.base = s.Acknowledgement
		f.retransmitAt = 0
	}
	next := f.base + uint32(len(f.out))
	if s.Fin {
		f.expected = s.End() + 1
		f.transmit(segment.Segment{Sequence: next + 1}, nil)
		f.Failed = true
		return
	}
	if len(data) == 0 {
		return
	}
	isNew := false
	if len(data) > 0 && !segment.After(s.Sequence, f.expected) && segment.After(s.End(), f.expected) {
		f.in = append(f.in, data[f.expected-s.Sequence:]...)
		f.expected = s.End()
		isNew = true
		f.checkAnswer()
	}
	if f.unacked++; f.unacked >= 2 || !isNew {
		f.transmit(segment.Segment{Sequence: next}, nil)
	}
}

// checkAnswer notes an answer that is complete.
func (f *Flow) checkAnswer() {
	if len(f.in) < 13 || len(f.in) < int(binary.LittleEndian.Uint32(f.in[1:])) {
		return
	}
	id := binary.LittleEndian.Uint64(f.in[5:])
	f.caller.deployment.Log.Line("%s: request %d answered after %s, kind %d, %d bytes", f.Key, id, (f.now() - f.requested).Round(time.Millisecond), f.in[0], len(f.in))
	f.Answers = append(f.Answers, id)
	f.in, f.request = nil, 0
}

// Close closes the flow with a FIN.
func (f *Flow) Close() {
	if f.Failed || !f.Opened {
		f.Failed = true
		return
	}
	f.closing, f.request = true, 0
	f.sendFIN()
}

func (f *Flow) sendFIN() {
	f.transmit(segment.Segment{Sequence: f.base + uint32(len(f.out)), Fin: true}, nil)
	f.fins++
	f.retransmitAt = f.now() + firstRetransmit
}

func (f *Flow) tick() {
	now := f.now()
	switch {
	case f.Failed:
		delete(f.caller.flows, f.Key)
	case !f.Opened && now >= f.started+openTimeout:
		f.caller.deployment.Log.Line("%s: not opened", f.Key)
		f.Failed, f.NotOpened = true, true
	case !f.Opened && (f.copies == 1 && now >= f.started+firstCopy || f.copies == 2 && now >= f.started+secondCopy):
		f.sendSYN()
	case f.closing && now >= f.retransmitAt:
		if f.Failed = f.fins >= maxFINs; !f.Failed {
			f.sendFIN()
		}
	case f.closing:
	case f.request != 0 && f.Opened && now >= f.requested+f.route.Timeout:
		f.caller.deployment.Log.Line("%s: request %d given up after %s", f.Key, f.request, f.route.Timeout)
		f.GivenUp = true
		f.Close()
	case f.Opened && len(f.out) > 0 && f.retransmitAt > 0 && now >= f.retransmitAt:
		f.retransmitWait = min(2*f.retransmitWait, longestRetransmit)
		f.retransmitAt = now + f.retransmitWait
		f.transmit(segment.Segment{Sequence: f.base}, f.out)
	}
}

// Via describes the hosts that got the packets since the last request.
func (f *Flow) Via() string { return fmt.Sprint(f.Hosts) }
