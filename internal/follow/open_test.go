package follow

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/platform/platformtest"
)

// TestRejectedWatchesDelayNoDrain: a store that rejects watches alone is never read.
func TestRejectedWatchesDelayNoDrain(t *testing.T) {
	followStore(t, nil, func(r *storeReader) {
		time.Sleep(time.Second)
		r.store.SetTrouble(func(a *platformtest.Answer, w http.ResponseWriter, _ *http.Request) bool {
			if a.Watch {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			return a.Watch
		})
		r.drains(1, 2)
	})
}

// TestOneWrongRevisionHidesNoEndpoint: one answer with a revision that is far too high hides
// all endpoints that start later, while the state looks current.
func TestOneWrongRevisionHidesNoEndpoint(t *testing.T) {
	answers := 0
	prepare := func(s *platformtest.Store) {
		s.SetTrouble(func(a *platformtest.Answer, _ http.ResponseWriter, _ *http.Request) bool {
			if answers++; answers == 1 {
				a.Revision = "9223372036854775807"
			}
			return false
		})
	}
	followStore(t, prepare, func(r *storeReader) {
		time.Sleep(time.Second)
		r.put(testEndpoints+1, "ready", 1)
		r.known("new endpoint", func() bool { return r.uses(testEndpoints + 1) })
	})
}

// TestOneWrongIncarnationStopsNoHost: after one answer that states a later incarnation, all
// further answers count as outdated.
func TestOneWrongIncarnationStopsNoHost(t *testing.T) {
	answers := 0
	prepare := func(s *platformtest.Store) {
		s.SetTrouble(func(_ *platformtest.Answer, w http.ResponseWriter, _ *http.Request) bool {
			incarnation := "1"
			if answers++; answers == 5 {
				incarnation = "7"
			}
			platformtest.StateIncarnation(w, incarnation)
			return false
		})
	}
	followStore(t, prepare, func(r *storeReader) {
		time.Sleep(storeBound)
		r.drains(1, 2)
	})
}

// TestStoreSlowerThanTheBoundIsRead: a store that answers later than the longest time limit is
// never read.
func TestStoreSlowerThanTheBoundIsRead(t *testing.T) {
	followStore(t, nil, func(r *storeReader) {
		time.Sleep(time.Second)
		r.store.SetTrouble(platformtest.Late(storeBound * 7 / 6))
		r.put(1, "draining", 2)
		time.Sleep(20 * storeBound)
		require.False(t, r.uses(1), "the drain is not known")
	})
}
