package relayd

import (
	"log/slog"

	"toucangap/internal/event"
	"toucangap/internal/settings"
)

// Reload reads the settings file again. What it can't take over without a
// restart is named in the log.
func (d *Daemon) Reload(path string) {
	s, err := settings.LoadRelay(path)
	if err != nil {
		event.Log(d.logger, event.SettingsRefused, slog.String("error", err.Error()))
		return
	}
	event.Log(d.logger, event.SettingsReloaded, slog.Bool("changed", *s != *d.settings))
}
