package relayd

import (
	"sync"
	"time"
)

// storeSource is the name of the store among the sources of the host's state; the others
// are hosts.
const storeSource = "store"

// sourceState is the source that the syncer uses. The times are on the boot-time clock.
type sourceState struct {
	name  string
	since time.Duration
	// updatedAt is when another host's last message came, 0 if none has.
	updatedAt time.Duration
}

// sourceStatus records the source for other goroutines.
type sourceStatus struct {
	mu    sync.Mutex
	state sourceState
}

// set records that the syncer uses a source from now on.
func (s *sourceStatus) set(name string, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = sourceState{name: name, since: now}
}

// update records that a message of the source has come.
func (s *sourceStatus) update(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.updatedAt = now
}

func (s *sourceStatus) get() sourceState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}
