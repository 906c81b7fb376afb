package event

import (
	"fmt"
	"strings"
)

// Markdown renders the catalog as the page docs/EVENTS.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Log events\n\nEvery log line carries its number under the key `event`. ")
	b.WriteString("This page is checked against the code by a test.\n")
	for _, area := range Areas() {
		fmt.Fprintf(&b, "\n## %s\n\n| event | level | message | what to do |\n|---|---|---|---|\n", area.Name)
		for _, d := range area.Definitions {
			fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", d.ID, d.Level, d.Text, d.Action)
		}
	}
	return b.String()
}
