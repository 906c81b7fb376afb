package follow

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/platform/platformtest"
)

// slowPages has each page of a listing take half a second, so that one of 200 endpoints takes
// 25 s, and lets watch answer watches.
func slowPages(watch func(a *platformtest.Answer, w http.ResponseWriter) (answered bool)) platformtest.Trouble {
	return func(a *platformtest.Answer, w http.ResponseWriter, r *http.Request) bool {
		if a.Watch {
			return watch(a, w)
		}
		select {
		case <-time.After(500 * time.Millisecond):
		case <-r.Context().Done():
		}
		return false
	}
}

func manyEndpoints(s *platformtest.Store) {
	for i := range 200 {
		s.Put(platformtest.EndpointKey(endpointID(i+100)), []byte(platformtest.Entry("ready", 1, 5)))
	}
}

// TestListingLongerThanTheHistoryDelaysNoDrain: the changes since the first page of a long
// listing are no longer available before its last one.
func TestListingLongerThanTheHistoryDelaysNoDrain(t *testing.T) {
	followStore(t, manyEndpoints, func(r *storeReader) {
		time.Sleep(time.Second)
		begun := r.store.Revision()
		kept := func() uint64 { return begun + max(25, r.store.Revision()-begun) - 25 }
		gone := false
		r.store.SetTrouble(slowPages(func(a *platformtest.Answer, w http.ResponseWriter) bool {
			if !gone || a.Since < kept() {
				gone = true
				w.WriteHeader(http.StatusGone)
				return true
			}
			return false
		}))
		for i := range 60 {
			r.put(i%4+5, "ready", i+2)
			time.Sleep(400 * time.Millisecond)
			if i%15 == 14 {
				r.put(i/15+1, "draining", 2)
				r.known("drain of "+endpointID(i/15+1), func() bool { return !r.uses(i/15 + 1) })
			}
		}
		r.store.SetTrouble(nil)
		r.drains(5)
		require.Less(t, r.store.Listings(), 200, "pages")
	})
}

// TestRejectedCallDelaysNoDrainDuringAListing: one rejected call ends the reading of changes
// for the rest of a long listing.
func TestRejectedCallDelaysNoDrainDuringAListing(t *testing.T) {
	followStore(t, manyEndpoints, func(r *storeReader) {
		time.Sleep(time.Second)
		calls := 0
		r.store.SetTrouble(slowPages(func(_ *platformtest.Answer, w http.ResponseWriter) bool {
			calls++
			switch calls {
			case 1:
				w.WriteHeader(http.StatusGone)
			case 3:
				w.WriteHeader(http.StatusServiceUnavailable)
			default:
				return false
			}
			return true
		}))
		time.Sleep(5 * time.Second)
		for i := 1; i <= 4; i++ {
			r.put(i, "draining", 2)
			r.known("drain of "+endpointID(i), func() bool { return !r.uses(i) })
			time.Sleep(time.Second)
		}
		r.store.SetTrouble(nil)
		time.Sleep(storeBound)
	})
}
