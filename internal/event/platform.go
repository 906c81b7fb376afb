package event

import "log/slog"

// The events of the platform area: calls to the platform, watches and the host's
// registration.
const (
	PlatformUnreachable ID = 3000 + iota
	PlatformReachable
	PlatformWatchStarted
	PlatformWatchStopped
	PlatformValueMalformed
	HostRegistered
	HostLeaseExpired
	HostSuperseded
)

var platformArea = Area{
	Name: "platform",
	Definitions: []Definition{
		{PlatformUnreachable, slog.LevelInfo, "platform unreachable", "Check the platform's addresses and health; hosts continue with their current bundle."},
		{PlatformReachable, slog.LevelInfo, "platform reachable again", "None."},
		{PlatformWatchStarted, slog.LevelInfo, "watching the platform for the failure domain", "None."},
		{PlatformWatchStopped, slog.LevelInfo, "stopped watching the platform for the failure domain", "None."},
		{PlatformValueMalformed, slog.LevelWarn, "malformed value on the platform ignored", "Find out what wrote the key; write it again with the operators' command."},
		{HostRegistered, slog.LevelInfo, "host registered on the platform", "None."},
		{HostLeaseExpired, slog.LevelWarn, "lease of the host's registration expired", "None if the platform was unreachable; otherwise check whether the host was paused. It registers again by itself."},
		{HostSuperseded, slog.LevelError, "another process has registered under the host's name", "Stop one of the two processes or give it another name."},
	},
}
