//go:build !race

package traffic

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSteadyPathAllocatesNothing checks that batches of packets of established
// flows are read, decoded, decided on and sent through real sockets without
// allocation. It is excluded under the race detector, which makes sync.Pool drop
// its contents.
func TestSteadyPathAllocatesNothing(t *testing.T) {
	source, sink := socket(t), socket(t)
	data := udpPacket(t, callerAddress, serviceAddress, "request")
	view := ownerView(benchmarkService(localAddr(sink)))
	shards := shardsWithFlows(t, view, 1, [][]byte{data})
	p := open(t, 1, localAddr(sink), func(int) Decider { return shards[0] }, view)
	t.Cleanup(p.close)
	r, s := p.readers[0], p.shards[0]
	out := newSender(source, newCounters())
	to := p.Listen().Callers
	const runs = 50
	allocs := testing.AllocsPerRun(runs, func() {
		for range batchSize {
			out.send(data, to)
		}
		out.flush()
		n, err := r.input.read()
		if err != nil {
			t.Fatal(err)
		}
		r.process(n)
		s.processBatches(<-s.queue)
	})
	require.Zero(t, allocs)
	require.EqualValues(t, (runs+1)*batchSize, p.Counters().Forwarded)
}
