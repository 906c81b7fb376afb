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
func (em *Emulator) exchangeReports() {
	aggregators := make(map[string]*outlier.Aggregator)
	for i, h := range em.hosts {
		if !h.up || h.paused {
			continue
		}
		if aggregators[h.Domain] == nil {
			aggregators[h.Domain] = outlier.NewAggregator()
		}
		aggregators[h.Domain].SetReports(em.now, strconv.Itoa(i), h.relay.FailureReports(em.now))
	}
	em.At(em.now+reportDelay, func() {
		for i, h := range em.hosts {
			if a := aggregators[h.Domain]; a != nil && h.up && !h.paused {
				h.relay.SetFailureReports(em.now, a.ReportsOfOthers(em.now, strconv.Itoa(i)))
			}
		}
	})
	if em.now < em.stopAt {
		em.At(em.now+reportInterval, em.exchangeReports)
	}
}
