package traffic

import (
	"net"
	"net/netip"

	"golang.org/x/net/ipv4"
)

// sender writes datagrams in batches to save system calls. It is not safe for
// concurrent use. Datagrams are not copied and must not be modified before the
// next flush.
type sender struct {
	conn     *ipv4.PacketConn
	counters *counters
	messages [batchSize]ipv4.Message
	addrs    [batchSize]net.UDPAddr
	length   int
}

// newSender returns a sender for the socket.
func newSender(conn *net.UDPConn, c *counters) *sender {
	s := &sender{conn: ipv4.NewPacketConn(conn), counters: c}
	for i := range s.messages {
		s.addrs[i].IP = make(net.IP, 0, net.IPv6len)
		s.messages[i].Addr = &s.addrs[i]
		s.messages[i].Buffers = make([][]byte, 1)
	}
	return s
}

// send queues one datagram, flushing first if the batch is full.
func (s *sender) send(data []byte, to netip.AddrPort) {
	if !to.IsValid() {
		s.counters.sendErrors.Add(1)
		return
	}
	if s.length == len(s.messages) {
		s.flush()
	}
	s.messages[s.length].Buffers[0] = data
	setAddr(&s.addrs[s.length], to)
	s.length++
}

// flush writes all queued datagrams. One that cannot be sent is counted and
// skipped, like a datagram lost by the network.
func (s *sender) flush() {
	for sent := 0; sent < s.length; {
		n, err := s.conn.WriteBatch(s.messages[sent:s.length], 0)
		if err != nil || n <= 0 {
			s.counters.sendErrors.Add(1)
			n = 1
		}
		sent += n
	}
	s.length = 0
}

// setAddr sets a socket address, reusing its storage.
func setAddr(a *net.UDPAddr, to netip.AddrPort) {
	a.Port = int(to.Port())
	addr := to.Addr().Unmap()
	if addr.Is4() {
		b := addr.As4()
		a.IP = append(a.IP[:0], b[:]...)
		return
	}
	b := addr.As16()
	a.IP = append(a.IP[:0], b[:]...)
}
