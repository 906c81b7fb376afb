package feed

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/internal/feed/feedpb"
	"toucangap/internal/follow"
)

// TestUpdateIsNeverFromTheFuture: a peer states a wrong age. The replica keeps the latest time
// as of which it was current, so that its state would look current for as long afterwards,
// whatever the sources do.
func TestUpdateIsNeverFromTheFuture(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	server := newConnection(far)
	var got follow.Batch
	c := Client{
		Secret: []byte("secret"), SilenceTimeout: 5 * time.Second, MaxAge: time.Minute, BootTime: clockAt(time.Minute),
		OnBatch: func(b follow.Batch) { got = b },
	}
	wrong := &feedpb.News{Revision: 9, StampUs: time.Minute.Microseconds(), AgeUs: -time.Hour.Microseconds()}
	go func() { _ = server.send(wrong, time.Second) }()
	require.NoError(t, c.receiveUpdate(newConnection(near), "peer"))
	require.EqualValues(t, 9, got.Position.Revision)
	require.LessOrEqual(t, got.AsOf, c.BootTime())
}
