// Package fairshare divides the releases of one queue among routes: it decides which
// route's request is released next, and which route's request is rejected when the
// queue can't be served in time. It is pure and counts in whole numbers.
package fairshare

import "slices"

const (
	// maxPriority limits the ratio of two weights to 1:256, so that a route of any
	// priority is released again within a bounded number of releases.
	maxPriority = 8
	// savedReleases is how many releases a route without anything waiting saves up. Its
	// requests arrive at random: without any, those that arrive together wait although the
	// route stays below its share on average.
	savedReleases = 8
	// keptRoutes is the number of routes from which on a slot without anything waiting is
	// given to another route.
	keptRoutes = 64
)

// Shares divides a queue by deficit round robin (Shreedhar and Varghese 1995). A round
// gives one credit to each route, and a release costs a route 2^priority credits, so that
// its weight is 2^-priority. Rounds do not wait for a route that has nothing waiting: what
// it does not use goes to the others at once, except that it saves up credit for
// savedReleases. The zero value is an empty queue.
type Shares struct {
	slots []slot
	// next is the slot at which the present round continues.
	next int
}

type slot struct {
	route    string
	priority int
	waiting  int
	credit   int
	// releases counts since the route has something waiting.
	releases int
}

// Clone returns a copy that shares no state; nil if s is nil.
func (s *Shares) Clone() *Shares {
	if s == nil {
		return nil
	}
	return &Shares{slots: slices.Clone(s.slots), next: s.next}
}

func (s *slot) cost() int { return 1 << s.priority }

// addCredit adds credit up to the limit.
func (s *slot) addCredit(n int) { s.credit = min(s.credit+n, savedReleases*s.cost()) }

// weight is proportional to 2^-priority.
func (s *slot) weight() int { return 1 << (maxPriority - s.priority) }

// Add adds a request of the route and returns the route's slot, which is valid as long as
// the route has something waiting. The priority applies from now on.
func (s *Shares) Add(route string, priority int) (slotIndex int) {
	i := s.slot(route)
	at := &s.slots[i]
	at.priority = min(max(priority, 0), maxPriority)
	at.addCredit(0)
	at.waiting++
	return i
}

// slot returns the slot of the route, which is created if necessary.
func (s *Shares) slot(route string) int {
	free := -1
	for i := range s.slots {
		if s.slots[i].route == route {
			return i
		}
		if s.slots[i].waiting == 0 {
			free = i
		}
	}
	if free < 0 || len(s.slots) < keptRoutes {
		free = len(s.slots)
		s.slots = append(s.slots, slot{})
	}
	s.slots[free] = slot{route: route}
	return free
}

// Remove removes a request of the slot's route, which was released, rejected or
// forgotten.
func (s *Shares) Remove(slotIndex int) {
	at := &s.slots[slotIndex]
	at.waiting--
	if at.waiting == 0 {
		at.releases = 0
	}
}

// Next returns the slot whose route is released next. It is the same until Charge is
// called or the route has nothing waiting. If no route has credit for a release, as many
// rounds as the first one needs are given at once. ok is false if nothing is waiting.
func (s *Shares) Next() (slotIndex int, ok bool) {
	rounds := 0
	for n := range s.slots {
		i := (s.next + n) % len(s.slots)
		at := &s.slots[i]
		if needs := max(0, at.cost()-at.credit); at.waiting > 0 && (!ok || needs < rounds) {
			slotIndex, rounds, ok = i, needs, true
		}
	}
	if rounds > 0 {
		for i := range s.slots {
			s.slots[i].addCredit(rounds)
		}
	}
	return slotIndex, ok
}

// Charge takes the cost of a release from the slot's route. The caller removes the
// request as well, before or afterwards.
func (s *Shares) Charge(slotIndex int) {
	at := &s.slots[slotIndex]
	at.credit -= at.cost()
	if at.waiting > 0 {
		at.releases++
	}
	s.next = (slotIndex + 1) % len(s.slots)
}

// Releases returns how many requests of the slot's route were released since it has
// something waiting.
func (s *Shares) Releases(slotIndex int) int { return s.slots[slotIndex].releases }

// FurthestAbove returns the slot whose route has the most requests above its share of
// the waiting ones, by the weights of the routes that have something waiting; of several,
// the least urgent one. ok is false if nothing is waiting.
func (s *Shares) FurthestAbove() (slotIndex int, ok bool) {
	waiting, weights := 0, 0
	for i := range s.slots {
		if at := &s.slots[i]; at.waiting > 0 {
			waiting += at.waiting
			weights += at.weight()
		}
	}
	most := 0
	for i := range s.slots {
		at := &s.slots[i]
		if at.waiting == 0 {
			continue
		}
		// The excess times the sum of the weights, so that it is a whole number.
		excess := at.waiting*weights - waiting*at.weight()
		if !ok || excess > most || excess == most && at.priority > s.slots[slotIndex].priority {
			slotIndex, most, ok = i, excess, true
		}
	}
	return slotIndex, ok
}
