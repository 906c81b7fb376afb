package exchange

import (
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"
)

// DeadlineOption is an elective CoAP option of the experimental range that states
// in milliseconds how long the caller waits for the answer.
const DeadlineOption message.OptionID = 65020

const (
	// maxOptions is the maximum number of options in a message.
	maxOptions = 16
	// optionBuffer is the size in bytes of the buffer for numeric option values.
	optionBuffer = 16
)

// Message is a CoAP message (RFC 7252).
type Message struct {
	Type      message.Type
	Code      codes.Code
	MessageID uint16
	Token     []byte
	// Deadline and MaxAge are omitted when they are 0.
	Deadline time.Duration
	MaxAge   time.Duration
	Payload  []byte
}

// EncodeCoAP encodes a message. MaxAge is rounded down to seconds, Deadline to
// milliseconds.
func EncodeCoAP(m Message) ([]byte, error) {
	out := message.Message{
		Type: m.Type, Code: m.Code, MessageID: int32(m.MessageID),
		Token: m.Token, Payload: m.Payload, Options: numericOptions(m),
	}
	size, err := coder.DefaultCoder.Size(out)
	if err != nil {
		return nil, merry.Prepend(err, "encode CoAP message")
	}
	data := make([]byte, size)
	if _, err := coder.DefaultCoder.Encode(out, data); err != nil {
		return nil, merry.Prepend(err, "encode CoAP message")
	}
	return data, nil
}

// numericOptions returns the options for MaxAge and Deadline.
func numericOptions(m Message) message.Options {
	options := make(message.Options, 0, maxOptions)
	values := make([]byte, optionBuffer)
	if m.MaxAge > 0 {
		var used int
		options, used, _ = options.SetUint32(values, message.MaxAge, uint32(m.MaxAge/time.Second))
		values = values[used:]
	}
	if m.Deadline > 0 {
		options, _, _ = options.SetUint32(values, DeadlineOption, uint32(m.Deadline/time.Millisecond))
	}
	return options
}

// DecodeCoAP decodes a message, whose token and payload share memory with data. It
// returns ErrMalformed if data is not a CoAP message.
func DecodeCoAP(data []byte) (Message, error) {
	in := message.Message{Options: make(message.Options, 0, maxOptions)}
	if _, err := coder.DefaultCoder.Decode(data, &in); err != nil {
		return Message{}, merry.Wrap(ErrMalformed, merry.WithCause(err))
	}
	m := Message{
		Type: in.Type, Code: in.Code, MessageID: uint16(in.MessageID),
		Token: in.Token, Payload: in.Payload,
	}
	if ms, err := in.Options.GetUint32(DeadlineOption); err == nil {
		m.Deadline = time.Duration(ms) * time.Millisecond
	}
	if s, err := in.Options.GetUint32(message.MaxAge); err == nil {
		m.MaxAge = time.Duration(s) * time.Second
	}
	return m, nil
}

// IsRequest reports whether the message carries a request.
func (m Message) IsRequest() bool {
	return m.Code >= codes.GET && m.Code < codes.Created
}
