package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"toucangap/internal/config"
	"toucangap/internal/flow"
	"toucangap/internal/peerpb"
	"toucangap/internal/steer"
)

// testControl returns a live host with connected, live peers.
func testControl(peers ...string) *Control {
	c := New(config.Host{Name: "h", Incarnation: 1}, Options{Shards: 1, Shared: steer.NewShared()})
	c.self.State = config.HostLive
	for _, name := range peers {
		c.SetHosts(0, []config.Host{{Name: name, Incarnation: 1, State: config.HostLive}})
		c.Connected(0, name)
	}
	return c
}

// sentFrame holds the time of a tick and the bytes that it sent: those of records
// and those of all messages.
type sentFrame struct {
	at      Time
	records int
	all     int
}

// frameOf sums the bytes of a tick's frames.
func frameOf(now Time, sends []Send) sentFrame {
	f := sentFrame{at: now}
	for _, s := range sends {
		f.all += wireSize(s.Message)
		items := []*peerpb.Envelope{s.Message}
		if b := s.Message.GetBatch(); b != nil {
			items = b.Items
		}
		for _, m := range items {
			if m.GetRecords() != nil {
				f.records += proto.Size(m) + frameOverhead
			}
		}
	}
	return f
}

// TestBudgetBoundsRecords queues records of many services for three peers at
// random. Records must not exceed the limit within any second, all of them must
// be sent in the end, and the count of bytes sent must be exact.
func TestBudgetBoundsRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := testControl("a", "b", "d")
		limit := rapid.IntRange(1500, 9000).Draw(t, "limit")
		services := rapid.IntRange(1, 60).Draw(t, "services")
		c.setLimits(config.Limits{ControlBytesPerSecond: limit})
		var frames []sentFrame
		var queued, sent, totalBytes int
		for now := TickPeriod; now < 5*time.Second || sent < queued && now < 10*time.Minute; now += TickPeriod {
			out := c.Tick(now)
			for _, s := range out.Sends {
				sent += acknowledge(c, now, s)
			}
			f := frameOf(now, out.Sends)
			totalBytes += f.all
			frames = append(frames, f)
			require.LessOrEqual(t, recordsSince(frames, now-time.Second), c.budget.perSecond)
			if now >= 5*time.Second {
				continue
			}
			n := rapid.IntRange(0, 30).Draw(t, "records")
			host := rapid.SampledFrom([]string{"a", "b", "d"}).Draw(t, "host")
			c.Report(now, 0, steer.CommandResult{Records: []steer.HostRecords{testRecords(c, host, queued, n, services)}})
			queued += n
		}
		require.Equal(t, queued, sent)
		require.EqualValues(t, totalBytes, c.budget.totalBytes)
	})
}

func testRecords(c *Control, host string, first, n, services int) steer.HostRecords {
	h := steer.HostRecords{Host: c.hostIndex(host)}
	for i := first; i < first+n; i++ {
		h.Records = append(h.Records, steer.Record{
			Fingerprint: flow.Fingerprint(i), Service: config.ServiceID(i%services + 1), Endpoint: 60_000,
		})
	}
	return h
}

// acknowledge confirms the records of a frame and returns their number.
func acknowledge(c *Control, now Time, s Send) int {
	items := []*peerpb.Envelope{s.Message}
	if b := s.Message.GetBatch(); b != nil {
		items = b.Items
	}
	n := 0
	for _, m := range items {
		if r := m.GetRecords(); r != nil {
			for _, service := range r.Services {
				n += len(service.Fingerprints)
			}
			c.Receive(now, s.Host, envelope(&peerpb.RecordsAck{Sequence: r.Sequence}))
		}
	}
	return n
}

// recordsSince sums the bytes of records sent after a time.
func recordsSince(frames []sentFrame, after Time) int {
	n := 0
	for _, f := range frames {
		if f.at > after {
			n += f.records
		}
	}
	return n
}

// TestBudgetWindow checks that bytes count for exactly one second after sending.
func TestBudgetWindow(t *testing.T) {
	b := budget{perSecond: 100}
	b.spend(0, 60)
	b.spend(500*time.Millisecond, 60)
	cases := []struct {
		at        Time
		remaining int
	}{
		{500 * time.Millisecond, -20},
		{time.Second - 1, -20},
		{time.Second, 40},
		{1500*time.Millisecond - 1, 40},
		{1500 * time.Millisecond, 100},
	}
	for _, c := range cases {
		b.expire(c.at)
		require.Equal(t, c.remaining, b.remaining(), "%v", c.at)
	}
	require.EqualValues(t, 120, b.totalBytes)
}
