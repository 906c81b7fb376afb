package balance

import "toucangap/internal/catalog"

// priorityTimeoutFactor reduces the part of its timeout that a request may spend
// in a queue, once for each step of lower priority: while endpoints are short, the
// rest of the queues is left to more urgent requests.
const priorityTimeoutFactor = 0.75

// Admit reports whether a request of the route should be queued at the chosen
// endpoint, which means that its answer is expected before the caller gives up or,
// at priority n, within 0.75^n of the caller's timeout (priorityTimeoutFactor).
// This protects against overload: a request that is rejected immediately can be
// sent again later, whereas one that times out in a queue wastes a slot. If a
// slot is free, Admit always accepts: rejecting would relieve nobody, and without
// new answers a long answer time from the past would never be corrected.
func Admit(route *catalog.Route, c Choice) bool {
	if c.Endpoint.Free() {
		return true
	}
	limit := float64(route.Timeout)
	for range route.Priority {
		limit *= priorityTimeoutFactor
	}
	return float64(c.Expected) <= limit
}
