package traffic

import (
	"context"
	"flag"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"golang.org/x/net/nettest"
	"pgregory.net/rapid"

	"toucangap/internal/packet"
	"toucangap/internal/steer"
)

// TestMain fixes the seed of the randomized tests; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// TestFullQueue checks that packets are dropped and counted when a shard's queue
// is full or a reader has no free frame, and that all frames are released.
func TestFullQueue(t *testing.T) {
	source, sink := socket(t), socket(t)
	p := open(t, 1, localAddr(sink), every(func(*steer.Packet) steer.Verdict {
		return steer.Verdict{Action: steer.ActionReturn}
	}))
	t.Cleanup(p.close)
	r, s := p.readers[0], p.shards[0]
	data := udpPacket(t, callerAddress, serviceAddress, "x")
	const sent = queueLength + 10
	for range sent {
		send(t, source, p.Listen().Callers, data)
		n, err := r.input.read()
		require.NoError(t, err)
		r.process(n)
	}
	require.EqualValues(t, sent-queueLength, p.Counters().QueueFull)
	for range queueLength / maxBatchesPerFlush {
		s.processBatches(<-s.queue)
	}
	require.EqualValues(t, queueLength, p.Counters().Returned)
	require.Len(t, r.pool.frames, r.pool.allocated-batchSize)

	r.pool.frames, r.pool.allocated = nil, framesPerReader
	send(t, source, p.Listen().Callers, data)
	n, err := r.input.read()
	require.NoError(t, err)
	r.process(n)
	require.EqualValues(t, sent-queueLength+1, p.Counters().QueueFull)
	require.Empty(t, s.queue)
}

// TestShutdownSendsReceivedPackets checks that a shutdown during the first of several
// batches still processes all of them, and that tasks are refused afterwards.
func TestShutdownSendsReceivedPackets(t *testing.T) {
	source, fabric := socket(t), socket(t)
	ctx, cancel := context.WithCancel(context.Background())
	p := open(t, 1, localAddr(fabric), every(func(*steer.Packet) steer.Verdict {
		cancel()
		return steer.Verdict{Action: steer.ActionReturn}
	}))
	data := udpPacket(t, callerAddress, serviceAddress, "last")
	const sent = 3 * batchSize
	for range sent {
		send(t, source, p.Listen().Callers, data)
	}
	require.NoError(t, p.Run(ctx))
	for range sent {
		got, _ := receive(t, fabric)
		require.Equal(t, forwarded(data, 1), got)
	}
	<-p.Shards()[0].Stopped()
	for range taskQueueLength + 1 {
		err := p.Shards()[0].Do(context.Background(), taskFunc(func(time.Duration) {}))
		if err != nil {
			require.ErrorIs(t, err, ErrStopped)
			return
		}
	}
	t.Fatal("a stopped shard accepted tasks")
}

// TestIPv6Underlay checks sending and receiving on an IPv6 socket.
func TestIPv6Underlay(t *testing.T) {
	if !nettest.SupportsIPv6() {
		t.Skip("the system has no IPv6")
	}
	conns, err := listenAll(netip.MustParseAddrPort("[::1]:0"), 1)
	require.NoError(t, err)
	defer closeAll(conns)
	out := newSender(conns[0], newCounters())
	input, err := newBatchReader(conns[0])
	require.NoError(t, err)
	var room [8]byte
	for i := range batchSize {
		input.setBuffer(i, room[:])
	}
	out.send([]byte("six"), localAddr(conns[0]))
	out.flush()
	n, err := input.read()
	require.NoError(t, err)
	require.Equal(t, 1, n)
	require.Equal(t, "six", string(room[:input.length(0)]))
	require.Equal(t, localAddr(conns[0]), input.source(0))
}

