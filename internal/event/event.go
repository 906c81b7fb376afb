// Package event is the catalog of numbered log events. Each part of the system has
// its definitions here and logs only through this package, so that an event has
// the same number, level and meaning wherever it is logged.
package event

import (
	"context"
	"log/slog"
)

// ID is the number of an event. Once released, its meaning never changes.
type ID int

// Definition describes one event of the catalog.
type Definition struct {
	ID    ID
	Level slog.Level
	// Text is the log message.
	Text string
	// Action says what the operator should do.
	Action string
}

// Area groups the events of one part of the system.
type Area struct {
	Name        string
	Definitions []Definition
}

// Areas returns the whole catalog in ascending order of the events' numbers.
func Areas() []Area {
	return []Area{
		processArea,
		configurationArea,
		platformArea,
		membershipArea,
		peerArea,
		trafficArea,
		controlArea,
		relayArea,
		followerArea,
	}
}

// definitions indexes the catalog by number.
var definitions = index()

func index() map[ID]Definition {
	out := make(map[ID]Definition)
	for _, area := range Areas() {
		for _, d := range area.Definitions {
			out[d.ID] = d
		}
	}
	return out
}

// Log writes the event with its number under the key "event", followed by the
// attributes. A number without a definition is logged at error level, since it is a
// bug.
func Log(logger *slog.Logger, id ID, attrs ...slog.Attr) {
	d, ok := definitions[id]
	if !ok {
		d = Definition{ID: id, Level: slog.LevelError, Text: "event missing from the catalogue"}
	}
	all := append([]slog.Attr{slog.Int("event", int(id))}, attrs...)
	logger.LogAttrs(context.Background(), d.Level, d.Text, all...)
}
