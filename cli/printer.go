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

// printer writes results to out, and progress and errors to errs. With json, results and errors are JSON.
type printer struct {
	out, errs io.Writer
	json      bool
}

// print writes the value if the output format is JSON, and the text otherwise.
func (p printer) print(value any, text string) error {
	if p.json {
		return p.printJSON(value)
	}
	_, err := fmt.Fprintln(p.out, text)
	return err
}

// printJSON writes the value as indented JSON.
func (p printer) printJSON(value any) error {
	encoder := json.NewEncoder(p.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// printRows writes the value if the output format is JSON, and the rows with aligned columns otherwise.
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

// printProgress writes a human-readable line to errs.
func (p printer) printProgress(format string, args ...any) {
	fmt.Fprintf(p.errs, format+"\n", args...)
}

// printError writes an error to errs. As JSON, every error has the form of an operator.Failure.
func (p printer) printError(err error) {
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
	json.NewEncoder(p.errs).Encode(map[string]*operator.Failure{"error": failure}) // a write error can't be reported anywhere
}
