// Package tomldoc reads a TOML document value by value and collects all errors
// with their lines, whereas a plain decoder stops at the first error.
package tomldoc

import (
	"errors"
	"fmt"
	"sort"
	"strings"

	"github.com/BurntSushi/toml"

	"toucangap/internal/finding"
)

// Document is a parsed TOML document with the findings recorded so far.
type Document struct {
	file string
	// lines maps the path of a key, table or array element to its line.
	lines    map[string]int
	findings finding.List
	// invalid holds the paths of missing or malformed values. Further findings on
	// them are suppressed.
	invalid map[string]bool
	root    *Table
}

// Parse parses a document. If it has a syntax error, the Document is nil and
// that error is the only finding.
func Parse(file string, data []byte) (*Document, finding.List) {
	values := make(map[string]any)
	_, err := toml.Decode(string(data), &values)
	if err != nil {
		return nil, finding.List{syntaxFinding(file, string(data), err)}
	}
	d := &Document{
		file:    file,
		lines:   indexLines(string(data)),
		invalid: make(map[string]bool),
	}
	d.root = newTable(d, "", "", values)
	return d, nil
}

// syntaxFinding converts an error of the TOML library to a finding.
func syntaxFinding(file, text string, err error) finding.Finding {
	f := finding.Finding{File: file, Problem: err.Error(), Allowed: "TOML 1.0"}
	var parse toml.ParseError
	if !errors.As(err, &parse) {
		return f
	}
	f.Line = syntaxLine(text, parse.Position)
	f.Key = parse.LastKey
	f.Problem = parse.Message
	if f.Problem == "" {
		f.Problem = parse.Error()
	}
	return f
}

// syntaxLine computes the line of an error from its offset, because the
// library's line number is one too high for an unexpected end of line.
func syntaxLine(text string, position toml.Position) int {
	start := min(max(position.Start, 0), len(text))
	return 1 + strings.Count(text[:start], "\n")
}

// Root returns the top-level table.
func (d *Document) Root() *Table {
	return d.root
}

// Findings returns the findings recorded so far, in document order.
func (d *Document) Findings() finding.List {
	sort.SliceStable(d.findings, func(i, j int) bool {
		a, b := d.findings[i], d.findings[j]
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Key < b.Key
	})
	return d.findings
}

// line returns the line of the path or, if it has none, of its closest ancestor. It
// returns 0 if no ancestor has a line either.
func (d *Document) line(path string) int {
	for path != "" {
		line, ok := d.lines[path]
		if ok {
			return line
		}
		path = parentPath(path)
	}
	return 0
}

// parentPath removes the last key or index from a path. It takes a dot or bracket
// in a quoted key for a separator.
func parentPath(path string) string {
	for i := len(path) - 1; i >= 0; i-- {
		if path[i] == pathSeparator || path[i] == indexOpen {
			return path[:i]
		}
	}
	return ""
}

const (
	pathSeparator = '.'
	indexOpen     = '['
)

// joinPath appends a key to a path; an empty key is written as two quotes.
func joinPath(path, key string) string {
	if key == "" {
		key = `""`
	}
	if path == "" {
		return key
	}
	return path + string(pathSeparator) + key
}

// indexPath appends an array index to a path.
func indexPath(path string, i int) string {
	return fmt.Sprintf("%s[%d]", path, i)
}
