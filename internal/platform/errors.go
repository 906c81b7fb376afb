package platform

import (
	"fmt"

	"github.com/ansel1/merry/v2"
)

// The errors of the package, to be matched with errors.Is.
var (
	// ErrUnreachable means that no attempt of the call succeeded. CompareAndSwap
	// has written nothing; a lease call may have taken effect.
	ErrUnreachable = merry.Sentinel("platform unreachable")
	// ErrOutcomeUnknown means that CompareAndSwap sent a write and got no usable
	// response, so that it may or may not have taken effect.
	ErrOutcomeUnknown = merry.Sentinel("outcome of the write is unknown")
	// ErrConflict means that the key did not have the expected revision; the
	// error chain holds a *ConflictError.
	ErrConflict = merry.Sentinel("key does not have the expected revision")
	// ErrFenced means that a Guard of the write no longer holds.
	ErrFenced = merry.Sentinel("fencing token is out of date")
	// ErrBudgetExhausted means that the call-rate budget is empty; nothing was
	// sent.
	ErrBudgetExhausted = merry.Sentinel("call-rate budget exhausted")
	// ErrNotFound means that the key or lease does not exist.
	ErrNotFound = merry.Sentinel("not found on the platform")
	// ErrRejected means that the platform rejected the call as malformed or too
	// large; a retry would fail as well.
	ErrRejected = merry.Sentinel("platform rejected the call")
)

// The causes that are not exported.
var (
	errTimeout   = merry.Sentinel("call timed out")
	errCompacted = merry.Sentinel("revision has been compacted")
	errTooLarge  = merry.Sentinel("response is too large")
)

// ConflictError describes the entry that a write found instead of one at the
// expected revision.
type ConflictError struct {
	Key string
	// Current is the entry on the platform; nil if the key does not exist.
	Current *Entry
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Current == nil {
		return fmt.Sprintf("key %q does not exist", e.Key)
	}
	return fmt.Sprintf("key %q is at revision %d", e.Key, e.Current.ModRevision)
}

// Is makes every ConflictError an ErrConflict.
func (e *ConflictError) Is(target error) bool {
	return target == ErrConflict
}

// statusError is a response of the gateway other than 200 OK.
type statusError struct {
	status  int
	code    int
	message string
}

// Error implements error.
func (e *statusError) Error() string {
	return fmt.Sprintf("gateway returned status %d (code %d): %s", e.status, e.code, e.message)
}
