package relay

import (
	"cmp"
	"slices"
	"time"

	"toucangap/internal/balance"
	"toucangap/internal/catalog"
)

const (
	// allRoutes stands for the held flows of all routes, instead of a slot of the shares.
	allRoutes = -1
	// maxCountedRoutes limits the routes that are counted by name, since names change
	// with the configuration; the held flows of others are counted under otherRoutes.
	maxCountedRoutes = 64
	otherRoutes      = "other"
)

// RouteCounts counts the flows of a route that were held, since the start.
type RouteCounts struct {
	Route string
	// Held counts the flows that had to wait, Released those of them that were forwarded,
	// and Rejected those that were reset. The others wait, are open by way of another
	// host, or were removed when the host was paused or the flow table was full.
	Held, Released, Rejected int64
}

func (c *RouteCounts) addOutcome(released bool) {
	if released {
		c.Released++
		return
	}
	c.Rejected++
}

// RouteCounts returns the counts of the routes that ever had a held flow, sorted by name.
func (r *Relay) RouteCounts() []RouteCounts {
	all := make([]RouteCounts, 0, len(r.routeCounts))
	for _, c := range r.routeCounts {
		all = append(all, *c)
	}
	slices.SortFunc(all, func(a, b RouteCounts) int { return cmp.Compare(a.Route, b.Route) })
	return all
}

// countsOf returns the counts of a route, created if necessary.
func (r *Relay) countsOf(route string) *RouteCounts {
	if c := r.routeCounts[route]; c != nil {
		return c
	}
	if len(r.routeCounts) >= maxCountedRoutes && route != otherRoutes {
		return r.countsOf(otherRoutes)
	}
	c := &RouteCounts{Route: route}
	r.routeCounts[route] = c
	return c
}

// newWindow returns the window of a service. Shares are divided only while it is closed, so
// with RouteShares it has to notice moderate overload, too.
func (r *Relay) newWindow(now time.Duration) balance.Window {
	w := balance.NewWindow(now)
	w.SteadyBase = r.options.RouteShares
	return w
}

// addToShares adds a flow that is held from now on.
func (r *Relay) addToShares(f *flow, route *catalog.Route) {
	f.counts = r.countsOf(route.Name)
	f.counts.Held++
	f.joinShares(route)
}

// joinShares adds a flow to the shares of its service, if there are any.
func (f *flow) joinShares(route *catalog.Route) {
	if shares := f.service.shares; shares != nil {
		f.slot = shares.Add(route.Name, route.Priority)
	}
}

// removeFromShares removes a flow that is no longer held.
func (sv *service) removeFromShares(f *flow) {
	if sv.shares != nil {
		sv.shares.Remove(f.slot)
	}
}

// chargeRelease charges the route of a slot for the release of a flow, which has been
// removed. One that was rejected after all takes no room.
func (sv *service) chargeRelease(slot int) {
	if sv.shares != nil {
		sv.shares.Charge(slot)
	}
}

// nextRoute returns the slot of the route that is released next.
func (sv *service) nextRoute() int {
	if sv.shares == nil {
		return allRoutes
	}
	slot, _ := sv.shares.Next()
	return slot
}

// routeAboveShare returns the slot of the route that is furthest above its share.
func (sv *service) routeAboveShare() int {
	if sv.shares == nil {
		return allRoutes
	}
	slot, _ := sv.shares.FurthestAbove()
	return slot
}
