package feed

import (
	"net"
	"sync"
	"time"
)

const (
	// segmentBytes is the size of the units in which connections share a link.
	segmentBytes = 1500
	// defaultSendBuffer is what the kernel lets a connection queue unless the sender
	// asks for less.
	defaultSendBuffer = 4 << 20
)

// testLink is a host's link, whose capacity its connections share in turn. It is for
// use with synctest.
type testLink struct {
	bytesPerSecond int
	// turn holds one value while a segment is on the link.
	turn chan struct{}
}

func newTestLink(bitsPerSecond int) *testLink {
	return &testLink{bytesPerSecond: bitsPerSecond / 8, turn: make(chan struct{}, 1)}
}

// linkedConn is the end of a connection that sends over the link.
type linkedConn struct {
	net.Conn
	link   *testLink
	far    net.Conn
	buffer int
	begin  sync.Once
	queue  net.Conn
	// deadline is the write deadline that was set before the first Write.
	deadline time.Time
}

// connect returns the two ends of a connection; near sends over the link, the other
// direction takes no time.
func (l *testLink) connect() (near, far net.Conn) {
	in, out := net.Pipe()
	return &linkedConn{Conn: in, link: l, far: in, buffer: defaultSendBuffer}, out
}

// SetWriteBuffer bounds what may be queued; it must be called before the first Write.
func (c *linkedConn) SetWriteBuffer(bytes int) error {
	c.buffer = bytes
	return nil
}

// Write queues b, and blocks while the queue is full.
func (c *linkedConn) Write(b []byte) (int, error) {
	c.begin.Do(func() {
		writer, reader := net.Pipe()
		c.queue = writer
		_ = writer.SetWriteDeadline(c.deadline)
		segments := make(chan []byte, max(1, c.buffer/segmentBytes))
		go fill(reader, segments)
		go c.transmit(reader, segments)
	})
	return c.queue.Write(b)
}

// fill cuts what is written into segments.
func fill(reader net.Conn, segments chan<- []byte) {
	defer close(segments)
	for {
		segment := make([]byte, segmentBytes)
		n, err := reader.Read(segment)
		if err != nil {
			return
		}
		segments <- segment[:n]
	}
}

// transmit sends the segments at the link's rate, until the other end is closed.
func (c *linkedConn) transmit(reader net.Conn, segments <-chan []byte) {
	open := true
	for segment := range segments {
		if !open {
			continue
		}
		c.link.turn <- struct{}{}
		time.Sleep(time.Duration(len(segment)) * time.Second / time.Duration(c.link.bytesPerSecond))
		<-c.link.turn
		if _, err := c.far.Write(segment); err != nil {
			open = false
			reader.Close()
		}
	}
}

// SetWriteDeadline bounds the time for queueing.
func (c *linkedConn) SetWriteDeadline(t time.Time) error {
	if c.queue == nil {
		c.deadline = t
		return nil
	}
	return c.queue.SetWriteDeadline(t)
}

// Close closes the connection. Segments that are queued are discarded.
func (c *linkedConn) Close() error {
	c.begin.Do(func() { c.queue, _ = net.Pipe() })
	c.queue.Close()
	return c.Conn.Close()
}
