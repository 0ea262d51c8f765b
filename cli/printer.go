package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/juju/errors"

	"magnoliahoist/document"
	"magnoliahoist/operator"
)

// printer writes results to out, and progress and errors to errs.
type printer struct {
	out, errs io.Writer
	json      bool
}

// print writes the value as JSON, or else the text.
func (p printer) print(value any, text string) error {
	if p.json {
		return p.printJSON(value)
	}
	_, err := fmt.Fprintln(p.out, text)
	return err
}

func (p printer) printJSON(value any) error {
	encoder := json.NewEncoder(p.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// printRows writes the value as JSON, or else rows of columns.
func (p printer) printRows(value any, rows [][]any) error {
	if p.json {
		return p.printJSON(value)
	}
	w := tabwriter.NewWriter(p.out, 0, 4, 2, ' ', 0)
	for _, row := range rows {
		for i, column := range row {
			if i > 0 {
				fmt.Fprint(w, "\t")
			}
			fmt.Fprint(w, column)
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}

// progress writes a line for people.
func (p printer) progress(format string, args ...any) {
	fmt.Fprintf(p.errs, format+"\n", args...)
}

// fail writes an error.
func (p printer) fail(err error) {
	if !p.json {
		fmt.Fprintf(p.errs, "magnoliahoist: %v\n", err)
		return
	}
	var (
		failure  *operator.Failure
		problems document.Problems
	)
	if !errors.As(err, &failure) {
		failure = &operator.Failure{Type: "failed", Message: err.Error(), Run: "no"}
		if errors.As(err, &problems) {
			failure = &operator.Failure{Type: "invalid", Message: "the document was refused", Run: "no", Problems: problems}
		}
	}
	json.NewEncoder(p.errs).Encode(map[string]*operator.Failure{"error": failure}) // nowhere is left to report an error
}
