package peerlink

import (
	"encoding/binary"
	"net"
)

// Layout of a yamux frame header as far as coalescingConn needs it: a data frame
// has version 0, type 0 and its length in the last four bytes.
const (
	muxHeaderBytes  = 12
	muxLengthOffset = 8
)

// coalescingConn writes the header and the body of a yamux data frame together.
// The session writes them separately, which would take an additional TLS record
// and packet per message. It relies on all writes coming from one goroutine of
// the session.
type coalescingConn struct {
	net.Conn
	header []byte
}

// Write implements net.Conn. A data header is buffered until its body is written.
func (c *coalescingConn) Write(b []byte) (int, error) {
	if len(c.header) == 0 && isDataHeader(b) {
		c.header = append(c.header, b...)
		return len(b), nil
	}
	if len(c.header) == 0 {
		return c.Conn.Write(b)
	}
	combined := append(c.header, b...)
	n, err := c.Conn.Write(combined)
	c.header = combined[:0]
	return max(0, n-muxHeaderBytes), err
}

func isDataHeader(b []byte) bool {
	return len(b) == muxHeaderBytes &&
		b[0] == 0 && b[1] == 0 &&
		binary.BigEndian.Uint32(b[muxLengthOffset:]) > 0
}
