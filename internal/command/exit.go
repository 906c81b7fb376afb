package command

import (
	"errors"
	"fmt"

	"github.com/ansel1/merry/v2"

	"toucangap/internal/finding"
)

// The exit codes.
const (
	ExitOK       = 0
	ExitFailure  = 1
	ExitUsage    = 2
	ExitFindings = 3
	// ExitConflict means that another version is in force than the one to be
	// replaced, or that a different bundle has the proposed version.
	ExitConflict = 4
)

// ErrVersionTaken means that a different bundle has the proposed version.
var ErrVersionTaken = merry.Sentinel("a different bundle has this version")

// UsageError is an error in the command line.
type UsageError struct {
	Problem string
}

// Error implements error.
func (e *UsageError) Error() string {
	return e.Problem
}

// Usagef returns a UsageError.
func Usagef(format string, args ...any) error {
	return &UsageError{fmt.Sprintf(format, args...)}
}

// ConflictError means that the version in force is not the one that was to be
// replaced.
type ConflictError struct {
	// Wanted is the version that was to be put in force, Current the one that is.
	Wanted  uint64
	Current uint64
	// Difference lists the changes from Current to Wanted, if known.
	Difference string
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("version %d was not accepted: version %d is in force\n%s", e.Wanted, e.Current, e.Difference)
}

// ExitCode returns the exit code for the error of a subcommand.
func ExitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	var usage *UsageError
	if errors.As(err, &usage) {
		return ExitUsage
	}
	var conflict *ConflictError
	if errors.As(err, &conflict) || errors.Is(err, ErrVersionTaken) {
		return ExitConflict
	}
	var findings finding.List
	if errors.As(err, &findings) {
		return ExitFindings
	}
	return ExitFailure
}
