// Package finding describes validation errors in a document with their
// locations, so that all of them are reported at once.
package finding

import (
	"fmt"
	"strings"
)

// Finding is a validation error.
type Finding struct {
	File string `json:"file"`
	// Line counts from 1; 0 means that the finding has no line, as for a missing
	// key of the top-level table.
	Line int `json:"line"`
	// Key is the dotted path of the value, as in "service.alerts.class".
	Key string `json:"key"`
	// Problem describes the error.
	Problem string `json:"problem"`
	// Allowed describes the accepted values. It may be empty.
	Allowed string `json:"allowed"`
}

// String formats the finding on one line, as in
// "file:line: key: problem (allowed: values)".
func (f Finding) String() string {
	s := fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Key, f.Problem)
	if f.Allowed == "" {
		return s
	}
	return s + " (allowed: " + f.Allowed + ")"
}

// List is a list of findings in document order. If it is not empty, it is an
// error.
type List []Finding

// Error implements error with one line per finding.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the list as an error, or nil if it is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}
