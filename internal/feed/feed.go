// Package feed lets a host that follows the store keep others up to date, so
// that the number of calls to the store grows with the number of failure
// domains and not of hosts. A client subscribes over TCP; a connection carries
// one stream of messages and needs no multiplexing.
//
// Both ends prove that they know the secret that the hosts share in the store,
// so that reaching a host's address is not enough to change its state. A client
// that does not know the secret yet proves nothing, relies on the server's
// address, and receives everything except the secret. Every update states the
// age of the server's state, and a client that gets too few or too old updates
// closes the connection.
package feed

import (
	"bufio"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"net"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

const (
	// handshakeTimeout bounds sending or receiving each message of the
	// handshake, writeTimeout sending each later one: reachable peers respond
	// within milliseconds, and nothing waits for a frozen one.
	handshakeTimeout = time.Second
	writeTimeout     = time.Second
	// dialTimeout bounds connecting.
	dialTimeout = 400 * time.Millisecond
	// nonceBytes is the size of the random challenges.
	nonceBytes = 16
	// maxMessageBytes bounds a message, and a value in it. A configuration has at most 1 MB.
	maxMessageBytes = 4 << 20
	// maxUpdateBytes bounds an update in parts. A complete state with 120,000 endpoints takes
	// 21 MB with entries of 142 bytes.
	maxUpdateBytes = 64 << 20
)

// Reasons for closing a connection.
var (
	ErrProof = merry.Sentinel("peer failed to prove that it knows the shared secret")
	ErrStale = merry.Sentinel("peer's state is too old")
	// ErrBehind means that the peer has not seen a restore of the store yet.
	ErrBehind = merry.Sentinel("peer's state is from before the store was restored")
)

// The roles are part of the proofs, so that a peer can't return a proof that it
// has received as its own.
const (
	roleServer = "toucangap feed server"
	roleClient = "toucangap feed client"
)

// computeProof returns a proof of knowing the secret: the HMAC-SHA256 of the
// role and the nonces.
func computeProof(secret []byte, role string, nonces ...[]byte) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(role))
	for _, n := range nonces {
		mac.Write(n)
	}
	return mac.Sum(nil)
}

func newNonce() []byte {
	b := make([]byte, nonceBytes)
	// Read of crypto/rand never fails.
	_, _ = rand.Read(b)
	return b
}

// connection sends and receives length-delimited messages over a stream.
type connection struct {
	net.Conn
	reader *bufio.Reader
}

func newConnection(c net.Conn) *connection {
	return &connection{Conn: c, reader: bufio.NewReaderSize(c, 4<<10)}
}

func (c *connection) send(m proto.Message, timeout time.Duration) error {
	if err := c.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	_, err := protodelim.MarshalTo(c, m)
	return err
}

func (c *connection) receive(m proto.Message, timeout time.Duration) error {
	_, err := c.receiveTimed(m, timeout)
	return err
}

// receiveTimed receives a message and returns the time from its first byte to its
// last one.
func (c *connection) receiveTimed(m proto.Message, timeout time.Duration) (took time.Duration, err error) {
	if err := c.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return 0, err
	}
	if _, err := c.reader.Peek(1); err != nil {
		return 0, err
	}
	begun := time.Now()
	err = protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}.UnmarshalFrom(c.reader, m)
	return time.Since(begun), err
}
