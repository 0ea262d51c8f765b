// Command magnoliahoist serves many models on fewer accelerators.
package main

import (
	"os"

	"magnoliahoist/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
