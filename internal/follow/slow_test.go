package follow

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/platform/platformtest"
)

// TestSlowAnswersDelayNoDrain: a store that answers later than a watch allows is asked again
// with the same time limit for ever.
func TestSlowAnswersDelayNoDrain(t *testing.T) {
	for _, delay := range []time.Duration{200, 360, 400, 450, 600, 800} {
		delay *= time.Millisecond
		t.Run(delay.String(), func(t *testing.T) {
			followStore(t, nil, func(r *storeReader) {
				time.Sleep(time.Second)
				require.True(t, r.uses(1))
				r.store.SetTrouble(platformtest.Late(delay))
				r.drains(1, 2, 3, 4)
				r.store.Put(platformtest.ConfigurationKey, []byte(platformtest.Configuration(2)))
				r.known("configuration", func() bool { return r.version() == 2 })
				for range 20 {
					time.Sleep(storeBound / 7)
					r.mu.Lock()
					age := r.follower.BootTime() - r.replica.AsOf()
					r.mu.Unlock()
					require.LessOrEqual(t, age, storeBound, "age of the state")
				}
			})
		})
	}
}

// TestVerySlowStoreIsRead: a store that answers later than all time limits is never read.
func TestVerySlowStoreIsRead(t *testing.T) {
	for _, delay := range []time.Duration{1200, 1500, 2500} {
		delay *= time.Millisecond
		for _, fromStart := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, from the start %v", delay, fromStart), func(t *testing.T) {
				prepare := func(s *platformtest.Store) {
					if fromStart {
						s.SetTrouble(platformtest.Late(delay))
					}
				}
				followStore(t, prepare, func(r *storeReader) {
					time.Sleep(time.Second)
					r.store.SetTrouble(platformtest.Late(delay))
					for i := range 3 {
						time.Sleep(4 * storeBound)
						require.True(t, r.uses(i+2))
						r.put(i+1, "draining", 2)
						time.Sleep(4 * storeBound)
						require.False(t, r.uses(i+1), "drain %d is not known", i)
					}
				})
			})
		}
	}
}
