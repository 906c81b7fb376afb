package platform

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// FaultKind is the kind of an injected fault.
type FaultKind string

// The fault kinds.
const (
	// FaultOutage closes connections without a response.
	FaultOutage FaultKind = "outage"
	// FaultSilent accepts calls but never responds; open watches send nothing.
	FaultSilent FaultKind = "silent"
	// FaultSlow delays the execution of calls by DelayMs.
	FaultSlow FaultKind = "slow"
	// FaultLostResponse closes the connection after a write has taken effect.
	FaultLostResponse FaultKind = "lost"
	// FaultErrors responds with status 503 without running the call.
	FaultErrors FaultKind = "errors"
	// FaultStaleReads serves stale reads and watches, as of Back revisions before
	// the fault began; transactions use the current revision.
	FaultStaleReads FaultKind = "past"
	// FaultExpireLeases expires the lease with the ID Lease, or all, immediately.
	FaultExpireLeases FaultKind = "lapse"
	// FaultCompact compacts the history immediately.
	FaultCompact FaultKind = "compact"
	// FaultClear ends all faults.
	FaultClear FaultKind = "clear"
)

// Fault is a fault injection command, as posted to PathFault.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// ForMs is the duration of the fault; 0 means until it is cleared.
	ForMs int64 `json:"for_ms,omitempty"`
	// Count is the maximum number of affected calls; 0 means no limit.
	Count int `json:"count,omitempty"`
	// Share is the fraction of affected calls, from 0 to 1; 0 means all.
	Share float64 `json:"share,omitempty"`
	// DelayMs is the delay for FaultSlow.
	DelayMs int64 `json:"delay_ms,omitempty"`
	// RevisionsBack is the number of revisions that FaultStaleReads goes back.
	RevisionsBack int64 `json:"back,omitempty"`
	// Lease is the ID of the lease that FaultExpireLeases expires.
	Lease int64 `json:"lease,omitempty"`
}

// check validates a command.
func (f Fault) check() error {
	switch f.Kind {
	case FaultOutage, FaultSilent, FaultSlow, FaultLostResponse, FaultErrors, FaultStaleReads, FaultExpireLeases, FaultCompact, FaultClear:
	default:
		return fmt.Errorf("unknown fault kind %q", f.Kind)
	}
	if f.ForMs < 0 || f.Count < 0 || f.DelayMs < 0 || f.RevisionsBack < 0 {
		return fmt.Errorf("fault %q: negative field", f.Kind)
	}
	if f.Share < 0 || f.Share > 1 {
		return fmt.Errorf("fault %q: share out of range [0, 1]", f.Kind)
	}
	return nil
}

// active is an active fault.
type active struct {
	Fault
	// ends is the end time; zero means none.
	ends time.Time
	// revision is the revision that FaultStaleReads serves.
	revision  int64
	triggered int
}

// faults holds the active faults, at most one of each kind.
type faults struct {
	mu     sync.Mutex
	rand   *rand.Rand
	active map[FaultKind]*active
	// changed is closed and replaced when a fault begins or faults are cleared.
	changed chan struct{}
}

func newFaults(seed uint64) *faults {
	return &faults{
		rand:    rand.New(rand.NewPCG(seed, 0)),
		active:  make(map[FaultKind]*active),
		changed: make(chan struct{}),
	}
}

// begin starts a fault, replacing any of the same kind.
func (f *faults) begin(fault Fault, revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := &active{Fault: fault, revision: max(1, revision-fault.RevisionsBack)}
	if fault.ForMs > 0 {
		a.ends = time.Now().Add(time.Duration(fault.ForMs) * time.Millisecond)
	}
	f.active[fault.Kind] = a
	f.notify()
}

// clear ends all faults.
func (f *faults) clear() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.active)
	f.notify()
}

func (f *faults) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// triggers reports whether the fault affects this call, and counts the call.
func (f *faults) triggers(kind FaultKind) (active, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := f.activeOf(kind)
	if a == nil {
		return active{}, false
	}
	if a.Share > 0 && f.rand.Float64() >= a.Share {
		return active{}, false
	}
	a.triggered++
	return *a, true
}

// activeOf returns the fault if it is active, and removes it if it has ended.
func (f *faults) activeOf(kind FaultKind) *active {
	a := f.active[kind]
	if a == nil {
		return nil
	}
	over := !a.ends.IsZero() && !time.Now().Before(a.ends)
	if over || (a.Count > 0 && a.triggered >= a.Count) {
		delete(f.active, kind)
		return nil
	}
	return a
}

// peek returns whether the fault is active, without counting a call, and a
// channel that is closed when faults change.
func (f *faults) peek(kind FaultKind) (active, bool, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := f.activeOf(kind)
	if a == nil {
		return active{}, false, f.changed
	}
	return *a, true, f.changed
}

// list returns the active faults.
func (f *faults) list() []Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Fault
	for _, kind := range []FaultKind{FaultOutage, FaultSilent, FaultSlow, FaultLostResponse, FaultErrors, FaultStaleReads} {
		if a := f.activeOf(kind); a != nil {
			out = append(out, a.Fault)
		}
	}
	return out
}
