// Command magnoliahoist runs hosts that serve many models on fewer accelerators, and has the commands to operate them.
package main

import (
	"os"

	"magnoliahoist/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
