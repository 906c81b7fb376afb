package feed

import (
	"time"

	"toucangap/internal/catalog"
	"toucangap/internal/feed/feedpb"
	"toucangap/internal/sighting"
)

// Exchange is how the hosts of a failure domain tell each other of endpoints.
type Exchange interface {
	// Told takes a host's list, which replaces its former one.
	Receive(host string, list []sighting.Sighting)
	// Tell returns what is known but from the named host.
	ReportsFor(host string) []sighting.Sighting
	// Added returns a channel that is closed when there is something to tell the
	// named host at once.
	Added(host string) <-chan struct{}
}

// mostAnswers bounds the count of one sighting: more than a failure domain asks of
// one endpoint in the time that counts.
const maxAnswers = 1e6

// gatherTime is how long further additions are waited for before the first is
// told: endpoints often fail together, and there may be many hosts to tell.
const batchDelay = 30 * time.Millisecond

// maxSightings bounds a list that a peer sends: the endpoints of a large
// deployment that fail at once.
const maxReports = 10_000

func encodeReports(list []sighting.Sighting) []*feedpb.Sighting {
	if len(list) == 0 {
		return nil
	}
	encoded := make([]*feedpb.Sighting, len(list))
	for i, s := range list {
		encoded[i] = &feedpb.Sighting{Token: uint32(s.Endpoint), Answers: float32(s.Answers), Failed: float32(s.Failed)}
	}
	return encoded
}

func decodeReports(encoded []*feedpb.Sighting) []sighting.Sighting {
	encoded = encoded[:min(len(encoded), maxReports)]
	list := make([]sighting.Sighting, 0, len(encoded))
	for _, s := range encoded {
		// What is no count is not believed; a comparison with NaN is false.
		if s.Failed > 0 && s.Answers >= s.Failed && s.Answers < maxAnswers {
			list = append(list, sighting.Sighting{
				Endpoint: catalog.Token(s.Token), Answers: float64(s.Answers), Failed: float64(s.Failed),
			})
		}
	}
	return list
}
