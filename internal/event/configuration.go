package event

import "log/slog"

// The events of the configuration area: bundles and marks.
const (
	BundleInForce ID = 2000 + iota
	BundleRefused
	NoBundle
	MarkNotStored
)

var configurationArea = Area{
	Name: "configuration",
	Definitions: []Definition{
		{BundleInForce, slog.LevelInfo, "bundle version in force", "None."},
		{BundleRefused, slog.LevelWarn, "bundle refused", "See the error; the sender has a bundle that this host does not trust."},
		{NoBundle, slog.LevelWarn, "no bundle in force and no source offers one", "Restore the connection to the platform or to a host that has a bundle; until then nothing is served."},
		{MarkNotStored, slog.LevelWarn, "operator's mark not stored on the platform yet", "None while the platform is unreachable; the peers have the mark, and it is stored later."},
	},
}
