package relayd

import (
	"context"
	"log/slog"
	"os"
	"reflect"
	"time"

	"toucangap/internal/event"
	"toucangap/internal/settings"
)

// settingsInterval is how often the settings file is checked: it may change
// without a signal, and no setting is urgent.
const settingsInterval = 2 * time.Second

// WatchSettings reloads the settings file whenever it has changed, until the
// context ends.
func (d *Daemon) WatchSettings(ctx context.Context, path string) {
	last := modificationTime(path)
	for ctx.Err() == nil {
		sleep(ctx, settingsInterval)
		if now := modificationTime(path); now != last {
			last = now
			d.Reload(path)
		}
	}
}

// modificationTime returns the file's modification time, 0 if it is unknown.
func modificationTime(path string) int64 {
	info, err := os.Stat(path)
	if err != nil {
		// Reload reports a missing file.
		return 0
	}
	return info.ModTime().UnixNano()
}

// Reload reads the settings file again and logs whether a change requires a
// restart. Seeds do not: they are only used at startup.
func (d *Daemon) Reload(path string) {
	s, err := settings.LoadRelay(path)
	if err != nil {
		event.Log(d.logger, event.SettingsRefused, slog.String("error", err.Error()))
		return
	}
	same := *s
	same.Seeds = d.settings.Seeds
	event.Log(d.logger, event.SettingsReloaded,
		slog.Bool("changed", !reflect.DeepEqual(s, d.settings)),
		slog.Bool("takes_restart", !reflect.DeepEqual(&same, d.settings)))
}
