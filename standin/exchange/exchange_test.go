package exchange

import (
	"testing"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/stretchr/testify/require"

	"toucangap/internal/coapmsg"
	"toucangap/internal/steer"
)

func TestMessageRoundTrip(t *testing.T) {
	for _, want := range []Message{
		{Type: message.Confirmable, Code: codes.POST, MessageID: 65535, Token: []byte{1, 2}, Deadline: 6500 * time.Millisecond, Payload: []byte("x")},
		{Type: message.Acknowledgement, Code: codes.ServiceUnavailable, MessageID: 1, Token: []byte{1}, MaxAge: 3 * time.Second},
		{Type: message.Acknowledgement, Code: codes.Empty, MessageID: 9},
	} {
		data, err := EncodeCoAP(want)
		require.NoError(t, err)
		got, err := DecodeCoAP(data)
		require.NoError(t, err)
		require.Equal(t, want, got)
	}
	_, err := DecodeCoAP([]byte{1, 2, 3})
	require.ErrorIs(t, err, ErrMalformed)
}

// TestCoAPReaderDecodesDeadline: the host's CoAP reader decodes the deadline that
// callers encode.
func TestCoAPReaderDecodesDeadline(t *testing.T) {
	require.Equal(t, coapmsg.OptionDeadline, DeadlineOption)
	data, err := EncodeCoAP(Message{Type: message.Confirmable, Code: codes.GET, MessageID: 5, Deadline: 1500 * time.Millisecond})
	require.NoError(t, err)
	var read steer.CoAP
	require.NoError(t, coapmsg.NewReader().Read(data, &read))
	require.Equal(t, 1500*time.Millisecond, read.Deadline)
}

func TestAnswerMatchesOnlyItsRequest(t *testing.T) {
	r := Request{ID: "a", Service: "alerts", Size: 100}
	a := NewAnswer(r, "alerts", "alerts-1")
	require.True(t, a.Matches(r))
	copied, err := Unmarshal[Answer](Marshal(a))
	require.NoError(t, err)
	require.True(t, copied.Matches(r))

	require.False(t, a.Matches(Request{ID: "b", Service: "alerts", Size: 100}))
	require.False(t, a.Matches(Request{ID: "a", Service: "bulletins", Size: 100}))
	a.Text = a.Text[:99]
	require.False(t, a.Matches(r), "truncated")
	_, err = Unmarshal[Answer]([]byte("{"))
	require.ErrorIs(t, err, ErrMalformed)
}

func TestRandomDependsOnSeedAndPart(t *testing.T) {
	first := Random(1, "a").Uint64()
	require.Equal(t, first, Random(1, "a").Uint64())
	require.NotEqual(t, first, Random(2, "a").Uint64())
	require.NotEqual(t, first, Random(1, "b").Uint64())
}
