package emu

import (
	"strconv"
	"time"

	"toucangap/internal/sighting"
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
	boards := make(map[string]*sighting.Board)
	for i, h := range w.hosts {
		if !h.up || h.frozen {
			continue
		}
		if boards[h.Domain] == nil {
			boards[h.Domain] = sighting.NewBoard()
		}
		boards[h.Domain].Put(w.now, strconv.Itoa(i), h.relay.Sightings(w.now))
	}
	w.At(w.now+reportDelay, func() {
		for i, h := range w.hosts {
			if b := boards[h.Domain]; b != nil && h.up && !h.frozen {
				h.relay.Hear(w.now, b.Others(w.now, strconv.Itoa(i)))
			}
		}
	})
	if w.now < w.stopAt {
		w.At(w.now+reportInterval, w.exchangeReports)
	}
}
