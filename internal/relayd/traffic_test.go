package relayd

import (
	"log/slog"
	"net"
	"os"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"toucangap/internal/catalog"
	"toucangap/internal/relay"
)

// TestWakeBeforeReadDeadline: a wake that comes between the check for tasks and the setting
// of the read deadline was overwritten, so that a view or a query waited for maxIdleWait.
func TestWakeBeforeReadDeadline(t *testing.T) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer conn.Close()
	for name, change := range map[string]func(*traffic){
		"task": func(x *traffic) { x.tasks <- func() {} },
		"view": func(x *traffic) { x.control.view.Store(&catalog.View{}) },
		"stop": func(x *traffic) { x.stopping.Store(true) },
	} {
		c := newClock()
		x := &traffic{
			clock: c, conn: conn, idleWait: time.Hour, tasks: make(chan func(), 1), relay: relay.New(relay.Options{}, 0),
			control: newControl(c, slog.New(slog.DiscardHandler), metrics.NewRegistry(), time.Minute, time.Minute),
		}
		require.False(t, x.pending(), name)
		x.wake()
		change(x)
		require.NoError(t, x.setReadDeadline(), name)
		_, err := conn.Read(make([]byte, 1))
		require.ErrorIs(t, err, os.ErrDeadlineExceeded, name)
	}
}
