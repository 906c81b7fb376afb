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

// settingsInterval is how often the settings file is looked at: it may change
// without a signal, and nothing in it is urgent.
const settingsInterval = 2 * time.Second

// WatchSettings reads the settings file again whenever it has changed, until the
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

// changeTime returns when the file was changed, 0 if it can't be told.
func modificationTime(path string) int64 {
	info, err := os.Stat(path)
	if err != nil {
		// A missing file is reported when it is read.
		return 0
	}
	return info.ModTime().UnixNano()
}

// Reload reads the settings file again and says in the log whether a change takes
// a restart. Seeds do not: they only matter at a start.
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
