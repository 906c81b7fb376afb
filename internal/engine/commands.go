package engine

import (
	"context"
	"log/slog"
	"time"

	"toucangap/internal/adminapi"
	"toucangap/internal/event"
	"toucangap/internal/rollout"
	"toucangap/internal/steer"
)

// Mark drains or undrains an endpoint on all hosts. A mark without a revision
// gets the next one. It fails with ErrUnknownService, ErrUnknownEndpoint or
// ErrStopping, or with the context's error.
func (e *Engine) Mark(ctx context.Context, m adminapi.MarkCommand) (adminapi.Accepted, error) {
	return runQuery(ctx, e, func(e *Engine, now time.Duration) (adminapi.Accepted, error) {
		key, err := e.endpointKey(m.Service, m.Endpoint)
		if err != nil {
			return adminapi.Accepted{}, err
		}
		revision := m.Revision
		if revision == 0 {
			revision = e.control.Mark(key).Revision + 1
		}
		mark := rollout.Mark{
			MarkKey:  rollout.MarkKey{Service: key.Service, Endpoint: key.Endpoint},
			Draining: m.Draining,
			Revision: revision,
		}
		e.setMark(now, mark)
		if e.marks != nil {
			go e.storeMark(e.context, mark, markOperation(e.self.Name, m, time.Now()))
		}
		return adminapi.Accepted{Message: "endpoint " + m.Endpoint + " marked"}, nil
	})
}

// setMark gives a mark to control, and logs it if it is newer than the known one.
func (e *Engine) setMark(now time.Duration, m rollout.Mark) {
	if !e.control.SetMark(now, m) {
		return
	}
	event.Log(e.logger, event.EndpointMarked,
		slog.Uint64("service", uint64(m.Service)),
		slog.Uint64("endpoint", uint64(m.Endpoint)),
		slog.Bool("draining", m.Draining),
		slog.Uint64("revision", m.Revision))
}

// endpointKey returns the key of the named endpoint of the named service. It
// fails with ErrUnknownService or ErrUnknownEndpoint.
func (e *Engine) endpointKey(service, endpoint string) (steer.EndpointKey, error) {
	b := e.control.Bundle()
	if b == nil {
		return steer.EndpointKey{}, ErrUnknownService
	}
	for _, s := range b.Services {
		if s.Name != service {
			continue
		}
		for _, ep := range s.Endpoints {
			if ep.Name == endpoint {
				return steer.EndpointKey{Service: s.ID, Endpoint: ep.ID}, nil
			}
		}
		return steer.EndpointKey{}, ErrUnknownEndpoint
	}
	return steer.EndpointKey{}, ErrUnknownService
}

// Stop starts a graceful shutdown and does not wait for its end.
func (e *Engine) Stop(ctx context.Context) (adminapi.Accepted, error) {
	return runQuery(ctx, e, func(e *Engine, now time.Duration) (adminapi.Accepted, error) {
		e.control.Leave(now)
		event.Log(e.logger, event.ShutdownStarted, slog.String("host", e.self.Name))
		return adminapi.Accepted{Message: "stopping " + e.self.Name}, nil
	})
}

// setPlatformState stores the platform's state for the status.
func (e *Engine) setPlatformState(state string) {
	e.platform.Store(&state)
}
