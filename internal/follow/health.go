package follow

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"toucangap/platform"
)

// Outcome is what a call to the store came to.
type Outcome int

// The outcomes of calls.
const (
	// OutcomeNone means that no call has ended yet.
	OutcomeNone Outcome = iota
	OutcomeSucceeded
	// OutcomeSilent means that no answer came, or that it stopped arriving.
	OutcomeSilent
	// OutcomeRejected means that the store refused the call.
	OutcomeRejected
	// OutcomeUnreadable means that the store answered, but not in its format.
	OutcomeUnreadable
	// OutcomeOutdated means that the answer is of another incarnation of the store than
	// the one that the host waits for, or that the history is gone.
	OutcomeOutdated
)

// Health is what a Follower's calls to the store have come to.
type Health struct {
	// BegunAt is when the last step began, on the boot-time clock; 0 if there was none.
	BegunAt time.Duration
	// Running is set while that step is in progress.
	Running bool
	// Outcome and Err are those of the last step that ended.
	Outcome Outcome
	Err     error
}

// health records the Health for other goroutines.
type health struct {
	mu    sync.Mutex
	state Health
}

func (h *health) begin(now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state.BegunAt, h.state.Running = now, true
}

func (h *health) end(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state.Running, h.state.Outcome, h.state.Err = false, outcomeOf(err), err
}

// Health returns what the calls have come to. Like LastResponse it may be called from any
// goroutine.
func (f *Follower) Health() Health {
	f.health.mu.Lock()
	defer f.health.mu.Unlock()
	return f.health.state
}

// outcomeOf classifies the error of a step. An answer that ends too early counts as
// unreadable: it may be longer than the client reads.
func outcomeOf(err error) Outcome {
	var network net.Error
	switch {
	case err == nil:
		return OutcomeSucceeded
	case errors.Is(err, platform.ErrBusy):
		return OutcomeRejected
	case errors.Is(err, platform.ErrOutdated), errors.Is(err, platform.ErrCompacted), errors.Is(err, errRestored):
		return OutcomeOutdated
	case errors.Is(err, platform.ErrStalled), errors.Is(err, context.Canceled),
		errors.Is(err, context.DeadlineExceeded), errors.As(err, &network):
		return OutcomeSilent
	}
	return OutcomeUnreadable
}
