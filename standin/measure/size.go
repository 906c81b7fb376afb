package measure

import (
	"time"

	"toucangap/standin/lab"
)

// The fractions of the open flows by service.
const (
	sessionShare = 0.6
	urgentShare  = 0.3
	normalShare  = 0.1
)

// The callers' traffic.
const (
	// flowLifetime is the mean lifetime of a flow. Runs with many flows use
	// longFlowLifetime, which matches the callers' traffic.
	flowLifetime     = time.Minute
	longFlowLifetime = 5 * time.Minute
	// requestInterval is the mean time between the requests of a flow with few
	// flows; with many flows the request rate of a service is bounded.
	requestInterval = 500 * time.Millisecond
	// maxNormalUtilization is the largest fraction of the endpoints' slots that
	// normal traffic uses.
	maxNormalUtilization = 0.5
	// requestsPerSlotSecond is the number of requests that a slot runs per second.
	requestsPerSlotSecond = 1000.0 / 30
	// nonIdempotentShare is the fraction of requests that are not idempotent.
	nonIdempotentShare = 0.5
)

// Size is a user's site with a number of open flows.
type Size struct {
	Site  lab.Site
	Flows int
}

// streams returns the normal traffic of the size.
func (z Size) streams() []lab.Stream {
	return []lab.Stream{
		z.sessions(),
		z.requests(lab.ServiceUrgent, urgentShare, z.Site.Urgent),
		z.requests(lab.ServiceNormal, normalShare, z.Site.Normal),
	}
}

// longLivedFlows is the number of open flows from which flows are long-lived.
const longLivedFlows = 6000

// meanFlowLifetime returns the mean lifetime of a flow.
func (z Size) meanFlowLifetime() time.Duration {
	if z.Flows >= longLivedFlows {
		return longFlowLifetime
	}
	return flowLifetime
}

func (z Size) sessions() lab.Stream {
	count := float64(z.Flows) * sessionShare
	return lab.Stream{
		Service:   lab.ServiceSessions,
		PerSecond: count / z.meanFlowLifetime().Seconds(),
		Lifetime:  z.meanFlowLifetime(),
		Interval:  segmentInterval(z.Flows),
	}
}

// segmentInterval returns the mean time between the segments of a TCP flow. It is
// longer with many flows, to keep the run short.
func segmentInterval(flows int) time.Duration {
	switch {
	case flows <= 600:
		return 2 * time.Second
	case flows <= 6000:
		return 5 * time.Second
	}
	return 15 * time.Second
}

// requests returns CoAP traffic whose request rate takes at most
// maxNormalUtilization of the slots of the service's endpoints.
func (z Size) requests(id serviceID, share float64, endpoints int) lab.Stream {
	count := float64(z.Flows) * share
	maxRate := float64(endpoints) * slotsPerEndpoint * requestsPerSlotSecond * maxNormalUtilization
	interval := max(requestInterval, time.Duration(count/maxRate*float64(time.Second)))
	return lab.Stream{
		Service:           id,
		PerSecond:         count / z.meanFlowLifetime().Seconds(),
		Lifetime:          z.meanFlowLifetime(),
		Interval:          interval,
		NonIdempotentRate: nonIdempotentShare,
	}
}

// withFlowLifetime returns the normal traffic with another mean lifetime of
// flows.
func (z Size) withFlowLifetime(lifetime time.Duration) []lab.Stream {
	streams := z.streams()
	for i := range streams {
		streams[i].PerSecond *= streams[i].Lifetime.Seconds() / lifetime.Seconds()
		streams[i].Lifetime = lifetime
	}
	return streams
}
