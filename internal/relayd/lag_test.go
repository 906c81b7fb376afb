package relayd

import (
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLagIsReportedOnChange(t *testing.T) {
	var l lagDetector
	for _, c := range []struct {
		now, emptyAt     time.Duration
		lagging, changed bool
	}{
		{time.Second, time.Second, false, false},
		{time.Second + lagThreshold - 1, time.Second, false, false},
		{time.Second + lagThreshold, time.Second, true, true},
		{2 * time.Second, time.Second, true, false},
		{2 * time.Second, 2 * time.Second, false, true},
	} {
		lagging, changed := l.update(c.now, c.emptyAt)
		require.Equal(t, c.lagging, lagging)
		require.Equal(t, c.changed, changed)
	}
}

// TestSocketRecordsWhenItWasEmpty checks that emptyAt does not change while queued
// packets are read, and that it advances when a read has to wait.
func TestSocketRecordsWhenItWasEmpty(t *testing.T) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer conn.Close()
	peer, err := net.Dial("udp4", conn.LocalAddr().String())
	require.NoError(t, err)
	defer peer.Close()
	c := newClock()
	s, err := newSocket(conn, c)
	require.NoError(t, err)
	buffer := make([]byte, 100)

	started := c.Monotonic()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(time.Millisecond)))
	_, err = s.read(buffer)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	empty := s.emptyAt
	require.GreaterOrEqual(t, empty, started)

	for _, text := range []string{"a", "bc"} {
		_, err = peer.Write([]byte(text))
		require.NoError(t, err)
	}
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	n, err := s.read(buffer)
	require.NoError(t, err)
	require.Equal(t, "a", string(buffer[:n]))
	first := s.emptyAt
	n, err = s.read(buffer)
	require.NoError(t, err)
	require.Equal(t, "bc", string(buffer[:n]))
	require.Equal(t, first, s.emptyAt, "the second packet was already queued")
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(time.Millisecond)))
	_, err = s.read(buffer)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.Greater(t, s.emptyAt, first)

	require.NoError(t, conn.Close())
	_, err = s.read(buffer)
	require.ErrorIs(t, err, net.ErrClosed)
}
