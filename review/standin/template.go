//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"strings"
)

// fillIn fills in a settings template as the platform does: values, JSON values and
// sections.
func fillIn(text string, fields any) string {
	var b strings.Builder
	render(&b, text, []any{fields})
	return b.String()
}

func render(b *strings.Builder, text string, scope []any) {
	for {
		before, rest, found := strings.Cut(text, "{{")
		b.WriteString(before)
		if !found {
			return
		}
		name, after, _ := strings.Cut(rest, "}}")
		if kind := name[0]; kind == '#' || kind == '^' {
			inner, behind := section(after, name[1:])
			value, ok := lookUp(scope, name[1:])
			switch {
			case kind == '^' && !ok:
				render(b, inner, scope)
			case kind == '#' && ok:
				if list, isList := value.([]any); isList {
					for _, entry := range list {
						render(b, inner, append(scope, entry))
					}
				} else {
					render(b, inner, append(scope, value))
				}
			}
			text = behind
			continue
		}
		name, asJSON := strings.CutSuffix(name, "|json")
		value, ok := lookUp(scope, name)
		switch {
		case !ok:
		case asJSON:
			data, _ := json.Marshal(value)
			b.Write(data)
		default:
			fmt.Fprint(b, value)
		}
		text = after
	}
}

// section returns the text of a section and what follows it.
func section(text, name string) (inner, behind string) {
	inner, behind, _ = strings.Cut(text, "{{/"+name+"}}")
	return inner, behind
}

// lookUp finds a value by its name, first in the innermost scope.
func lookUp(scope []any, name string) (any, bool) {
	if name == "." {
		return scope[len(scope)-1], true
	}
	for i := len(scope) - 1; i >= 0; i-- {
		value, ok := scope[i], true
		for part := range strings.SplitSeq(name, ".") {
			switch v := value.(type) {
			case map[string]any:
				value, ok = v[part]
			case []any:
				var n int
				_, err := fmt.Sscan(part, &n)
				if ok = err == nil && n < len(v); ok {
					value = v[n]
				}
			default:
				ok = false
			}
			if !ok {
				break
			}
		}
		if ok && value != false && value != "" {
			return value, true
		}
	}
	return nil, false
}
