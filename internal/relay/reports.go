package relay

import (
	"time"

	"toucangap/internal/balance"
	"toucangap/internal/outlier"
)

// FailureReports returns this host's failure reports for the other hosts of its
// failure domain: on endpoints that failed requests here, and its answers from those that
// failed requests of the others.
func (r *Relay) FailureReports(now time.Duration) []outlier.Report {
	var list []outlier.Report
	for token, e := range r.endpoints {
		s := &r.service(e.Entry.Service).observed
		t, ok := e.FailureTally(now, s)
		if !ok {
			t, ok = e.AnswerTally(now, s)
		}
		if ok {
			list = append(list, outlier.Report{Endpoint: token, Answers: t.Answers, Failed: t.Failed})
		}
	}
	return list
}

// SetFailureReports replaces the failure reports of the domain's other hosts,
// summed by endpoint. Endpoints that are no longer in the list have none.
func (r *Relay) SetFailureReports(now time.Duration, list []outlier.Report) {
	for _, former := range r.reports {
		if e := r.endpoints[former.Endpoint]; e != nil {
			e.SetReported(now, balance.Tally{})
		}
	}
	r.reports = list
	for _, s := range list {
		if e := r.endpoints[s.Endpoint]; e != nil {
			e.SetReported(now, balance.Tally{Answers: s.Answers, Failed: s.Failed})
			r.notifyFailing(now, e)
		}
	}
}

// notifyFailing notifies the observer if the endpoint has begun or ceased to fail
// requests.
func (r *Relay) notifyFailing(now time.Duration, e *balance.Endpoint) {
	s := &r.service(e.Entry.Service).observed
	if failing, changed := e.FailingChanged(now, s); changed {
		r.options.Observer.FailingChanged(now, e, failing, e.ExcessFailureShare(now, s))
	}
}
