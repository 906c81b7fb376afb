package feed

import (
	"time"

	"toucangap/internal/catalog"
	"toucangap/internal/feed/feedpb"
	"toucangap/internal/outlier"
)

// Exchange passes failure reports on endpoints between the hosts of a failure
// domain.
type Exchange interface {
	// Receive sets a host's reports, which replace its previous ones.
	Receive(host string, list []outlier.Report)
	// ReportsFor returns the reports to send to the named host: those that did
	// not come from it, so that none is counted twice.
	ReportsFor(host string) []outlier.Report
	// ReportAdded returns a channel that is closed when there are new reports to
	// send to the named host at once.
	ReportAdded(host string) <-chan struct{}
}

// maxAnswers bounds the number of answers in one report; a report with as many or
// more is dropped. It exceeds the number of requests that a failure domain sends
// to one endpoint in the time that the reports cover.
const maxAnswers = 1e6

// batchDelay is how long a new report waits for further ones before it is sent:
// endpoints often fail together, and there may be many hosts to send to.
const batchDelay = 30 * time.Millisecond

// maxReports bounds the reports accepted in one message. It allows for all
// endpoints of a large deployment failing at once; excess reports are dropped.
const maxReports = 10_000

func encodeReports(list []outlier.Report) []*feedpb.Sighting {
	if len(list) == 0 {
		return nil
	}
	encoded := make([]*feedpb.Sighting, len(list))
	for i, r := range list {
		encoded[i] = &feedpb.Sighting{Token: uint32(r.Endpoint), Answers: float32(r.Answers), Failed: float32(r.Failed)}
	}
	return encoded
}

func decodeReports(encoded []*feedpb.Sighting) []outlier.Report {
	encoded = encoded[:min(len(encoded), maxReports)]
	list := make([]outlier.Report, 0, len(encoded))
	for _, s := range encoded {
		// Values that can't be counts are dropped; a comparison with NaN is
		// false.
		if s.Failed >= 0 && s.Answers > 0 && s.Answers >= s.Failed && s.Answers < maxAnswers {
			list = append(list, outlier.Report{
				Endpoint: catalog.Token(s.Token), Answers: float64(s.Answers), Failed: float64(s.Failed),
			})
		}
	}
	return list
}
