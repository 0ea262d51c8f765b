// Package cli holds the commands of the magnoliahoist binary.
package cli

import "io"

// Run carries out the command line and returns the exit status:
// 0 done, 1 refused or failed, 2 wrong use.
func Run(args []string, out, errs io.Writer) int {
	return 2
}
