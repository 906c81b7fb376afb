package relayd

import (
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sys/unix"
)

// socket reads datagrams and records when its receive queue was last empty. It is
// for use by the traffic goroutine.
type socket struct {
	raw   syscall.RawConn
	clock *clock
	// emptyAt is when the queue was last found empty or a wait for a packet
	// ended, on the monotonic clock: packets in the queue have arrived since
	// then.
	emptyAt time.Duration
	// blocked is set if the current read has found the queue empty and had to
	// wait.
	blocked bool

	// buffer, n and err pass a read through readOnce, which is created once so
	// that reading does not allocate.
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

// read reads a datagram into the buffer and returns its length. It waits until
// the connection's read deadline, then returns os.ErrDeadlineExceeded.
func (s *socket) read(buffer []byte) (int, error) {
	s.buffer, s.blocked = buffer, false
	if err := s.raw.Read(s.readOnce); err != nil {
		return 0, err
	}
	return s.n, s.err
}

// tryRead reads without blocking; false means that the queue is empty.
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
