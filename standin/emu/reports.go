package emu

import (
	"strconv"
	"time"

	"toucangap/internal/outlier"
)

// reportInterval is the time between two exchanges of failure reports,
// reportDelay the time until a report is received.
const (
	reportInterval = 100 * time.Millisecond
	reportDelay    = 20 * time.Millisecond
)

// exchangeReports periodically exchanges failure reports among the hosts of each
// domain until the load ends.
func (w *World) exchangeReports() {
	aggregators := make(map[string]*outlier.Aggregator)
	for i, h := range w.hosts {
		if !h.up || h.frozen {
			continue
		}
		if aggregators[h.Domain] == nil {
			aggregators[h.Domain] = outlier.NewAggregator()
		}
		aggregators[h.Domain].SetReports(w.now, strconv.Itoa(i), h.relay.FailureReports(w.now))
	}
	w.At(w.now+reportDelay, func() {
		for i, h := range w.hosts {
			if a := aggregators[h.Domain]; a != nil && h.up && !h.frozen {
				h.relay.SetFailureReports(w.now, a.ReportsOfOthers(w.now, strconv.Itoa(i)))
			}
		}
	})
	if w.now < w.stopAt {
		w.At(w.now+reportInterval, w.exchangeReports)
	}
}
