package relayd

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"toucangap/internal/event"
	"toucangap/platform"
)

// readyTimeout bounds a readiness request.
const readyTimeout = 2 * time.Second

// readiness answers readiness requests of routers.
type readiness struct {
	control *control
	logger  *slog.Logger
	// stale returns why the host's state is old, empty if it is not.
	stale    func() staleReason
	stopping atomic.Bool
	// last is the last answer; asked means that there has been one.
	last  atomic.Bool
	asked atomic.Bool
}

// ready reports whether the host serves at least one route, is not shutting down and
// applies what it learns, and the reason if not. A host that learns nothing, as in an
// outage of the store, stays ready: the others know no more. Routers use all hosts of a
// domain if most are not ready, so that a cause that stops all hosts takes none away.
func (r *readiness) ready() (bool, string) {
	if r.stopping.Load() {
		return false, "stopping"
	}
	view := r.control.view.Load()
	if view == nil || view.Configuration == nil {
		return false, "no configuration"
	}
	if !view.Serves() {
		return false, "no endpoint"
	}
	if r.stale() == reasonApplyingBusy {
		return false, "state is old"
	}
	return true, ""
}

// ServeHTTP implements http.Handler. The status is 200 if the host is ready, else
// 503. Changes are logged.
func (r *readiness) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	ready, reason := r.ready()
	changed := r.last.Swap(ready) != ready
	if first := !r.asked.Swap(true); changed || first {
		if ready {
			event.Log(r.logger, event.RelayReady, slog.Duration("view_age", r.control.age()))
		} else {
			event.Log(r.logger, event.RelayUnready, slog.String("reason", reason))
		}
	}
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serve answers requests until the context ends.
func (r *readiness) serve(ctx context.Context, listener net.Listener) error {
	mux := http.NewServeMux()
	mux.Handle(platform.ReadinessPattern, r)
	server := http.Server{Handler: mux, ReadTimeout: readyTimeout, WriteTimeout: readyTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return merry.Prepend(err, "serve readiness requests")
}
