package emu

import (
	"strconv"
	"time"

	"toucangap/internal/sighting"
)

// exchangeInterval is the time between two exchanges, and exchangeDelay that
// until what was told is heard.
const (
	exchangeInterval = 100 * time.Millisecond
	exchangeDelay    = 20 * time.Millisecond
)

// exchange lets the hosts of each domain tell each other of endpoints, now and
// then until the load ends.
func (w *World) exchange() {
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
	w.At(w.now+exchangeDelay, func() {
		for i, h := range w.hosts {
			if b := boards[h.Domain]; b != nil && h.up && !h.frozen {
				h.relay.Hear(w.now, b.Others(w.now, strconv.Itoa(i)))
			}
		}
	})
	if w.now < w.stopAt {
		w.At(w.now+exchangeInterval, w.exchange)
	}
}
