package event

import "log/slog"

// The events of the membership area: states and probes of hosts, and pauses of the
// process.
const (
	HostStateChanged ID = 4000 + iota
	HostSuspected
	HostSuspicionCleared
	HostIncarnationRaised
	HostPresumedDead
	HostPaused
	ProbeRefused
	ProbeSocketFailed
)

var membershipArea = Area{
	Name: "membership",
	Definitions: []Definition{
		{HostStateChanged, slog.LevelInfo, "host changed state", "None if planned; otherwise find out why the host failed."},
		{HostSuspected, slog.LevelInfo, "host suspected to be dead", "None; if it happens often, check for packet loss or an overloaded host."},
		{HostSuspicionCleared, slog.LevelInfo, "suspected host is alive", "None."},
		{HostIncarnationRaised, slog.LevelInfo, "this host raised its incarnation", "None after a restart; otherwise peers suspected this host: check for packet loss or overload here."},
		{HostPresumedDead, slog.LevelWarn, "a peer confirmed this host dead", "Check the network between the two hosts, or why this host did not run."},
		{HostPaused, slog.LevelWarn, "this process was paused", "Check for overload, suspension or migration of the machine."},
		{ProbeRefused, slog.LevelWarn, "malformed or foreign probe ignored", "Check what sends to the probe address, and that all hosts share one key."},
		{ProbeSocketFailed, slog.LevelError, "probe socket failed", "Check the probe address and the network interface; peers consider this host dead while this lasts."},
	},
}
