package tomldoc

import (
	"strings"

	"github.com/BurntSushi/toml"
)

// lineScanner scans a valid TOML document and records the line on which each
// key and table starts. The TOML library keeps no positions for elements of
// arrays of tables.
type lineScanner struct {
	text string
	pos  int
	line int
	// lines maps a path such as "service[1].endpoint[0].id" to its line.
	lines map[string]int
	// counts maps the path of an array of tables to its number of elements so far.
	counts map[string]int
}

// indexLines returns the lines of all paths in a valid document.
func indexLines(text string) map[string]int {
	s := &lineScanner{
		text:   text,
		line:   1,
		lines:  make(map[string]int),
		counts: make(map[string]int),
	}
	table := ""
	for s.skipWhitespace() {
		if s.peek() == '[' {
			table = s.scanHeader()
			continue
		}
		s.scanKeyValue(table)
	}
	return s.lines
}

// peek returns the current byte, or 0 at the end.
func (s *lineScanner) peek() byte {
	if s.pos >= len(s.text) {
		return 0
	}
	return s.text[s.pos]
}

// advance skips n bytes and counts their newlines.
func (s *lineScanner) advance(n int) {
	end := min(s.pos+n, len(s.text))
	s.line += strings.Count(s.text[s.pos:end], "\n")
	s.pos = end
}

// skipWhitespace skips white space, newlines and comments and reports whether
// anything follows.
func (s *lineScanner) skipWhitespace() bool {
	for s.pos < len(s.text) {
		switch s.peek() {
		case ' ', '\t', '\r', '\n':
			s.advance(1)
		case '#':
			s.skipUntil("\n")
		default:
			return true
		}
	}
	return false
}

// skipUntil advances to the next byte that is in stops, or to the end.
func (s *lineScanner) skipUntil(stops string) {
	n := strings.IndexAny(s.text[s.pos:], stops)
	if n < 0 {
		n = len(s.text) - s.pos
	}
	s.advance(n)
}

// scanHeader scans "[a.b]" or "[[a.b]]" and returns the path of the table.
func (s *lineScanner) scanHeader() string {
	line := s.line
	isArray := strings.HasPrefix(s.text[s.pos:], "[[")
	brackets := 1
	if isArray {
		brackets = 2
	}
	s.advance(brackets)
	keys := s.scanKeys()
	s.advance(brackets)
	path := ""
	for _, key := range keys[:len(keys)-1] {
		path = s.lastElement(joinPath(path, key))
		s.recordFirst(path, line)
	}
	path = joinPath(path, keys[len(keys)-1])
	if isArray {
		s.recordFirst(path, line)
		s.counts[path]++
		path = s.lastElement(path)
	}
	s.lines[path] = line
	return path
}

// lastElement returns the path of the last element so far if the path is that
// of an array of tables, otherwise the path itself.
func (s *lineScanner) lastElement(path string) string {
	if n := s.counts[path]; n > 0 {
		return indexPath(path, n-1)
	}
	return path
}

// recordFirst records the line of a path unless an earlier line is recorded. A
// table without a header gets the line of its first mention.
func (s *lineScanner) recordFirst(path string, line int) {
	_, ok := s.lines[path]
	if !ok {
		s.lines[path] = line
	}
}

// scanKeyValue scans one "key = value" of the table.
func (s *lineScanner) scanKeyValue(table string) {
	line := s.line
	path := table
	for _, key := range s.scanKeys() {
		path = joinPath(path, key)
		s.recordFirst(path, line)
	}
	s.advance(len("="))
	s.scanValue(path)
}

// scanKeys scans a dotted key and the white space that follows it.
func (s *lineScanner) scanKeys() []string {
	var keys []string
	for {
		s.skipWhitespace()
		keys = append(keys, s.scanKey())
		s.skipWhitespace()
		if s.peek() != '.' {
			return keys
		}
		s.advance(1)
	}
}

// scanKey scans one bare or quoted key.
func (s *lineScanner) scanKey() string {
	start := s.pos
	if quote := s.peek(); quote == '"' || quote == '\'' {
		s.skipString()
		return unquoteKey(s.text[start:s.pos])
	}
	s.skipUntil(" \t.=]\r\n")
	if s.pos == start {
		s.advance(1)
	}
	return s.text[start:s.pos]
}

// unquoteKey returns the text of a quoted key.
func unquoteKey(quoted string) string {
	var key struct{ Text string }
	_, err := toml.Decode("Text = "+quoted, &key)
	if err != nil {
		return quoted
	}
	return key.Text
}

// scanValue scans a value and records the lines inside arrays and inline
// tables.
func (s *lineScanner) scanValue(path string) {
	s.skipWhitespace()
	switch s.peek() {
	case '[':
		s.scanArray(path)
	case '{':
		s.scanInlineTable(path)
	case '"', '\'':
		s.skipString()
	default:
		s.skipUntil(",]}#\r\n")
	}
}

func (s *lineScanner) scanArray(path string) {
	s.advance(1)
	for i := 0; s.skipWhitespace() && s.peek() != ']'; i++ {
		element := indexPath(path, i)
		s.lines[element] = s.line
		s.scanValue(element)
		s.skipComma()
	}
	s.advance(1)
}

func (s *lineScanner) scanInlineTable(path string) {
	s.advance(1)
	for s.skipWhitespace() && s.peek() != '}' {
		s.scanKeyValue(path)
		s.skipComma()
	}
	s.advance(1)
}

// skipComma skips white space and at most one comma.
func (s *lineScanner) skipComma() {
	s.skipWhitespace()
	if s.peek() == ',' {
		s.advance(1)
	}
}

// skipString skips a string of any of the four TOML kinds.
func (s *lineScanner) skipString() {
	quote := s.text[s.pos : s.pos+1]
	closing := quote
	if triple := strings.Repeat(quote, 3); strings.HasPrefix(s.text[s.pos:], triple) {
		closing = triple
	}
	s.advance(len(closing))
	for s.pos < len(s.text) && !strings.HasPrefix(s.text[s.pos:], closing) {
		if quote == `"` && s.peek() == '\\' {
			s.advance(1)
		}
		s.advance(1)
	}
	s.advance(len(closing))
	s.skipTrailingQuotes(quote, closing)
}

// skipTrailingQuotes skips the quotes, up to two, that end the content of a
// multi-line string directly before its closing delimiter.
func (s *lineScanner) skipTrailingQuotes(quote, closing string) {
	if len(closing) == 1 {
		return
	}
	for strings.HasPrefix(s.text[s.pos:], quote) {
		s.advance(1)
	}
}
