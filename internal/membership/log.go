package membership

import (
	"log/slog"

	"toucangap/internal/event"
)

// Log writes an event to the log, except for changes of the incarnation alone.
func Log(logger *slog.Logger, e Event) {
	switch e := e.(type) {
	case HostChanged:
		logHost(logger, e)
	case Suspected:
		event.Log(logger, event.HostSuspected, slog.String("host", e.Host), slog.Uint64("incarnation", e.Incarnation))
	case SuspicionCleared:
		event.Log(logger, event.HostSuspicionCleared, slog.String("host", e.Host), slog.Uint64("incarnation", e.Incarnation))
	case Refuted:
		event.Log(logger, event.HostIncarnationRaised, slog.Uint64("incarnation", e.Incarnation))
	case PresumedDead:
		event.Log(logger, event.HostPresumedDead, slog.String("teller", e.Reporter), slog.Uint64("incarnation", e.Incarnation))
	case Paused:
		event.Log(logger, event.HostPaused, slog.Duration("gap", e.Gap))
	}
}

func logHost(logger *slog.Logger, e HostChanged) {
	if e.Host.State == e.Previous.State && sameDescription(e.Host, e.Previous) {
		return
	}
	event.Log(logger, event.HostStateChanged,
		slog.String("host", e.Host.Name),
		slog.String("domain", e.Host.Domain),
		slog.String("state", e.Host.State.String()),
		slog.String("previous", e.Previous.State.String()),
		slog.Uint64("incarnation", e.Host.Incarnation))
}
