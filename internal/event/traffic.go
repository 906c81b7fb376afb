package event

import "log/slog"

// The events of the traffic area: flows, reading packets and replies to callers.
const (
	FlowEnded ID = 6000 + iota
	TrafficStarted
	TrafficStopped
	TrafficReadFailed
	ReplyFailed
)

var trafficArea = Area{
	Name: "traffic",
	Definitions: []Definition{
		{FlowEnded, slog.LevelInfo, "flow ended by the system", "See the reason; many for one endpoint indicate a fault on its network path."},
		{TrafficStarted, slog.LevelInfo, "packet processing started", "None."},
		{TrafficStopped, slog.LevelInfo, "packet processing stopped", "None if a shutdown was requested."},
		{TrafficReadFailed, slog.LevelError, "cannot read packets", "See the error; check the host's network and its resource limits. Reading is retried."},
		{ReplyFailed, slog.LevelWarn, "cannot build a reply to a caller", "See the error; the caller retries."},
	},
}
