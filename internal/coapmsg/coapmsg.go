// Package coapmsg decodes the parts of a CoAP message (RFC 7252) that verdicts
// depend on: type, code, message ID, token, Max-Age and the deadline option.
package coapmsg

import (
	"encoding/binary"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/udp/coder"

	"toucangap/internal/steer"
)

// OptionDeadline is the number of the request option for how long the caller waits
// for the response, a uint of 0 to 4 bytes in milliseconds. It is in the
// experimental range (RFC 7252, section 12.2). By section 5.4.6 it is elective
// (even), safe to forward (bit 1 clear) and not part of the cache key (bits 2 to 4
// are 111). A value of 0 or of more than 4 bytes is treated as an absent option.
const OptionDeadline message.OptionID = 65020

// MaxOptions is the maximum number of options in a message.
const MaxOptions = 48

// maxUintBytes is the maximum length of a uint option that is decoded.
const maxUintBytes = 4

// ErrMalformed is returned for a message that violates RFC 7252.
var ErrMalformed = merry.Sentinel("malformed CoAP message")

// Reader decodes messages without allocating. It is not safe for concurrent use.
type Reader struct {
	message message.Message
}

// NewReader returns a Reader.
func NewReader() *Reader {
	r := &Reader{}
	r.message.Options = make(message.Options, 0, MaxOptions)
	return r
}

// Read fills out from the message in data, a whole UDP payload. It retains no
// reference to data. It fails only with ErrMalformed; out is then undefined.
func (r *Reader) Read(data []byte, out *steer.CoAP) error {
	if _, err := coder.DefaultCoder.Decode(data, &r.message); err != nil {
		return ErrMalformed
	}
	m := &r.message
	*out = steer.CoAP{
		Type:      steer.CoAPType(m.Type),
		Code:      uint8(m.Code),
		MessageID: uint16(m.MessageID),
	}
	out.Token.Length = uint8(copy(out.Token.Bytes[:], m.Token))
	r.readOptions(out)
	if !wellFormed(m, out) {
		return ErrMalformed
	}
	return nil
}

// readOptions fills the fields that are carried in options.
func (r *Reader) readOptions(out *steer.CoAP) {
	for _, o := range r.message.Options {
		switch {
		case o.ID == message.MaxAge && out.IsResponse():
			out.MaxAge = uintOption(o.Value, time.Second)
		case o.ID == OptionDeadline && out.IsRequest():
			out.Deadline = uintOption(o.Value, time.Millisecond)
		}
	}
}

// uintOption decodes a uint option (RFC 7252, section 3.2) and multiplies it by
// unit. It returns 0 if the value is too long.
func uintOption(value []byte, unit time.Duration) time.Duration {
	if len(value) > maxUintBytes {
		return 0
	}
	var b [maxUintBytes]byte
	copy(b[maxUintBytes-len(value):], value)
	return time.Duration(binary.BigEndian.Uint32(b[:])) * unit
}

// wellFormed checks rules on codes and types that the codec does not: an empty
// message consists of its header only, a request is not of type acknowledgement
// or reset, and the code classes 1, 6 and 7 are reserved.
func wellFormed(m *message.Message, c *steer.CoAP) bool {
	switch {
	case c.Code == 0:
		headerOnly := len(m.Token) == 0 && len(m.Options) == 0 && len(m.Payload) == 0
		return headerOnly && c.Type != steer.CoAPNonConfirmable
	case c.Type == steer.CoAPReset:
		return false
	case c.IsRequest():
		return c.Type != steer.CoAPAcknowledgement
	}
	class := c.Code >> 5
	return class >= 2 && class <= 5
}
