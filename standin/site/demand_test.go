package site

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/internal/catalog"
)

// loadOnly returns a site of two domains with callers and nothing else, whose requests
// reach no host.
func loadOnly() *Site {
	s := &Site{
		Options: Options{Domains: 2, Rate: 100}, Result: newResult(), started: time.Now(), loadOn: true,
		rng: rand.New(rand.NewPCG(1, 3)), evacuations: make(map[string]*evacuation),
	}
	for i := range 2 * callersPerDomain {
		s.callers = append(s.callers, &caller{
			site: s, domain: i / callersPerDomain, ip: netip.AddrFrom4([4]byte{127, 1, 0, byte(i)}), flows: make(map[catalog.Flow]*attempt),
		})
	}
	return s
}

// load starts ten seconds' requests, and returns their number by domain and by route.
func (s *Site) load() (byDomain [2]int, byRoute map[uint16]int) {
	byRoute = make(map[uint16]int)
	s.lastTick = 0
	for now := time.Duration(0); now <= 10*time.Second; now += 5 * time.Millisecond {
		s.startRequests(now)
	}
	for _, c := range s.callers {
		for flow := range c.flows {
			byDomain[c.domain]++
			byRoute[flow.Destination.Port]++
		}
	}
	return byDomain, byRoute
}

// TestShiftMovesCallers: a shift that moves no callers would leave the demand as it was.
func TestShiftMovesCallers(t *testing.T) {
	s := loadOnly()
	s.ShiftCallers(1, 0.8, time.Hour)
	byDomain, _ := s.load()
	require.InDelta(t, 900, byDomain[1], 40)
	require.InDelta(t, 100, byDomain[0], 40)
}

// TestBurstOfOneRoute: a burst adds requests of its route, and of no other.
func TestBurstOfOneRoute(t *testing.T) {
	s := loadOnly()
	s.Burst(1, 3, time.Hour)
	_, byRoute := s.load()
	require.InDelta(t, 600, byRoute[443], 60)
	require.InDelta(t, 750, byRoute[444], 60)
	require.InDelta(t, 150, byRoute[445], 60)
}
