// Package ends implements the two ends of a flow in the platform's protocol, the
// caller's and the endpoint's. Both are pure state machines that turn packets and
// the time into packets, so that the emulator can run them in virtual time and the
// stand-in processes over sockets.
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

// Timeouts and limits of the protocol.
const (
	// The first three are times since the first SYN. A caller sends it at most three
	// times and gives up without a SYN-ACK after openTimeout.
	firstSynRetransmit  = 200 * time.Millisecond
	secondSynRetransmit = 600 * time.Millisecond
	openTimeout         = 1400 * time.Millisecond
	// The retransmission timeout doubles from its initial to its maximum value.
	initialRetransmitTimeout = 200 * time.Millisecond
	maxRetransmitTimeout     = 1600 * time.Millisecond
	// maxRetransmissions is the number of successive retransmissions beyond which an
	// endpoint discards a flow.
	maxRetransmissions = 8
	// window is the maximum number of full packets sent and not acknowledged.
	window = 16
	// maxData is the maximum number of data bytes in a packet.
	maxData = platform.MaxData
)

// Key is the secret with which both ends compute the checksum of packets; hosts
// don't know it.
type Key uint64

// errForged is returned for a packet with a wrong checksum.
var errForged = errors.New("packet has a wrong checksum")

// seal returns the encoded packet with its checksum, which does not cover the
// token.
func (k Key) seal(s segment.Segment, data []byte) []byte {
	s.Checksum = k.sum(s, data)
	return platform.Append(nil, s, data)
}

// sum returns the packet's checksum, which is never 0: that marks a host's reset.
func (k Key) sum(s segment.Segment, data []byte) uint32 {
	s.Checksum, s.Token, s.Forwarded = 0, 0, false
	packet := platform.Append(binary.LittleEndian.AppendUint64(nil, uint64(k)), s, data)
	return uint32(xxhash.Sum64(packet)) | 1
}

// open decodes a packet and verifies its checksum, which is 0 in a reset sent by a
// host. It returns errForged for a wrong checksum.
func (k Key) open(packet []byte) (s segment.Segment, data []byte, err error) {
	s, err = platform.Decode(packet)
	if err != nil {
		return s, nil, err
	}
	data = packet[len(packet)-s.DataBytes:]
	if s.Reset && s.Checksum == 0 && s.DataBytes == 0 {
		return s, nil, nil
	}
	if s.Checksum != k.sum(s, data) {
		return s, nil, errForged
	}
	return s, data, nil
}

// CallerFlow returns the flow of a packet sent to a caller, with the caller as the
// flow's caller. It returns an error if the packet can't be decoded.
func CallerFlow(packet []byte) (catalog.Flow, error) {
	s, err := platform.Decode(packet)
	return reverse(s.Flow), err
}

// Request is a request as sent in a flow.
type Request struct {
	ID uint64
	// Service is the service whose endpoints may run it.
	Service string
	// AtMostOnce means that it must not run twice.
	AtMostOnce bool
	// Work is the time that it occupies a slot, AnswerBytes the size of the answer.
	Work        time.Duration
	AnswerBytes int
}

// requestBytes is the encoded size of a request without the service's name.
const requestBytes = 24

// encode returns the request prefixed with its length.
func (r Request) encode() []byte {
	b := make([]byte, requestBytes, requestBytes+len(r.Service))
	binary.LittleEndian.PutUint32(b, uint32(requestBytes+len(r.Service)))
	binary.LittleEndian.PutUint64(b[4:], r.ID)
	binary.LittleEndian.PutUint32(b[12:], uint32(r.Work.Microseconds()))
	binary.LittleEndian.PutUint32(b[16:], uint32(r.AnswerBytes))
	if r.AtMostOnce {
		b[20] = 1
	}
	return append(b, r.Service...)
}

// decodeRequest decodes a request; ok is false while it is incomplete.
func decodeRequest(b []byte) (r Request, ok bool) {
	if len(b) < requestBytes || len(b) < int(binary.LittleEndian.Uint32(b)) {
		return Request{}, false
	}
	return Request{
		ID:          binary.LittleEndian.Uint64(b[4:]),
		Work:        time.Duration(binary.LittleEndian.Uint32(b[12:])) * time.Microsecond,
		AnswerBytes: int(binary.LittleEndian.Uint32(b[16:])),
		AtMostOnce:  b[20] == 1,
		Service:     string(b[requestBytes:binary.LittleEndian.Uint32(b)]),
	}, true
}

// Kinds of answers, encoded in the first byte.
const (
	answerOK     = 1
	answerNotRun = 2
	// answerFailed: the request ran, and its answer is an error.
	answerFailed = 3
)

// answerHeaderBytes is the size of an answer's header: kind, length, ID.
const answerHeaderBytes = 13

// encodeAnswer returns an answer to the request with the ID, of size bytes or, if
// that is less, of the header's size.
func encodeAnswer(kind byte, id uint64, size int) []byte {
	size = max(size, answerHeaderBytes)
	b := make([]byte, size)
	b[0] = kind
	binary.LittleEndian.PutUint32(b[1:], uint32(size))
	binary.LittleEndian.PutUint64(b[5:], id)
	for i := answerHeaderBytes; i < size; i++ {
		b[i] = byte(id + uint64(i))
	}
	return b
}

// checkAnswer checks the bytes received so far: complete reports that they are a
// whole answer to the request, of the given kind, and wrong that they are not the
// beginning of one.
func checkAnswer(b []byte, id uint64) (kind byte, complete, wrong bool) {
	if len(b) < answerHeaderBytes {
		return 0, false, false
	}
	if binary.LittleEndian.Uint64(b[5:]) != id {
		return 0, false, true
	}
	size := int(binary.LittleEndian.Uint32(b[1:]))
	if len(b) > size {
		return 0, false, true
	}
	for i := answerHeaderBytes; i < len(b); i++ {
		if b[i] != byte(id+uint64(i)) {
			return 0, false, true
		}
	}
	return b[0], len(b) == size, false
}
