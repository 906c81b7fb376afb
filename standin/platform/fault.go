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
	// FaultOutage closes connections without a response. Open watches end unless
	// Share is set.
	FaultOutage FaultKind = "outage"
	// FaultSilent accepts calls but never responds; open watches send nothing.
	FaultSilent FaultKind = "silent"
	// FaultSlow delays the execution of calls by DelayMs.
	FaultSlow FaultKind = "slow"
	// FaultLostResponse closes the connection instead of responding after a
	// transaction has succeeded or a lease grant was handled.
	FaultLostResponse FaultKind = "lost"
	// FaultErrors responds with HTTP status 503 without running the call.
	FaultErrors FaultKind = "errors"
	// FaultStaleReads serves reads without a revision, and watches, as of
	// RevisionsBack revisions before the fault began; transactions use the
	// current revision.
	FaultStaleReads FaultKind = "past"
	// FaultExpireLeases immediately expires the lease with the ID Lease, or all
	// leases if Lease is 0.
	FaultExpireLeases FaultKind = "lapse"
	// FaultCompact immediately compacts the history up to the current revision.
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
	// Lease is the ID of the lease that FaultExpireLeases expires; 0 means all.
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

// activeFault is a fault in effect.
type activeFault struct {
	Fault
	// ends is the time at which the fault ends; zero means when it is cleared.
	ends time.Time
	// revision is the revision that FaultStaleReads serves.
	revision int64
	// triggered is the number of calls affected so far.
	triggered int
}

// faults holds the active faults, at most one of each kind.
type faults struct {
	mu     sync.Mutex
	rand   *rand.Rand
	active map[FaultKind]*activeFault
	// changed is closed and replaced when a fault begins or faults are cleared.
	changed chan struct{}
}

func newFaults(seed uint64) *faults {
	return &faults{
		rand:    rand.New(rand.NewPCG(seed, 0)),
		active:  make(map[FaultKind]*activeFault),
		changed: make(chan struct{}),
	}
}

// begin starts a fault, replacing any of the same kind. Revision is the store's
// current one.
func (f *faults) begin(fault Fault, revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := &activeFault{Fault: fault, revision: max(1, revision-fault.RevisionsBack)}
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

// triggers reports whether the fault affects this call and, if so, counts the
// call towards Count.
func (f *faults) triggers(kind FaultKind) (activeFault, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := f.activeOf(kind)
	if a == nil {
		return activeFault{}, false
	}
	if a.Share > 0 && f.rand.Float64() >= a.Share {
		return activeFault{}, false
	}
	a.triggered++
	return *a, true
}

// activeOf returns the fault if it is active, and removes it if it has ended.
func (f *faults) activeOf(kind FaultKind) *activeFault {
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
func (f *faults) peek(kind FaultKind) (activeFault, bool, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := f.activeOf(kind)
	if a == nil {
		return activeFault{}, false, f.changed
	}
	return *a, true, f.changed
}

// list returns the active faults in a fixed order.
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
