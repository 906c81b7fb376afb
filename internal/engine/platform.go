package engine

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"toucangap/internal/adminapi"
	"toucangap/internal/config"
	"toucangap/internal/event"
	"toucangap/internal/platform"
	"toucangap/internal/rollout"
)

// The states of the platform in the status.
const (
	platformUnused      = "unused"
	platformReachable   = "reachable"
	platformUnreachable = "unreachable"
)

// rolePeriod is how often the host checks whether it has to watch the platform.
const rolePeriod = time.Second

// openPlatform creates the client of the platform, which is the key-value service,
// and what depends on it, if the settings contain addresses of the service.
func (e *Engine) openPlatform() error {
	s := e.settings.Platform
	e.setPlatformState(platformUnused)
	if len(s.Addresses) == 0 {
		return nil
	}
	client, err := platform.New(platform.Options{
		Addresses: s.Addresses,
		Prefix:    s.Prefix,
		Timeout:   s.Timeout,
		Clock:     platform.SystemClock{},
		Rand:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	if err != nil {
		return err
	}
	e.setPlatformState(platformUnreachable)
	e.client = client
	e.runner = rollout.NewRunner(client, e.logger)
	e.marks = rollout.NewMarkStore(client)
	e.registrar = rollout.NewRegistrar(client, e.logger, e.self)
	e.background = append(e.background, e.runPlatform, e.receivePlatformUpdates, e.runRegistrar)
	return nil
}

func (e *Engine) runPlatform(ctx context.Context) error {
	e.runner.Run(ctx)
	return nil
}

// runRegistrar keeps the host registered on the platform. It returns an error,
// which ends this process, only if a newer process has the same name.
func (e *Engine) runRegistrar(ctx context.Context) error {
	err := e.registrar.Run(ctx)
	if errors.Is(err, rollout.ErrSuperseded) {
		return err
	}
	return nil
}

// receivePlatformUpdates passes the runner's updates to the control goroutine.
func (e *Engine) receivePlatformUpdates(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case u, open := <-e.runner.Updates():
			if !open {
				return nil
			}
			e.post(ctx, platformUpdate{u})
		}
	}
}

// platformUpdate is an update from the platform.
type platformUpdate struct {
	rollout.Update
}

func (u platformUpdate) apply(e *Engine, now time.Duration) {
	if err := e.follower.Observe(time.Now(), u.Update); err != nil {
		e.logBundleRefused("platform", err)
	}
	switch u.Kind {
	case rollout.UpdateReachable:
		e.setPlatformState(platformReachable)
	case rollout.UpdateUnreachable:
		e.setPlatformState(platformUnreachable)
	case rollout.UpdateMark:
		e.setMark(now, u.Mark)
	case rollout.UpdateHosts, rollout.UpdateHost:
		e.members.SetPlatformHosts(u.Hosts)
	}
}

// updateRole determines whether this host watches the platform for its failure
// domain and tells the runner.
func (e *Engine) updateRole(now time.Duration) {
	if e.runner == nil || now-e.roleUpdatedAt < rolePeriod {
		return
	}
	e.roleUpdatedAt = now
	lost := *e.platform.Load() == platformUnreachable && now > platformStartGrace
	e.control.SetPlatformLost(lost)
	candidates := []rollout.Candidate{{
		Name:                e.self.Name,
		Domain:              e.self.Domain,
		State:               e.control.State(),
		PlatformUnreachable: lost,
	}}
	peersReachable := false
	for _, h := range e.members.Hosts() {
		if h.Name == e.self.Name || h.State == config.HostDead || h.State == config.HostLeft {
			continue
		}
		candidates = append(candidates, rollout.Candidate{
			Name:                h.Name,
			Domain:              h.Domain,
			State:               h.State,
			PlatformUnreachable: e.platformLost[h.Name],
		})
		peersReachable = true
	}
	e.runner.SetRole(rollout.Role{
		Watcher:        rollout.IsWatcher(candidates, e.self.Name, e.self.Domain),
		PeersReachable: peersReachable,
	})
}

// platformStartGrace is the time after the start in which an unreachable
// platform does not yet count as lost.
const platformStartGrace = 5 * time.Second

// The timeout and the retry delay for writing a mark to the platform.
const (
	markTimeout = 5 * time.Second
	markRetry   = 10 * time.Second
)

// storeMark writes an operator's mark to the platform and retries until it is
// stored or the context ends, so that the mark outlives all hosts. Peers get it
// from control.
func (e *Engine) storeMark(ctx context.Context, m rollout.Mark, operation rollout.OperationID) {
	for ctx.Err() == nil {
		attempt, cancel := context.WithTimeout(ctx, markTimeout)
		stored, err := e.marks.Set(attempt, m.MarkKey, m.Draining, m.Revision-1, operation)
		cancel()
		if err == nil {
			e.post(ctx, platformUpdate{rollout.Update{Kind: rollout.UpdateMark, Mark: stored}})
			return
		}
		event.Log(e.logger, event.MarkNotStored, slog.String("error", err.Error()))
		if platform.Sleep(ctx, e.client.Clock(), markRetry) != nil {
			return
		}
	}
}

// markOperation returns a unique ID for one mark command.
func markOperation(host string, m adminapi.MarkCommand, at time.Time) rollout.OperationID {
	return rollout.OperationID(host + "/" + m.Service + "/" + m.Endpoint + "/" + at.UTC().Format(time.RFC3339Nano))
}
