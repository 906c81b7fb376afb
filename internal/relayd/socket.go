package relayd

import (
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sys/unix"
)

// socket reads datagrams and notes when there was none to read. It serves the
// traffic goroutine.
type socket struct {
	raw   syscall.RawConn
	clock *clock
	// emptyAt is when the goroutine last waited for a packet, on the steady clock:
	// no packet that is in the socket came before that.
	emptyAt time.Duration
	// waits tells that the present read has found the socket empty.
	blocked bool

	// buffer, n and err pass a read through try, which is made once so that
	// reading allocates nothing.
	buffer   []byte
	n        int
	err      error
	readOnce func(fd uintptr) bool
}

func newSocket(conn *net.UDPConn, c *clock) (*socket, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, merry.Prepend(err, "read callers' packets")
	}
	s := &socket{raw: raw, clock: c, emptyAt: c.Monotonic()}
	s.readOnce = s.tryRead
	return s, nil
}

// read waits for a datagram until the connection's deadline.
func (s *socket) read(buffer []byte) (int, error) {
	s.buffer, s.blocked = buffer, false
	if err := s.raw.Read(s.readOnce); err != nil {
		return 0, err
	}
	return s.n, s.err
}

// once reads without waiting; false means that there is nothing yet.
func (s *socket) tryRead(fd uintptr) (done bool) {
	if s.blocked {
		s.emptyAt = s.clock.Monotonic()
	}
	s.n, s.err = unix.Read(int(fd), s.buffer)
	for errors.Is(s.err, unix.EINTR) {
		s.n, s.err = unix.Read(int(fd), s.buffer)
	}
	if errors.Is(s.err, unix.EAGAIN) {
		s.emptyAt, s.blocked = s.clock.Monotonic(), true
		return false
	}
	return true
}
