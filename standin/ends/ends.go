// Package ends holds the two ends of a flow as the platform's protocol describes
// them: the caller's and the endpoint's. Both are pure state machines, packets
// and the time in, packets out, so that the emulator plays them in virtual time
// and the stand-in processes over sockets.
package ends

import (
	"encoding/binary"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"toucangap/internal/catalog"
	"toucangap/internal/segment"
	"toucangap/platform"
)

// The protocol's times and limits.
const (
	firstCopy     = 200 * time.Millisecond
	secondCopy    = 600 * time.Millisecond
	openTimeout   = 1400 * time.Millisecond
	resendFirst   = 200 * time.Millisecond
	resendLongest = 1600 * time.Millisecond
	endpointTries = 8
	window        = 16
	maxData       = platform.MaxData
)

// Key is the secret of the ends' checksum; hosts do not know it.
type Key uint64

// errForged tells that a packet's checksum is wrong.
var errForged = errors.New("packet was not written by its sender")

// seal returns the packet with its checksum. The token is not covered.
func (k Key) seal(s segment.Segment, data []byte) []byte {
	s.Sum = k.sum(s, data)
	return platform.Append(nil, s, data)
}

func (k Key) sum(s segment.Segment, data []byte) uint32 {
	s.Sum, s.Token, s.Forwarded = 0, 0, false
	packet := platform.Append(binary.LittleEndian.AppendUint64(nil, uint64(k)), s, data)
	return uint32(xxhash.Sum64(packet)) | 1
}

// open decodes a packet and checks its checksum. A host's own reset has the
// checksum 0.
func (k Key) open(packet []byte) (s segment.Segment, data []byte, err error) {
	s, err = platform.Decode(packet)
	if err != nil {
		return s, nil, err
	}
	data = packet[len(packet)-s.DataBytes:]
	if s.Reset && s.Sum == 0 && s.DataBytes == 0 {
		return s, nil, nil
	}
	if s.Sum != k.sum(s, data) {
		return s, nil, errForged
	}
	return s, data, nil
}

// Ends returns the flow that a packet to a caller belongs to, seen from the
// caller.
func Ends(packet []byte) (catalog.Flow, error) {
	s, err := platform.Decode(packet)
	return reverse(s.Flow), err
}

// Request is what a caller asks, as it travels in a flow.
type Request struct {
	ID uint64
	// Service is the one whose endpoints may run it.
	Service string
	// Once tells that it must not run twice.
	Once bool
	// Work is the time that a slot is occupied, Answer the size of the answer.
	Work   time.Duration
	Answer int
}

// requestBytes is the size of a request without the service's name.
const requestBytes = 24

// encode returns the request as bytes with its length ahead.
func (r Request) encode() []byte {
	b := make([]byte, requestBytes, requestBytes+len(r.Service))
	binary.LittleEndian.PutUint32(b, uint32(requestBytes+len(r.Service)))
	binary.LittleEndian.PutUint64(b[4:], r.ID)
	binary.LittleEndian.PutUint32(b[12:], uint32(r.Work.Microseconds()))
	binary.LittleEndian.PutUint32(b[16:], uint32(r.Answer))
	if r.Once {
		b[20] = 1
	}
	return append(b, r.Service...)
}

// decodeRequest reads a request; ok is false while bytes are missing.
func decodeRequest(b []byte) (r Request, ok bool) {
	if len(b) < requestBytes || len(b) < int(binary.LittleEndian.Uint32(b)) {
		return Request{}, false
	}
	return Request{
		ID:      binary.LittleEndian.Uint64(b[4:]),
		Work:    time.Duration(binary.LittleEndian.Uint32(b[12:])) * time.Microsecond,
		Answer:  int(binary.LittleEndian.Uint32(b[16:])),
		Once:    b[20] == 1,
		Service: string(b[requestBytes:binary.LittleEndian.Uint32(b)]),
	}, true
}

// The kinds of answers, in an answer's first byte.
const (
	answerOK     = 1
	answerNotRun = 2
	// answerFailed: the request ran, and its answer is an error.
	answerFailed = 3
)

// answerHead is the size of an answer's head: kind, length, id.
const answerHead = 13

// encodeAnswer returns the whole answer to a request.
func encodeAnswer(kind byte, id uint64, size int) []byte {
	size = max(size, answerHead)
	b := make([]byte, size)
	b[0] = kind
	binary.LittleEndian.PutUint32(b[1:], uint32(size))
	binary.LittleEndian.PutUint64(b[5:], id)
	for i := answerHead; i < size; i++ {
		b[i] = byte(id + uint64(i))
	}
	return b
}

// checkAnswer reports whether the bytes are a whole answer to the request, and
// whether they are wrong.
func checkAnswer(b []byte, id uint64) (kind byte, whole, wrong bool) {
	if len(b) < answerHead {
		return 0, false, false
	}
	if binary.LittleEndian.Uint64(b[5:]) != id {
		return 0, false, true
	}
	size := int(binary.LittleEndian.Uint32(b[1:]))
	if len(b) > size {
		return 0, false, true
	}
	for i := answerHead; i < len(b); i++ {
		if b[i] != byte(id+uint64(i)) {
			return 0, false, true
		}
	}
	return b[0], len(b) == size, false
}
