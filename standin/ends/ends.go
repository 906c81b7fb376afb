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
	firstSynRetransmit       = 200 * time.Millisecond
	secondSynRetransmit      = 600 * time.Millisecond
	openTimeout              = 1400 * time.Millisecond
	initialRetransmitTimeout = 200 * time.Millisecond
	maxRetransmitTimeout     = 1600 * time.Millisecond
	maxRetransmissions       = 8
	window                   = 16
	maxData                  = platform.MaxData
)

// Key is the secret key of the checksum between both ends; hosts don't know it.
type Key uint64

// errForged is returned for a packet with a wrong checksum.
var errForged = errors.New("packet has a wrong checksum")

// seal returns the encoded packet with its checksum, which does not cover the
// token.
func (k Key) seal(s segment.Segment, data []byte) []byte {
	s.Checksum = k.sum(s, data)
	return platform.Append(nil, s, data)
}

func (k Key) sum(s segment.Segment, data []byte) uint32 {
	s.Checksum, s.Token, s.Forwarded = 0, 0, false
	packet := platform.Append(binary.LittleEndian.AppendUint64(nil, uint64(k)), s, data)
	return uint32(xxhash.Sum64(packet)) | 1
}

// open decodes a packet and verifies its checksum. A reset sent by a host has the
// checksum 0.
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

// CallerFlow returns the flow of a packet to a caller as the caller sees it.
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

// encodeAnswer returns the encoded answer to a request.
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

// checkAnswer reports whether the bytes are the complete answer to the request,
// and whether they are wrong.
func checkAnswer(b []byte, id uint64) (kind byte, whole, wrong bool) {
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
