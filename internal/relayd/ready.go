package relayd

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"toucangap/internal/event"
	"toucangap/internal/follow"
	"toucangap/platform"
)

// readyTimeout bounds a question whether the host is ready.
const readyTimeout = 2 * time.Second

// readiness answers whether the host takes callers' packets.
type readiness struct {
	control *control
	traffic *traffic
	host    follow.Host
	clock   *clock
	rest    rest
	logger  *slog.Logger
	// mu guards rest.
	mu       sync.Mutex
	stopping atomic.Bool
	last     atomic.Bool
	asked    atomic.Bool
}

// ready reports whether the host serves at least one route, and why not.
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
	return true, ""
}

// resting reports whether the host should leave its callers to others because it
// can't keep up. It stays if too few others would be left.
func (r *readiness) resting(ctx context.Context) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rest.look(r.clock.Steady(), r.traffic.behind.Load()) && r.control.othersServe(ctx, r.host)
}

// ServeHTTP implements http.Handler.
func (r *readiness) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	ready, reason := r.ready()
	if ready && r.resting(request.Context()) {
		ready, reason = false, "behind"
	}
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

// serve answers until the context ends.
func (r *readiness) serve(ctx context.Context, listener net.Listener) error {
	mux := http.NewServeMux()
	mux.Handle(platform.ReadinessCall, r)
	server := http.Server{Handler: mux, ReadTimeout: readyTimeout, WriteTimeout: readyTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return merry.Prepend(err, "answer whether the host is ready")
}
