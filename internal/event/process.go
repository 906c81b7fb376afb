package event

import "log/slog"

// The events of the process area: start, stop and the host's own state.
const (
	ProcessStarted ID = 1000 + iota
	ProcessStopped
	SelfStateChanged
	ShutdownStarted
	ShutdownIncomplete
)

var processArea = Area{
	Name: "process",
	Definitions: []Definition{
		{ProcessStarted, slog.LevelInfo, "process started", "None."},
		{ProcessStopped, slog.LevelInfo, "process stopped", "None."},
		{SelfStateChanged, slog.LevelInfo, "this host changed state", "None."},
		{ShutdownStarted, slog.LevelInfo, "graceful shutdown started", "None."},
		{ShutdownIncomplete, slog.LevelWarn, "graceful shutdown ended before all peers confirmed", "Check the links to the peers; flows that were not at their default endpoint may have been lost."},
	},
}
