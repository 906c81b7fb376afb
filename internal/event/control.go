package event

import "log/slog"

// The events of the control area: operators' connections and requests.
const (
	AdminRefused ID = 7000 + iota
	AdminStarted
	AdminFailed
	EndpointMarked
)

var controlArea = Area{
	Name: "control",
	Definitions: []Definition{
		{AdminRefused, slog.LevelInfo, "operator connection refused", "Check the operator's certificate."},
		{AdminStarted, slog.LevelInfo, "admin listener started", "None."},
		{AdminFailed, slog.LevelError, "admin request failed", "See the error."},
		{EndpointMarked, slog.LevelInfo, "endpoint marked by an operator", "None."},
	},
}
