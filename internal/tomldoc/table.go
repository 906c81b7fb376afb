package tomldoc

import (
	"fmt"
	"sort"
	"strings"

	"toucangap/internal/finding"
)

// Table is a table of a document. Its getters return the zero value for a
// missing or malformed key and report a malformed one as a finding.
type Table struct {
	doc *Document
	// path locates the table in the document; label is the path shown in findings.
	path   string
	label  string
	values map[string]any
	// requested holds the keys that the document's reader has asked for; all
	// others are unknown.
	requested map[string]bool
}

func newTable(d *Document, path, label string, values map[string]any) *Table {
	return &Table{doc: d, path: path, label: label, values: values, requested: make(map[string]bool)}
}

// Has reports whether the key is present and marks it as requested.
func (t *Table) Has(key string) bool {
	t.requested[key] = true
	_, ok := t.values[key]
	return ok
}

// Keys returns the names of all keys of the table, sorted, and marks them as
// requested. It is meant for tables whose keys are chosen by the user.
func (t *Table) Keys() []string {
	keys := make([]string, 0, len(t.values))
	for key := range t.values {
		t.requested[key] = true
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

// SetLabel replaces the table's path in findings, for example "service[0]" by
// "service.alerts".
func (t *Table) SetLabel(label string) {
	t.label = label
}

// Label returns the table's path as shown in findings.
func (t *Table) Label() string {
	return t.label
}

// Require reports each of the keys that is missing.
func (t *Table) Require(keys ...string) {
	for _, key := range keys {
		if !t.Has(key) {
			t.reportInvalid(key, "required key is missing", "set "+key)
		}
	}
}

// RejectUnknown reports every key that was not requested.
func (t *Table) RejectUnknown() {
	requested := make([]string, 0, len(t.requested))
	for key := range t.requested {
		requested = append(requested, key)
	}
	sort.Strings(requested)
	allowed := strings.Join(requested, ", ")
	for key := range t.values {
		if !t.requested[key] {
			t.reportKey(key, "unknown key", allowed)
		}
	}
}

// Report adds a finding at the key; an empty key means the table itself.
// It is ignored if the key was already reported as missing or malformed.
func (t *Table) Report(key, problem, allowed string) {
	if key == "" {
		t.doc.report(t.path, t.label, problem, allowed)
		return
	}
	t.reportKey(key, problem, allowed)
}

// reportKey adds a finding at the key, which may be empty.
func (t *Table) reportKey(key, problem, allowed string) {
	t.doc.report(joinPath(t.path, key), joinPath(t.label, key), problem, allowed)
}

// report adds a finding unless its value is already reported as invalid.
func (d *Document) report(path, label, problem, allowed string) {
	if d.invalid[path] {
		return
	}
	d.findings = append(d.findings, finding.Finding{
		File:    d.file,
		Line:    d.line(path),
		Key:     label,
		Problem: problem,
		Allowed: allowed,
	})
}

// reportInvalid reports a missing or malformed value and marks it as invalid.
func (t *Table) reportInvalid(key, problem, allowed string) {
	t.reportKey(key, problem, allowed)
	t.doc.invalid[joinPath(t.path, key)] = true
}

func (t *Table) reportWrongType(key string, value any, allowed string) {
	t.reportInvalid(key, "is "+typeName(value), allowed)
}

// Table returns the subtable, which is empty if the key is missing.
func (t *Table) Table(key string) *Table {
	values, ok := t.values[key].(map[string]any)
	if t.Has(key) && !ok {
		t.reportWrongType(key, t.values[key], "a table")
	}
	return newTable(t.doc, joinPath(t.path, key), joinPath(t.label, key), values)
}

// Tables returns the elements of an array of tables.
func (t *Table) Tables(key string) []*Table {
	if !t.Has(key) {
		return nil
	}
	var elements []map[string]any
	switch value := t.values[key].(type) {
	case []map[string]any:
		elements = value
	case []any:
		elements = t.inlineTables(key, value)
	default:
		t.reportWrongType(key, value, "an array of tables")
	}
	tables := make([]*Table, len(elements))
	for i, values := range elements {
		path := indexPath(joinPath(t.path, key), i)
		label := indexPath(joinPath(t.label, key), i)
		tables[i] = newTable(t.doc, path, label, values)
	}
	return tables
}

// inlineTables returns the inline tables of an array; other elements are
// reported and become empty tables.
func (t *Table) inlineTables(key string, array []any) []map[string]any {
	elements := make([]map[string]any, len(array))
	for i, element := range array {
		values, ok := element.(map[string]any)
		if !ok {
			t.reportWrongType(indexPath(key, i), element, "a table")
		}
		elements[i] = values
	}
	return elements
}

// typeName returns the TOML type of a decoded value, with an article.
func typeName(value any) string {
	switch value.(type) {
	case string:
		return "a string"
	case int64:
		return "an integer"
	case float64:
		return "a float"
	case bool:
		return "a boolean"
	case map[string]any:
		return "a table"
	case []any, []map[string]any:
		return "an array"
	}
	return fmt.Sprintf("a %T", value)
}
