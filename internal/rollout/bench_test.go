package rollout

import (
	"fmt"
	"testing"
	"time"

	"toucangap/internal/config"
)

func BenchmarkElectWatchers(b *testing.B) {
	for _, hosts := range []int{100, 1000, 12_000} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			all := candidates(hosts)
			b.ReportAllocs()
			for b.Loop() {
				ElectWatchers(all, "gavle")
			}
		})
	}
}

// BenchmarkFollowerDecide measures a decision with a newer version on offer and
// one with nothing to do, by the number of peers.
func BenchmarkFollowerDecide(b *testing.B) {
	for _, peers := range []int{4, 100, 1000} {
		f := newTestFollower()
		for i := range peers {
			f.RecordOffer(Source(fmt.Sprint("peer-", i)), "gavle", refOf(1, "a"))
		}
		b.Run(fmt.Sprintf("newer/peers=%d", peers), func(b *testing.B) {
			for b.Loop() {
				f.fetching = nil
				f.Decide(epoch)
			}
		})
		_ = f.HandleBundle(epoch, "peer-1", sign(1, "a"))
		f.fetching = nil
		f.Decide(epoch)
		b.Run(fmt.Sprintf("idle/peers=%d", peers), func(b *testing.B) {
			for b.Loop() {
				f.Decide(epoch.Add(time.Second))
			}
		})
	}
}

// BenchmarkMarkTable measures the merging of one mark into a full table.
func BenchmarkMarkTable(b *testing.B) {
	for _, marks := range []int{100, 10_000, 120_000} {
		b.Run(fmt.Sprintf("marks=%d", marks), func(b *testing.B) {
			var table MarkTable
			key := func(i int) MarkKey {
				return MarkKey{Service: config.ServiceID(i / 10), Endpoint: config.EndpointID(i % 10)}
			}
			for i := range marks {
				table.Merge(Mark{MarkKey: key(i), Revision: 1})
			}
			for i := 0; b.Loop(); i++ {
				table.Merge(Mark{MarkKey: key(i % marks), Revision: uint64(i)})
			}
		})
	}
}
