package timeline

import (
	"bufio"
	"fmt"
	"io"
)

// WriteText writes the events in a human-readable form, one per line. Empty fields are left out.
func WriteText(w io.Writer, events []Event) error {
	out := bufio.NewWriter(w)
	for _, e := range events {
		fmt.Fprintf(out, "%s  %-12s %-9s", e.Timestamp, e.Host, e.Kind)
		for _, field := range []struct{ name, value string }{
			{"request", e.Request}, {"attempt", e.Attempt}, {"endpoint", e.Endpoint}, {"account", e.Account}, {"order", e.Order},
		} {
			if field.value != "" {
				fmt.Fprintf(out, " %s=%s", field.name, field.value)
			}
		}
		if e.Change != 0 {
			fmt.Fprintf(out, " change=%d", e.Change)
		}
		if e.Note != "" {
			fmt.Fprintf(out, " %q", e.Note)
		}
		fmt.Fprintln(out)
	}
	return out.Flush()
}
