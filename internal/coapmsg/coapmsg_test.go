package coapmsg

import (
	"math"
	"testing"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"
	"github.com/stretchr/testify/require"

	"toucangap/internal/steer"
)

// encode returns the message as encoded by the codec.
func encode(t require.TestingT, m message.Message) []byte {
	buffer := make([]byte, 64)
	n, err := coder.DefaultCoder.Encode(m, buffer)
	require.NoError(t, err)
	return buffer[:n]
}

// TestOptionNumber checks the properties that RFC 7252, section 5.4.6, encodes in
// the option number.
func TestOptionNumber(t *testing.T) {
	require.Zero(t, OptionDeadline&1, "elective")
	require.Zero(t, OptionDeadline&2, "safe to forward")
	require.EqualValues(t, 0x1c, OptionDeadline&0x1e, "no cache key")
	require.GreaterOrEqual(t, OptionDeadline, message.OptionID(65000))
}

// TestRead checks the decoded fields of a request and of a response.
func TestRead(t *testing.T) {
	r := NewReader()
	var got steer.CoAP
	request := message.Message{
		Type: message.Confirmable, Code: codes.POST, MessageID: 0x1234, Token: []byte{9, 8},
		Options: message.Options{
			{ID: message.URIPath, Value: []byte("leak")},
			{ID: OptionDeadline, Value: []byte{0x05, 0xdc}},
		},
		Payload: []byte("x"),
	}
	require.NoError(t, r.Read(encode(t, request), &got))
	token := steer.Token{Bytes: [8]byte{9, 8}, Length: 2}
	require.Equal(t, steer.CoAP{
		Type: steer.CoAPConfirmable, Code: 2, MessageID: 0x1234, Token: token, Deadline: 1500 * time.Millisecond,
	}, got)

	response := message.Message{
		Type: message.Acknowledgement, Code: codes.ServiceUnavailable, MessageID: 1, Token: []byte{9, 8},
		Options: message.Options{{ID: message.MaxAge, Value: []byte{30}}},
	}
	require.NoError(t, r.Read(encode(t, response), &got))
	require.Equal(t, steer.CoAP{
		Type: steer.CoAPAcknowledgement, Code: 5<<5 | 3, MessageID: 1, Token: token, MaxAge: 30 * time.Second,
	}, got)
}

// TestElectiveOptions checks that invalid deadline options are ignored and that
// the longest deadline is read.
func TestElectiveOptions(t *testing.T) {
	for name, value := range map[string][]byte{"empty": {}, "zero": {0}, "too long": {0, 0, 0, 0, 1}} {
		m := message.Message{Code: codes.GET, Options: message.Options{{ID: OptionDeadline, Value: value}}}
		var got steer.CoAP
		require.NoError(t, NewReader().Read(encode(t, m), &got), name)
		require.Zero(t, got.Deadline, name)
	}
	m := message.Message{Code: codes.GET, Options: message.Options{{ID: OptionDeadline, Value: []byte{255, 255, 255, 255}}}}
	var got steer.CoAP
	require.NoError(t, NewReader().Read(encode(t, m), &got))
	require.Equal(t, math.MaxUint32*time.Millisecond, got.Deadline)
}

// TestMalformed checks that malformed messages are rejected.
func TestMalformed(t *testing.T) {
	many := []byte{0x40, 1, 0, 0, 0x10}
	for range MaxOptions {
		many = append(many, 0x00)
	}
	for name, data := range map[string][]byte{
		"nothing":                {},
		"short header":           {0x40, 1, 0},
		"version 2":              {0x80, 1, 0, 0},
		"token length 9":         {0x49, 1, 0, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9},
		"token truncated":        {0x42, 1, 0, 0, 1},
		"option truncated":       {0x40, 1, 0, 0, 0xb4, 'a'},
		"option delta 15":        {0x40, 1, 0, 0, 0xf1, 1},
		"marker without payload": {0x40, 1, 0, 0, 0xff},
		"empty with a token":     {0x41, 0, 0, 0, 1},
		"empty non-confirmable":  {0x50, 0, 0, 0},
		"request in an ACK":      {0x60, 1, 0, 0},
		"response in a reset":    {0x70, 69, 0, 0},
		"reserved class 1":       {0x40, 1 << 5, 0, 0},
		"reserved class 7":       {0x40, 7 << 5, 0, 0},
		"more than MaxOptions":   many,
	} {
		var got steer.CoAP
		require.ErrorIs(t, NewReader().Read(data, &got), ErrMalformed, name)
	}
}
