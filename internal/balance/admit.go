package balance

import "toucangap/internal/catalog"

// lessUrgentShare is the part of its timeout that the queue of a request may
// use for each step of lower priority: while endpoints are short, what is left
// of the queues belongs to the more urgent ones.
const lessUrgentShare = 0.75

// Admit reports whether a request of the route is worth queueing at the chosen
// endpoint: its answer is expected before the caller gives up. It answers crowds:
// a request that is rejected at once can be sent again later, one that times out
// in a queue has taken a slot for nothing. Where a slot is free there is no
// queue: rejecting would help nobody, and without new answers a time that was
// long once would be believed for ever.
func Admit(route *catalog.Route, c Choice) bool {
	if c.Endpoint.Free() {
		return true
	}
	limit := float64(route.Timeout)
	for range route.Priority {
		limit *= lessUrgentShare
	}
	return float64(c.Expected) <= limit
}
