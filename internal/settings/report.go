package settings

import (
	"fmt"
	"io"
)

// CheckAndPrint checks the settings file of a host that runs package engine,
// prints all findings or that there are none, and reports whether the file is
// valid.
func CheckAndPrint(w io.Writer, path string) bool {
	findings := Check(path)
	if len(findings) > 0 {
		_, _ = fmt.Fprintln(w, findings.Error())
		return false
	}
	_, _ = fmt.Fprintf(w, "%s: no findings\n", path)
	return true
}
