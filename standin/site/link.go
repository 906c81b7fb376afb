package site

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

// Impairment describes the faults that a proxy injects. The zero value means none.
// A PacketLink ignores CutDown, Reset and Refuse, a StreamLink Loss, Duplicate and
// Reorder.
type Impairment struct {
	// Loss, Duplicate and Reorder are percentages of the datagrams.
	Loss, Duplicate, Reorder int
	// Delay is added to each datagram, or before each piece of a stream.
	Delay time.Duration
	// CutUp and CutDown silently block the directions to and from the target.
	// Datagrams are lost; streams buffer data and deliver it later.
	CutUp, CutDown bool
	// Reset resets open streams, Refuse resets new ones.
	Reset, Refuse bool
}

// PacketLink is a proxy that forwards datagrams in one direction: from those who
// send to Address to target.
type PacketLink struct {
	Address, target netip.AddrPort

	conn       *net.UDPConn
	mu         sync.Mutex
	impairment Impairment
}

// newPacketLink returns a proxy that listens at address; run runs it.
func (s *Site) newPacketLink(address, target netip.AddrPort) (*PacketLink, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, merry.Prepend(err, "listen on a proxy address")
	}
	return &PacketLink{Address: address, target: target, conn: conn}, nil
}

// Set impairs the link for a span.
func (l *PacketLink) Set(imp Impairment, span time.Duration) {
	l.mu.Lock()
	l.impairment = imp
	l.mu.Unlock()
	time.AfterFunc(span, func() {
		l.mu.Lock()
		l.impairment = Impairment{}
		l.mu.Unlock()
	})
}

// run forwards datagrams until the link is closed. It calls received, unless that is nil,
// with each one and its sender.
func (l *PacketLink) run(received func(from netip.AddrPort, datagram []byte)) {
	b := make([]byte, 2048)
	for {
		n, from, err := l.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		if received != nil {
			received(from, b[:n])
		}
		l.mu.Lock()
		imp := l.impairment
		l.mu.Unlock()
		l.forward(imp, append([]byte(nil), b[:n]...))
	}
}

// forward sends a datagram to the target, subject to the impairment. A reordered
// one is sent 5 ms late, so that later ones overtake it.
func (l *PacketLink) forward(imp Impairment, datagram []byte) {
	if imp.CutUp || rand.IntN(100) < imp.Loss {
		return
	}
	send := func() { _, _ = l.conn.WriteToUDPAddrPort(datagram, l.target) }
	delay := imp.Delay
	if rand.IntN(100) < imp.Reorder {
		delay += 5 * time.Millisecond
	}
	if rand.IntN(100) < imp.Duplicate {
		time.AfterFunc(delay+time.Millisecond, send)
	}
	if delay > 0 {
		time.AfterFunc(delay, send)
		return
	}
	send()
}

func (l *PacketLink) close() { _ = l.conn.Close() }

// StreamLink is a proxy that accepts TCP connections at Address and forwards their
// streams to and from target.
type StreamLink struct {
	Address, target netip.AddrPort

	listener   net.Listener
	mu         sync.Mutex
	impairment Impairment
	open       map[net.Conn]bool // both connections of each stream
}

// newStreamLink starts a proxy that listens at address.
func (s *Site) newStreamLink(address, target netip.AddrPort) (*StreamLink, error) {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, merry.Prepend(err, "listen on a proxy address")
	}
	l := &StreamLink{Address: address, target: target, listener: listener, open: make(map[net.Conn]bool)}
	s.wait.Go(l.run)
	return l, nil
}

// Set impairs the link for a span.
func (l *StreamLink) Set(imp Impairment, span time.Duration) {
	l.mu.Lock()
	l.impairment = imp
	if imp.Reset {
		for c := range l.open {
			abort(c)
		}
	}
	l.mu.Unlock()
	time.AfterFunc(span, func() {
		l.mu.Lock()
		l.impairment = Impairment{}
		l.mu.Unlock()
	})
}

// abort closes a connection with a reset.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (l *StreamLink) currentImpairment() Impairment {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.impairment
}

func (l *StreamLink) run() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		if l.currentImpairment().Refuse {
			abort(c)
			continue
		}
		go l.forward(c)
	}
}

// forward forwards the streams of an accepted connection until one of them ends.
func (l *StreamLink) forward(c net.Conn) {
	up, err := net.DialTimeout("tcp4", l.target.String(), time.Second)
	if err != nil {
		abort(c)
		return
	}
	l.mu.Lock()
	l.open[c], l.open[up] = true, true
	l.mu.Unlock()
	go l.copyStream(c, up, func(imp Impairment) bool { return imp.CutUp })
	l.copyStream(up, c, func(imp Impairment) bool { return imp.CutDown })
	l.mu.Lock()
	delete(l.open, c)
	delete(l.open, up)
	l.mu.Unlock()
}

// copyStream copies one direction of a connection until it ends, then closes both
// sides. While the direction is cut, it holds back the data that it has read.
func (l *StreamLink) copyStream(from, to net.Conn, cut func(Impairment) bool) {
	defer from.Close()
	defer to.Close()
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		for imp := l.currentImpairment(); cut(imp); imp = l.currentImpairment() {
			time.Sleep(20 * time.Millisecond)
		}
		if imp := l.currentImpairment(); imp.Delay > 0 {
			time.Sleep(imp.Delay)
		}
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if errors.Is(err, io.EOF) || err != nil {
			return
		}
	}
}

func (l *StreamLink) close() {
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		_ = c.Close()
	}
}
