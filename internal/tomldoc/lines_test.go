package tomldoc

import (
	"testing"

	"github.com/stretchr/testify/require"
)

const document = `# comment with [brackets] and "quotes"
title = "a # b"
a.b = 1
text = """
[not a table]
x = ""\""" # still text
""""
literal = '''
y = 2'''

[table] # comment
"quoted key" = [ # comment ]
  "one]",
  { inner = 'two', deep = { last = 3 } },
]

[[list]]
[list.sub]
key = true
[[list.item]]
[[list.item]]
key = 1
[[list]]
[[list.item]]
key = 2
`

// TestLines checks the line that is recorded for each key and table.
func TestLines(t *testing.T) {
	doc, findings := Parse("test.toml", []byte(document))
	require.Empty(t, findings)
	want := map[string]int{
		"title":                         2,
		"a":                             3,
		"a.b":                           3,
		"text":                          4,
		"literal":                       8,
		"table":                         11,
		"table.quoted key":              12,
		"table.quoted key[0]":           13,
		"table.quoted key[1]":           14,
		"table.quoted key[1].inner":     14,
		"table.quoted key[1].deep":      14,
		"table.quoted key[1].deep.last": 14,
		"list":                          17,
		"list[0].item":                  20,
		"list[1].item":                  24,
		"list[0]":                       17,
		"list[0].sub":                   18,
		"list[0].sub.key":               19,
		"list[0].item[0]":               20,
		"list[0].item[1]":               21,
		"list[0].item[1].key":           22,
		"list[1]":                       23,
		"list[1].item[0]":               24,
		"list[1].item[0].key":           25,
	}
	require.Equal(t, want, doc.lines)
}

// FuzzParse checks that the line scanner neither panics nor hangs on any document
// and that all findings have a line.
func FuzzParse(f *testing.F) {
	f.Add(document)
	f.Add("a = [[1], [2, 3]]\r\nb = {}\r\n")
	f.Add("[ a . 'b.c' ]\n\"\" = \"\"\"\"\"\"\n")
	f.Fuzz(func(t *testing.T, text string) {
		doc, findings := Parse("fuzz.toml", []byte(text))
		if doc == nil {
			require.NotEmpty(t, findings)
			return
		}
		doc.Root().RejectUnknown()
		for _, found := range doc.Findings() {
			require.Positive(t, found.Line, found.Key)
		}
	})
}
