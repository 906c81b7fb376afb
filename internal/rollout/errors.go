package rollout

import (
	"fmt"

	"github.com/ansel1/merry/v2"

	"toucangap/internal/config"
)

// The errors of the package; test for them with errors.Is.
var (
	// ErrNoBundle means that no bundle has been accepted yet.
	ErrNoBundle = merry.Sentinel("no bundle accepted yet")
	// ErrNotProposed means that there is no bundle of that version.
	ErrNotProposed = merry.Sentinel("no bundle proposed under this version")
	// ErrNotHigher means that the version is not above the one it replaces.
	ErrNotHigher = merry.Sentinel("version is not higher than the one it replaces")
	// ErrConflict means that another version was accepted first; the error
	// chain holds a *ConflictError.
	ErrConflict = merry.Sentinel("another version was accepted first")
	// ErrVersionTaken means that another bundle has the version; the error
	// chain holds a *VersionTakenError.
	ErrVersionTaken = merry.Sentinel("another bundle has this version")
	// ErrOperationReused means that the operation ID was used for another
	// version.
	ErrOperationReused = merry.Sentinel("operation ID was used before")
	// ErrBehind means that the platform holds a lower version than the one to
	// replace, for instance after a restore from a backup.
	ErrBehind = merry.Sentinel("platform holds an older version than the one to replace")
	// ErrTooLarge means that a bundle exceeds MaxBundleBytes.
	ErrTooLarge = merry.Sentinel("bundle exceeds the platform's value limit")
	// ErrWrongBundle means that a bundle does not match the expected version or
	// digest.
	ErrWrongBundle = merry.Sentinel("bundle does not match the expected version or digest")
	// ErrSuperseded means that a newer incarnation of the host has registered.
	ErrSuperseded = merry.Sentinel("a newer incarnation of the host has registered")
)

// ConflictError describes the acceptance that won the race to replace a
// version.
type ConflictError struct {
	// Replaces is the version that was to be replaced.
	Replaces config.Version
	// Winner is the acceptance that is in force now.
	Winner Acceptance
	// Signed is the winner's signed bundle, to show what differs; nil if it
	// could not be read.
	Signed []byte
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("version %d is no longer in force: version %d was accepted by operation %s",
		e.Replaces, e.Winner.Version, e.Winner.Operation)
}

// Is makes every *ConflictError match ErrConflict.
func (e *ConflictError) Is(target error) bool {
	return target == ErrConflict
}

// VersionTakenError describes the bundle that has the version.
type VersionTakenError struct {
	Ref Ref
	// Signed is the bundle that has the version.
	Signed []byte
}

func (e *VersionTakenError) Error() string {
	return fmt.Sprintf("version %d belongs to another bundle with digest %s", e.Ref.Version, e.Ref.Digest)
}

// Is makes every *VersionTakenError match ErrVersionTaken.
func (e *VersionTakenError) Is(target error) bool {
	return target == ErrVersionTaken
}
