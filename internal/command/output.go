package command

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/ansel1/merry/v2"
	"github.com/urfave/cli/v3"

	"toucangap/internal/finding"
)

// The output formats.
const (
	OutputText = "text"
	OutputJSON = "json"
)

// validateOutput rejects unknown output formats.
func validateOutput(format string) error {
	if format == OutputText || format == OutputJSON {
		return nil
	}
	return Usagef("unknown output format %q, expected text or json", format)
}

// Print writes the value in the format of the output flag: as JSON, or by
// calling the text function.
func (e *Env) Print(cmd *cli.Command, value any, text func(io.Writer)) error {
	if cmd.String(FlagOutput) == OutputJSON {
		encoder := json.NewEncoder(e.Out)
		encoder.SetIndent("", "  ")
		return merry.Prepend(encoder.Encode(value), "write output")
	}
	text(e.Out)
	return nil
}

// checkResult is the JSON form of the result of a check.
type checkResult struct {
	Findings finding.List `json:"findings"`
}

// PrintFindings writes the result of a check of the subject, a file name. It
// returns the findings, if there are any, as an error for which IsPrinted is
// true.
func (e *Env) PrintFindings(cmd *cli.Command, subject string, findings finding.List) error {
	result := checkResult{Findings: findings}
	if findings == nil {
		result.Findings = finding.List{}
	}
	err := e.Print(cmd, result, func(w io.Writer) {
		if len(findings) == 0 {
			_, _ = fmt.Fprintf(w, "%s: no findings\n", subject)
			return
		}
		_, _ = fmt.Fprintln(w, findings.Error())
	})
	if err != nil {
		return err
	}
	return MarkPrinted(findings.Err())
}

// printedError is an error that was already shown to the user.
type printedError struct {
	error
}

// Unwrap returns the wrapped error.
func (e printedError) Unwrap() error {
	return e.error
}

// MarkPrinted marks an error as already shown to the user, so that it is not
// printed again; nil stays nil.
func MarkPrinted(err error) error {
	if err == nil {
		return nil
	}
	return printedError{err}
}

// Table writes aligned columns. The cells of a row are separated by tabs.
func Table(w io.Writer, rows ...string) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		_, _ = fmt.Fprintln(table, row)
	}
	_ = table.Flush()
}

// IsPrinted reports whether the error was already shown to the user.
func IsPrinted(err error) bool {
	var printed printedError
	return errors.As(err, &printed)
}
