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

// Impairment describes the faults of a link. The zero value means none.
type Impairment struct {
	// Loss, Duplicate and Reorder are percentages of the datagrams.
	Loss, Duplicate, Reorder int
	Delay                    time.Duration
	// CutUp and CutDown silently block one direction; streams buffer data and
	// deliver it later.
	CutUp, CutDown bool
	// Reset resets open streams, Refuse resets new ones.
	Reset, Refuse bool
}

// PacketLink is a proxy that forwards datagrams in one direction.
type PacketLink struct {
	From, to netip.AddrPort

	conn       *net.UDPConn
	mu         sync.Mutex
	impairment Impairment
}

// newPacketLink listens at from and forwards datagrams to to.
func (s *Site) newPacketLink(from, to netip.AddrPort) (*PacketLink, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(from))
	if err != nil {
		return nil, merry.Prepend(err, "listen on a proxy address")
	}
	l := &PacketLink{From: from, to: to, conn: conn}
	s.wait.Go(l.run)
	return l, nil
}

// Set impairs the link for a span.
func (l *PacketLink) Set(h Impairment, span time.Duration) {
	l.mu.Lock()
	l.impairment = h
	l.mu.Unlock()
	time.AfterFunc(span, func() {
		l.mu.Lock()
		l.impairment = Impairment{}
		l.mu.Unlock()
	})
}

func (l *PacketLink) run() {
	b := make([]byte, 2048)
	for {
		n, err := l.conn.Read(b)
		if err != nil {
			return
		}
		l.mu.Lock()
		h := l.impairment
		l.mu.Unlock()
		l.carry(h, append([]byte(nil), b[:n]...))
	}
}

func (l *PacketLink) carry(h Impairment, datagram []byte) {
	if h.CutUp || rand.IntN(100) < h.Loss {
		return
	}
	send := func() { _, _ = l.conn.WriteToUDPAddrPort(datagram, l.to) }
	delay := h.Delay
	if rand.IntN(100) < h.Reorder {
		delay += 5 * time.Millisecond
	}
	if rand.IntN(100) < h.Duplicate {
		time.AfterFunc(delay+time.Millisecond, send)
	}
	if delay > 0 {
		time.AfterFunc(delay, send)
		return
	}
	send()
}

func (l *PacketLink) close() { _ = l.conn.Close() }

// StreamLink is a proxy that forwards TCP streams in both directions.
type StreamLink struct {
	From, to netip.AddrPort

	listener   net.Listener
	mu         sync.Mutex
	impairment Impairment
	open       map[net.Conn]bool
}

func (s *Site) newStreamLink(from, to netip.AddrPort) (*StreamLink, error) {
	listener, err := net.Listen("tcp4", from.String())
	if err != nil {
		return nil, merry.Prepend(err, "listen on a proxy address")
	}
	l := &StreamLink{From: from, to: to, listener: listener, open: make(map[net.Conn]bool)}
	s.wait.Go(l.run)
	return l, nil
}

// Set impairs the link for a span.
func (l *StreamLink) Set(h Impairment, span time.Duration) {
	l.mu.Lock()
	l.impairment = h
	if h.Reset {
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

func (l *StreamLink) state() Impairment {
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
		if l.state().Refuse {
			abort(c)
			continue
		}
		go l.carry(c)
	}
}

func (l *StreamLink) carry(c net.Conn) {
	up, err := net.DialTimeout("tcp4", l.to.String(), time.Second)
	if err != nil {
		abort(c)
		return
	}
	l.mu.Lock()
	l.open[c], l.open[up] = true, true
	l.mu.Unlock()
	go l.pump(c, up, func(h Impairment) bool { return h.CutUp })
	l.pump(up, c, func(h Impairment) bool { return h.CutDown })
	l.mu.Lock()
	delete(l.open, c)
	delete(l.open, up)
	l.mu.Unlock()
}

// pump copies one direction; while it is cut, data that was read is held back.
func (l *StreamLink) pump(from, to net.Conn, cut func(Impairment) bool) {
	defer from.Close()
	defer to.Close()
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		for h := l.state(); cut(h); h = l.state() {
			time.Sleep(20 * time.Millisecond)
		}
		if h := l.state(); h.Delay > 0 {
			time.Sleep(h.Delay)
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
