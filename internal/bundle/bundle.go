// Package bundle parses, validates, encodes, signs and compares configuration
// bundles. Operators write a bundle in TOML; hosts receive its canonical
// encoding with the operators' signatures.
package bundle

import (
	"os"

	"github.com/ansel1/merry/v2"

	"toucangap/internal/config"
	"toucangap/internal/finding"
	"toucangap/internal/tomldoc"
)

// DefaultMaxRemovedShare is the share of a service's endpoints that one change
// may remove if the bundle does not set max_removed_share.
const DefaultMaxRemovedShare = 0.3

// Load reads and validates a TOML bundle, also against the previous version
// unless that is nil. All errors in the bundle are returned together, as a
// finding.List.
func Load(path string, previous *config.Bundle) (*config.Bundle, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, merry.Prepend(err, "read bundle")
	}
	b, findings := Parse(path, data, previous)
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return b, nil
}

// Check returns all errors in a TOML bundle, also in the change from the
// previous version unless that is nil. A file that cannot be read is
// reported as a finding.
func Check(path string, previous *config.Bundle) finding.List {
	data, err := os.ReadFile(path)
	if err != nil {
		return finding.List{{File: path, Problem: err.Error(), Allowed: "a readable file"}}
	}
	_, findings := Parse(path, data, previous)
	return findings
}

// Parse reads a bundle from the text of a TOML file; the file name is used in
// findings. The change from the previous version is validated unless that is
// nil. The bundle is valid only if there are no findings, and nil if the text is
// not TOML.
func Parse(file string, data []byte, previous *config.Bundle) (*config.Bundle, finding.List) {
	doc, findings := tomldoc.Parse(file, data)
	if doc == nil {
		return nil, findings
	}
	b, reporter := readBundle(doc.Root())
	validate(b, reporter)
	if previous != nil {
		validateChange(previous, b, reporter)
	}
	sortLists(b)
	if len(doc.Findings()) == 0 {
		validateSize(b, reporter)
	}
	return b, doc.Findings()
}

// Validate returns the errors in a bundle that was not parsed from TOML. The
// findings have no lines; their keys contain the IDs of service and endpoint.
func Validate(b *config.Bundle) finding.List {
	reporter := &listReporter{bundle: b}
	validate(b, reporter)
	return reporter.findings
}

// ValidateChange returns the errors in the change from one bundle to the next,
// with findings as those of Validate. It does not validate the bundles
// themselves.
func ValidateChange(previous, b *config.Bundle) finding.List {
	reporter := &listReporter{bundle: b}
	validateChange(previous, b, reporter)
	return reporter.findings
}
