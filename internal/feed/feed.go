// Package feed lets a host that follows the store keep others current, so that
// calls to the store grow with the failure domains and not with the hosts. A
// connection carries one stream of messages, and so needs no multiplexer.
//
// Both ends prove that they know the secret that the hosts share in the store:
// what a host believes can't be changed by somebody who merely reaches its
// address. Every message says how long ago its sender's knowledge was proven,
// and a client that hears too little or too old news ends the connection.
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
	// handshakeTimeout bounds the beginning of a connection, writeTimeout one
	// message: peers in reach answer within milliseconds, and nothing waits for
	// one that is frozen.
	handshakeTimeout = time.Second
	writeTimeout     = time.Second
	// dialTimeout bounds the set-up of a connection.
	dialTimeout = 400 * time.Millisecond
	// nonceBytes is the size of the random challenges.
	nonceBytes = 16
	// maxMessage bounds a message in bytes: a whole state with a configuration
	// of 1 MB.
	maxMessageBytes = 4 << 20
)

// The failures of a connection.
var (
	ErrProof = merry.Sentinel("peer does not know the hosts' secret")
	ErrStale = merry.Sentinel("peer's knowledge is too old")
)

// The roles that proofs are bound to, so that one can't be reflected.
const (
	roleServer = "toucangap feed server"
	roleClient = "toucangap feed client"
)

// prove computes the proof of knowing the secret.
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

// connection exchanges messages over a stream.
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
	if err := c.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	return protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}.UnmarshalFrom(c.reader, m)
}
