package relayd

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"toucangap/internal/catalog"
	"toucangap/internal/event"
)

// stalenessInterval is the time between two checks of the state's age.
const stalenessInterval = 250 * time.Millisecond

// stalenessMonitor reports when the host's state of the store is older than the bound on
// changes, and why, and interrupts a source that does not make it current. It waits for no
// other goroutine, so that none can stop it.
type stalenessMonitor struct {
	syncer   *syncer
	detector stalenessDetector
	// current is the detector's reason, for other goroutines.
	current atomic.Value
	// times is how often the state has become old.
	times atomic.Int64
	// interruptions is how often a source was interrupted.
	interruptions atomic.Int64
}

// newStalenessMonitor returns a monitor of the syncer's host, which must have changes in
// force within the bound.
func newStalenessMonitor(s *syncer, bound time.Duration) *stalenessMonitor {
	m := &stalenessMonitor{syncer: s, detector: stalenessDetector{
		bound: bound, timings: s.timings, transferLimit: maxStaleTransfer,
	}}
	m.current.Store(staleReason(""))
	return m
}

// run checks the state until the context ends.
func (m *stalenessMonitor) run(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, stalenessInterval)
		m.check()
	}
}

// reason returns why the state is old, empty if it is not. It may be called from any
// goroutine.
func (m *stalenessMonitor) reason() staleReason { return m.current.Load().(staleReason) }

// old returns 1 while the state is old, else 0.
func (m *stalenessMonitor) old() int64 {
	if m.reason() == "" {
		return 0
	}
	return 1
}

func (m *stalenessMonitor) snapshot() stateSnapshot {
	s := stateSnapshot{
		asOf:       time.Duration(m.syncer.control.asOf.Load()),
		source:     m.syncer.source.get(),
		store:      m.syncer.follower.Health(),
		answeredAt: m.syncer.follower.LastResponse(),
	}
	if a := m.syncer.attempt.Load(); a != nil {
		s.attemptAt, s.receivedAt = a.begunAt, max(time.Duration(a.receivedAt.Load()), s.source.updatedAt)
	}
	s.task, s.key = m.syncer.control.busy()
	// No time of the snapshot is later than this.
	s.now = m.syncer.clock.BootTime()
	return s
}

func (m *stalenessMonitor) check() {
	s := m.snapshot()
	wasOld := m.detector.reported != ""
	switch m.detector.update(&s) {
	case staleBegun:
		if !wasOld {
			m.times.Add(1)
		}
		event.Log(m.syncer.logger, event.StateOld, m.attrs(&s)...)
	case staleEnded:
		reason, oldFor := m.detector.ended(s.now)
		event.Log(m.syncer.logger, event.StateCurrent, slog.String("reason", string(reason)),
			slog.Duration("old_for", oldFor), slog.Duration("view_age", s.age()))
	}
	m.current.Store(m.detector.reason)
	if m.detector.interrupts(&s) {
		m.interruptions.Add(1)
		event.Log(m.syncer.logger, event.SourceInterrupted, append(m.attrs(&s), slog.Duration("attempt_for", s.now-s.attemptAt))...)
		m.syncer.interrupt()
	}
}

// attrs returns what distinguishes the reasons for an old state. Times that are unknown
// are counted from the start of the process.
func (m *stalenessMonitor) attrs(s *stateSnapshot) []slog.Attr {
	var version uint64
	if v := m.syncer.control.view.Load(); v != nil && v.Configuration != nil {
		version = v.Configuration.Version
	}
	var position catalog.Position
	if p := m.syncer.control.position.Load(); p != nil {
		position = *p
	}
	storeError := ""
	if s.store.Err != nil {
		storeError = s.store.Err.Error()
	}
	busyWith := s.task.name
	if s.key != "" {
		busyWith += " " + s.key
	}
	return []slog.Attr{
		slog.String("reason", string(m.detector.reason)),
		slog.Duration("view_age", s.age()),
		slog.Uint64("version", version),
		slog.Uint64("incarnation", position.Incarnation),
		slog.Uint64("revision", position.Revision),
		slog.String("source", s.source.name),
		slog.Duration("source_for", s.now-s.source.since),
		slog.Duration("source_updated", s.now-max(s.source.updatedAt, s.source.since)),
		slog.Duration("store_answered", s.now-s.answeredAt),
		slog.Duration("store_called", s.now-s.store.BegunAt),
		slog.Bool("store_call_waits", s.store.Running),
		slog.String("store_error", storeError),
		slog.Duration("busy_for", s.busyFor()),
		slog.String("busy_with", busyWith),
	}
}