// TestForwardingLoop checks that a packet forwarded to an endpoint with the host's
// own address does not loop forever.
func TestForwardingLoop(t *testing.T) {
	fabric := socket(t)
	var p *Plane
	opened := make(chan struct{})
	p = start(t, 1, localAddr(fabric), every(func(*steer.Packet) steer.Verdict {
		<-opened
		return steer.Verdict{Action: steer.ActionForward, Endpoint: p.Listen().Callers}
	}))
	close(opened)
	send(t, fabric, p.Listen().Callers, udpPacket(t, callerAddress, serviceAddress, "x"))
	ended := func() bool { return p.Counters().Defects[packet.DefectHopLimit] == 1 }
	require.Eventually(t, ended, deadline, time.Millisecond)
	require.EqualValues(t, 63, p.Counters().Forwarded)
}

// TestUnsendableDatagrams checks that datagrams that cannot be sent are counted and do
// not block others.
func TestUnsendableDatagrams(t *testing.T) {
	conn, sink := socket(t), socket(t)
	c := newCounters()
	out := newSender(conn, c)
	out.send([]byte("nowhere"), netip.AddrPort{})
	out.send([]byte("other family"), netip.MustParseAddrPort("[2001:db8::1]:9"))
	out.send([]byte("good"), localAddr(sink))
	out.flush()
	got, _ := receive(t, sink)
	require.Equal(t, "good", string(got))
	require.EqualValues(t, 2, c.sendErrors.Load())
}

// TestCorruptedDatagrams sends random and corrupted datagrams to every socket and
// checks that each is counted under exactly one outcome.
func TestCorruptedDatagrams(t *testing.T) {
	fabric := socket(t)
	p := start(t, 2, localAddr(fabric), every(func(p *steer.Packet) steer.Verdict {
		return steer.Verdict{Action: steer.ActionReply, Reply: steer.ReplyKind(p.Length % 5), Reason: steer.Reason(p.Length)}
	}))
	p.SetPeers([]netip.AddrPort{localAddr(fabric)})
	listen := p.Listen()
	valid := udpPacket(t, callerAddress, serviceAddress, "a payload to be damaged")
	passed := append(packet.AppendHop(nil, packet.HopHeader{Hop: steer.HopToOwner, Direction: steer.FromCaller}), valid...)
	var sent int64
	rapid.Check(t, func(t *rapid.T) {
		base := rapid.SampledFrom([][]byte{valid, passed, {}}).Draw(t, "base")
		data := append(append([]byte(nil), base...), rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "tail")...)
		for range rapid.IntRange(0, 3).Draw(t, "corruptions") {
			if len(data) > 0 {
				data[rapid.IntRange(0, len(data)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
			}
		}
		for _, to := range []netip.AddrPort{listen.Callers, listen.Endpoints, listen.Packets} {
			_, err := fabric.WriteToUDPAddrPort(data, to)
			require.NoError(t, err)
			sent++
		}
	})
	require.Eventually(t, func() bool { return p.Counters().Received == sent }, deadline, time.Millisecond)
	require.Eventually(t, func() bool { return outcomes(p.Counters()) == sent }, deadline, time.Millisecond)
}

// outcomes returns the number of packets with an outcome.
func outcomes(c Counters) int64 {
	total := c.Forwarded + c.Returned + c.Passed + c.Replied + c.UnbuiltReplies + c.QueueFull
	for _, n := range c.Defects {
		total += n
	}
	for _, n := range c.Drops {
		total += n
	}
	return total
}

// TestMetrics checks that totals are registered as gauges, each name only once.
func TestMetrics(t *testing.T) {
	fabric := socket(t)
	p := start(t, 1, localAddr(fabric), every(func(*steer.Packet) steer.Verdict {
		return steer.Verdict{Action: steer.ActionReturn}
	}))
	registry := metrics.NewRegistry()
	require.NoError(t, p.Register(registry))
	require.ErrorIs(t, p.Register(registry), ErrMetric)
	send(t, fabric, p.Listen().Callers, udpPacket(t, callerAddress, serviceAddress, "x"))
	receive(t, fabric)
	require.EqualValues(t, 1, registry.Get("traffic.returned").(metrics.Gauge).Value())
	require.EqualValues(t, 0, registry.Get("traffic.defect.fragment").(metrics.Gauge).Value())
}
